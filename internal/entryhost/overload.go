package entryhost

import (
	"balsambarrow/internal/jsonc"
	"balsambarrow/platform"
)

// Overload switches the features for deployments with more demand than room.
type Overload struct {
	// Sharing makes the hosts share the room of each upstream.
	Sharing Mode `json:"sharing"`
	// Queue makes requests that find no room wait at the host.
	Queue Mode `json:"queue"`
}

// Mode is whether a feature applies to a service.
type Mode string

// Modes.
const (
	// ModeAuto applies a feature to services whose upstreams report a slowdown, and to all services
	// if the platform's service agreement says to expect overload. It is the default.
	ModeAuto Mode = "auto"
	ModeOn   Mode = "on"
	ModeOff  Mode = "off"
)

func (o *Overload) applyDefaults() {
	for _, m := range []*Mode{&o.Sharing, &o.Queue} {
		if *m == "" {
			*m = ModeAuto
		}
	}
}

func (o *Overload) faults(doc *jsonc.Document) jsonc.Faults {
	var faults jsonc.Faults
	for _, f := range []struct {
		path string
		mode Mode
	}{
		{"/overload/sharing", o.Sharing},
		{"/overload/queue", o.Queue},
	} {
		if f.mode != ModeAuto && f.mode != ModeOn && f.mode != ModeOff {
			faults = append(faults, doc.FaultAt(f.path, "want auto, on or off"))
		}
	}
	return faults
}

// applies reports whether a feature applies to a service.
func (d *Daemon) applies(m Mode, service string) bool {
	if m != ModeAuto {
		return m == ModeOn
	}
	return platform.ExpectsOverload(d.settings.Load().Agreement) || d.table.ReportsSlowdown(service)
}
