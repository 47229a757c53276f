package retry

import (
	"sync"

	"balsambarrow/internal/wire"
)

// Sizes of a budget.
const (
	// ratio is what each first try adds. Upstreams at half their capacity or
	// more can bear a tenth on top; one sick upstream of ten fits in it.
	ratio = 0.1
	// reserve is the most a budget holds, and what it starts with: what a
	// failing upstream with four slots answers before it is ejected (four
	// failures in a row on each), so that even a quiet service repeats these.
	reserve = 16
)

// Budget is the number of tries again that one service may make. It is not
// safe for concurrent use.
type Budget struct {
	left float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{left: reserve} }

// RecordRequest notes a first try.
func (b *Budget) RecordRequest() { b.left = min(b.left+ratio, reserve) }

// AllowRetry takes one try again; false if the budget is spent.
func (b *Budget) AllowRetry() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Budgets holds a budget for each service. It is safe for concurrent use. A
// nil one allows every try again.
type Budgets struct {
	mu      sync.Mutex
	service map[string]*Budget
}

// NewBudgets returns full budgets.
func NewBudgets() *Budgets { return &Budgets{service: map[string]*Budget{}} }

// RecordRequest notes a first try of a service.
func (b *Budgets) RecordRequest(service string) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).RecordRequest()
}

// AllowRetry takes one try again of a service; false if its budget is spent.
func (b *Budgets) AllowRetry(service string) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).AllowRetry()
}

// AllowRetryOn tells whether the service may try again after a problem, and takes
// the try. One after which an upstream has seen nothing adds no load to it and
// is free; an upstream that shed has had the work of it.
func (b *Budgets) AllowRetryOn(service string, p *wire.Problem) bool {
	if p.Outcome == wire.OutcomeNotRun && p.Type != wire.TypeUpstreamShed {
		return true
	}
	return b.AllowRetry(service)
}

func (b *Budgets) of(service string) *Budget {
	x := b.service[service]
	if x == nil {
		x = NewBudget()
		b.service[service] = x
	}
	return x
}
