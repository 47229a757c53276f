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
	// format of the snapshots that this version writes and reads.
	format = 1
	// checksumBytes precede the message.
	checksumBytes = 8
	// maxAge is the age from which a snapshot says nothing: upstreams have handled
	// other objects since.
	maxAge = place.WarmTTL
	// mostObjects keeps a snapshot well below the largest value that the store takes;
	// those that were used longest ago are left out.
	mostObjects = 40_000
)

// Errors of Decode; test with errors.Is.
var (
	// ErrBroken says that the bytes are not a whole snapshot.
	ErrCorrupt = errors.New("snapshot: broken")
	// ErrFormat says that another version of the program wrote it.
	ErrFormat = errors.New("snapshot: unknown format")
)

// StaleError says that a snapshot is too old to be of use.
type StaleError struct{ Age time.Duration }

func (e *StaleError) Error() string { return fmt.Sprintf("snapshot: %v old", e.Age) }

// Encode writes what is known at the time of day wall.
func Encode(wall time.Time, m place.LearnedState) ([]byte, error) {
	s := &Snapshot{Format: format, WrittenMs: wall.UnixMilli()}
	oldest := oldestKept(m)
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

// oldestKept is the age up to which mostObjects are left.
func oldestKept(m place.LearnedState) time.Duration {
	var ages []time.Duration
	for _, u := range m.Upstreams {
		for _, o := range u.Objects {
			ages = append(ages, o.Age)
		}
	}
	if len(ages) <= mostObjects {
		return maxAge
	}
	slices.Sort(ages)
	return ages[mostObjects] - 1
}

func encodeUpstream(u place.UpstreamState, oldest time.Duration) *Upstream {
	out := &Upstream{Id: u.ID, Born: u.StartedAt}
	for _, o := range u.Objects {
		if o.Age > oldest {
			continue
		}
		out.Objects = append(out.Objects, uint32(o.Object))
		out.AgeMs = append(out.AgeMs, uint32(o.Age.Milliseconds()))
	}
	return out
}

// Decode reads a snapshot at the time of day wall, with ages as of then. The
// clocks of hosts differ: one written in the future counts as just written.
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
	return s.memory(age), nil
}

func (s *Snapshot) memory(age time.Duration) place.LearnedState {
	var m place.LearnedState
	for _, u := range s.Upstreams {
		known := place.UpstreamState{ID: u.Id, StartedAt: u.Born}
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
