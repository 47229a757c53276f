package memory

import (
	"fmt"
	"sync"
)

// Bytes that callers make a process hold besides the bodies of requests and responses.
const (
	// ConnectionBytes are those of a caller's connection: the stack of its goroutine, the two
	// buffers of the HTTP server and the kernel's state.
	ConnectionBytes = 16 << 10
	// RequestBytes are those of a request that is served: header, stacks, the buffer of the
	// connection to the upstream, and StreamBytes of its response.
	RequestBytes = 32 << 10
	// StreamBytes are the bytes of a response that a request may hold without a further charge.
	StreamBytes = 8 << 10

	// includedHeaderBytes are the bytes of a caller's header that RequestBytes covers.
	includedHeaderBytes = 2 << 10
	// headerFactor is how many bytes a header with many short fields takes for each byte received.
	headerFactor = 16
)

const (
	bytesPerMB = 1 << 20
	// processBytes are the bytes that a process holds without callers.
	processBytes = 32 * bytesPerMB
	// minFraction is the smallest fraction of the memory that callers get on a host that has
	// hardly more than processBytes.
	minFraction = 0.125
)

// smallBody is the size up to which a request with a body counts as one without, in bytes.
const smallBody = 4 << 10

// Fractions of the budget up to which a holding may grow. What is refused last has the largest one:
// uploads leave room for responses, and both leave room for requests without a large body.
const (
	bodyFraction       = 0.6
	responseFraction   = 0.85
	connectionFraction = 0.7
	headerFraction     = 0.5
	// closingFraction is the fraction above which connections are closed after each response.
	closingFraction = 0.5
	// overRatePart is the part of its fraction that a customer over its rate gets.
	overRatePart = 0.5
	// rankStep is what each rank of urgency below the highest takes off the fraction of bodies, and
	// maxRankSteps the number of ranks that count.
	rankStep     = 0.05
	maxRankSteps = 4
)

// Kind is what bytes are held for.
type Kind int

// Kinds of held bytes.
const (
	Connections Kind = iota
	Requests
	Headers
	Bodies
	Responses
	kinds
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	return [...]string{"connections", "requests", "headers", "bodies", "responses"}[k]
}

// FullError reports that bytes do not fit the budget. Bytes, Held and Limit are in bytes; Limit is
// the part of the budget that the refused bytes might have used.
type FullError struct {
	Kind               Kind
	Bytes, Held, Limit int64
}

func (e *FullError) Error() string {
	return fmt.Sprintf("memory: %s: %d bytes beside %d exceed %d", e.Kind, e.Bytes, e.Held, e.Limit)
}

// Usage is the state of a budget, in bytes.
type Usage struct {
	Limit int64
	// Held is indexed by Kind.
	Held [kinds]int64
}

// Total returns the held bytes of all kinds.
func (u Usage) Total() int64 {
	total := int64(0)
	for _, n := range u.Held {
		total += n
	}
	return total
}

// Budget bounds the bytes that callers make a process hold. It is safe for concurrent use. A nil
// Budget has no limit and counts nothing.
type Budget struct {
	mu    sync.Mutex
	usage Usage
}

// NewBudget returns the budget of a process that may use memoryMB and of which callers may use a
// fraction, less what the process holds without them. It returns nil if memoryMB is 0: unknown.
func NewBudget(memoryMB, fraction float64) *Budget {
	if memoryMB <= 0 {
		return nil
	}
	memory := memoryMB * bytesPerMB
	return &Budget{usage: Usage{Limit: int64(max(fraction*memory-processBytes, minFraction*memory))}}
}

// Usage returns the state of the budget.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage
}

// charge adds bytes if the total then leaves spare bytes below a fraction of the budget.
func (b *Budget) charge(kind Kind, bytes, spare int64, fraction float64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := int64(fraction * float64(b.usage.Limit))
	if held := b.usage.Total(); held+bytes+spare > limit {
		return &FullError{Kind: kind, Bytes: bytes, Held: held, Limit: limit}
	}
	b.usage.Held[kind] += bytes
	return nil
}

func (b *Budget) release(kind Kind, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage.Held[kind] -= bytes
}

// OpenConnection charges a caller's connection, unless connections hold too much. Each one that it
// accepts must be ended by CloseConnection.
func (b *Budget) OpenConnection() error {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := int64(connectionFraction * float64(b.usage.Limit))
	if held := b.usage.Held[Connections]; held+ConnectionBytes > limit {
		return &FullError{Kind: Connections, Bytes: ConnectionBytes, Held: held, Limit: limit}
	}
	b.usage.Held[Connections] += ConnectionBytes
	return nil
}

