package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"balsambarrow/internal/kv"
)

// ServeHTTP implements http.Handler.
func (s *KVStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	if i := strings.LastIndexByte(path, '/'); i > 0 && strings.Count(path, "/") > 2 {
		path = path[:i]
	}
	fault, delay := s.meet(r, path)
	switch fault {
	case StoreUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case StoreTooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case StoreReset:
		panic(http.ErrAbortHandler)
	case StoreUnresponsive:
		// The server notices that the caller has left only once it has read
		// the body.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case StoreHealthy, StoreResponseLost:
	}
	// The body is read first: a slow store has received the call, and does it even
	// if the caller has given up meanwhile.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2*kv.MaxValueBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	time.Sleep(delay)
	if fault == StoreResponseLost {
		s.answer(discard{http.Header{}}, r, path)
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, path)
}

// meet counts a call and tells how it goes wrong.
func (s *KVStore) meet(r *http.Request, path string) (StoreFault, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mayBeStale(r) {
		s.calls[path+" stale"]++
	} else {
		s.calls[path]++
	}
	s.lapse()
	if s.fault != nil {
		if fault := s.fault(path); fault != StoreHealthy {
			return fault, 0
		}
	}
	if s.faults.Down || s.faults.StaleOnly && !mayBeStale(r) {
		return StoreUnavailable, 0
	}
	return StoreHealthy, s.faults.Delay
}

func mayBeStale(r *http.Request) bool { return r.URL.Query().Get("allow-stale") == "1" }

// discard is a ResponseWriter whose answer nobody gets.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func (s *KVStore) answer(w http.ResponseWriter, r *http.Request, path string) {
	switch r.Method + " " + path {
	case "GET /-/kv-key":
		s.get(w, r)
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

func (s *KVStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, i)
}

// readable is what a listing shows. Callers hold mu.
func (s *KVStore) readable(stale bool) map[string]storeItem {
	switch {
	case !stale:
		return s.items
	case s.behind:
		return nil
	case s.faults.StaleAge == 0:
		return s.items
	case s.shown == nil || s.Now().Sub(s.shownAt) >= s.faults.StaleAge:
		s.shown, s.shownAt = maps.Clone(s.items), s.Now()
	}
	return s.shown
}

func (s *KVStore) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var page []storeItem
	for _, i := range s.readable(mayBeStale(r)) {
		if strings.HasPrefix(i.Key, prefix) && i.Key > after {
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
			if s.down() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		case <-r.Context().Done():
			return
		case <-timeout.C:
			respond(w, map[string]any{"events": events, "store-revision": revision})
			return
		}
	}
}

func (s *KVStore) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down || s.faults.StaleOnly
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
	var current []storeItem
	conflict := false
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		conflict = conflict || i.Revision != e.Revision
		if ok {
			current = append(current, i)
		}
	}
	if conflict {
		w.WriteHeader(http.StatusPreconditionFailed)
		respond(w, map[string]any{"items": current})
		return
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
	s.answerWrite(w, map[string]any{"revision": s.revision})
}

// answerWrite answers a write that took effect, or loses the answer.
func (s *KVStore) answerWrite(w http.ResponseWriter, answer any) {
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		panic(http.ErrAbortHandler)
	}
	respond(w, answer)
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
	s.leases[s.nextLease] = &storeLease{ttl, s.Now().Add(ttl)}
	s.answerWrite(w, map[string]any{"lease": s.nextLease, "ttl_time": q.TTL})
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
	lease.ends = s.Now().Add(lease.ttl)
	s.answerWrite(w, map[string]any{"ttl_time": lease.ttl.String()})
}

func (s *KVStore) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(s.leaseOf(r))
	s.answerWrite(w, struct{}{})
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller has left.
	_ = json.NewEncoder(w).Encode(body)
}
