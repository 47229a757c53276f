package ctl

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"balsambarrow/internal/config"
	"balsambarrow/internal/jsonc"
	"balsambarrow/internal/operator"
)

// Timing of --wait.
const (
	defaultWait = 30 * time.Second
	waitEvery   = 200 * time.Millisecond
)

// NotConfirmedError reports that --wait ended before every host had confirmed
// that a version is in force.
type NotConfirmedError struct {
	Version uint64
	// Unconfirmed are the hosts that have not confirmed the version.
	Unconfirmed []operator.DaemonStatus
	// HostListIncomplete reports that the daemon could not read the host list,
	// so that hosts may exist that the daemon does not know.
	HostListIncomplete bool
}

func (e *NotConfirmedError) Error() string {
	text := fmt.Sprintf("version %d is accepted, but not confirmed everywhere", e.Version)
	if len(e.Unconfirmed) > 0 {
		text += "\nzones that have not confirmed: " + strings.Join(e.Zones(), ", ")
	}
	for _, d := range e.Unconfirmed {
		text += fmt.Sprintf("\n  %s (%s): %s, version %d, heard %s ago", d.Host, d.Zone, d.State, d.ConfigVersion, milliseconds(d.HeartbeatAgeMs))
	}
	if e.HostListIncomplete {
		text += "\nthe platform's host list cannot be read: there may be hosts that are not known"
	}
	return text
}

// Zones returns the sorted names of the zones of the unconfirmed hosts.
func (e *NotConfirmedError) Zones() []string {
	var zones []string
	for _, d := range e.Unconfirmed {
		zones = append(zones, d.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// change is one change on its way from a command to the fleet.
type change struct {
	base  uint64
	merge []byte
	// id is the change's id; "" stands for a new one.
	id   string
	wait waitFlags
}

// accepted is what a command prints of a change.
type accepted struct {
	Version    uint64 `json:"version"`
	Everywhere bool   `json:"everywhere,omitempty"`
}

// submit submits a change and waits for it, without printing.
func (e *env) submit(c change) (accepted, error) {
	if c.id == "" {
		c.id = uuid.NewString()
	}
	a, err := e.client().Submit(c.base, c.merge, c.id)
	if err != nil {
		return accepted{}, err
	}
	result := accepted{Version: a.Version}
	if c.wait.wait {
		err = e.waitFor(a.Version, c.wait.timeout)
		result.Everywhere = err == nil
	}
	return result, err
}

// submitAndShow submits a change and prints what became of it.
func (e *env) submitAndShow(c change) error {
	result, err := e.submit(c)
	if result.Version == 0 {
		return err
	}
	shown := e.show(result, result.text)
	if err != nil {
		return err
	}
	return shown
}

func (a accepted) text(w io.Writer) error {
	_, err := fmt.Fprintf(w, "version %d accepted\n", a.Version)
	if err == nil && a.Everywhere {
		_, err = fmt.Fprintf(w, "version %d in force everywhere\n", a.Version)
	}
	return err
}

// waitFor waits until every host that is listed or was heard has a version.
func (e *env) waitFor(version uint64, timeout time.Duration) error {
	for end := time.Now().Add(timeout); ; time.Sleep(waitEvery) {
		fleet, err := e.client().Fleet()
		if err == nil {
			err = missing(fleet, version)
		}
		if err == nil || time.Now().After(end) {
			return err
		}
	}
}

func missing(fleet operator.FleetResponse, version uint64) error {
	e := &NotConfirmedError{Version: version, HostListIncomplete: !fleet.Complete}
	for _, d := range fleet.Daemons {
		if d.ConfigVersion < version {
			e.Unconfirmed = append(e.Unconfirmed, d)
		}
	}
	if len(e.Unconfirmed) == 0 && !e.HostListIncomplete {
		return nil
	}
	return e
}

// check tries a patch on the current document, so that its faults come with
// the places in the operator's file.
func check(current operator.ConfigResponse, file *jsonc.Document) error {
	_, err := tryMerge(current, file.StandardJSON())
	var faults jsonc.Faults
	if !errors.As(err, &faults) {
		return err
	}
	placed := make(jsonc.Faults, len(faults))
	for i, f := range faults {
		placed[i] = file.FaultAt(f.Path, f.Problem)
	}
	return placed
}

func tryMerge(current operator.ConfigResponse, merge []byte) (*config.Config, error) {
	merged, err := config.Merge(current.Document, merge)
	if err != nil {
		return nil, err
	}
	return config.Parse("patched", merged)
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
