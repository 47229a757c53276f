package snapshot

import "time"

const (
	// minWriteInterval is the least time between two snapshots. It is longer than the
	// timeout of a call to the store. State learned since the last snapshot is lost if
	// all hosts end.
	minWriteInterval = 2 * time.Second
	// bytesPerSecond limits the load of snapshots on the store and on the hosts that watch
	// it: a large snapshot is written less often.
	bytesPerSecond = 16 << 10
)

// Pacer limits how often a host writes snapshots. With the zero value, a snapshot is due
// at once. It is not safe for concurrent use.
type Pacer struct{ nextDue time.Time }

// Due reports whether a snapshot should be written now.
func (p *Pacer) Due(now time.Time) bool { return !now.Before(p.nextDue) }

// Started records that the write of a snapshot of the given size has started.
func (p *Pacer) Started(now time.Time, bytes int) {
	p.nextDue = now.Add(max(minWriteInterval, time.Duration(bytes)*time.Second/bytesPerSecond))
}
