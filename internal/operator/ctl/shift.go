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

// rampParts is how often --wait tells how far a ramp is.
const rampParts = 10

// shiftFlags are those of every drain and move.
type shiftFlags struct {
	name   string
	cap    float64
	ramp   time.Duration
	yes    bool
	dryRun bool
	change change
}

func (f *shiftFlags) add(cmd *cobra.Command, ramp time.Duration) {
	cmd.Flags().StringVar(&f.name, "name", "", "name in the configuration, for its undoing (default: made from what it shifts)")
	cmd.Flags().Float64Var(&f.cap, "cap", 0, "most requests shifted per second")
	cmd.Flags().DurationVar(&f.ramp, "ramp", ramp, "time from nothing to all")
	f.addConsent(cmd)
}

func (f *shiftFlags) addConsent(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&f.yes, "yes", false, "submit the plan")
	cmd.Flags().BoolVar(&f.dryRun, "dry-run", false, "show the plan only")
	f.change.wait.add(cmd)
	cmd.Flags().Lookup("wait").Usage = "wait until the version is in force everywhere, then show the ramp until its end"
}

// plan is what a drain, a move or its undoing would change.
type plan struct {
	// Base is the version that the plan was made on.
	Base  uint64          `json:"base"`
	Merge json.RawMessage `json:"patch"`
	// Affected are the upstreams that lose the traffic, for drains.
	Affected []string `json:"affected_upstreams,omitempty"`
	// Warnings are for the operator to weigh.
	Warnings []string `json:"warnings,omitempty"`
	// Result is set once the plan was submitted.
	Result *accepted `json:"result,omitempty"`
}

// shifts is a patch of drains and moves; a nil value removes an entry.
type shifts struct {
	Drains map[string]*config.Drain `json:"drains,omitempty"`
	Moves  map[string]*config.Move  `json:"moves,omitempty"`
}

// carryOut shows the plan of a patch and submits it if the operator said so.
func (e *env) carryOut(f *shiftFlags, s shifts) error {
	if f.yes && f.dryRun {
		return errors.Wrap(ErrBadUsage, "--yes and --dry-run exclude each other")
	}
	current, err := e.client().Config()
	if err != nil {
		return err
	}
	p, err := newPlan(current, s)
	if err != nil {
		return err
	}
	if f.yes {
		f.change.base, f.change.merge = p.Base, p.Merge
		var result accepted
		result, err = e.submit(f.change)
		if result.Version == 0 {
			return err
		}
		p.Result = &result
	}
	if shown := e.show(p, p.text); shown != nil || err != nil {
		return firstError(err, shown)
	}
	if !f.yes || !f.change.wait.wait || f.ramp <= 0 || e.output != outputText {
		return nil
	}
	return e.followRamp(f.ramp)
}

// firstError prefers the command's error to that of printing.
func firstError(err, shown error) error {
	if err != nil {
		return err
	}
	return shown
}

// followRamp prints how far a ramp that begins now is, until it ends.
func (e *env) followRamp(ramp time.Duration) error {
	start := time.Now()
	for part := 1; part <= rampParts; part++ {
		time.Sleep(time.Until(start.Add(ramp * time.Duration(part) / rampParts)))
		if _, err := fmt.Fprintf(e.out, "ramp %d%%\n", part*100/rampParts); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}

func newPlan(current operator.ConfigResponse, s shifts) (*plan, error) {
	merge, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode patch")
	}
	after, err := tryMerge(current, merge)
	if err != nil {
		return nil, err
	}
	p := &plan{Base: current.Version, Merge: merge}
	for _, d := range s.Drains {
		if d != nil {
			p.weigh(after, d)
		}
	}
	return p, nil
}

// weigh lists what a drain empties, and each service that it leaves without
// an upstream.
func (p *plan) weigh(c *config.Config, d *config.Drain) {
	left := map[string]int{}
	emptied := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(c.Upstreams)) {
		u := c.Upstreams[name]
		if empties(c, d, name) {
			p.Affected = append(p.Affected, name)
			emptied[u.Service] = true
		} else if !u.Leaving {
			left[u.Service]++
		}
	}
	for _, service := range slices.Sorted(maps.Keys(emptied)) {
		if left[service] == 0 {
			p.Warnings = append(p.Warnings, "no other upstream of "+service+" is left: "+consequence(d.Kind))
		}
	}
	if d.CapPerSecond == 0 && d.Kind != config.DrainHost && d.Kind != config.DrainUpstream {
		p.Warnings = append(p.Warnings, "no --cap: only the caps of moves and the links bound what is shifted")
	}
}

// consequence is what becomes of a service's requests when a drain leaves no
// other upstream: an upstream's drain is final, a zone's or region's gives way.
func consequence(kind config.DrainKind) string {
	if kind == config.DrainUpstream {
		return "its requests will be refused"
	}
	return "its requests stay where they are"
}

func empties(c *config.Config, d *config.Drain, upstream string) bool {
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

func (p *plan) text(w io.Writer) error {
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
	return p.Result.text(w)
}

// progress of a ramp at a time, as text.
func progress(startUnixMs int64, rampSeconds float64, now time.Time) string {
	if rampSeconds <= 0 {
		return "100%"
	}
	since := float64(now.UnixMilli()-startUnixMs) / 1000
	return fmt.Sprintf("%.0f%%", 100*min(max(since/rampSeconds, 0), 1))
}

// current reads and parses the configuration.
func (e *env) current() (*config.Config, error) {
	a, err := e.client().Config()
	if err != nil {
		return nil, err
	}
	return config.Parse("current", a.Document)
}

// undo takes a drain or a move back. removal makes the patch that removes the
// entry of a name; false if there is none.
func undo(e *env, kind, example string, removal func(*config.Config, string) (shifts, bool)) *cobra.Command {
	f := &shiftFlags{}
	cmd := &cobra.Command{
		Use:     "undo NAME",
		Short:   "Take a " + kind + " back",
		Example: "  balsamctl " + kind + " undo " + example + " --yes",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			c, err := e.current()
			if err != nil {
				return err
			}
			s, ok := removal(c, args[0])
			if !ok {
				return errors.Wrapf(ErrBadUsage, "there is no %s %s", kind, args[0])
			}
			return e.carryOut(f, s)
		},
	}
	f.addConsent(cmd)
	return cmd
}

// list shows the drains or the moves: header names the columns, and row gives
// those after the name.
func list[V any](e *env, kind, header string, entries func(*config.Config) map[string]V, row func(V) string) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "Show the " + kind + "s and how far their ramps are",
		Example: "  balsamctl " + kind + " list",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			c, err := e.current()
			if err != nil {
				return err
			}
			all := entries(c)
			return e.show(all, func(out io.Writer) error {
				w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
				_, _ = fmt.Fprintln(w, header)
				for _, name := range slices.Sorted(maps.Keys(all)) {
					_, _ = fmt.Fprintf(w, "%s\t%s\n", name, row(all[name]))
				}
				return w.Flush()
			})
		},
	}
}
