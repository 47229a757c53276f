package ctl

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"balsambarrow/internal/operator"
)

func fleetCommand(e *env) *cobra.Command {
	cmd := &cobra.Command{Use: "fleet", Short: "Look at the fleet"}
	cmd.AddCommand(&cobra.Command{
		Use:   "status",
		Short: "Show each host's state, version and slots",
		Long: "Show every host that is listed or was heard, as one daemon knows it.\n" +
			"CONFIRMED is how long ago the version was known to be the store's, HEARD how\n" +
			"long ago the host was heard, or for how long it has been listed in vain.",
		Example: "  balsamctl fleet status --operators 10.1.0.4:7101,10.2.0.4:7101",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			fleet, err := e.client().Fleet()
			if err != nil {
				return err
			}
			return e.show(fleet, func(w io.Writer) error { return printFleet(w, fleet) })
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
			confirmed = milliseconds(d.ConfirmedAgeMs).String()
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%v\t%s\t%s\n", d.Host, d.Zone, d.State, d.ConfigVersion, len(d.Slots), d.WatchesStore,
			confirmed, milliseconds(d.HeartbeatAgeMs))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, d := range fleet.Daemons {
		if d.ConfigRejected > d.ConfigVersion {
			_, _ = fmt.Fprintf(out, "%s cannot read version %d: its daemon is older than the change\n", d.Host, d.ConfigRejected)
		}
	}
	if !fleet.Complete {
		_, err := fmt.Fprintln(out, "the platform's host list cannot be read: there may be hosts that are not known")
		return err
	}
	return nil
}
