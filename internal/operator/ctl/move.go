package ctl

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"balsambarrow/internal/config"
)

func moveCommand(e *commandEnv) *cobra.Command {
	f := &shiftFlags{}
	m := &config.Move{}
	cmd := &cobra.Command{
		Use:   "move SERVICE",
		Short: "Move a service's traffic from one region to another",
		Long: "Move a service's traffic from one region to another. The command shows the plan, and\n" +
			"submits it only with --yes. A move stays in the configuration until it is undone.",
		Example: "  balsamctl move lookup --from vermont --to maine --share 0.5 --cap 100 --ramp 10m --yes --wait\n" +
			"  balsamctl move undo lookup-vermont-maine --yes",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			m.Service = args[0]
			m.CapPerSecond, m.RampSeconds, m.StartUnixMs = f.cap, f.ramp.Seconds(), time.Now().UnixMilli()
			if f.name == "" {
				f.name = m.Service + "-" + m.From + "-" + m.To
			}
			return e.planAndSubmit(f, shiftPatch{Moves: map[string]*config.Move{f.name: m}})
		},
	}
	cmd.Flags().StringVar(&m.From, "from", "", "region that the traffic is moved from")
	cmd.Flags().StringVar(&m.To, "to", "", "region that the traffic is moved to")
	cmd.Flags().Float64Var(&m.Share, "share", 1, "share of the traffic to move, 0 to 1")
	f.add(cmd, defaultRamp)
	for _, name := range []string{"from", "to", "cap"} {
		_ = cmd.MarkFlagRequired(name)
	}
	cmd.AddCommand(undoCommand(e, "move", "lookup-vermont-maine", func(c *config.Config, name string) (shiftPatch, bool) {
		_, ok := c.Moves[name]
		return shiftPatch{Moves: map[string]*config.Move{name: nil}}, ok
	}), moveListCommand(e))
	return cmd
}

func moveListCommand(e *commandEnv) *cobra.Command {
	return listCommand(e, "move", "NAME\tSERVICE\tFROM\tTO\tSHARE\tCAP/S\tRAMP",
		func(c *config.Config) map[string]config.Move { return c.Moves },
		func(m config.Move) string {
			return fmt.Sprintf("%s\t%s\t%s\t%g\t%g\t%s", m.Service, m.From, m.To, m.Share, m.CapPerSecond,
				rampProgress(m.StartUnixMs, m.RampSeconds, time.Now()))
		})
}