// CloseConnection ends the charge of a connection.
func (b *Budget) CloseConnection() {
	if b != nil {
		b.release(Connections, ConnectionBytes)
	}
}

// Header is what the header of one request holds while it is read and served. It is used by one
// goroutine at a time. A Header without a budget has no limit.
type Header struct {
	Budget         *Budget
	received, held int64
}

// Grow charges further bytes that were received. The error is a *FullError.
func (h *Header) Grow(bytes int64) error {
	h.received += bytes
	more := headerFactor*max(h.received-includedHeaderBytes, 0) - h.held
	if h.Budget == nil || more <= 0 {
		return nil
	}
	if err := h.Budget.charge(Headers, more, 0, headerFraction); err != nil {
		return err
	}
	h.held += more
	return nil
}

// Release ends the charge. Another header may follow.
func (h *Header) Release() {
	if h.held > 0 {
		h.Budget.release(Headers, h.held)
	}
	h.received, h.held = 0, 0
}

// ManyConnections reports whether connections hold so much that each response should close its
// connection.
func (b *Budget) ManyConnections() bool {
	u := b.Usage()
	return float64(u.Held[Connections]) > closingFraction*float64(u.Limit)
}

// Request describes a request that is to be admitted.
type Request struct {
	// Body is the number of bytes of the body that the host will hold, as far as known.
	Body int64
	// UnknownLength is set if there is a body of unknown length.
	UnknownLength bool
	// Priority ranks the request; 0 is the most urgent. OverRate is set if the customer exceeds its
	// rate.
	Priority int
	OverRate bool
}

// fraction returns the fraction of the budget up to which the request may be admitted.
func (r Request) fraction() float64 {
	f := 1.0
	if r.UnknownLength || r.Body > smallBody {
		f = bodyFraction - rankStep*float64(min(r.Priority, maxRankSteps))
	}
	if r.OverRate {
		f *= overRatePart
	}
	return f
}

// Admit charges a request and its body. A body must leave room for another one of its size, so that
// large ones are refused before small ones. The error is a *FullError. The hold must be released.
func (b *Budget) Admit(r Request) (*Hold, error) {
	if b == nil {
		return nil, nil //nolint:nilnil // a nil Hold has no limit
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := int64(r.fraction() * float64(b.usage.Limit))
	if held := b.usage.Total(); held+RequestBytes+2*r.Body > limit {
		kind := Requests
		if r.Body > 0 {
			kind = Bodies
		}
		return nil, &FullError{Kind: kind, Bytes: RequestBytes + r.Body, Held: held, Limit: limit}
	}
	b.usage.Held[Requests] += RequestBytes
	b.usage.Held[Bodies] += r.Body
	return &Hold{budget: b, request: r, body: r.Body}, nil
}

// Hold is what one request holds. It is used by one goroutine at a time. A nil Hold has no limit.
type Hold struct {
	budget         *Budget
	request        Request
	body, response int64
}

// GrowBody charges further bytes of the body. The error is a *FullError.
func (h *Hold) GrowBody(bytes int64) error {
	if h == nil || bytes <= 0 {
		return nil
	}
	if err := h.budget.charge(Bodies, bytes, h.body+bytes, h.request.fraction()); err != nil {
		return err
	}
	h.body += bytes
	return nil
}

// GrowResponse charges further bytes of the response, beyond StreamBytes. The error is a *FullError.
func (h *Hold) GrowResponse(bytes int64) error {
	if h == nil || bytes <= 0 {
		return nil
	}
	if err := h.budget.charge(Responses, bytes, 0, responseFraction); err != nil {
		return err
	}
	h.response += bytes
	return nil
}

// ReleaseBody ends the charge of a body that is no longer held.
func (h *Hold) ReleaseBody() {
	if h != nil {
		h.budget.release(Bodies, h.body)
		h.body = 0
	}
}

// ReleaseResponse ends the charge of a response that is no longer held.
func (h *Hold) ReleaseResponse() {
	if h != nil {
		h.budget.release(Responses, h.response)
		h.response = 0
	}
}

// Release ends all charges of the request.
func (h *Hold) Release() {
	if h != nil {
		h.ReleaseBody()
		h.ReleaseResponse()
		h.budget.release(Requests, RequestBytes)
	}
}
