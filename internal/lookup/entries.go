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
	// TTL is how long a caller may cache a response. A leaving host continues
	// to accept connections for this long.
	TTL = 5 * time.Second
	// MaxEntries limits the hosts in one response. It is large enough for a
	// caller to continue when a whole zone fails within the TTL.
	MaxEntries = 8
	// FullLoad is the load from which a host is left out while others have
	// capacity. The remaining capacity is for callers that use cached
	// responses.
	FullLoad = 0.9
)

// Entry is one entry host in a response.
type Entry struct {
	Address       string `json:"address"`
	Zone          string `json:"zone"`
	Instance      string `json:"instance"`
	PostingPrefix string `json:"posting_prefix"`
}

// Response is the body of the response to GET /v1/entries.
type Response struct {
	Version uint64  `json:"version"`
	TTLMs   int64   `json:"ttl_ms"`
	Entries []Entry `json:"entries"`
}

// Directory contains the hosts that may be returned, by zone. It is immutable.
type Directory struct {
	version uint64
	index   *Index
	zones   map[string][]host
	// all contains the hosts of every zone, for callers outside all client
	// blocks.
	all []host
	// regionOf maps zones to regions, and regions contains the hosts by region.
	// They are used for callers whose nearest zones have too few hosts.
	regionOf map[string]string
	regions  map[string][]host
}

type host struct {
	entry Entry
	// weight is the free fraction of the host's capacity, at least minWeight.
	weight float64
}

// NewDirectory returns a directory of the ready members without drained and
// full hosts. If all hosts are full, it contains all of them, because an empty
// response would leave callers without any host.
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

// minWeight is the weight of a host without free capacity.
const minWeight = 0.05

func (d *Directory) add(a *config.Active, m membership.Member) {
	h := host{
		weight: max(1-m.Load, minWeight),
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

// Entries returns the hosts for a caller: those of its nearest zones in order,
// then those of the regions of these zones, then all others. Within each group,
// hosts are chosen at random by weight.
func (d *Directory) Entries(caller netip.Addr, rng *rand.Rand) Response {
	s := selection{rng: rng, entries: make([]Entry, 0, MaxEntries)}
	zones := d.index.NearestZones(caller)
	for _, zone := range zones {
		s.addGroup(d.zones[zone])
	}
	for _, zone := range zones {
		s.addGroup(d.regions[d.regionOf[zone]])
	}
	s.addGroup(d.all)
	return Response{Version: d.version, TTLMs: TTL.Milliseconds(), Entries: s.entries}
}

// selection collects entries without duplicates.
type selection struct {
	rng     *rand.Rand
	entries []Entry
}

// drawsPerEntry limits the number of hosts considered for each entry. It is
// large enough for the weights to take effect, and small enough that a large
// group costs no more than a small one.
const drawsPerEntry = 4

// addGroup adds hosts of a group until the response is full or the group is
// exhausted. It iterates over the group from a random start and skips each host
// with a probability equal to its load. A second pass does not skip any.
func (s *selection) addGroup(group []host) {
	n := len(group)
	if n == 0 || len(s.entries) == MaxEntries {
		return
	}
	start := s.rng.IntN(n)
	for _, ignoreWeight := range []bool{false, true} {
		for i := 0; i < n && i < MaxEntries*drawsPerEntry && len(s.entries) < MaxEntries; i++ {
			h := &group[(start+i)%n]
			if !ignoreWeight && s.rng.Float64() > h.weight {
				continue
			}
			s.add(&h.entry)
		}
	}
}

func (s *selection) add(e *Entry) {
	for i := range s.entries {
		if s.entries[i].Instance == e.Instance {
			return
		}
	}
	s.entries = append(s.entries, *e)
}
