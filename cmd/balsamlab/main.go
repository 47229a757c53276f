// Command balsamlab serves stand-ins of the outside systems as processes, sends load to a
// fleet and runs comparisons. It is for development only.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "balsamlab",
		Short:         "Stand-ins for the platform, upstreams and callers",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(platformCommand(), hostCommand(), upstreamsCommand(), callersCommand(), calmCommand(), overheadCommand(), metricCommand(), compareCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
