package main

import (
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"balsambarrow/internal/standin"
)

var errWrongResponses = errors.New("balsamlab: callers received wrong responses")

func callersCommand() *cobra.Command {
	load := standin.Load{PostServices: map[string]bool{}}
	var posts []string
	var keyPrefix string
	cmd := &cobra.Command{
		Use:   "callers CONFIG",
		Short: "Send an open-loop load as all customers and report the responses",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := readConfig(args[0])
			if err != nil {
				return err
			}
			load.Config = c
			load.APIKey = func(customer string) string { return keyPrefix + customer }
			for _, service := range posts {
				load.PostServices[service] = true
			}
			report, err := standin.Run(cmd.Context(), load)
			if err != nil {
				return err
			}
			report.Print(os.Stdout)
			if report.WrongResponses > 0 {
				return errWrongResponses
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&load.EntryAddress, "entry", "", "address for callers of any daemon")
	f.StringVar(&keyPrefix, "key-prefix", "demo-", "prefix of API keys; a customer's key is the prefix and the customer's name")
	f.Float64Var(&load.RateFraction, "fraction", 0.6, "fraction of each customer's rate to send")
	f.DurationVar(&load.Duration, "duration", 10*time.Second, "how long to send")
	f.IntVar(&load.BulkResponseBytes, "bulk-bytes", 200_000, "response size of bulk services")
	f.Uint64Var(&load.Seed, "seed", 1, "seed of the load")
	f.StringSliceVar(&posts, "posts", []string{"posting", "top-up"}, "services called with POST")
	return cmd
}
