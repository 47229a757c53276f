package ctl

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"balsambarrow/internal/operator"
)

func fleetCommand(e *commandEnv) *cobra.Command {
	cmd := &cobra.Command{Use: "fleet", Short: "Inspect the fleet"}
	cmd.AddCommand(&cobra.Command{
		Use:   "status",
		Short: "Show the state, configuration version and slots of each host",
		Long: "Show every host that is in the host list or known from heartbeats, as seen by one daemon.\n" +
			"CONFIRMED is the time since the host confirmed that its version was the stored one. HEARD\n" +
			"is the time since its last heartbeat, or since it was first known if it has sent none.",
		Example: "  balsamctl fleet status --operators 10.1.0.4:7101,10.2.0.4:7101",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			fleet, err := e.client().Fleet()
			if err != nil {
				return err
			}
			return e.printOutput(fleet, func(w io.Writer) error { return printFleet(w, fleet) })
		},
	})
	return cmd
}

func printFleet(out io.Writer, fleet operator.FleetResponse) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "HOST\tZONE\tSTATE\tVERSION\tSLOTS\tWATCHES\tCONFIRMED\tHEARD")
	for _, d := range fleet.Daemons {
		confirmed := "never"
		if d.ConfirmedAgeMs >= 0 {
			confirmed = fromMillis(d.ConfirmedAgeMs).String()
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%v\t%s\t%s\n", d.Host, d.Zone, d.State, d.ConfigVersion, len(d.Slots), d.WatchesStore,
			confirmed, fromMillis(d.HeartbeatAgeMs))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, d := range fleet.Daemons {
		if d.ConfigRejected > d.ConfigVersion {
			_, _ = fmt.Fprintf(out, "%s cannot read version %d: its daemon is too old for this change\n", d.Host, d.ConfigRejected)
		}
	}
	if !fleet.Complete {
		_, err := fmt.Fprintln(out, "the platform's host list cannot be read: some hosts may be missing here")
		return err
	}
	return nil
}
