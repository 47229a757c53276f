package place

import (
	"slices"
	"sync"
	"time"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/traffic"
)

// Host is an entry host that may send to cold upstreams.
type Host struct {
	Instance string
	Zone     string
	Region   string
}

// Table knows the upstreams and what this host has met at them. It is safe for
// concurrent use.
type Table struct {
	self  Host
	zones map[string]string

	mu   sync.Mutex
	byID map[string]*upstream
	// byHash has the upstreams by the lower half of their hash.
	byHash         map[uint32]*upstream
	services       map[string][]*upstream
	declared       *catalog.Catalog
	evacuatedZones map[string]bool
	// hosts are those that are ready, hostHashes those of their instances, and hostsAt
	// grows with each change of them.
	hosts           []Host
	hostHashes      []uint64
	hostsGeneration uint64
	// holders are the upstreams that may be warm for an object.
	holders map[Object][]*upstream
	// mark grows with each request about an object, and turn with each other one.
	querySequence, keylessSequence uint64
	zonePaths                      []zonePath
	scratch                        survey
	regionHash                     uint64
	serviceTimes                   map[string]*serviceTime
	// queuedTimes is the mean work of a service, for what waits at its upstreams.
	queuedTimes map[string]*mean
	queueLimits map[string]queueLimits
	links       linkCosts
	shares      regionShares
	// maxShift bounds how fast the regions in which requests run change.
	maxShift float64
}

// NewTable returns an empty table of the entry host self. zones gives the
// region of each zone.
func NewTable(self Host, zones map[string]string) *Table {
	return &Table{
		self: self, zones: zones, byID: map[string]*upstream{}, byHash: map[uint32]*upstream{},
		services: map[string][]*upstream{}, evacuatedZones: map[string]bool{}, serviceTimes: map[string]*serviceTime{},
		queuedTimes: map[string]*mean{}, queueLimits: map[string]queueLimits{}, holders: map[Object][]*upstream{},
		links: newLinkCosts(self), regionHash: hash(self.Region), hostsGeneration: 1, keylessSequence: hash(self.Instance),
	}
}

// SetCatalog takes a version of the operators' declaration over.
func (t *Table) SetCatalog(c *catalog.Catalog) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.declared = c
}

// SetHosts says which hosts are ready, this one included if it is.
func (t *Table) SetHosts(hosts []Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(t.hosts, hosts) {
		return
	}
	t.hosts, t.hostHashes = slices.Clone(hosts), t.hostHashes[:0]
	for _, h := range hosts {
		t.hostHashes = append(t.hostHashes, hash(h.Instance))
	}
	t.hostsGeneration++
}

// Evacuate says which zones get nothing new. The upstreams of a zone that comes
// back count as cold until they say otherwise: nobody has asked them for a
// while, and their last account is older than that.
func (t *Table) SetEvacuatedZones(now time.Time, zones map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.byID {
		if t.evacuatedZones[w.Zone] && !zones[w.Zone] {
			w.coldUntil = now.Add(t.coldFor(w.Service))
		}
	}
	t.evacuatedZones = zones
}

func (t *Table) coldFor(service string) time.Duration {
	if s := t.service(service); s != nil {
		return s.ColdFor
	}
	return 0
}

func (t *Table) service(name string) *catalog.Service {
	if t.declared == nil {
		return nil
	}
	return t.declared.Service(name)
}

// Put takes an upstream's account of itself in, just written. It tells whether
// the account says anything new beside that the upstream lives.
func (t *Table) PutUpstream(now time.Time, u catalog.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.byID[u.ID]
	news := w == nil || w.Born != u.Born || w.State != u.State || w.Address != u.Address || w.Service != u.Service
	if w == nil {
		w = newUpstream(now, u, t.zones[u.Zone])
		t.byID[u.ID], t.byHash[uint32(w.id)] = w, w
		t.services[u.Service] = append(t.services[u.Service], w)
	} else {
		t.replace(now, w, u)
	}
	w.zonePath, w.senderGeneration = t.zonePathIndex(u.Zone), 0
	w.coldUntil = now.Add(u.ColdFor)
	// It is alive, and says itself whether it is cold.
	w.health.possibleRestartUntil = time.Time{}
	return news
}

