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

// Default timeout and polling interval of --wait.
const (
	defaultWaitTimeout = 30 * time.Second
	fleetPollInterval  = 200 * time.Millisecond
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
		text += fmt.Sprintf("\n  %s (%s): %s, version %d, no heartbeat for %s", d.Host, d.Zone, d.State, d.ConfigVersion, fromMillis(d.HeartbeatAgeMs))
	}
	if e.HostListIncomplete {
		text += "\nthe platform's host list cannot be read: some hosts may be missing here"
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

// submission is a configuration change that a command submits.
type submission struct {
	base  uint64
	merge []byte
	// id is the change id. If it is empty, a new id is generated.
	id   string
	wait waitFlags
}

// submitResult is the printed result of a submitted change.
type submitResult struct {
	Version    uint64 `json:"version"`
	Everywhere bool   `json:"everywhere,omitempty"`
}

// submit submits a change and, with --wait, waits until every host has confirmed
// it. It prints nothing.
func (e *commandEnv) submit(change submission) (submitResult, error) {
	if change.id == "" {
		change.id = uuid.NewString()
	}
	response, err := e.client().Submit(change.base, change.merge, change.id)
	if err != nil {
		return submitResult{}, err
	}
	result := submitResult{Version: response.Version}
	if change.wait.wait {
		err = e.waitUntilConfirmed(response.Version, change.wait.timeout)
		result.Everywhere = err == nil
	}
	return result, err
}

// submitAndPrint submits a change and prints its result.
func (e *commandEnv) submitAndPrint(change submission) error {
	result, err := e.submit(change)
	if result.Version == 0 {
		return err
	}
	printErr := e.printOutput(result, result.writeText)
	if err != nil {
		return err
	}
	return printErr
}

func (r submitResult) writeText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "version %d accepted\n", r.Version)
	if err == nil && r.Everywhere {
		_, err = fmt.Fprintf(w, "version %d in force everywhere\n", r.Version)
	}
	return err
}

// waitUntilConfirmed waits until every host that is in the host list or known from
// heartbeats has reported at least a version.
func (e *commandEnv) waitUntilConfirmed(version uint64, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(fleetPollInterval) {
		fleet, err := e.client().Fleet()
		if err == nil {
			err = checkConfirmed(fleet, version)
		}
		if err == nil || time.Now().After(deadline) {
			return err
		}
	}
}

func checkConfirmed(fleet operator.FleetResponse, version uint64) error {
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

// checkPatch validates the result of a patch on the current document. The returned
// faults name lines of the operator's file.
func checkPatch(current operator.ConfigResponse, file *jsonc.Document) error {
	_, err := mergeConfig(current, file.StandardJSON())
	var faults jsonc.Faults
	if !errors.As(err, &faults) {
		return err
	}
	located := make(jsonc.Faults, len(faults))
	for i, f := range faults {
		located[i] = file.FaultAt(f.Path, f.Problem)
	}
	return located
}

func mergeConfig(current operator.ConfigResponse, merge []byte) (*config.Config, error) {
	merged, err := config.Merge(current.Document, merge)
	if err != nil {
		return nil, err
	}
	return config.Parse("patched", merged)
}

func fromMillis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
