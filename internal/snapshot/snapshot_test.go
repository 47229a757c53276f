package snapshot

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/place"
)

var written = time.UnixMilli(1_700_000_000_000)

func memory() place.LearnedState {
	return place.LearnedState{
		Upstreams: []place.UpstreamState{{ID: "u-1", StartedAt: 7, Objects: []place.WarmObject{
			{Object: 1, Age: time.Second}, {Object: 1<<32 - 1, Age: 19 * time.Second},
		}}},
		Routes: []place.RouteState{{Name: "r", Warm: 108 * time.Millisecond, Cold: 360 * time.Millisecond, ResponseBytes: 5000}},
	}
}

func encoded(t *testing.T, m place.LearnedState) []byte {
	data, err := Encode(written, m)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return data
}

func TestSnapshotIsReadAsItWasWritten(t *testing.T) {
	g := NewWithT(t)
	read, err := Decode(written, encoded(t, memory()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(Equal(memory()))

	later, err := Decode(written.Add(2*time.Second), encoded(t, memory()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(later.Upstreams[0].Objects[0].Age).To(Equal(3 * time.Second))

	// The clock of the host that wrote it is ahead of this one's.
	early, err := Decode(written.Add(-time.Minute), encoded(t, memory()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(early).To(Equal(memory()))
}

// A snapshot is cut short, changed on the way or of another program. A host that
// went by it would take upstreams for warm that are not, or fail to start.
func TestUnusableSnapshotIsRefused(t *testing.T) {
	whole := encoded(t, memory())
	changed := append([]byte(nil), whole...)
	changed[len(changed)-1] ^= 1
	cases := []struct {
		name string
		data []byte
		at   time.Time
		is   func(error) bool
	}{
		{"empty", nil, written, func(err error) bool { return errors.Is(err, ErrCorrupt) }},
		{"cut short", whole[:len(whole)-1], written, func(err error) bool { return errors.Is(err, ErrCorrupt) }},
		{"one bit changed", changed, written, func(err error) bool { return errors.Is(err, ErrCorrupt) }},
		{"other bytes", []byte(`{"instance":"host"}`), written, func(err error) bool { return errors.Is(err, ErrCorrupt) }},
		{"stale", whole, written.Add(maxAge + time.Second), func(err error) bool {
			var stale *StaleError
			return errors.As(err, &stale) && stale.Age == maxAge+time.Second
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := Decode(c.at, c.data)
			g.Expect(err).To(HaveOccurred())
			g.Expect(c.is(err)).To(BeTrue(), "%v", err)
		})
	}
}

// A fleet with more objects than fit: the value would be refused by the store, and
// nothing be kept at all.
func TestLargeSnapshotKeepsWhatWasUsedLast(t *testing.T) {
	g := NewWithT(t)
	var m place.LearnedState
	const each = 60
	for i := range mostObjects / each * 2 {
		u := place.UpstreamState{ID: fmt.Sprintf("upstream-%08d", i)}
		for o := range each {
			u.Objects = append(u.Objects, place.WarmObject{Object: place.Object(o), Age: time.Duration(o+1) * 100 * time.Millisecond})
		}
		m.Upstreams = append(m.Upstreams, u)
	}
	data := encoded(t, m)
	g.Expect(len(data)).To(BeNumerically("<", 512<<10))
	read, err := Decode(written, data)
	g.Expect(err).NotTo(HaveOccurred())
	objects := 0
	for _, u := range read.Upstreams {
		objects += len(u.Objects)
		for _, o := range u.Objects {
			g.Expect(o.Age).To(BeNumerically("<=", each/2*100*time.Millisecond))
		}
	}
	g.Expect(objects).To(BeNumerically(">", mostObjects*9/10))
	g.Expect(objects).To(BeNumerically("<=", mostObjects))
}

// A store that answers each write must not be written to at every turn, and one
// that refuses all of them neither.
func TestSnapshotsArePacedBySize(t *testing.T) {
	g := NewWithT(t)
	var w Pacer
	g.Expect(w.Due(written)).To(BeTrue())
	w.Started(written, 1000)
	g.Expect(w.Due(written.Add(writeEvery - 1))).To(BeFalse())
	g.Expect(w.Due(written.Add(writeEvery))).To(BeTrue())
	w.Started(written, 10*bytesPerSecond)
	g.Expect(w.Due(written.Add(9 * time.Second))).To(BeFalse())
	g.Expect(w.Due(written.Add(10 * time.Second))).To(BeTrue())
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(written, memory())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:9])
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := Decode(written, data); err != nil && err.Error() == "" {
			t.Fatal("an error without words")
		}
	})
}
