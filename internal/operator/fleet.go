package operator

import (
	"net/http"
	"time"

	"balsambarrow/internal/membership"
	"balsambarrow/internal/view"
)

// hostListMaxAge is the age up to which the host list counts as current. It
// covers three reads by the daemon, so that one read may be slow and one may
// fail.
const hostListMaxAge = 10 * time.Second

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
	writeJSON(w, http.StatusOK, newFleetResponse(s.View.Load(), time.Now()))
}

func newFleetResponse(snap *view.Snapshot, now time.Time) FleetResponse {
	response := FleetResponse{
		SeenBy: snap.Self.Instance, Version: snap.Self.ConfigVersion,
		Complete: !snap.Fleet.ListedAt.IsZero() && now.Sub(snap.Fleet.ListedAt) <= hostListMaxAge,
		Daemons:  []DaemonStatus{memberStatus(snap.Self, now)},
	}
	response.Daemons[0].Listed = true
	for _, h := range snap.Fleet.Hosts {
		response.Daemons = append(response.Daemons, hostStatus(h, now))
	}
	return response
}

func memberStatus(m membership.Member, now time.Time) DaemonStatus {
	return DaemonStatus{
		Instance: m.Instance, Host: m.Host, Zone: m.Zone, State: m.State,
		ConfigVersion: m.ConfigVersion, ConfigRejected: m.ConfigRejected,
		Slots: m.Slots, WatchesStore: m.WatchesStore, ConfirmedAgeMs: ageMillis(m.ConfirmedAt, now),
	}
}

func hostStatus(h view.Host, now time.Time) DaemonStatus {
	d := memberStatus(h.LastReport, now)
	d.Host, d.Zone, d.Listed = h.Name, h.Zone, h.Listed
	d.HeartbeatAgeMs = ageMillis(h.LastReport.HeartbeatAt, now)
	if d.HeartbeatAgeMs < 0 {
		d.HeartbeatAgeMs = ageMillis(h.KnownSince, now)
	}
	if h.LastReport.Instance == "" || now.Sub(h.LastReport.HeartbeatAt) > membership.MemberTimeout {
		d.State, d.Slots, d.WatchesStore = StateUnresponsive, nil, false
	}
	return d
}

// ageMillis returns the time from t to now in milliseconds, or -1 if t is zero
// (unknown).
func ageMillis(t, now time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}
