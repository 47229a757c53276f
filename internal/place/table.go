package place

import (
	"slices"
	"sync"
	"time"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/memory"
	"balsambarrow/internal/traffic"
)

// Host is an entry host that may send requests to cold upstreams.
type Host struct {
	Instance string
	Zone     string
	Region   string
}

// Table holds the upstreams and what this host has observed of them. It is safe for
// concurrent use.
type Table struct {
	self  Host
	zones map[string]string

	mu   sync.Mutex
	byID map[string]*upstream
	// byHash indexes the upstreams by the lower half of the hash of their ID.
	byHash map[uint32]*upstream
	// departed holds recently removed upstreams, by ID.
	departed       map[string]departed
	services       map[string][]*upstream
	catalog        *catalog.Catalog
	evacuatedZones map[string]bool
	// evacuationChangedAt is when the evacuation of a zone last began or ended.
	evacuationChangedAt map[string]time.Time
	// hosts are the ready hosts, hostHashes the hashes of their instances.
	// hostsGeneration is incremented with each change of them.
	hosts           []Host
	hostHashes      []uint64
	hostsGeneration uint64
	// regionHosts is the number of ready hosts of this region, at least 1.
	regionHosts int
	// holders lists, by object, the upstreams where the object may be warm.
	holders map[Object][]*upstream
	// querySequence is incremented for each request with an affinity key, keylessSequence
	// for each request without one.
	querySequence, keylessSequence uint64
	zonePaths                      []zonePath
	// scratch is the survey that is reused for each request.
	scratch      survey
	regionHash   uint64
	serviceTimes map[string]*serviceTime
	// slowdowns holds what is known of the services whose upstreams report a slowdown.
	slowdowns        map[string]*serviceSlowdown
	invalidSlowdowns int
	// queuedTimes is the mean service time by service, used for requests that wait in
	// queues.
	queuedTimes map[string]*mean
	queueLimits map[string]queueLimits
	links       linkCosts
	// sent are the requests of this host, and regionSent those of all hosts of its region, as far
	// as known. unreported is what has been added to sent since the last report, by region.
	sent, regionSent regionShares
	unreported       map[string]int
	excess           shiftExcess
	// maxShift limits how quickly requests move between regions.
	maxShift float64
	// bytesBound bounds the bytes that an upstream may hold from this host; 0: not bounded. crashes
	// holds what was learned of the upstreams of each service.
	bytesBound int64
	crashes    map[string]*memory.Crashes
	onCrash    func(CrashBound)
}

// NewTable returns an empty table of the entry host self. zones maps each zone to its
// region.
func NewTable(self Host, zones map[string]string) *Table {
	return &Table{
		self: self, zones: zones, byID: map[string]*upstream{}, byHash: map[uint32]*upstream{}, departed: map[string]departed{},
		services: map[string][]*upstream{}, evacuatedZones: map[string]bool{}, serviceTimes: map[string]*serviceTime{}, slowdowns: map[string]*serviceSlowdown{},
		queuedTimes: map[string]*mean{}, queueLimits: map[string]queueLimits{}, holders: map[Object][]*upstream{},
		crashes: map[string]*memory.Crashes{}, unreported: map[string]int{}, evacuationChangedAt: map[string]time.Time{}, links: newLinkCosts(self), regionHash: hash(self.Region), hostsGeneration: 1, regionHosts: 1, keylessSequence: hash(self.Instance),
	}
}

// SetCatalog applies a version of the configuration.
func (t *Table) SetCatalog(c *catalog.Catalog) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.catalog = c
}

// SetHosts sets the list of ready hosts, including this one if it is ready.
func (t *Table) SetHosts(hosts []Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(t.hosts, hosts) {
		return
	}
	t.hosts, t.hostHashes, t.regionHosts = slices.Clone(hosts), t.hostHashes[:0], 0
	for _, h := range hosts {
		t.hostHashes = append(t.hostHashes, hash(h.Instance))
		if h.Region == t.self.Region {
			t.regionHosts++
		}
	}
	t.regionHosts = max(t.regionHosts, 1)
	t.hostsGeneration++
}

// SetEvacuatedZones sets the zones that receive no new requests. The upstreams of a zone
// that returns count as cold until they report otherwise: they have received no requests
// for a while, and their last report dates from before the evacuation.
func (t *Table) SetEvacuatedZones(now time.Time, zones map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for zone := range t.zones {
		if t.evacuatedZones[zone] != zones[zone] {
			t.evacuationChangedAt[zone] = now
		}
	}
	for _, w := range t.byID {
		if t.evacuatedZones[w.Zone] && !zones[w.Zone] {
			w.coldUntil = now.Add(t.coldStart(w.Service))
		}
	}
	t.evacuatedZones = zones
}

func (t *Table) coldStart(service string) time.Duration {
	if s := t.service(service); s != nil {
		return s.ColdStart
	}
	return 0
}

func (t *Table) service(name string) *catalog.Service {
	if t.catalog == nil {
		return nil
	}
	return t.catalog.Service(name)
}

// PutUpstream adds or updates an upstream from a registration that was just written. It
// reports whether the upstream is new or has changed its start time, state, address or
// service. Most registrations only confirm that the upstream is alive.
func (t *Table) PutUpstream(now time.Time, u catalog.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.byID[u.ID]
	changed := w == nil || w.StartedMs != u.StartedMs || w.State != u.State || w.Address != u.Address || w.Service != u.Service
	if w == nil {
		w = newUpstream(now, u, t.zones[u.Zone])
		t.restoreAnnounced(w)
		t.byID[u.ID], t.byHash[uint32(w.idHash)] = w, w
		t.services[u.Service] = append(t.services[u.Service], w)
	} else {
		t.replace(now, w, u)
	}
	w.pathIndex, w.senderGeneration, w.ownerGeneration = t.zonePathIndex(u.Zone), 0, 0
	w.coldUntil = now.Add(u.ColdRemaining)
	// The registration shows that the upstream is alive and whether it is cold.
	w.health.possibleRestartUntil = time.Time{}
	return changed
}

