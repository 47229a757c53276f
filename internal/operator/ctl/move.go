package ctl

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"balsambarrow/internal/config"
)

func moveCommand(e *env) *cobra.Command {
	f := &shiftFlags{}
	m := &config.Move{}
	cmd := &cobra.Command{
		Use:   "move SERVICE",
		Short: "Move a service's traffic from one region to another",
		Long: "Move a service's traffic from one region to another. The plan is shown first and\n" +
			"submitted with --yes. A move stays in the configuration until it is undone.",
		Example: "  balsamctl move lookup --from vermont --to maine --share 0.5 --cap 100 --ramp 10m --yes --wait\n" +
			"  balsamctl move undo lookup-vermont-maine --yes",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			m.Service = args[0]
			m.CapPerSecond, m.RampSeconds, m.StartUnixMs = f.cap, f.ramp.Seconds(), time.Now().UnixMilli()
			if f.name == "" {
				f.name = m.Service + "-" + m.From + "-" + m.To
			}
			return e.carryOut(f, shifts{Moves: map[string]*config.Move{f.name: m}})
		},
	}
	cmd.Flags().StringVar(&m.From, "from", "", "region that gives traffic")
	cmd.Flags().StringVar(&m.To, "to", "", "region that takes it")
	cmd.Flags().Float64Var(&m.Share, "share", 1, "share of the traffic, 0 to 1")
	f.add(cmd, defaultRamp)
	for _, name := range []string{"from", "to", "cap"} {
		_ = cmd.MarkFlagRequired(name)
	}
	cmd.AddCommand(undo(e, "move", "lookup-vermont-maine", func(c *config.Config, name string) (shifts, bool) {
		_, ok := c.Moves[name]
		return shifts{Moves: map[string]*config.Move{name: nil}}, ok
	}), moveList(e))
	return cmd
}

func moveList(e *env) *cobra.Command {
	return list(e, "move", "NAME\tSERVICE\tFROM\tTO\tSHARE\tCAP/S\tRAMP",
		func(c *config.Config) map[string]config.Move { return c.Moves },
		func(m config.Move) string {
			return fmt.Sprintf("%s\t%s\t%s\t%g\t%g\t%s", m.Service, m.From, m.To, m.Share, m.CapPerSecond,
				progress(m.StartUnixMs, m.RampSeconds, time.Now()))
		})
}
