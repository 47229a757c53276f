package main

import (
	"context"
	"os"
	"sync"
	"time"

	"balsambarrow/internal/entryhost"
	"balsambarrow/internal/telemetry"
)

// settingsFile applies changes of the settings file to a running daemon.
type settingsFile struct {
	path   string
	daemon *entryhost.Daemon
	events *telemetry.Events

	mu         sync.Mutex
	modifiedAt time.Time
}

func newSettingsFile(path string, d *entryhost.Daemon, events *telemetry.Events) *settingsFile {
	return &settingsFile{path: path, daemon: d, events: events, modifiedAt: modTime(path)}
}

// watch reloads the file when its modification time changes, until ctx ends.
func (f *settingsFile) watch(ctx context.Context) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		f.mu.Lock()
		unchanged := modTime(f.path).Equal(f.modifiedAt)
		f.mu.Unlock()
		if !unchanged {
			f.reload()
		}
	}
}

// reload applies the settings in the file. If they are invalid, it keeps the current
// settings and logs the error.
func (f *settingsFile) reload() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.modifiedAt = modTime(f.path)
	s, err := entryhost.LoadSettings(f.path)
	if err != nil {
		f.events.Warn("settings not reloaded", "error", err)
		return
	}
	f.daemon.Reload(s)
}

// modTime returns the modification time of the file, or the zero time if the file cannot be
// read. In that case reload logs the error.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
