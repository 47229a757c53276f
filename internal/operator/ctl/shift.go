package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"balsambarrow/internal/config"
	"balsambarrow/internal/operator"
)

// rampSteps is the number of progress lines that --wait prints during a ramp.
const rampSteps = 10

// shiftFlags are the flags that all drain and move commands share.
type shiftFlags struct {
	name       string
	cap        float64
	ramp       time.Duration
	yes        bool
	dryRun     bool
	submission submission
}

func (f *shiftFlags) add(cmd *cobra.Command, ramp time.Duration) {
	cmd.Flags().StringVar(&f.name, "name", "", "name in the configuration, used to undo it (default: derived from the arguments)")
	cmd.Flags().Float64Var(&f.cap, "cap", 0, "maximum number of requests shifted per second")
	cmd.Flags().DurationVar(&f.ramp, "ramp", ramp, "time over which the shifted share grows from none to all")
	f.addSubmitFlags(cmd)
}

func (f *shiftFlags) addSubmitFlags(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&f.yes, "yes", false, "submit the plan")
	cmd.Flags().BoolVar(&f.dryRun, "dry-run", false, "only show the plan")
	f.submission.wait.add(cmd)
	cmd.Flags().Lookup("wait").Usage = "wait until the version is in force everywhere, then print the progress of the ramp"
}

// plan describes the changes that a drain, a move or an undo would make.
type plan struct {
	// Base is the configuration version that the plan is based on.
	Base  uint64          `json:"base"`
	Merge json.RawMessage `json:"patch"`
	// Affected are the upstreams that a drain takes traffic from.
	Affected []string `json:"affected_upstreams,omitempty"`
	// Warnings are consequences that the operator should consider.
	Warnings []string `json:"warnings,omitempty"`
	// Result is set after the plan was submitted.
	Result *submitResult `json:"result,omitempty"`
}

// shiftPatch is a merge patch of drains and moves. A nil value removes an entry.
type shiftPatch struct {
	Drains map[string]*config.Drain `json:"drains,omitempty"`
	Moves  map[string]*config.Move  `json:"moves,omitempty"`
}

// planAndSubmit prints the plan of a patch, and submits the patch if --yes is set.
func (e *commandEnv) planAndSubmit(f *shiftFlags, patch shiftPatch) error {
	if f.yes && f.dryRun {
		return errors.Wrap(ErrBadUsage, "--yes and --dry-run exclude each other")
	}
	current, err := e.client().Config()
	if err != nil {
		return err
	}
	p, err := newPlan(current, patch)
	if err != nil {
		return err
	}
	if f.yes {
		f.submission.base, f.submission.merge = p.Base, p.Merge
		var result submitResult
		result, err = e.submit(f.submission)
		if result.Version == 0 {
			return err
		}
		p.Result = &result
	}
	if printErr := e.printOutput(p, p.writeText); printErr != nil || err != nil {
		return firstError(err, printErr)
	}
	if !f.yes || !f.submission.wait.wait || f.ramp <= 0 || e.output != outputText {
		return nil
	}
	return e.printRampProgress(f.ramp)
}

// firstError returns err, the error of the command, or else the error of printing
// its output.
func firstError(err, printErr error) error {
	if err != nil {
		return err
	}
	return printErr
}

// printRampProgress prints the progress of a ramp that starts now, until the ramp
// ends.
func (e *commandEnv) printRampProgress(ramp time.Duration) error {
	start := time.Now()
	for step := 1; step <= rampSteps; step++ {
		time.Sleep(time.Until(start.Add(ramp * time.Duration(step) / rampSteps)))
		if _, err := fmt.Fprintf(e.out, "ramp %d%%\n", step*100/rampSteps); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}

func newPlan(current operator.ConfigResponse, patch shiftPatch) (*plan, error) {
	merge, err := json.Marshal(patch)
	if err != nil {
		return nil, errors.Wrap(err, "encode patch")
	}
	patched, err := mergeConfig(current, merge)
	if err != nil {
		return nil, err
	}
	p := &plan{Base: current.Version, Merge: merge}
	for _, d := range patch.Drains {
		if d != nil {
			p.addDrainEffects(patched, d)
		}
	}
	return p, nil
}

// addDrainEffects adds the upstreams that a drain takes traffic from to the plan,
// and a warning for each service that has no other upstream left.
func (p *plan) addDrainEffects(c *config.Config, d *config.Drain) {
	remaining := map[string]int{}
	drained := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(c.Upstreams)) {
		u := c.Upstreams[name]
		if drainsUpstream(c, d, name) {
			p.Affected = append(p.Affected, name)
			drained[u.Service] = true
		} else if !u.Leaving {
			remaining[u.Service]++
		}
	}
	for _, service := range slices.Sorted(maps.Keys(drained)) {
		if remaining[service] == 0 {
			p.Warnings = append(p.Warnings, "no other upstream of "+service+" is left: "+effectWithoutUpstream(d.Kind))
		}
	}
	if d.CapPerSecond == 0 && d.Kind != config.DrainHost && d.Kind != config.DrainUpstream {
		p.Warnings = append(p.Warnings, "no --cap: the shifted traffic is limited only by the caps of moves and by the links")
	}
}

