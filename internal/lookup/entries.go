package lookup

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/posting"
)

const (
	// TTL is how long a caller may keep an answer. A leaving host waits as
	// long before it stops taking connections.
	TTL = 5 * time.Second
	// MaxEntries bounds the hosts in one answer: enough for a caller to go on
	// when a whole zone fails within the TTL.
	MaxEntries = 8
	// FullLoad is the load from which a host is left out while others have
	// room; the rest is for callers that hold older answers.
	FullLoad = 0.9
)

// Entry is one entry host in an answer.
type Entry struct {
	Address       string `json:"address"`
	Zone          string `json:"zone"`
	Instance      string `json:"instance"`
	PostingPrefix string `json:"posting_prefix"`
}

// Response is the body of GET /v1/entries.
type Response struct {
	Version uint64  `json:"version"`
	TTLMs   int64   `json:"ttl_ms"`
	Entries []Entry `json:"entries"`
}

// Directory holds the hosts that may be given out, by zone. It is immutable.
type Directory struct {
	version uint64
	index   *Index
	zones   map[string][]host
	// all holds the hosts of every zone, for callers of no block.
	all []host
	// region groups the zones, for callers whose near zones have no host.
	regionOf map[string]string
	regions  map[string][]host
}

type host struct {
	entry Entry
	// weight is the host's free part, above 0.
	weight float64
}

// NewDirectory lists the ready members, without drained and full hosts; if
// all are full, all are listed, since an answer without hosts helps nobody.
func NewDirectory(a *config.Active, index *Index, ready []membership.Member) *Directory {
	d := &Directory{
		version: a.Version, index: index, zones: map[string][]host{},
		regionOf: map[string]string{}, regions: map[string][]host{},
	}
	drained := drainedHosts(a.Config)
	for _, full := range []bool{false, true} {
		for _, m := range ready {
			if (m.Load >= FullLoad) == full && !drained[m.Host] {
				d.add(a, m)
			}
		}
		if len(d.all) > 0 {
			break
		}
	}
	return d
}

func drainedHosts(c *config.Config) map[string]bool {
	drained := map[string]bool{}
	for _, dr := range c.Drains {
		if dr.Kind == config.DrainHost {
			drained[dr.Target] = true
		}
	}
	return drained
}

const leastWeight = 0.05

func (d *Directory) add(a *config.Active, m membership.Member) {
	h := host{
		weight: max(1-m.Load, leastWeight),
		entry: Entry{
			Address: m.CallerAddress, Zone: m.Zone, Instance: m.Instance,
			PostingPrefix: posting.Prefix(m.Instance, m.PostingEpoch),
		},
	}
	region := a.Region(m.Zone)
	d.regionOf[m.Zone] = region
	d.zones[m.Zone] = append(d.zones[m.Zone], h)
	d.regions[region] = append(d.regions[region], h)
	d.all = append(d.all, h)
}

// Entries answers a caller: the hosts of its near zones in their order, then
// of their regions, then of all others; within each spread by weight.
func (d *Directory) Entries(caller netip.Addr, rng *rand.Rand) Response {
	p := picker{rng: rng, entries: make([]Entry, 0, MaxEntries)}
	near := d.index.NearestZones(caller)
	for _, zone := range near {
		p.take(d.zones[zone])
	}
	for _, zone := range near {
		p.take(d.regions[d.regionOf[zone]])
	}
	p.take(d.all)
	return Response{Version: d.version, TTLMs: TTL.Milliseconds(), Entries: p.entries}
}

// picker collects entries without repeating one.
type picker struct {
	rng     *rand.Rand
	entries []Entry
}

// tries bounds the draws for one place: enough for the weights to show, few
// enough that a large group costs no more than a small one.
const tries = 4

// take adds hosts of a group until the answer is full or the group is used up.
// It walks the group from a random start and passes a loaded host over with
// the probability of its load.
func (p *picker) take(group []host) {
	n := len(group)
	if n == 0 || len(p.entries) == MaxEntries {
		return
	}
	start := p.rng.IntN(n)
	for _, second := range []bool{false, true} {
		for i := 0; i < n && i < MaxEntries*tries && len(p.entries) < MaxEntries; i++ {
			h := &group[(start+i)%n]
			if !second && p.rng.Float64() > h.weight {
				continue
			}
			p.add(&h.entry)
		}
	}
}

func (p *picker) add(e *Entry) {
	for i := range p.entries {
		if p.entries[i].Instance == e.Instance {
			return
		}
	}
	p.entries = append(p.entries, *e)
}
