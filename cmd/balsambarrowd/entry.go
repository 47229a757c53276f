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

// settingsVariable is the environment variable with the path of the settings file. It is
// used if the command line has no path.
const settingsVariable = "BALSAMBARROW_BOOT"

// flushTimeout bounds how long the process waits at its end until its log lines are written.
const flushTimeout = time.Second

// settingsPollInterval is the interval between checks of the settings file, which may
// change without a SIGHUP.
const settingsPollInterval = time.Second

func entryCommand() *cobra.Command {
	var check bool
	cmd := &cobra.Command{
		Use:           "entry [SETTINGS]",
		Short:         "Serve as one entry host on the users' platform",
		Long:          "Serve as one entry host on the users' platform.\nWithout SETTINGS, the environment variable " + settingsVariable + " holds the path of the file.",
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
	// activeGCPercent is the GOGC value of an active host: the growth of the heap between two
	// garbage collections. It is above the default of 100, because most hosts have a small
	// fraction of a core and far more memory than the live heap needs.
	activeGCPercent = 200
	// standbyGCPercent is the GOGC value of a standby. Standbys are many, have a small live heap
	// and allocate little.
	standbyGCPercent = 25
	// memoryLimitFraction is the fraction of the host's memory that is set as the memory
	// limit of the Go runtime, above which garbage collections become more frequent.
	memoryLimitFraction = 0.5
	bytesPerMB          = 1 << 20
)

// configureGC reduces the processor time of garbage collections at the cost of memory on an
// active host, and the opposite on a standby, if the settings declare the memory of the host. It
// returns a function to call when the host becomes active or a standby.
func configureGC(s *entryhost.Settings) (onActive func(active bool)) {
	if s.Capacity.MemoryMB <= 0 {
		return nil
	}
	debug.SetGCPercent(standbyGCPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * s.Capacity.MemoryMB * bytesPerMB))
	return func(active bool) {
		if active {
			debug.SetGCPercent(activeGCPercent)
			return
		}
		debug.SetGCPercent(standbyGCPercent)
	}
}

const (
	// maxMemoryLimitFraction is the fraction of the host's memory up to which the memory limit of
	// the Go runtime is raised. The rest is for the program itself and for the kernel's buffers.
	maxMemoryLimitFraction = 0.7
	// memoryLimitStep is the change of the held bytes from which on the limit is changed, in bytes.
	memoryLimitStep = 8 << 20
)

// raiseMemoryLimit returns a function that raises the memory limit of the Go runtime by the bytes
// that callers make the process hold: collections cannot free them.
func raiseMemoryLimit(s *entryhost.Settings) func(held int64) {
	if s.Capacity.MemoryMB <= 0 {
		return nil
	}
	total := s.Capacity.MemoryMB * bytesPerMB
	steps := int64(0)
	return func(held int64) {
		if held/memoryLimitStep == steps {
			return
		}
		steps = held / memoryLimitStep
		debug.SetMemoryLimit(int64(min(memoryLimitFraction*total+float64(steps*memoryLimitStep), maxMemoryLimitFraction*total)))
	}
}

// beforeStart changes a daemon that has not started. Tests replace it to simulate network faults.
var beforeStart = func(*entryhost.Daemon) {}

func serveEntry(path string, s *entryhost.Settings) error {
	// The signal handler is installed before anything else: the default action of SIGHUP
	// ends the process, and the platform would restart it.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	guard := newStopGuard(s.Bounds.Grace.Value())
	stopping, reload := make(chan struct{}), make(chan struct{}, 1)
	go handleSignals(signals, guard, stopping, reload)
	onActive := configureGC(s)
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
		select {
		case <-flushed:
		case <-time.After(flushTimeout):
		}
	}()
	d, err := entryhost.New(s, events, metrics)
	if err != nil {
		return err
	}
	guard.created(d)
	d.OnActive, d.OnMemory = onActive, raiseMemoryLimit(s)
	beforeStart(d)
	d.Start()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	file := newSettingsFile(path, d, events)
	go file.watch(ctx)
	for {
		select {
		case err := <-d.Failed():
			return errors.Wrap(err, "listener failed")
		case <-reload:
			// A SIGTERM that follows must not wait for the file.
			go file.reload()
		case <-stopping:
			d.Stop()
			return nil
		}
	}
}

// handleSignals passes on signals, also while the daemon starts. Signals that follow the first
// SIGTERM are ignored, so that they do not interrupt requests.
func handleSignals(signals <-chan os.Signal, guard *stopGuard, stopping chan<- struct{}, reload chan<- struct{}) {
	for sig := range signals {
		if sig != syscall.SIGHUP {
			guard.signaled()
			close(stopping)
			break
		}
		select {
		case reload <- struct{}{}:
		default:
		}
	}
	for range signals {
	}
}
