package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"balsambarrow/internal/platform"
)

// Platform is an in-memory stand-in for the platform, served over HTTP.
type Platform struct {
	mux *http.ServeMux
	now func() time.Time

	mu       sync.Mutex
	revision uint64
	entries  map[string]platform.Entry
	leases   map[string]*lease
	hosts    map[string]platform.Host
	shown    []platform.Host
	shownAt  time.Time
	faults   Faults
	changed  chan struct{}
	calls    map[string]int
}

// hostsCall names the call for the host list, which is no call of the store.
const hostsCall = "hosts"

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Faults is what the stand-in does wrong. The zero value is a healthy platform.
type Faults struct {
	// Down refuses every call with 503.
	Down bool `json:"down"`
	// StoreDown refuses the store's calls; the host list still answers.
	StoreDown bool `json:"store_down"`
	// DelayMs holds every call back.
	DelayMs int64 `json:"delay_ms"`
	// LoseAnswers drops the connection after this many further writes took
	// effect, instead of answering them.
	LoseAnswers int `json:"lose_answers"`
	// HostLagMs is the age of the host list that is shown.
	HostLagMs int64 `json:"host_lag_ms"`
}

// NewPlatform returns a healthy, empty platform. now may be nil.
func NewPlatform(now func() time.Time) *Platform {
	if now == nil {
		now = time.Now
	}
	p := &Platform{
		mux:     http.NewServeMux(),
		now:     now,
		entries: map[string]platform.Entry{},
		leases:  map[string]*lease{},
		hosts:   map[string]platform.Host{},
		changed: make(chan struct{}),
		calls:   map[string]int{},
	}
	p.mux.HandleFunc("GET /v1/kv", p.counted("list", p.list))
	p.mux.HandleFunc("GET /v1/kv/{key...}", p.counted("get", p.get))
	p.mux.HandleFunc("PUT /v1/kv/{key...}", p.counted("swap", p.swap))
	p.mux.HandleFunc("DELETE /v1/kv/{key...}", p.counted("delete", p.remove))
	p.mux.HandleFunc("GET /v1/watch/{key...}", p.counted("watch", p.watch))
	p.mux.HandleFunc("POST /v1/leases", p.counted("grant", p.grant))
	p.mux.HandleFunc("POST /v1/leases/{id}/renew", p.counted("renew", p.renew))
	p.mux.HandleFunc("DELETE /v1/leases/{id}", p.counted("revoke", p.revoke))
	p.mux.HandleFunc("GET /v1/hosts", p.counted(hostsCall, p.listHosts))
	p.mux.HandleFunc("PUT /v1/hosts/{name}", p.putHost)
	p.mux.HandleFunc("PUT /v1/faults", p.putFaults)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// SetFaults replaces what the stand-in does wrong from now on.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetHost writes one line of the host list.
func (p *Platform) SetHost(h platform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[h.Name] = h
}

// Calls returns how many calls of each kind have been made.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.calls))
	for k, n := range p.calls {
		out[k] = n
	}
	return out
}

func (p *Platform) counted(name string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls[name]++
		f := p.faults
		p.mu.Unlock()
		if f.Down || (f.StoreDown && name != hostsCall) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		// The body is read first: a slow store has received the call, and
		// takes it even if the caller has given up meanwhile.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
		if err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if f.DelayMs > 0 {
			time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
		}
		h(w, r)
	}
}

// expire deletes lapsed leases and their keys. Callers hold mu.
func (p *Platform) expire() {
	now := p.now()
	for id, l := range p.leases {
		if !now.Before(l.expires) {
			p.dropLease(id)
		}
	}
}

func (p *Platform) dropLease(id string) {
	delete(p.leases, id)
	for k, e := range p.entries {
		if e.Lease == id {
			delete(p.entries, k)
			p.bump()
		}
	}
}

func (p *Platform) bump() {
	p.revision++
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.expire()
	e, ok := p.entries[r.PathValue("key")]
	p.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, e)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	p.expire()
	out := []platform.Entry{}
	for k, e := range p.entries {
		if strings.HasPrefix(k, prefix) {
			out = append(out, e)
		}
	}
	p.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	writeJSON(w, out)
}

func (p *Platform) swap(w http.ResponseWriter, r *http.Request) {
	value, _ := io.ReadAll(r.Body)
	key, leaseID := r.PathValue("key"), r.URL.Query().Get("lease")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	if leaseID != "" && p.leases[leaseID] == nil {
		w.WriteHeader(http.StatusGone)
		return
	}
	if !p.matches(w, r, key) {
		return
	}
	p.bump()
	p.entries[key] = platform.Entry{Key: key, Revision: p.revision, Value: value, Lease: leaseID}
	p.answerWrite(w, platform.RevisionAnswer{Revision: p.revision})
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	if !p.matches(w, r, key) {
		return
	}
	delete(p.entries, key)
	p.bump()
	p.answerWrite(w, platform.RevisionAnswer{Revision: p.revision})
}

func (p *Platform) matches(w http.ResponseWriter, r *http.Request, key string) bool {
	want, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	if have := p.entries[key].Revision; have != want {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(platform.RevisionAnswer{Revision: have})
		return false
	}
	return true
}

// answerWrite answers a write that took effect, or loses the answer.
func (p *Platform) answerWrite(w http.ResponseWriter, answer any) {
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, answer)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	seen, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	deadline := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer deadline.Stop()
	for {
		p.mu.Lock()
		p.expire()
		e, ok := p.entries[key]
		changed, down := p.changed, p.faults.Down || p.faults.StoreDown
		p.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if ok && e.Revision != seen {
			writeJSON(w, e)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline.C:
			if !ok {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			writeJSON(w, platform.Entry{Key: key, Revision: e.Revision})
			return
		}
	}
}

func (p *Platform) grant(w http.ResponseWriter, r *http.Request) {
	var q platform.LeaseRequest
	if json.NewDecoder(r.Body).Decode(&q) != nil || q.TTLMs <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, ttl := uuid.NewString(), time.Duration(q.TTLMs)*time.Millisecond
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leases[id] = &lease{ttl: ttl, expires: p.now().Add(ttl)}
	p.answerWrite(w, platform.LeaseAnswer{ID: id})
}

func (p *Platform) renew(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	l := p.leases[r.PathValue("id")]
	if l == nil {
		w.WriteHeader(http.StatusGone)
		return
	}
	l.expires = p.now().Add(l.ttl)
	p.answerWrite(w, struct{}{})
}

func (p *Platform) revoke(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropLease(r.PathValue("id"))
	p.answerWrite(w, struct{}{})
}

func (p *Platform) listHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	lag := time.Duration(p.faults.HostLagMs) * time.Millisecond
	if lag == 0 || p.shown == nil || p.now().Sub(p.shownAt) >= lag {
		p.shown, p.shownAt = p.sortedHosts(), p.now()
	}
	out := p.shown
	p.mu.Unlock()
	writeJSON(w, out)
}

func (p *Platform) sortedHosts() []platform.Host {
	out := make([]platform.Host, 0, len(p.hosts))
	for _, h := range p.hosts {
		out = append(out, h)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (p *Platform) putHost(w http.ResponseWriter, r *http.Request) {
	var h platform.Host
	if json.NewDecoder(r.Body).Decode(&h) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Name = r.PathValue("name")
	p.SetHost(h)
	writeJSON(w, h)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if json.NewDecoder(r.Body).Decode(&f) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	writeJSON(w, f)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
