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

// StateSilent is the state of a host that is listed but has not been heard of
// lately.
const StateSilent membership.State = "silent"

// DaemonStatus is one host in GET /v1/fleet.
type DaemonStatus struct {
	// Instance is "" where the host was never heard.
	Instance string           `json:"instance,omitempty"`
	Host     string           `json:"host"`
	Zone     string           `json:"zone"`
	State    membership.State `json:"state"`
	// ConfigVersion is the version in force when the host was last heard.
	ConfigVersion uint64 `json:"config_version"`
	// ConfigRejected is a higher version that the daemon cannot read.
	ConfigRejected uint64 `json:"config_rejected,omitempty"`
	Slots          []int  `json:"slots"`
	Watches        bool   `json:"watches"`
	// ConfirmedMs is how long ago its version was known to be the store's;
	// -1: not known.
	ConfirmedMs int64 `json:"confirmed_ms"`
	// HeardMs is how long ago the host was heard; where it never was, how
	// long it has been listed.
	HeardMs int64 `json:"heard_ms"`
	// Listed says that the platform's host list has the host.
	Listed bool `json:"listed"`
}

// FleetAnswer is the body of GET /v1/fleet.
type FleetAnswer struct {
	// Seen is the daemon that answers; the rest is what it has heard.
	Seen    string `json:"seen_by"`
	Version uint64 `json:"version"`
	// Complete says that the host list was read lately, so that no host of it
	// can be missing from Daemons.
	Complete bool           `json:"complete"`
	Daemons  []DaemonStatus `json:"daemons"`
}

func (s *Server) getFleet(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, fleetOf(s.View.Load(), time.Now()))
}

func fleetOf(snap *view.Snapshot, now time.Time) FleetAnswer {
	out := FleetAnswer{
		Seen: snap.Self.Instance, Version: snap.Self.ConfigVersion,
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
		Slots: m.Slots, Watches: m.WatchesStore, ConfirmedMs: age(m.ConfirmedAt, now),
	}
}

func hostStatus(h view.Host, now time.Time) DaemonStatus {
	d := statusOf(h.LastReport, now)
	d.Host, d.Zone, d.Listed = h.Name, h.Zone, h.Listed
	d.HeardMs = age(h.LastReport.HeartbeatAt, now)
	if d.HeardMs < 0 {
		d.HeardMs = age(h.KnownSince, now)
	}
	if h.LastReport.Instance == "" || now.Sub(h.LastReport.HeartbeatAt) > membership.MemberTimeout {
		d.State, d.Slots, d.Watches = StateSilent, nil, false
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