func (t *Table) replace(now time.Time, w *upstream, u catalog.Upstream) {
	if w.Born != u.Born || w.Address != u.Address {
		t.dropHolders(w)
		w.reset(now)
	}
	if w.Service != u.Service {
		t.removeFromService(w)
		t.services[u.Service] = append(t.services[u.Service], w)
	}
	w.Upstream, w.region = u, t.zones[u.Zone]
}

// Remove forgets an upstream that is gone.
func (t *Table) RemoveUpstream(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.byID[id]
	if w == nil {
		return
	}
	delete(t.byID, id)
	if t.byHash[uint32(w.id)] == w {
		delete(t.byHash, uint32(w.id))
	}
	t.dropHolders(w)
	t.removeFromService(w)
}

func (t *Table) removeFromService(w *upstream) {
	list := t.services[w.Service]
	if i := slices.Index(list, w); i >= 0 {
		t.services[w.Service] = slices.Delete(list, i, i+1)
	}
}

// Size is the number of upstreams.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}

// Result is how a request at an upstream ended.
type Result int

// Results.
const (
	// Answered: an answer of its own came whole.
	Succeeded Result = iota
	// Failed: it answered that it failed.
	Failed
	// Shed: it refused without running the request.
	Shed
	// Lost: no usable answer came.
	NoResponse
	// Unreachable: no connection could be made.
	Unreachable
	// Left: the caller has left, or the time was up. It says nothing.
	Canceled
	// Misdirected: another upstream has the address now.
	Misdirected
)

// Report is what a request has shown of its upstream.
type Report struct {
	Result Result
	// Took is the time to the answer's header.
	TimeToHeader time.Duration
	// Connect is the part of it that a new connection took; 0: there was one.
	ConnectTime time.Duration
	Load        traffic.Load
	HasLoad     bool
	// ColdFor, if the upstream says it.
	ColdFor time.Duration
	// Bytes of the answer.
	ResponseBytes int
}

// Done ends a placement.
func (t *Table) Done(now time.Time, c Choice, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := c.upstream
	if r.HasLoad {
		w.load.observe(now, r.Load)
	}
	w.load.inflight--
	if r.ConnectTime > 0 {
		t.links.observeRTT(w.region, r.ConnectTime)
	}
	if r.ColdFor > 0 {
		w.coldUntil = now.Add(r.ColdFor)
	}
	switch r.Result {
	case Succeeded:
		w.health.recordSuccess()
		t.learn(now, c, r)
	case Failed:
		w.health.recordFailure()
	case NoResponse:
		w.health.recordNoResponse(now)
	case Unreachable:
		w.health.recordUnreachable(now)
		t.dropUnanswered(w, c.object)
	case Misdirected:
		t.dropUnanswered(w, c.object)
		// Its own entry will go; until then nobody is sent there.
		w.health.eject(now)
	case Shed:
		t.dropUnanswered(w, c.object)
	case Canceled:
	}
}

func (t *Table) learn(now time.Time, c Choice, r Report) {
	w := c.upstream
	if c.object != 0 {
		t.addHolder(w, c.object)
		w.markAnswered(now, c.object)
	}
	t.links.observeResponseBytes(c.route, r.ResponseBytes)
	// Only work that did not wait says how long work takes.
	queued := r.HasLoad && r.Load.Running+r.Load.Waiting >= r.Load.Slots
	if queued || c.cold {
		return
	}
	took := max(r.TimeToHeader-r.ConnectTime-t.links.roundTrip(w.region, w.Zone), time.Millisecond)
	route := getOrCreate(t.serviceTimes, c.route)
	if c.Warm || r.HasLoad {
		// Without a load report a wait cannot be told from cold work.
		route.observe(took, c.Warm)
	}
	if c.Warm {
		w.health.observeServiceTime(took, route.estimate(true))
		getOrCreate(t.queuedTimes, w.Service).observe(took)
	}
}

// getOrCreate returns what is known by name, which is nothing at first.
func getOrCreate[T any](known map[string]*T, name string) *T {
	x := known[name]
	if x == nil {
		x = new(T)
		known[name] = x
	}
	return x
}
