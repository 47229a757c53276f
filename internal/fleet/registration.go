package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/standby"
)

// Registration is the entry that a host writes into the store.
type Registration struct {
	Instance string  `json:"instance"`
	Host     string  `json:"host"`
	Zone     string  `json:"zone"`
	Region   string  `json:"region"`
	Peers    string  `json:"peers"`
	Cores    float64 `json:"cores,omitempty"`
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// StartedMs is the start time of the instance, in Unix milliseconds of its own clock.
	// Of two registrations of a host, the instance that started earlier has ended.
	StartedMs int64 `json:"started_ms,omitempty"`
	// HoldsShares reports whether the host holds shares of customers' rates.
	HoldsShares bool `json:"spends,omitempty"`
}

const (
	// maxCores and maxLinkMbps are the largest capacities that are accepted.
	maxCores    = 1e5
	maxLinkMbps = 1e8
	// maxStartedMs is the latest start time that is accepted: the largest number that JSON encodes exactly.
	maxStartedMs = 1<<53 - 1
)

// RegistrationError means that the registration of a host cannot be used.
type RegistrationError struct {
	Instance string
	Cause    error
}

func (e *RegistrationError) Error() string {
	return fmt.Sprintf("fleet: registration of %s: %v", e.Instance, e.Cause)
}

// Unwrap returns the cause.
func (e *RegistrationError) Unwrap() error { return e.Cause }

// DecodeRegistration decodes the registration of an instance. The error is a *RegistrationError.
func DecodeRegistration(instance string, value []byte) (Registration, error) {
	var r Registration
	err := json.Unmarshal(value, &r)
	if err == nil {
		err = r.check(instance)
	}
	if err != nil {
		return Registration{}, &RegistrationError{instance, err}
	}
	return r, nil
}

func (r Registration) check(instance string) error {
	address, err := netip.ParseAddrPort(r.Peers)
	switch {
	case r.Instance == "" || r.Instance != instance:
		return errors.Errorf("names the instance %q", r.Instance)
	case r.Peers != "" && (err != nil || address.Port() == 0 || address.Addr().IsUnspecified()):
		return errors.Errorf("address %q names no host", r.Peers)
	case r.Cores < 0 || r.Cores > maxCores || r.LinkMbps < 0 || r.LinkMbps > maxLinkMbps:
		return errors.Errorf("invalid capacity: %g cores, %g Mbit/s", r.Cores, r.LinkMbps)
	case r.StartedMs < 0 || r.StartedMs > maxStartedMs:
		return errors.Errorf("invalid start time %d", r.StartedMs)
	}
	return nil
}

func (r Registration) capacity() standby.Capacity {
	return standby.Capacity{Cores: r.Cores, LinkMbps: r.LinkMbps}
}

// ApplyRegistrations updates the members from the registrations in the store. It ignores
// the registrations of earlier instances of this host, and of hosts that have sent heartbeats
// from another instance: those daemons have ended.
func (m *Members) ApplyRegistrations(now time.Time, list []Registration) {
	listed := m.latestByInstance(list)
	for instance, r := range listed {
		k := m.byInstance[instance]
		if k == nil {
			k = &Member{
				Instance: instance, Host: r.Host, Zone: r.Zone, Region: r.Region, PeerAddress: r.Peers,
				Capacity: r.capacity(), lastHeartbeat: now.Add(-unregisteredTTL),
			}
			m.byInstance[instance] = k
			m.generation++
		}
		k.holdsShares = r.HoldsShares
	}
	for id, k := range m.byInstance {
		if _, ok := listed[id]; k.registered != ok {
			k.registered = ok
			m.generation++
		}
	}
}

// latestByInstance returns the registration of the last instance of each other host, by
// instance.
func (m *Members) latestByInstance(list []Registration) map[string]Registration {
	instances := m.instancesByHost()
	byHost := make(map[string]Registration, len(list))
	for _, r := range list {
		if r.Instance == m.self || r.Host == m.host {
			continue
		}
		if instance, ok := instances[r.Host]; ok && instance != r.Instance {
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

// instancesByHost returns, by host, the instances from which heartbeats have been
// received.
func (m *Members) instancesByHost() map[string]string {
	out := make(map[string]string, len(m.byInstance))
	for id, k := range m.byInstance {
		if k.sequence > 0 {
			out[k.Host] = id
		}
	}
	return out
}
