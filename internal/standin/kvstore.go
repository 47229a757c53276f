package standin

import (
	"maps"
	"sort"
	"strings"
	"sync"
	"time"
)

// StoreFault is how a call to a KVStore goes wrong.
type StoreFault int

// Faults of a call to the store.
const (
	// StoreHealthy: the call is answered.
	StoreHealthy StoreFault = iota
	// StoreUnavailable: 503, nothing done.
	StoreUnavailable
	// StoreTooManyRequests: 429, nothing done.
	StoreTooManyRequests
	// StoreReset: the connection is closed, nothing done.
	StoreReset
	// StoreUnresponsive: nothing is done or answered until the caller leaves.
	StoreUnresponsive
	// StoreResponseLost: the call is done and not answered.
	StoreResponseLost
)

// Faults is what a KVStore does wrong, whatever is called. The zero value is a
// healthy store.
type Faults struct {
	// Down refuses every call with 503.
	Down bool
	// StaleOnly refuses every call but listings that may be stale.
	StaleOnly bool
	// Delay holds every call back.
	Delay time.Duration
	// LoseResponses drops the connection after this many further writes took effect,
	// instead of answering them.
	LoseResponses int
	// StaleAge is the age of the listings that may be stale.
	StaleAge time.Duration
}

// KVStore stands in for the key-value store of the users' platform, over HTTP.
// It is safe for concurrent use.
type KVStore struct {
	// PageItems bounds one page of a listing. Default 500.
	PageItems int
	// Now tells the time by which leases lapse. Default time.Now.
	Now       func() time.Time
	faultFunc func(path string) StoreFault

	mu     sync.Mutex
	faults Faults
	// behind makes listings that may be stale show nothing.
	staleReadsEmpty bool
	// shown is what listings that may be stale show, as of shownAt.
	staleItems   map[string]storeItem
	staleItemsAt time.Time
	revision     uint64
	items        map[string]storeItem
	// events holds the history after forgotten.
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

// SetFaultFunc changes how calls go wrong; nil: none does.
func (s *KVStore) SetFaultFunc(fault func(path string) StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFunc = fault
}

// SetFaults replaces what the store does wrong from now on.
func (s *KVStore) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.staleItems = f, nil
}

// SetStaleReadsEmpty makes answers that may be stale as old as the empty store.
func (s *KVStore) SetStaleReadsEmpty(empty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleReadsEmpty = empty
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

// CompactHistory drops the history up to now.
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

// Revision of the last change of a key; 0: there is none.
func (s *KVStore) Revision(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Revision
}

// Calls is the number of calls by path, without ids; " stale" follows it where the
// answer may be stale.
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
	s.events = append(s.events, i)
	s.notifyWatchers()
	return s.revision
}

func (s *KVStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.events = append(s.events, storeItem{Key: key, Revision: s.revision, Deleted: true})
	s.notifyWatchers()
}

func (s *KVStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// lapse ends leases whose time has come, with their keys.
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
