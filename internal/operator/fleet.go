package operator

import (
	"net/http"
	"time"

	"balsambarrow/internal/membership"
	"balsambarrow/internal/view"
)

// listFresh is the age up to which the host list counts as read: three of the
// daemon's readings, one of which may be slow and one lost.
const listFresh = 10 * time.Second

// StateUnresponsive is the reported state of a known host whose last heartbeat
// is older than the member timeout, or that has sent none.
const StateUnresponsive membership.State = "silent"

// DaemonStatus is the state of one host in GET /v1/fleet.
type DaemonStatus struct {
	// Instance is empty if no heartbeat was received from the host.
	Instance string           `json:"instance,omitempty"`
	Host     string           `json:"host"`
	Zone     string           `json:"zone"`
	State    membership.State `json:"state"`
	// ConfigVersion is the configuration version that the host's last
	// heartbeat reported as in force.
	ConfigVersion uint64 `json:"config_version"`
	// ConfigRejected is a higher version that the host's daemon cannot read.
	ConfigRejected uint64 `json:"config_rejected,omitempty"`
	Slots          []int  `json:"slots"`
	WatchesStore   bool   `json:"watches"`
	// ConfirmedAgeMs is the time since the host last confirmed that its
	// version was the stored one, or -1 if unknown.
	ConfirmedAgeMs int64 `json:"confirmed_ms"`
	// HeartbeatAgeMs is the time since the host's last heartbeat. For a host
	// that has sent none, it is the time since the host was first known.
	HeartbeatAgeMs int64 `json:"heard_ms"`
	// Listed reports whether the platform's host list contains the host.
	Listed bool `json:"listed"`
}

// FleetResponse is the body of GET /v1/fleet.
type FleetResponse struct {
	// SeenBy is the instance of the daemon that sends the response. The other
	// fields are this daemon's view of the fleet.
	SeenBy  string `json:"seen_by"`
	Version uint64 `json:"version"`
	// Complete reports whether the host list was read recently, so that
	// Daemons includes every listed host.
	Complete bool           `json:"complete"`
	Daemons  []DaemonStatus `json:"daemons"`
}

func (s *Server) getFleet(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, fleetOf(s.View.Load(), time.Now()))
}

func fleetOf(snap *view.Snapshot, now time.Time) FleetResponse {
	out := FleetResponse{
		SeenBy: snap.Self.Instance, Version: snap.Self.ConfigVersion,
		Complete: !snap.Fleet.ListedAt.IsZero() && now.Sub(snap.Fleet.ListedAt) <= listFresh,
		Daemons:  []DaemonStatus{statusOf(snap.Self, now)},
	}
	out.Daemons[0].Listed = true
	for _, h := range snap.Fleet.Hosts {
		out.Daemons = append(out.Daemons, hostStatus(h, now))
	}
	return out
}

func statusOf(m membership.Member, now time.Time) DaemonStatus {
	return DaemonStatus{
		Instance: m.Instance, Host: m.Host, Zone: m.Zone, State: m.State,
		ConfigVersion: m.ConfigVersion, ConfigRejected: m.ConfigRejected,
		Slots: m.Slots, WatchesStore: m.Watches, ConfirmedAgeMs: age(m.ConfirmedAt, now),
	}
}

func hostStatus(h view.Host, now time.Time) DaemonStatus {
	d := statusOf(h.LastReport, now)
	d.Host, d.Zone, d.Listed = h.Name, h.Zone, h.Listed
	d.HeartbeatAgeMs = age(h.LastReport.HeardAt, now)
	if d.HeartbeatAgeMs < 0 {
		d.HeartbeatAgeMs = age(h.KnownSince, now)
	}
	if h.LastReport.Instance == "" || now.Sub(h.LastReport.HeardAt) > membership.GoneAfter {
		d.State, d.Slots, d.WatchesStore = StateUnresponsive, nil, false
	}
	return d
}

// age in milliseconds; -1 where the time is not known.
func age(t, now time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}
