package snapshot

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"balsambarrow/internal/place"
)

const (
	// format is the version of the snapshot format that is written and read.
	format = 1
	// checksumBytes is the size of the checksum that precedes the message.
	checksumBytes = 8
	// maxAge is the age after which a snapshot is of no use: upstreams have handled
	// other objects since.
	maxAge = place.WarmTTL
	// maxObjects is the largest number of objects in a snapshot. It keeps a snapshot
	// well below the largest value that the store accepts. The least recently used
	// objects are omitted.
	maxObjects = 40_000
)

// Errors of Decode; test with errors.Is.
var (
	// ErrCorrupt reports that the bytes are not a complete snapshot.
	ErrCorrupt = errors.New("snapshot: corrupt")
	// ErrFormat reports that the snapshot was written by an incompatible version of the
	// program.
	ErrFormat = errors.New("snapshot: unknown format")
)

// StaleError reports a snapshot that is too old to be of use.
type StaleError struct{ Age time.Duration }

func (e *StaleError) Error() string { return fmt.Sprintf("snapshot: stale: %v old", e.Age) }

// Encode returns the snapshot of the learned state m at the wall clock time wall.
func Encode(wall time.Time, m place.LearnedState) ([]byte, error) {
	s := &Snapshot{Format: format, WrittenMs: wall.UnixMilli()}
	oldest := maxKeptAge(m)
	for _, u := range m.Upstreams {
		s.Upstreams = append(s.Upstreams, encodeUpstream(u, oldest))
	}
	for _, r := range m.Routes {
		s.Routes = append(s.Routes, &Route{
			Name: r.Name, Bytes: uint32(r.ResponseBytes),
			WarmUs: uint32(r.Warm.Microseconds()), ColdUs: uint32(r.Cold.Microseconds()),
		})
	}
	body, err := proto.Marshal(s)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)), body...), nil
}

// maxKeptAge returns the age up to which objects are kept, so that at most maxObjects
// remain.
func maxKeptAge(m place.LearnedState) time.Duration {
	var ages []time.Duration
	for _, u := range m.Upstreams {
		for _, o := range u.Objects {
			ages = append(ages, o.Age)
		}
	}
	if len(ages) <= maxObjects {
		return maxAge
	}
	slices.Sort(ages)
	return ages[maxObjects] - 1
}

func encodeUpstream(u place.UpstreamState, oldest time.Duration) *Upstream {
	out := &Upstream{Id: u.ID, Born: u.StartedMs}
	for _, o := range u.Objects {
		if o.Age > oldest {
			continue
		}
		out.Objects = append(out.Objects, uint32(o.Object))
		out.AgeMs = append(out.AgeMs, uint32(o.Age.Milliseconds()))
	}
	return out
}

// Decode returns the learned state of a snapshot, with ages as of the wall clock time
// wall. The clocks of hosts differ, so a snapshot that seems to have been written in the
// future counts as just written.
func Decode(wall time.Time, data []byte) (place.LearnedState, error) {
	if len(data) < checksumBytes {
		return place.LearnedState{}, errors.WithStack(ErrCorrupt)
	}
	body := data[checksumBytes:]
	if binary.BigEndian.Uint64(data) != xxhash.Sum64(body) {
		return place.LearnedState{}, errors.WithStack(ErrCorrupt)
	}
	var s Snapshot
	if err := proto.Unmarshal(body, &s); err != nil {
		return place.LearnedState{}, errors.Wrap(ErrCorrupt, err.Error())
	}
	if s.Format != format {
		return place.LearnedState{}, errors.Wrapf(ErrFormat, "format %d", s.Format)
	}
	age := max(wall.Sub(time.UnixMilli(s.WrittenMs)), 0)
	if age > maxAge {
		return place.LearnedState{}, &StaleError{age}
	}
	return s.learnedState(age), nil
}

func (s *Snapshot) learnedState(age time.Duration) place.LearnedState {
	var m place.LearnedState
	for _, u := range s.Upstreams {
		known := place.UpstreamState{ID: u.Id, StartedMs: u.Born}
		for i, o := range u.Objects[:min(len(u.Objects), len(u.AgeMs))] {
			since := age + time.Duration(u.AgeMs[i])*time.Millisecond
			known.Objects = append(known.Objects, place.WarmObject{Object: place.Object(o), Age: since})
		}
		m.Upstreams = append(m.Upstreams, known)
	}
	for _, r := range s.Routes {
		m.Routes = append(m.Routes, place.RouteState{
			Name: r.Name, ResponseBytes: int(r.Bytes),
			Warm: time.Duration(r.WarmUs) * time.Microsecond, Cold: time.Duration(r.ColdUs) * time.Microsecond,
		})
	}
	return m
}
