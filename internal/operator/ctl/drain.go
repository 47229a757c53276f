package ctl

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"balsambarrow/internal/config"
)

func drainCommand(e *env) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "drain",
		Short: "Empty an upstream, zone, region or entry host",
		Long: "Empty an upstream, zone, region or entry host. The plan is shown first and\n" +
			"submitted with --yes. A drain stays in the configuration until it is undone.",
		Example: "  balsamctl drain zone vt-a --cap 200 --ramp 5m\n" +
			"  balsamctl drain zone vt-a --cap 200 --ramp 5m --yes --wait\n" +
			"  balsamctl drain undo zone-vt-a --yes",
	}
	for _, kind := range []config.DrainKind{config.DrainUpstream, config.DrainZone, config.DrainRegion, config.DrainHost} {
		cmd.AddCommand(drainKind(e, kind))
	}
	cmd.AddCommand(undo(e, "drain", "zone-vt-a", func(c *config.Config, name string) (shifts, bool) {
		_, ok := c.Drains[name]
		return shifts{Drains: map[string]*config.Drain{name: nil}}, ok
	}), drainList(e))
	return cmd
}

func drainKind(e *env, kind config.DrainKind) *cobra.Command {
	f := &shiftFlags{}
	cmd := &cobra.Command{
		Use:     string(kind) + " NAME",
		Short:   "Empty one " + string(kind),
		Example: fmt.Sprintf("  balsamctl drain %s NAME --cap 200 --ramp 5m --yes --wait", kind),
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if f.name == "" {
				f.name = string(kind) + "-" + args[0]
			}
			return e.carryOut(f, shifts{Drains: map[string]*config.Drain{f.name: {
				Kind: kind, Target: args[0], CapPerSecond: f.cap,
				RampSeconds: f.ramp.Seconds(), StartUnixMs: time.Now().UnixMilli(),
			}}})
		},
	}
	f.add(cmd, rampOf(kind))
	return cmd
}

// defaultRamp gives caches elsewhere time to warm.
const defaultRamp = time.Minute

// rampOf is a drain's ramp unless the operator names one: a leaving upstream
// gets nothing new as soon as the version is in force.
func rampOf(kind config.DrainKind) time.Duration {
	if kind == config.DrainUpstream || kind == config.DrainHost {
		return 0
	}
	return defaultRamp
}

func drainList(e *env) *cobra.Command {
	return list(e, "drain", "NAME\tKIND\tTARGET\tCAP/S\tRAMP",
		func(c *config.Config) map[string]config.Drain { return c.Drains },
		func(d config.Drain) string {
			return fmt.Sprintf("%s\t%s\t%g\t%s", d.Kind, d.Target, d.CapPerSecond, progress(d.StartUnixMs, d.RampSeconds, time.Now()))
		})
}
