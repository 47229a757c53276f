package ctl

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"balsambarrow/internal/operator"
)

func explainCommand(e *commandEnv) *cobra.Command {
	var customer, from string
	cmd := &cobra.Command{
		Use:   "explain SERVICE",
		Short: "Show where a customer's request is routed, or why it is refused",
		Long: "Show how the responding daemon would now route a request that enters in a zone.\n" +
			"The customer's rate limit is not evaluated.",
		Example: "  balsamctl explain lookup --customer addison-farms --from vt-a",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			x, err := e.client().Explain(args[0], customer, from)
			if err != nil {
				return err
			}
			return e.printOutput(x, func(w io.Writer) error { return printExplanation(w, x) })
		},
	}
	cmd.Flags().StringVar(&customer, "customer", "", "customer that sends the request")
	cmd.Flags().StringVar(&from, "from", "", "zone where the request enters (default: the responding daemon's zone)")
	_ = cmd.MarkFlagRequired("customer")
	return cmd
}

func printExplanation(out io.Writer, x operator.Explanation) error {
	if x.ProblemType != "" {
		_, _ = fmt.Fprintf(out, "refused with %s: %s\n", x.ProblemType, x.Reason)
	} else {
		_, _ = fmt.Fprintf(out, "%s\n", x.Reason)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ASKED\tZONE\tREGION\tFREE\tLIMIT")
	for _, t := range x.Targets {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", t.Host, t.Zone, t.Region, t.Free, t.Limit)
	}
	_, _ = fmt.Fprintln(w, "\nUPSTREAM\tZONE\tHANDLER\tUSABLE\tWHY")
	for _, u := range x.Upstreams {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\n", u.Name, u.Zone, u.Handler, u.Usable, u.Reason)
	}
	return w.Flush()
}
