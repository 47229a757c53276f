package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreFault is how a call to a KVStore goes wrong.
type StoreFault int

// Faults of a call to the store.
const (
	// StoreFine: the call is answered.
	StoreFine StoreFault = iota
	// StoreBusy: 503, nothing done.
	StoreBusy
	// StoreMany: 429, nothing done.
	StoreMany
	// StoreReset: the connection is closed, nothing done.
	StoreReset
	// StoreSilent: nothing is done or answered until the caller leaves.
	StoreSilent
	// StoreLost: the call is done and not answered.
	StoreLost
)

// KVStore stands in for the key-value store of the users' platform, over HTTP.
// It is safe for concurrent use.
type KVStore struct {
	// PageItems bounds one page of a listing. Default 500.
	PageItems int
	fault     func(path string) StoreFault

	mu sync.Mutex
	// behind makes listings that may be stale show nothing.
	behind   bool
	revision uint64
	items    map[string]storeItem
	// events holds the history after forgotten.
	events    []storeItem
	forgotten uint64
	leases    map[uint64]*storeLease
	nextLease uint64
	changed   chan struct{}
	calls     map[string]int
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created-at,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

// NewKVStore returns an empty store.
func NewKVStore() *KVStore {
	return &KVStore{
		PageItems: 500, revision: 10, items: map[string]storeItem{}, leases: map[uint64]*storeLease{},
		nextLease: 1000, changed: make(chan struct{}), calls: map[string]int{},
	}
}

// SetFault changes how calls go wrong; nil: none does.
func (s *KVStore) SetFault(fault func(path string) StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetBehind makes answers that may be stale as old as the empty store.
func (s *KVStore) SetBehind(behind bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behind = behind
}

// Put writes a key as an operator or an upstream does.
func (s *KVStore) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(storeItem{Key: key, Value: value})
}

// Delete removes a key.
func (s *KVStore) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Forget drops the history up to now.
func (s *KVStore) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.forgotten = nil, s.revision
	s.wake()
}

// Keys returns the keys that begin with prefix.
func (s *KVStore) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse(time.Now())
	var out []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

// Calls is the number of calls by path, without ids.
func (s *KVStore) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for path, n := range s.calls {
		out[path] = n
	}
	return out
}

func (s *KVStore) write(i storeItem) uint64 {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.events = append(s.events, i)
	s.wake()
	return s.revision
}

func (s *KVStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.events = append(s.events, storeItem{Key: key, Revision: s.revision, Deleted: true})
	s.wake()
}

func (s *KVStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// lapse ends leases whose time has come, with their keys.
func (s *KVStore) lapse(now time.Time) {
	for id, lease := range s.leases {
		if now.Before(lease.ends) {
			continue
		}
		s.endLease(id)
	}
}

func (s *KVStore) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *KVStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	if i := strings.LastIndexByte(path, '/'); i > 0 && strings.Count(path, "/") > 2 {
		path = path[:i]
	}
	s.mu.Lock()
	s.calls[path]++
	fault := StoreFine
	if s.fault != nil {
		fault = s.fault(path)
	}
	s.lapse(time.Now())
	s.mu.Unlock()
	switch fault {
	case StoreBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case StoreMany:
		w.WriteHeader(http.StatusTooManyRequests)
	case StoreReset:
		panic(http.ErrAbortHandler)
	case StoreSilent:
		// The server notices that the caller has left only once it has read
		// the body.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	case StoreLost:
		s.answer(discard{http.Header{}}, r, path)
		panic(http.ErrAbortHandler)
	case StoreFine:
		s.answer(w, r, path)
	}
}

// discard is a ResponseWriter whose answer nobody gets.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func (s *KVStore) answer(w http.ResponseWriter, r *http.Request, path string) {
	switch r.Method + " " + path {
	case "GET /-/kv-range":
		s.list(w, r)
	case "GET /-/kv-watch":
		s.watch(w, r)
	case "POST /-/kv-txn":
		s.transact(w, r)
	case "POST /-/kv-lease":
		s.grant(w, r)
	case "POST /-/kv-keep":
		s.keep(w, r)
	case "DELETE /-/kv-lease-end":
		s.end(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *KVStore) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var page []storeItem
	old := s.behind && r.URL.Query().Get("allow-stale") == "1"
	for _, i := range s.items {
		if !old && strings.HasPrefix(i.Key, prefix) && i.Key > after {
			page = append(page, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(page, func(a, b int) bool { return page[a].Key < page[b].Key })
	more := len(page) > s.PageItems
	if more {
		page = page[:s.PageItems]
	}
	respond(w, map[string]any{"items": page, "has-more": more, "store-revision": revision})
}

func (s *KVStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, errAfter := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("wait-ms"))
	if errAfter != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		events, revision, forgotten, changed := s.since(q.Get("prefix"), after)
		if after < forgotten {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			respond(w, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			respond(w, map[string]any{"events": events, "store-revision": revision})
			return
		}
	}
}

func (s *KVStore) since(prefix string, after uint64) (events []storeItem, revision, forgotten uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []storeItem{}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, s.forgotten, s.changed
}

func (s *KVStore) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected-revision"`
		Writes []storeItem `json:"writes"`
		Remove []string    `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, i := range t.Writes {
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, i := range t.Writes {
		s.write(i)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	respond(w, map[string]any{"revision": s.revision})
}

func (s *KVStore) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL string `json:"ttl_time"`
	}
	err := json.NewDecoder(r.Body).Decode(&q)
	ttl, errTTL := time.ParseDuration(q.TTL)
	if err != nil || errTTL != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &storeLease{ttl, time.Now().Add(ttl)}
	respond(w, map[string]any{"lease": s.nextLease, "ttl_time": q.TTL})
}

func (s *KVStore) leaseOf(r *http.Request) uint64 {
	id, err := strconv.ParseUint(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return id
}

func (s *KVStore) keep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[s.leaseOf(r)]
	if lease == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	lease.ends = time.Now().Add(lease.ttl)
	respond(w, map[string]any{"ttl_time": lease.ttl.String()})
}

func (s *KVStore) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(s.leaseOf(r))
	respond(w, struct{}{})
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller has left.
	_ = json.NewEncoder(w).Encode(body)
}
