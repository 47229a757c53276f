package ctl

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"balsambarrow/internal/config"
)

func drainCommand(e *commandEnv) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "drain",
		Short: "Empty an upstream, zone, region or entry host",
		Long: "Empty an upstream, zone, region or entry host. The command shows the plan, and\n" +
			"submits it only with --yes. A drain stays in the configuration until it is undone.",
		Example: "  balsamctl drain zone vt-a --cap 200 --ramp 5m\n" +
			"  balsamctl drain zone vt-a --cap 200 --ramp 5m --yes --wait\n" +
			"  balsamctl drain undo zone-vt-a --yes",
	}
	for _, kind := range []config.DrainKind{config.DrainUpstream, config.DrainZone, config.DrainRegion, config.DrainHost} {
		cmd.AddCommand(drainKindCommand(e, kind))
	}
	cmd.AddCommand(undoCommand(e, "drain", "zone-vt-a", func(c *config.Config, name string) (shiftPatch, bool) {
		_, ok := c.Drains[name]
		return shiftPatch{Drains: map[string]*config.Drain{name: nil}}, ok
	}), drainListCommand(e))
	return cmd
}

func drainKindCommand(e *commandEnv, kind config.DrainKind) *cobra.Command {
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
			return e.planAndSubmit(f, shiftPatch{Drains: map[string]*config.Drain{f.name: {
				Kind: kind, Target: args[0], CapPerSecond: f.cap,
				RampSeconds: f.ramp.Seconds(), StartUnixMs: time.Now().UnixMilli(),
			}}})
		},
	}
	f.add(cmd, defaultRampFor(kind))
	return cmd
}

// defaultRamp gives the caches of the upstreams that receive the traffic time to
// warm up.
const defaultRamp = time.Minute

// defaultRampFor returns the default of --ramp for a kind of drain. Drains of an
// upstream or a host have no ramp: a leaving upstream receives no new requests as
// soon as the version is in force.
func defaultRampFor(kind config.DrainKind) time.Duration {
	if kind == config.DrainUpstream || kind == config.DrainHost {
		return 0
	}
	return defaultRamp
}

func drainListCommand(e *commandEnv) *cobra.Command {
	return listCommand(e, "drain", "NAME\tKIND\tTARGET\tCAP/S\tRAMP",
		func(c *config.Config) map[string]config.Drain { return c.Drains },
		func(d config.Drain) string {
			return fmt.Sprintf("%s\t%s\t%g\t%s", d.Kind, d.Target, d.CapPerSecond, rampProgress(d.StartUnixMs, d.RampSeconds, time.Now()))
		})
}
