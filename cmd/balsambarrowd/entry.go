package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"balsambarrow/internal/entryhost"
	"balsambarrow/internal/telemetry"
)

// settingsVariable names the settings file where the command line does not.
const settingsVariable = "BALSAMBARROW_BOOT"

// settingsEvery is how often the settings file is looked at: it may change
// without a signal.
const settingsPollInterval = time.Second

func entryCommand() *cobra.Command {
	var check bool
	cmd := &cobra.Command{
		Use:           "entry [SETTINGS]",
		Short:         "Serve as one entry host on the users' platform",
		Long:          "Serve as one entry host on the users' platform.\nWithout SETTINGS the file is the one that " + settingsVariable + " names.",
		Args:          cobra.MaximumNArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(_ *cobra.Command, args []string) error {
			path := os.Getenv(settingsVariable)
			if len(args) == 1 {
				path = args[0]
			}
			s, err := entryhost.LoadSettings(path)
			if err != nil || check {
				return err
			}
			return serveEntry(path, s)
		},
	}
	cmd.Flags().BoolVar(&check, "check", false, "check the settings file and exit")
	return cmd
}

const (
	// collectPercent is the growth of the heap between two collections. Most hosts have
	// a small part of a core and far more memory than the live heap takes.
	gcPercent = 200
	// heapPart of the memory is the size of the heap from which collections come more
	// often.
	memoryLimitFraction = 0.5
	bytesPerMB          = 1 << 20
)

// boundHeap trades memory that the host has for processor time.
func configureGC(s *entryhost.Settings) {
	if s.Capacity.MemoryMB <= 0 {
		return
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * s.Capacity.MemoryMB * bytesPerMB))
}

func serveEntry(path string, s *entryhost.Settings) error {
	// The platform restarts a process that ends by SIGHUP, so the signal is
	// taken before anything else.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	configureGC(s)
	metrics := telemetry.NewMetrics()
	events := telemetry.NewEvents(os.Stdout, s.LogLevel, s.Host)
	events.OnDropped = metrics.LinesDropped
	stop := make(chan struct{})
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		events.Run(stop)
	}()
	defer func() {
		close(stop)
		<-flushed
	}()
	d, err := entryhost.New(s, events, metrics)
	if err != nil {
		return err
	}
	d.Start()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	file := newSettingsFile(path, d, events)
	go file.watch(ctx)
	for {
		select {
		case err := <-d.Failed():
			return errors.Wrap(err, "listener failed")
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				file.reload()
				continue
			}
			// Further signals change nothing: requests are not cut off by them.
			d.Stop()
			return nil
		}
	}
}
