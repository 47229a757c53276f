// Package ctl is balsamctl: the operators' command line over the operators'
// API of any daemon.
package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"balsambarrow/internal/jsonc"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed: anything that has no code of its own.
	ExitFailed = 1
	// ExitRefused: the input is wrong; nothing was changed.
	ExitRefused = 2
	// ExitStale: the change was built on an old version; nothing was changed.
	ExitStale = 3
	// ExitUnavailable: no daemon or no store answered; nothing was changed.
	ExitUnavailable = 4
	// ExitUnknown: the change may or may not have taken effect.
	ExitUnknown = 5
	// ExitNotConfirmed means that the change was accepted, but --wait ended
	// before every host had confirmed it.
	ExitNotConfirmed = 6
)

const rootHelp = `balsamctl talks to the operators' listener of any daemon.

Exit codes:
  0  done
  1  failed for another reason
  2  refused: the input is wrong, nothing was changed
  3  stale: built on an old version, nothing was changed
  4  unavailable: no daemon or no store answered, nothing was changed
  5  unknown: the change may have taken effect; ask "config change ID"
  6  accepted, but not confirmed everywhere before --timeout`

// Run runs one command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	cmd := command(out)
	cmd.SetArgs(args)
	cmd.SetOut(out)
	cmd.SetErr(errOut)
	err := cmd.Execute()
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(errOut, err)
	return exitCode(err)
}

func exitCode(err error) int {
	var faults jsonc.Faults
	var refused *APIError
	var unknown *OutcomeUnknownError
	var missing *NotConfirmedError
	switch {
	case errors.As(err, &faults), errors.Is(err, ErrBadUsage):
		return ExitRefused
	case errors.As(err, &refused):
		return refused.exitCode()
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &missing):
		return ExitNotConfirmed
	case errors.Is(err, ErrUnreachable):
		return ExitUnavailable
	}
	return ExitFailed
}

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// ErrBadUsage says that flags or arguments contradict each other or the
// configuration.
var ErrBadUsage = errors.New("balsamctl: bad usage")

// env is what every command shares.
type env struct {
	out       io.Writer
	addresses []string
	output    string
}

func (e *env) client() *Client { return NewClient(e.addresses...) }

// show prints v as JSON, or what text writes.
func (e *env) show(v any, text func(io.Writer) error) error {
	if e.output == outputText {
		return text(e.out)
	}
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(v), "print")
}

func command(out io.Writer) *cobra.Command {
	e := &env{out: out}
	root := &cobra.Command{
		Use:           "balsamctl",
		Short:         "Operate a balsambarrow fleet",
		Long:          rootHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if e.output != outputText && e.output != outputJSON {
				return errors.Wrap(ErrBadUsage, "--output: want text or json")
			}
			return nil
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Wrap(ErrBadUsage, err.Error()) })
	flags := root.PersistentFlags()
	flags.StringSliceVar(&e.addresses, "operators", []string{"127.0.0.1:7101"}, "operators' addresses of daemons, tried in turn")
	flags.StringVarP(&e.output, "output", "o", outputText, "text or json")
	root.AddCommand(configCommand(e), keyCommand(e), drainCommand(e), moveCommand(e), fleetCommand(e), explainCommand(e), traceCommand(e), whyCommand(e))
	return root
}

// waitFlags are those of every command that submits a change.
type waitFlags struct {
	wait    bool
	timeout time.Duration
}

func (w *waitFlags) add(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&w.wait, "wait", false, "wait until the version is in force everywhere")
	cmd.Flags().DurationVar(&w.timeout, "timeout", defaultWait, "how long --wait waits")
}
