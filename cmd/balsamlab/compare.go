package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"balsambarrow/internal/compare"
)

func compareCommand() *cobra.Command {
	var p compare.Plan
	var first, seeds int
	cmd := &cobra.Command{
		Use:   "compare BEFORE,AFTER[,AFTER...] FILE:DAY,DAY...",
		Short: "Run the benchmark with several checkouts on the same deployments, days and seeds, and compare the scores in pairs",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			p.Versions = strings.Split(args[0], ",")
			for _, text := range args[1:] {
				deployment, err := compare.ParseDeployment(text)
				if err != nil {
					return err
				}
				p.Deployments = append(p.Deployments, deployment)
			}
			for seed := first; seed < first+seeds; seed++ {
				p.Seeds = append(p.Seeds, seed)
			}
			out := cmd.OutOrStdout()
			p.OnRun = func(version string, run compare.BenchRun) {
				_, _ = fmt.Fprintf(out, "played version=%s site=%s day=%s seed=%d worth=%.3f broken=%v fault=%q\n",
					version, run.Deployment, run.Day, run.Seed, run.Score, run.BrokenRules, run.InvalidReason)
			}
			runs, err := p.Run(cmd.Context())
			if err != nil {
				return err
			}
			for _, version := range p.Versions[1:] {
				_, _ = fmt.Fprintf(out, "\n%s against %s\n", version, p.Versions[0])
				if err := compare.Print(out, compare.Summarize(runs[p.Versions[0]], runs[version])); err != nil {
					return err
				}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&p.Bench, "bench", "", "benchmark program, which runs one day")
	f.IntVar(&first, "first", 1, "first seed")
	f.IntVar(&seeds, "seeds", 5, "number of seeds")
	f.IntVar(&p.Jobs, "jobs", 2, "concurrent runs")
	f.BoolVar(&p.ChargeCPU, "processor", false, "charge processor time; scores then vary slightly between runs")
	f.StringVar(&p.Note, "why", "", "expected effect of the change; recorded with each run")
	_ = cmd.MarkFlagRequired("bench")
	return cmd
}
