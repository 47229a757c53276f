package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"balsambarrow/internal/wire"
)

// Headers and query parameters of the stand-in upstream.
const (
	// HeaderBodySum is the SHA-256 of the response body, so that a caller can detect a
	// truncated response.
	HeaderBodySum = "X-Body-Sum"
	// QuerySize is the requested size of the response body in bytes.
	QuerySize = "size"
	// HeaderPosting is the name of a posting. An upstream counts how often each one ran.
	HeaderPosting = "X-Posting"
)

// UpstreamOptions configures a stand-in upstream.
type UpstreamOptions struct {
	// Slots is the number of requests that run concurrently; more are shed with 503.
	Slots int
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
	// ColdRequests is the number of first requests that take four times as long.
	ColdRequests int
	// RecordArrivals records the time and the customer of each request.
	RecordArrivals bool
}

// Upstream stands in for one upstream of the fleet. It responds to any path with bytes
// that are derived from the path, and counts the requests that it ran.
type Upstream struct {
	options UpstreamOptions

	mu         sync.Mutex
	running    int
	total      int
	shed       int
	keysSeen   int
	postings   map[string]int
	byCustomer map[string]int
	arrivals   []Arrival
}

// Arrival is one request that an upstream began to run.
type Arrival struct {
	Customer string
	At       time.Time
}

// Arrivals returns the requests that the upstream began to run, if RecordArrivals is set.
func (u *Upstream) Arrivals() []Arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Arrival(nil), u.arrivals...)
}

// NewUpstream returns a stand-in upstream.
func NewUpstream(o UpstreamOptions) *Upstream {
	return &Upstream{options: o, postings: map[string]int{}, byCustomer: map[string]int{}}
}

// UpstreamStats counts the requests that an upstream received. Total is the number that it
// ran, KeysSeen the number with an API key, and DuplicatePostings the number of postings
// that ran more than once.
type UpstreamStats struct {
	Total             int            `json:"total"`
	Shed              int            `json:"shed"`
	KeysSeen          int            `json:"keys_seen"`
	DuplicatePostings int            `json:"doubled"`
	Customer          map[string]int `json:"customer"`
	Postings          map[string]int `json:"postings"`
}

// Stats returns the counts so far.
func (u *Upstream) Stats() UpstreamStats {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := UpstreamStats{
		Total: u.total, Shed: u.shed, KeysSeen: u.keysSeen,
		Customer: map[string]int{}, Postings: map[string]int{},
	}
	for k, n := range u.byCustomer {
		s.Customer[k] = n
	}
	for k, n := range u.postings {
		s.Postings[k] = n
		if n > 1 {
			s.DuplicatePostings++
		}
	}
	return s
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/_stats" {
		respond(w, u.Stats())
		return
	}
	if r.URL.Path == "/healthz" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	serviceTime, ok := u.startRequest(r)
	if !ok {
		w.Header().Set(wire.HeaderShed, string(wire.OutcomeNotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.finishRequest()
	select {
	case <-time.After(serviceTime):
	case <-r.Context().Done():
		return
	}
	writeResponseBody(w, r)
}

func (u *Upstream) startRequest(r *http.Request) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.Header.Get("Authorization") != "" {
		u.keysSeen++
	}
	if u.running >= u.options.Slots {
		u.shed++
		return 0, false
	}
	u.running++
	u.total++
	if u.options.RecordArrivals {
		u.arrivals = append(u.arrivals, Arrival{Customer: r.Header.Get("Balsam-Customer"), At: time.Now()})
	}
	u.byCustomer[r.Header.Get("Balsam-Customer")]++
	if name := r.Header.Get(HeaderPosting); name != "" {
		u.postings[name]++
	}
	serviceTime := time.Duration((0.5 + rand.Float64()) * float64(u.options.ServiceTime))
	if u.total <= u.options.ColdRequests {
		serviceTime *= 4
	}
	return serviceTime, true
}

func (u *Upstream) finishRequest() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

func writeResponseBody(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Query().Get(QuerySize))
	if err != nil || size <= 0 {
		size = 512
	}
	body := responseBody(r.URL.Path, size)
	sum := sha256.Sum256(body)
	w.Header().Set(HeaderBodySum, hex.EncodeToString(sum[:]))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(body)
}

// responseBody returns size bytes that are derived from path, so that a response to
// another request can be recognized.
func responseBody(path string, size int) []byte {
	h := fnv.New64a()
	_, _ = h.Write([]byte(path))
	rng := rand.New(rand.NewPCG(h.Sum64(), 0))
	body := make([]byte, size)
	for i := range body {
		body[i] = byte('a' + rng.IntN(26))
	}
	return body
}
