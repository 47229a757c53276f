package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// PlatformRun is one request that a PlatformUpstream has run.
type PlatformRun struct {
	ID       string
	Method   string
	Target   string
	Customer string
	Key      string
	Body     string
	// TimeLimit is the time limit that the request states, as it was received.
	TimeLimit string
	At        time.Time
}

// PlatformUpstream stands in for an upstream of the users' platform. It echoes the request
// ID, signs its responses, reports its load, rejects requests for another instance
// with 421, and stops its work with 504 at the time limit of a request. It is safe for concurrent use.
type PlatformUpstream struct {
	// ID is the initial instance ID.
	ID string
	// ServiceTime is the time that each request takes.
	ServiceTime time.Duration
	// StartedMs is the start time that the upstream states, in Unix milliseconds; 0: defaultStartedMs.
	StartedMs int64
	// Slots is the number of slots that the upstream states; 0: platformUpstreamSlots. It runs any
	// number of requests at once.
	Slots int

	mu         sync.Mutex
	instanceID string
	handler    func(w http.ResponseWriter, r *http.Request)
	rateLimit  string
	leaving    bool
	// rejection is the pause that rejections ask for; 0 if requests are not rejected.
	rejection time.Duration
	rejected  []PlatformRun
	running   int
	runs      []PlatformRun
	// delay is added to the time that each request takes.
	delay time.Duration
}

// platformUpstreamSlots is the concurrency that a PlatformUpstream reports.
const platformUpstreamSlots = 4

const timeLimitHeader = "X-Deadline-Ms"

// work takes the time of the work, at most the time limit of the request. It returns false if that was
// not enough.
func work(r *http.Request, takes time.Duration) bool {
	ms, err := strconv.ParseInt(r.Header.Get(timeLimitHeader), 10, 64)
	limit := time.Duration(ms) * time.Millisecond
	if err != nil || limit <= 0 || takes <= limit {
		time.Sleep(takes)
		return true
	}
	time.Sleep(limit)
	return false
}

// Runs returns the requests that the upstream has run.
func (u *PlatformUpstream) Runs() []PlatformRun {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]PlatformRun(nil), u.runs...)
}

// SetHandler replaces the handler that writes the response; nil restores the default. The
// request is recorded as run before the handler is called.
func (u *PlatformUpstream) SetHandler(handler func(w http.ResponseWriter, r *http.Request)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.handler = handler
}

// SetRateLimit sets the value of the rate limit header that all responses carry; "" omits
// the header. The upstream does not enforce the limit.
func (u *PlatformUpstream) SetRateLimit(value string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rateLimit = value
}

// SetDelay adds a delay to the time that each request takes; 0 ends it.
func (u *PlatformUpstream) SetDelay(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.delay = d
}

// Leave makes all responses announce that the upstream is about to stop.
func (u *PlatformUpstream) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// Reject makes the upstream reject all requests without running them, and ask for a pause; 0
// ends it.
func (u *PlatformUpstream) Reject(pause time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rejection = pause
}

// Rejected returns the requests that the upstream has rejected.
func (u *PlatformUpstream) Rejected() []PlatformRun {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]PlatformRun(nil), u.rejected...)
}

// reject rejects the request if the upstream is to reject requests.
func (u *PlatformUpstream) reject(w http.ResponseWriter, r *http.Request) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rejection == 0 {
		return false
	}
	u.rejected = append(u.rejected, PlatformRun{ID: r.Header.Get("X-Request-Id"), Method: r.Method, Target: r.RequestURI, TimeLimit: r.Header.Get(timeLimitHeader), At: time.Now()})
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(u.rejection.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// SetInstanceID changes the instance ID, as if another instance had started at the same
// address.
func (u *PlatformUpstream) SetInstanceID(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.instanceID = id
}

func (u *PlatformUpstream) currentID() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.instanceID != "" {
		return u.instanceID
	}
	return u.ID
}

func (u *PlatformUpstream) slots() int {
	if u.Slots > 0 {
		return u.Slots
	}
	return platformUpstreamSlots
}

// defaultStartedMs is the start time of a PlatformUpstream that states none.
const defaultStartedMs = 1_700_000_000_000

func (u *PlatformUpstream) startedMs() int64 {
	if u.StartedMs > 0 {
		return u.StartedMs
	}
	return defaultStartedMs
}

// RegistryEntry returns the value that the upstream registers in the store under its ID.
func (u *PlatformUpstream) RegistryEntry(service, address, zone, state string, sequence int) []byte {
	entry, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": u.slots(),
		"state": state, "cold-remaining": "0ms", "sequence": sequence, "born": u.startedMs(),
	})
	if err != nil {
		panic(err)
	}
	return entry
}

// ServeHTTP implements http.Handler.
func (u *PlatformUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != u.currentID() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || u.reject(w, r) {
		return
	}
	u.mu.Lock()
	u.running++
	u.runs = append(u.runs, PlatformRun{
		ID: r.Header.Get("X-Request-Id"), Method: r.Method, Target: r.RequestURI, Body: string(body), At: time.Now(),
		Customer: r.Header.Get("X-Tenant-Id"), Key: r.Header.Get("Authorization"), TimeLimit: r.Header.Get(timeLimitHeader),
	})
	handler, delay := u.handler, u.delay
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.running--
	}()
	if handler != nil {
		handler(w, r)
		return
	}
	inTime := work(r, u.ServiceTime+delay)
	u.mu.Lock()
	running, rateLimit, leaving := u.running, u.rateLimit, u.leaving
	u.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if rateLimit != "" {
		w.Header().Set("Server-Limit", rateLimit)
	}
	w.Header().Set("X-Response-Signature", "signed-by-"+u.ID)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, u.slots()))
	if !inTime {
		w.WriteHeader(http.StatusGatewayTimeout)
	}
	// A write fails only if the client has disconnected.
	_, _ = fmt.Fprintf(w, "%s ran %s", u.ID, r.Header.Get("X-Request-Id"))
}
