// Command balsambarrowd is the daemon that runs on each entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"balsambarrow/internal/daemon"
	"balsambarrow/internal/jsonc"
	"balsambarrow/internal/release"
	"balsambarrow/internal/settings"
	"balsambarrow/internal/telemetry"
)

// Exit codes.
const (
	exitFailed          = 1
	exitInvalidSettings = 2
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		var faults jsonc.Faults
		if errors.As(err, &faults) {
			os.Exit(exitInvalidSettings)
		}
		os.Exit(exitFailed)
	}
}

func command() *cobra.Command {
	var check bool
	cmd := &cobra.Command{
		Use:           "balsambarrowd SETTINGS",
		Short:         "Serve as one entry host of the fleet",
		Version:       strconv.Itoa(release.Number),
		Args:          cobra.ExactArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil || check {
				return err
			}
			return serve(s)
		},
	}
	cmd.AddCommand(entryCommand())
	cmd.Flags().BoolVar(&check, "check", false, "check the settings file and exit")
	return cmd
}

func serve(s *settings.Settings) error {
	logger := telemetry.NewLogger(os.Stderr, s.LogLevel)
	d, err := daemon.New(s, logger, daemon.Options{})
	if err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-d.ListenerErrors():
		d.Kill()
		return errors.Wrap(err, "listener failed")
	case <-signals:
	}
	// A second signal is ignored, so that it does not interrupt requests.
	ctx, cancel := context.WithTimeout(context.Background(), s.ShutdownTimeout())
	defer cancel()
	return d.Stop(ctx)
}
