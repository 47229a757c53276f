package main

import (
	"context"
	"os"
	"sync"
	"time"

	"balsambarrow/internal/entryhost"
	"balsambarrow/internal/telemetry"
)

// settingsFile follows the settings file of a running daemon.
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

// follow reloads the file when it changes, until ctx ends.
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

// reload takes the file over, or keeps the settings in force and says why.
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

// modified is when the file was written last; the zero time if that cannot be
// told, which reload then reports.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