// effectWithoutUpstream describes what happens to the requests of a service if a
// drain leaves it no other upstream. The drain of an upstream always takes effect;
// the drain of a zone or region does not take effect for such a service.
func effectWithoutUpstream(kind config.DrainKind) string {
	if kind == config.DrainUpstream {
		return "its requests will be refused"
	}
	return "its requests stay where they are"
}

func drainsUpstream(c *config.Config, d *config.Drain, upstream string) bool {
	zone := c.Upstreams[upstream].Zone
	switch d.Kind {
	case config.DrainUpstream:
		return d.Target == upstream
	case config.DrainZone:
		return d.Target == zone
	case config.DrainRegion:
		return d.Target == c.Zones[zone].Region
	}
	return false
}

func (p *plan) writeText(w io.Writer) error {
	_, _ = fmt.Fprintf(w, "plan on version %d: %s\n", p.Base, p.Merge)
	for _, name := range p.Affected {
		_, _ = fmt.Fprintf(w, "  upstream %s loses its traffic\n", name)
	}
	for _, warning := range p.Warnings {
		_, _ = fmt.Fprintf(w, "warning: %s\n", warning)
	}
	if p.Result == nil {
		_, err := fmt.Fprintln(w, "nothing submitted; add --yes to submit")
		return err
	}
	return p.Result.writeText(w)
}

// rampProgress returns the progress of a ramp at the time now as a percentage.
func rampProgress(startUnixMs int64, rampSeconds float64, now time.Time) string {
	if rampSeconds <= 0 {
		return "100%"
	}
	elapsed := float64(now.UnixMilli()-startUnixMs) / 1000
	return fmt.Sprintf("%.0f%%", 100*min(max(elapsed/rampSeconds, 0), 1))
}

// currentConfig reads and parses the stored configuration.
func (e *commandEnv) currentConfig() (*config.Config, error) {
	response, err := e.client().Config()
	if err != nil {
		return nil, err
	}
	return config.Parse("current", response.Document)
}

// undoCommand returns the command that removes a drain or a move. removalPatch
// returns the patch that removes the entry with a name, and false if there is no
// such entry.
func undoCommand(e *commandEnv, kind, example string, removalPatch func(*config.Config, string) (shiftPatch, bool)) *cobra.Command {
	f := &shiftFlags{}
	cmd := &cobra.Command{
		Use:     "undo NAME",
		Short:   "Remove a " + kind + " from the configuration",
		Example: "  balsamctl " + kind + " undo " + example + " --yes",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			c, err := e.currentConfig()
			if err != nil {
				return err
			}
			patch, ok := removalPatch(c, args[0])
			if !ok {
				return errors.Wrapf(ErrBadUsage, "there is no %s %s", kind, args[0])
			}
			return e.planAndSubmit(f, patch)
		},
	}
	f.addSubmitFlags(cmd)
	return cmd
}

// listCommand returns the command that lists the drains or the moves. header holds
// the names of the columns; formatRow returns the columns after the name.
func listCommand[V any](e *commandEnv, kind, header string, entries func(*config.Config) map[string]V, formatRow func(V) string) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "Show the " + kind + "s and the progress of their ramps",
		Example: "  balsamctl " + kind + " list",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			c, err := e.currentConfig()
			if err != nil {
				return err
			}
			all := entries(c)
			return e.printOutput(all, func(out io.Writer) error {
				w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
				_, _ = fmt.Fprintln(w, header)
				for _, name := range slices.Sorted(maps.Keys(all)) {
					_, _ = fmt.Fprintf(w, "%s\t%s\n", name, formatRow(all[name]))
				}
				return w.Flush()
			})
		},
	}
}
