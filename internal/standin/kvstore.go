package standin

import (
	"maps"
	"sort"
	"strings"
	"sync"
	"time"
)

// StoreFault is the fault of one call to a KVStore.
type StoreFault int

// Faults of a call to the store.
const (
	// StoreHealthy executes the call and responds.
	StoreHealthy StoreFault = iota
	// StoreUnavailable responds with 503 without executing the call.
	StoreUnavailable
	// StoreTooManyRequests responds with 429 without executing the call.
	StoreTooManyRequests
	// StoreReset closes the connection without executing the call.
	StoreReset
	// StoreUnresponsive neither executes the call nor responds; it waits until the client
	// disconnects.
	StoreUnresponsive
	// StoreResponseLost executes the call and closes the connection without a response.
	StoreResponseLost
)

// Faults are the faults of a KVStore that apply to all calls. The zero value is a healthy
// store.
type Faults struct {
	// Down rejects every call with 503.
	Down bool
	// StaleOnly rejects every call with 503, except reads that allow stale results.
	StaleOnly bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseResponses is the number of further writes that take effect and whose connection
	// is closed without a response.
	LoseResponses int
	// StaleAge is the maximum age of listings that allow stale results.
	StaleAge time.Duration
}

// KVStore stands in for the key-value store of the users' platform, over HTTP.
// It is safe for concurrent use.
type KVStore struct {
	// PageItems is the maximum number of items in one page of a listing. Default 500.
	PageItems int
	// Now is the clock for the expiry of leases and the age of stale listings. Default
	// time.Now.
	Now       func() time.Time
	faultFunc func(path string) StoreFault

	mu     sync.Mutex
	faults Faults
	// staleReadsEmpty makes listings that allow stale results empty.
	staleReadsEmpty bool
	// staleItems is the content of listings that allow stale results, as of staleItemsAt.
	staleItems   map[string]storeItem
	staleItemsAt time.Time
	// stalePages are the revisions that the pages of listings that allow stale results show, and
	// stalePageAfter is the number of the page that follows a key.
	stalePages     []uint64
	stalePageAfter map[string]int
	revision       uint64
	items          map[string]storeItem
	// history is all changes, also those that watches no longer return.
	history []storeItem
	// events is the history of changes after compactedRevision.
	events            []storeItem
	compactedRevision uint64
	leases            map[uint64]*storeLease
	nextLease         uint64
	changed           chan struct{}
	calls             map[string]int
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
	ttl       time.Duration
	expiresAt time.Time
}

// NewKVStore returns an empty store.
func NewKVStore() *KVStore {
	return &KVStore{
		PageItems: 500, Now: time.Now, revision: 10, items: map[string]storeItem{}, leases: map[uint64]*storeLease{},
		nextLease: 1000, changed: make(chan struct{}), calls: map[string]int{},
	}
}

// SetFaultFunc sets the function that selects the fault of each call by its path; nil
// selects none.
func (s *KVStore) SetFaultFunc(fault func(path string) StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFunc = fault
}

// SetFaults replaces the faults that apply to all calls.
func (s *KVStore) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.staleItems = f, nil
}

// SetStaleReadsEmpty makes listings that allow stale results empty, as if they were as old
// as the store.
func (s *KVStore) SetStaleReadsEmpty(empty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleReadsEmpty = empty
}

// SetStalePages makes each page of listings that allow stale results as old as the page's revision; the
// pages after those are current. All are labelled with the store's current revision.
func (s *KVStore) SetStalePages(revisions ...uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalePages, s.stalePageAfter = revisions, map[string]int{}
}

// itemsAt returns the content of the store at a revision. The caller must hold s.mu.
func (s *KVStore) itemsAt(revision uint64) map[string]storeItem {
	out := map[string]storeItem{}
	for _, i := range s.history {
		switch {
		case i.Revision > revision:
			return out
		case i.Deleted:
			delete(out, i.Key)
		default:
			out[i.Key] = i
		}
	}
	return out
}

// Put writes a key without a lease, as an operator or an upstream does.
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

// CompactHistory discards the history of changes, so that watches from an earlier revision
// fail with 410.
func (s *KVStore) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compactedRevision = nil, s.revision
	s.notifyWatchers()
}

// Keys returns the keys that begin with prefix.
func (s *KVStore) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	var out []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

// Revision returns the revision of the last change of a key; 0 if the key does not exist.
func (s *KVStore) Revision(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Revision
}

// Calls returns the number of calls by path, without IDs. Calls that allow stale results are
// counted under the path followed by " stale".
func (s *KVStore) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

func (s *KVStore) write(i storeItem) uint64 {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.record(i)
	return s.revision
}

func (s *KVStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(storeItem{Key: key, Revision: s.revision, Deleted: true})
}

// record adds a change to the history, and notifies the watches.
func (s *KVStore) record(i storeItem) {
	s.events = append(s.events, i)
	s.history = append(s.history, i)
	s.notifyWatchers()
}

func (s *KVStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases removes expired leases, with their keys.
func (s *KVStore) expireLeases() {
	now := s.Now()
	for id, lease := range s.leases {
		if now.Before(lease.expiresAt) {
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
