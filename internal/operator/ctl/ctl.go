// Package ctl implements the command-line tool balsamctl, a client of the
// operators' HTTP API of the daemons. It submits configuration changes, drains and
// moves, manages customers' keys, and shows the status of the fleet. It also reads
// the daemons' trace files and logs to show how a single request was handled.
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

// Exit codes of balsamctl.
const (
	ExitOK = 0
	// ExitFailed is the code of every failure without a more specific code.
	ExitFailed = 1
	// ExitRefused means that the input was invalid and nothing was changed.
	ExitRefused = 2
	// ExitStale means that the change was based on an old version and nothing
	// was changed.
	ExitStale = 3
	// ExitUnavailable means that no daemon responded, or that the store did not,
	// and nothing was changed.
	ExitUnavailable = 4
	// ExitUnknown means that the change may or may not have taken effect.
	ExitUnknown = 5
	// ExitNotConfirmed means that the change was accepted, but --wait ended
	// before every host had confirmed it.
	ExitNotConfirmed = 6
)

const rootHelp = `balsamctl operates a fleet through the operators' listener of any daemon.

Exit codes:
  0  done
  1  failed for another reason
  2  refused: the input is invalid, nothing was changed
  3  stale: the change is based on an old version, nothing was changed
  4  unavailable: no daemon or store responded, nothing was changed
  5  unknown: the change may have taken effect; check with "config change ID"
  6  accepted, but not confirmed everywhere before --timeout`

// Run executes balsamctl with args and returns its exit code.
func Run(args []string, out, errOut io.Writer) int {
	cmd := newRootCommand(out)
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
	var apiErr *APIError
	var outcomeUnknown *OutcomeUnknownError
	var notConfirmed *NotConfirmedError
	switch {
	case errors.As(err, &faults), errors.Is(err, ErrBadUsage):
		return ExitRefused
	case errors.As(err, &apiErr):
		return apiErr.exitCode()
	case errors.As(err, &outcomeUnknown):
		return ExitUnknown
	case errors.As(err, &notConfirmed):
		return ExitNotConfirmed
	case errors.Is(err, ErrUnreachable):
		return ExitUnavailable
	}
	return ExitFailed
}

// Values of the --output flag.
const (
	outputText = "text"
	outputJSON = "json"
)

// ErrBadUsage reports flags or arguments that are invalid, contradict each other
// or do not match the configuration.
var ErrBadUsage = errors.New("balsamctl: bad usage")

// commandEnv holds the output writer and the values of the global flags, which all
// commands share.
type commandEnv struct {
	out       io.Writer
	addresses []string
	output    string
}

func (e *commandEnv) client() *Client { return NewClient(e.addresses...) }

// printOutput writes v as JSON if --output is json. Otherwise it calls writeText.
func (e *commandEnv) printOutput(v any, writeText func(io.Writer) error) error {
	if e.output == outputText {
		return writeText(e.out)
	}
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(v), "print")
}

func newRootCommand(out io.Writer) *cobra.Command {
	e := &commandEnv{out: out}
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
	flags.StringSliceVar(&e.addresses, "operators", []string{"127.0.0.1:7101"}, "addresses of daemons' operators' listeners, tried in turn")
	flags.StringVarP(&e.output, "output", "o", outputText, "text or json")
	root.AddCommand(configCommand(e), keyCommand(e), drainCommand(e), moveCommand(e), fleetCommand(e), explainCommand(e), traceCommand(e), whyCommand(e))
	return root
}

// waitFlags are the flags --wait and --timeout of every command that submits a
// change.
type waitFlags struct {
	wait    bool
	timeout time.Duration
}

func (w *waitFlags) add(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&w.wait, "wait", false, "wait until the version is in force everywhere")
	cmd.Flags().DurationVar(&w.timeout, "timeout", defaultWaitTimeout, "maximum time that --wait waits")
}