func (t *Table) replace(now time.Time, w *upstream, u catalog.Upstream) {
	if w.StartedMs != u.StartedMs || w.Address != u.Address {
		t.dropHolders(w)
		t.recordCrash(now, w)
		w.reset(now)
	}
	if w.Service != u.Service {
		t.removeFromService(w)
		t.services[u.Service] = append(t.services[u.Service], w)
	}
	w.Upstream, w.region = u, t.zones[u.Zone]
}

// RemoveUpstream removes an upstream that has left.
func (t *Table) RemoveUpstream(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.byID[id]
	if w == nil {
		return
	}
	delete(t.byID, id)
	if t.byHash[uint32(w.idHash)] == w {
		delete(t.byHash, uint32(w.idHash))
	}
	t.dropHolders(w)
	t.removeFromService(w)
	t.keepAnnounced(now, w)
}

// Clear removes all upstreams and what they have announced.
func (t *Table) Clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.byID)
	clear(t.byHash)
	clear(t.departed)
	clear(t.services)
	clear(t.holders)
	t.scratch = survey{}
}

func (t *Table) removeFromService(w *upstream) {
	list := t.services[w.Service]
	if i := slices.Index(list, w); i >= 0 {
		t.services[w.Service] = slices.Delete(list, i, i+1)
	}
}

// Size returns the number of upstreams.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}

// Result is how a request to an upstream ended.
type Result int

// Results of a request.
const (
	// Succeeded: a complete response was received.
	Succeeded Result = iota
	// Failed: the upstream responded with a failure.
	Failed
	// Shed: the upstream rejected the request without running it.
	Shed
	// NoResponse: no usable response was received.
	NoResponse
	// Unreachable: no connection could be established.
	Unreachable
	// Canceled: the caller left or the deadline passed. It does not reflect on the
	// upstream's health.
	Canceled
	// PathDown: this host has no network path to the upstream. That does not reflect on the
	// upstream's health.
	PathDown
	// Misdirected: the address now belongs to another upstream.
	Misdirected
)

// Report describes what a request revealed about its upstream.
type Report struct {
	Result Result
	// TimeToHeader is the time until the response header was received.
	TimeToHeader time.Duration
	// ConnectTime is the part of TimeToHeader spent connecting; 0 if a connection was
	// reused.
	ConnectTime time.Duration
	// Relayed is set if the connection leads through another host.
	Relayed bool
	Load    traffic.Load
	HasLoad bool
	// SlowdownInvalid is set if the load includes a slowdown that cannot be used.
	SlowdownInvalid bool
	// ColdFor is how long the upstream stays cold; 0 if not reported.
	ColdFor time.Duration
	// ResponseBytes is the size of the response body.
	ResponseBytes int
}

// Done ends a choice and applies the report.
func (t *Table) Done(now time.Time, c Choice, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := c.upstream
	t.observeLoad(now, w, r)
	w.load.inflight--
	t.removeBytes(now, c, r.Result)
	if probed := t.instance(c); c.probe && probed != nil {
		probed.announced.pause.probing = false
	}
	if r.ConnectTime > 0 && !r.Relayed {
		t.links.observeRTT(w.region, r.ConnectTime)
	}
	if r.ColdFor > 0 {
		w.coldUntil = now.Add(r.ColdFor)
	}
	t.recordNotRun(now, c, r.Result)
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
	case PathDown:
		w.health.eject(now)
		t.dropUnanswered(w, c.object)
	case Misdirected:
		t.dropUnanswered(w, c.object)
		// The registration will be removed; until then, no requests are sent there.
		w.health.eject(now)
	case Shed:
		t.dropUnanswered(w, c.object)
	case Canceled:
	}
}

// observeLoad applies the load report of a response, if there is one.
func (t *Table) observeLoad(now time.Time, w *upstream, r Report) {
	if r.HasLoad {
		w.load.observe(now, r.Load)
	}
	t.observeSlowdown(now, w, r)
}

func (t *Table) learn(now time.Time, c Choice, r Report) {
	w := c.upstream
	if c.object != 0 {
		t.addHolder(w, c.object)
		w.markAnswered(now, c.object)
	}
	t.links.observeResponseBytes(c.route, r.ResponseBytes)
	// Only requests that did not wait in a queue show the service time.
	queued := r.HasLoad && r.Load.Running+r.Load.Waiting >= r.Load.Slots
	if queued || c.cold {
		return
	}
	took := max(r.TimeToHeader-r.ConnectTime-t.links.roundTrip(w.region, w.Zone), time.Millisecond)
	took = time.Duration(float64(took) / t.slowdowns[w.Service].during(now, &w.slowdown, c.Known.ExpectedSlowdown, took))
	route := getOrCreate(t.serviceTimes, c.route)
	if c.Warm || r.HasLoad {
		// Without a load report, queueing delay cannot be distinguished from cold work.
		route.observe(took, c.Warm)
	}
	if c.Warm {
		w.health.observeServiceTime(took, route.estimate(true))
		getOrCreate(t.queuedTimes, w.Service).observe(took)
	}
}

// getOrCreate returns the entry of the given name, which is created if missing.
func getOrCreate[T any](known map[string]*T, name string) *T {
	x := known[name]
	if x == nil {
		x = new(T)
		known[name] = x
	}
	return x
}
