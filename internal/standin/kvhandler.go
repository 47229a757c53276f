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
	fault, delay := s.nextFault(r, path)
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
		// The HTTP server detects that the client has disconnected only after the
		// body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case StoreHealthy, StoreResponseLost:
	}
	// The body is read before the delay: a slow store has received the call, and executes
	// it even if the client has disconnected meanwhile.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2*kv.MaxValueBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	time.Sleep(delay)
	if fault == StoreResponseLost {
		s.handle(discardWriter{http.Header{}}, r, path)
		panic(http.ErrAbortHandler)
	}
	s.handle(w, r, path)
}

// nextFault counts a call and returns the fault and the delay that apply to it.
func (s *KVStore) nextFault(r *http.Request, path string) (StoreFault, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if allowsStale(r) {
		s.calls[path+" stale"]++
	} else {
		s.calls[path]++
	}
	s.expireLeases()
	if s.faultFunc != nil {
		if fault := s.faultFunc(path); fault != StoreHealthy {
			return fault, 0
		}
	}
	if s.faults.Down || s.faults.StaleOnly && !allowsStale(r) {
		return StoreUnavailable, 0
	}
	return StoreHealthy, s.faults.Delay
}

func allowsStale(r *http.Request) bool { return r.URL.Query().Get("allow-stale") == "1" }

// discardWriter is a ResponseWriter that drops the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

func (s *KVStore) handle(w http.ResponseWriter, r *http.Request, path string) {
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
		s.grantLease(w, r)
	case "POST /-/kv-keep":
		s.renewLease(w, r)
	case "DELETE /-/kv-lease-end":
		s.revokeLease(w, r)
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

// visibleItems returns the items that the page of a listing after a key contains. The caller must hold
// s.mu.
func (s *KVStore) visibleItems(stale bool, after string) map[string]storeItem {
	switch {
	case !stale:
		return s.items
	case s.stalePageAfter[after] < len(s.stalePages):
		return s.itemsAt(s.stalePages[s.stalePageAfter[after]])
	case s.staleReadsEmpty:
		return nil
	case s.faults.StaleAge == 0:
		return s.items
	case s.staleItems == nil || s.Now().Sub(s.staleItemsAt) >= s.faults.StaleAge:
		s.staleItems, s.staleItemsAt = maps.Clone(s.items), s.Now()
	}
	return s.staleItems
}

func (s *KVStore) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var page []storeItem
	for _, i := range s.visibleItems(allowsStale(r), after) {
		if strings.HasPrefix(i.Key, prefix) && i.Key > after {
			page = append(page, i)
		}
	}
	revision := s.revision
	sort.Slice(page, func(a, b int) bool { return page[a].Key < page[b].Key })
	more := len(page) > s.PageItems
	if more {
		page = page[:s.PageItems]
		if s.stalePages != nil {
			s.stalePageAfter[page[len(page)-1].Key] = s.stalePageAfter[after] + 1
		}
	}
	s.mu.Unlock()
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
		events, revision, compacted, changed := s.eventsAfter(q.Get("prefix"), after)
		if after < compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			respond(w, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
			if s.isUnavailable() {
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

func (s *KVStore) isUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down || s.faults.StaleOnly
}

func (s *KVStore) eventsAfter(prefix string, after uint64) (events []storeItem, revision, compacted uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []storeItem{}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, s.compactedRevision, s.changed
}

func (s *KVStore) transact(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected-revision"`
		Writes []storeItem `json:"writes"`
		Remove []string    `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []storeItem
	conflict := false
	for _, e := range txn.Expected {
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
	for _, i := range txn.Writes {
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, i := range txn.Writes {
		s.write(i)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	s.respondToWrite(w, map[string]any{"revision": s.revision})
}

// respondToWrite responds to a write that took effect, or closes the connection if the
// response is to be lost.
func (s *KVStore) respondToWrite(w http.ResponseWriter, response any) {
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		panic(http.ErrAbortHandler)
	}
	respond(w, response)
}

func (s *KVStore) grantLease(w http.ResponseWriter, r *http.Request) {
	var req struct {
		TTL string `json:"ttl_time"`
	}
	err := json.NewDecoder(r.Body).Decode(&req)
	ttl, errTTL := time.ParseDuration(req.TTL)
	if err != nil || errTTL != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &storeLease{ttl, s.Now().Add(ttl)}
	s.respondToWrite(w, map[string]any{"lease": s.nextLease, "ttl_time": req.TTL})
}

func (s *KVStore) leaseID(r *http.Request) uint64 {
	id, err := strconv.ParseUint(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return id
}

func (s *KVStore) renewLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[s.leaseID(r)]
	if lease == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	lease.expiresAt = s.Now().Add(lease.ttl)
	s.respondToWrite(w, map[string]any{"ttl_time": lease.ttl.String()})
}

func (s *KVStore) revokeLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(s.leaseID(r))
	s.respondToWrite(w, struct{}{})
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
