package snapshot

import "time"

const (
	// writeEvery is the shortest time between two snapshots, above the bound of a call
	// to the store. What is learned within it is lost if all hosts end.
	writeEvery = 2 * time.Second
	// bytesPerSecond bounds what snapshots cost the store and those that watch it:
	// a large one is written less often.
	bytesPerSecond = 16 << 10
)

// Writer paces the snapshots of the host that writes them. The zero value writes
// at once. It is not safe for concurrent use.
type Pacer struct{ next time.Time }

// Due tells whether a snapshot is to be written now.
func (w *Pacer) Due(now time.Time) bool { return !now.Before(w.next) }

// Began notes that a snapshot of so many bytes is being written.
func (w *Pacer) Started(now time.Time, bytes int) {
	w.next = now.Add(max(writeEvery, time.Duration(bytes)*time.Second/bytesPerSecond))
}
