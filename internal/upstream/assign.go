package upstream

import (
	"github.com/cespare/xxhash/v2"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
)

// HandlerOf returns the instance that handles an upstream: the ready daemon
// of the upstream's zone with the highest rendezvous hash. If that zone has
// no ready daemon, daemons of its sibling zone are used. HandlerOf returns ""
// if there is none either.
func HandlerOf(c *config.Config, name string, ready []membership.Member) string {
	u := c.Upstreams[name]
	if instance := highestHash(name, u.Zone, ready); instance != "" {
		return instance
	}
	if sibling := c.Zones[u.Zone].Sibling; sibling != "" {
		return highestHash(name, sibling, ready)
	}
	return ""
}

func highestHash(name, zone string, ready []membership.Member) string {
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

// Assignment maps the upstreams to their handlers, as computed by one daemon.
type Assignment struct {
	// byInstance holds the upstreams of each handler by name.
	byInstance map[string]map[string]config.Upstream
	// slots holds the number of slots of each handler and service.
	slots map[instanceService]int
}

type instanceService struct{ instance, service string }

// Assign assigns every upstream to a handler by rendezvous hashing over the
// ready daemons. Daemons with the same list of ready daemons compute the same
// assignment without communication.
func Assign(c *config.Config, ready []membership.Member) *Assignment {
	a := &Assignment{byInstance: map[string]map[string]config.Upstream{}, slots: map[instanceService]int{}}
	for name, u := range c.Upstreams {
		instance := HandlerOf(c, name, ready)
		if instance == "" {
			continue
		}
		if a.byInstance[instance] == nil {
			a.byInstance[instance] = map[string]config.Upstream{}
		}
		a.byInstance[instance][name] = u
		if !plannedDrain(c, name).active {
			a.slots[instanceService{instance, u.Service}] += u.Slots
		}
	}
	return a
}

// UpstreamsOf returns the upstreams that an instance handles, by name.
func (a *Assignment) UpstreamsOf(instance string) map[string]config.Upstream {
	return a.byInstance[instance]
}

// Slots returns the number of slots of a service that an instance handles,
// excluding upstreams with a planned drain.
func (a *Assignment) Slots(instance, service string) int {
	return a.slots[instanceService{instance, service}]
}
