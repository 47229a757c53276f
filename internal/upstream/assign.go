package upstream

import (
	"github.com/cespare/xxhash/v2"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
)

// HandlerOf returns the instance that handles an upstream: the ready daemon
// of the upstream's zone with the highest rendezvous hash, or of the zone's
// sibling where the zone has none. "" means that nobody does.
func HandlerOf(c *config.Config, name string, ready []membership.Member) string {
	u := c.Upstreams[name]
	if in := highest(name, u.Zone, ready); in != "" {
		return in
	}
	if sibling := c.Zones[u.Zone].Sibling; sibling != "" {
		return highest(name, sibling, ready)
	}
	return ""
}

func highest(name, zone string, ready []membership.Member) string {
	best, bestHash := "", uint64(0)
	for _, m := range ready {
		if m.Zone != zone {
			continue
		}
		if h := xxhash.Sum64String(name + "\x00" + m.Instance); best == "" || h > bestHash {
			best, bestHash = m.Instance, h
		}
	}
	return best
}

// Assignment says which daemon handles which upstreams, as one daemon sees it.
type Assignment struct {
	// byInstance holds each handler's upstreams by name.
	byInstance map[string]map[string]config.Upstream
	// slots holds each handler's slots of each service.
	slots map[handled]int
}

type handled struct{ instance, service string }

// Assign gives every upstream its handler by rendezvous hashing over the ready
// daemons. Daemons that know the same ready ones agree without a message.
func Assign(c *config.Config, ready []membership.Member) *Assignment {
	a := &Assignment{byInstance: map[string]map[string]config.Upstream{}, slots: map[handled]int{}}
	for name, u := range c.Upstreams {
		instance := HandlerOf(c, name, ready)
		if instance == "" {
			continue
		}
		if a.byInstance[instance] == nil {
			a.byInstance[instance] = map[string]config.Upstream{}
		}
		a.byInstance[instance][name] = u
		if !planOf(c, name).active {
			a.slots[handled{instance, u.Service}] += u.Slots
		}
	}
	return a
}

// UpstreamsOf returns the upstreams that an instance handles, by name.
func (a *Assignment) UpstreamsOf(instance string) map[string]config.Upstream {
	return a.byInstance[instance]
}

// Slots returns how many slots of a service an instance handles, without those
// of upstreams that are drained.
func (a *Assignment) Slots(instance, service string) int { return a.slots[handled{instance, service}] }
