package entryhost

import (
	"context"
	"time"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/suspect"
)

// suspects shares with the other hosts under which requests upstreams have ended.
type suspects struct {
	d       *Daemon
	tracker *suspect.Tracker
	// changed receives a value when other hosts should learn of a change.
	changed chan struct{}
}

func newSuspects(d *Daemon) *suspects {
	s := &suspects{d: d, changed: make(chan struct{}, 1)}
	s.tracker = suspect.NewTracker(func() {
		select {
		case s.changed <- struct{}{}:
		default:
		}
	})
	s.trust(d.settings.Load())
	return s
}

// trust lets the requests pass that the settings exempt.
func (s *suspects) trust(settings *Settings) {
	trusted := make([]suspect.Fingerprint, 0, len(settings.TrustedRequests))
	for _, text := range settings.TrustedRequests {
		// The settings have been validated.
		if f, err := suspect.ParseFingerprint(text); err == nil {
			trusted = append(trusted, f)
		}
	}
	s.tracker.SetTrusted(trusted)
}

// announce sends each change to the other active hosts at once: callers repeat a request within some
// tens of milliseconds, at any host.
func (s *suspects) announce(ctx context.Context) {
	for {
		select {
		case <-s.changed:
		case <-ctx.Done():
			return
		}
		for reports := s.tracker.Changes(s.d.now()); len(reports) > 0; reports = s.tracker.Changes(s.d.now()) {
			s.send(&fleet.SuspectReports{Reports: encodeSuspects(reports)})
		}
	}
}

func (s *suspects) send(reports *fleet.SuspectReports) {
	packet := &fleet.Packet{Content: &fleet.Packet_SuspectReports{SuspectReports: reports}}
	for _, m := range s.d.directory.Load().peers {
		if !m.Ready {
			continue // it learns of suspects with its next summary
		}
		if err := s.d.transport.SendPacket(packet, m.PeerAddress); err != nil {
			s.d.events.Debug("suspects not sent", "peer", m.Host, "error", err)
		}
	}
}

// handlePacket applies the reports of a peer. It reports whether the packet holds any.
func (s *suspects) handlePacket(p *fleet.Packet, from string) bool {
	reports := p.GetSuspectReports()
	if reports == nil {
		return false
	}
	s.apply(reports.Reports, from)
	return true
}

// apply applies reports. from is the address of the host that they describe.
func (s *suspects) apply(reports []*fleet.SuspectReport, from string) {
	if len(reports) == 0 {
		return
	}
	for _, change := range s.tracker.Apply(s.d.now(), from, decodeSuspects(reports)) {
		s.d.events.Info("suspect request", "request", change.Fingerprint, "ends", change.Ends, "source", from)
	}
}

func encodeSuspects(reports []suspect.Report) []*fleet.SuspectReport {
	out := make([]*fleet.SuspectReport, 0, len(reports))
	for _, r := range reports {
		out = append(out, &fleet.SuspectReport{
			Fingerprint: uint64(r.Fingerprint), Ended: r.Ended, Cleared: r.Cleared, LastEndAgeMs: uint32(r.LastEndAge.Milliseconds()),
			Repeated: r.Repeated, InFlight: uint32(r.InFlight), InFlightMs: uint32(max(r.InFlightFor, 0).Milliseconds()),
			InFlightAt: r.InFlightAt,
		})
	}
	return out
}

func decodeSuspects(reports []*fleet.SuspectReport) []suspect.Report {
	out := make([]suspect.Report, 0, len(reports))
	for _, r := range reports {
		out = append(out, suspect.Report{
			Fingerprint: suspect.Fingerprint(r.Fingerprint), Ended: r.Ended, Cleared: r.Cleared,
			LastEndAge: time.Duration(r.LastEndAgeMs) * time.Millisecond, Repeated: r.Repeated,
			InFlight: int(r.InFlight), InFlightFor: time.Duration(r.InFlightMs) * time.Millisecond,
			InFlightAt: r.InFlightAt,
		})
	}
	return out
}
