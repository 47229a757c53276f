package fleet

import (
	"time"

	"balsambarrow/internal/standby"
)

// Registration is what a host writes into the store.
type Registration struct {
	Instance string  `json:"instance"`
	Host     string  `json:"host"`
	Zone     string  `json:"zone"`
	Region   string  `json:"region"`
	Peers    string  `json:"peers"`
	Cores    float64 `json:"cores,omitempty"`
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// StartedMs is when the instance started, by its own clock. Of two registrations of
	// a host, the one that started earlier has ended.
	StartedMs int64 `json:"started_ms,omitempty"`
	// Spends says that the host holds shares of customers' rates.
	HoldsShares bool `json:"spends,omitempty"`
}

func (r Registration) capacity() standby.Capacity {
	return standby.Capacity{Cores: r.Cores, LinkMbps: r.LinkMbps}
}

// List takes the registrations in the store over. One of an earlier instance of
// this host or of a host that is heard again is of a daemon that has ended.
func (m *Members) ApplyRegistrations(now time.Time, list []Registration) {
	listed := m.latest(list)
	for instance, r := range listed {
		k := m.by[instance]
		if k == nil {
			k = &Member{
				Instance: instance, Host: r.Host, Zone: r.Zone, Region: r.Region, PeerAddress: r.Peers,
				Capacity: r.capacity(), heard: now.Add(-rememberFor),
			}
			m.by[instance] = k
			m.generation++
		}
		k.spends = r.HoldsShares
	}
	for id, k := range m.by {
		if _, ok := listed[id]; k.registered != ok {
			k.registered = ok
			m.generation++
		}
	}
}

// latest is the registration of the last instance of each other host, by instance.
func (m *Members) latest(list []Registration) map[string]Registration {
	heard := m.heardByHost()
	byHost := make(map[string]Registration, len(list))
	for _, r := range list {
		if r.Instance == m.self || r.Host == m.host {
			continue
		}
		if instance, ok := heard[r.Host]; ok && instance != r.Instance {
			continue
		}
		if known, ok := byHost[r.Host]; !ok || r.StartedMs > known.StartedMs {
			byHost[r.Host] = r
		}
	}
	out := make(map[string]Registration, len(byHost))
	for _, r := range byHost {
		out[r.Instance] = r
	}
	return out
}

// heardByHost is the instance of each host that has been heard.
func (m *Members) heardByHost() map[string]string {
	out := make(map[string]string, len(m.by))
	for id, k := range m.by {
		if k.sequence > 0 {
			out[k.Host] = id
		}
	}
	return out
}
