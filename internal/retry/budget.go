package retry

import (
	"sync"

	"balsambarrow/internal/wire"
)

const (
	// retryRatio is the number of retries that each first attempt adds to the
	// budget. Upstreams that run at half of their capacity or more can serve an
	// additional tenth. The retries for one failing upstream out of ten fit in it.
	retryRatio = 0.1
	// maxBalance is the maximum and the initial balance of a budget. An upstream
	// with four slots fails 16 requests before it is ejected (four consecutive
	// failures on each slot). Even a service with few requests can retry all of them.
	maxBalance = 16
)

// Budget is the retry budget of one service. It is not safe for concurrent use.
type Budget struct {
	balance float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{balance: maxBalance} }

// RecordRequest adds the share of one first attempt to the budget.
func (b *Budget) RecordRequest() { b.balance = min(b.balance+retryRatio, maxBalance) }

// AllowRetry takes one retry from the budget. It returns false if the budget is
// exhausted.
func (b *Budget) AllowRetry() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Budgets holds one budget per service. It is safe for concurrent use. A nil
// *Budgets allows every retry.
type Budgets struct {
	mu       sync.Mutex
	services map[string]*Budget
}

// NewBudgets returns budgets that are full for every service.
func NewBudgets() *Budgets { return &Budgets{services: map[string]*Budget{}} }

// RecordRequest records a first attempt of the service.
func (b *Budgets) RecordRequest(service string) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).RecordRequest()
}

// AllowRetry takes one retry from the budget of the service. It returns false if
// the budget is exhausted.
func (b *Budgets) AllowRetry(service string) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).AllowRetry()
}

// AllowRetryOn reports whether the service may retry after the problem, and takes
// the retry from its budget. If no upstream received the request, the retry adds
// no load and is free. A request that an upstream shed has cost the upstream work,
// so its retry is counted.
func (b *Budgets) AllowRetryOn(service string, p *wire.Problem) bool {
	if p.Outcome == wire.OutcomeNotRun && p.Type != wire.TypeUpstreamShed {
		return true
	}
	return b.AllowRetry(service)
}

func (b *Budgets) budget(service string) *Budget {
	x := b.services[service]
	if x == nil {
		x = NewBudget()
		b.services[service] = x
	}
	return x
}
