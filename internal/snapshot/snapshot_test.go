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

func learnedState() place.LearnedState {
	return place.LearnedState{
		Upstreams: []place.UpstreamState{{ID: "u-1", StartedMs: 7, Objects: []place.WarmObject{
			{Object: 1, Age: time.Second}, {Object: 1<<32 - 1, Age: 19 * time.Second},
		}}},
		Routes: []place.RouteState{{Name: "r", Warm: 108 * time.Millisecond, Cold: 360 * time.Millisecond, ResponseBytes: 5000}},
	}
}

func mustEncode(t *testing.T, m place.LearnedState) []byte {
	data, err := Encode(written, m)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return data
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	g := NewWithT(t)
	read, err := Decode(written, mustEncode(t, learnedState()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(Equal(learnedState()))

	later, err := Decode(written.Add(2*time.Second), mustEncode(t, learnedState()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(later.Upstreams[0].Objects[0].Age).To(Equal(3 * time.Second))

	// The clock of the host that wrote the snapshot is ahead of the clock of this host.
	early, err := Decode(written.Add(-time.Minute), mustEncode(t, learnedState()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(early).To(Equal(learnedState()))
}

// Guards against a host that uses a truncated, changed or foreign snapshot: the host would
// treat cold upstreams as warm, or fail to start.
func TestUnusableSnapshotIsRejected(t *testing.T) {
	complete := mustEncode(t, learnedState())
	changed := append([]byte(nil), complete...)
	changed[len(changed)-1] ^= 1
	cases := []struct {
		name    string
		data    []byte
		readAt  time.Time
		matches func(error) bool
	}{
		{"empty", nil, written, func(err error) bool { return errors.Is(err, ErrCorrupt) }},
		{"truncated", complete[:len(complete)-1], written, func(err error) bool { return errors.Is(err, ErrCorrupt) }},
		{"one bit changed", changed, written, func(err error) bool { return errors.Is(err, ErrCorrupt) }},
		{"other bytes", []byte(`{"instance":"host"}`), written, func(err error) bool { return errors.Is(err, ErrCorrupt) }},
		{"stale", complete, written.Add(maxAge + time.Second), func(err error) bool {
			var stale *StaleError
			return errors.As(err, &stale) && stale.Age == maxAge+time.Second
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := Decode(c.readAt, c.data)
			g.Expect(err).To(HaveOccurred())
			g.Expect(c.matches(err)).To(BeTrue(), "%v", err)
		})
	}
}

// Guards against a snapshot of too many objects: the store would reject the value, and no
// snapshot would be kept at all.
func TestLargeSnapshotKeepsMostRecentObjects(t *testing.T) {
	g := NewWithT(t)
	var m place.LearnedState
	const objectsPerUpstream = 60
	for i := range maxObjects / objectsPerUpstream * 2 {
		u := place.UpstreamState{ID: fmt.Sprintf("upstream-%08d", i)}
		for o := range objectsPerUpstream {
			u.Objects = append(u.Objects, place.WarmObject{Object: place.Object(o), Age: time.Duration(o+1) * 100 * time.Millisecond})
		}
		m.Upstreams = append(m.Upstreams, u)
	}
	data := mustEncode(t, m)
	g.Expect(len(data)).To(BeNumerically("<", 512<<10))
	read, err := Decode(written, data)
	g.Expect(err).NotTo(HaveOccurred())
	objects := 0
	for _, u := range read.Upstreams {
		objects += len(u.Objects)
		for _, o := range u.Objects {
			g.Expect(o.Age).To(BeNumerically("<=", objectsPerUpstream/2*100*time.Millisecond))
		}
	}
	g.Expect(objects).To(BeNumerically(">", maxObjects*9/10))
	g.Expect(objects).To(BeNumerically("<=", maxObjects))
}

// Guards against a snapshot that is written in each pass of the control thread, whether the
// store accepts or rejects the writes.
func TestPacerIntervalDependsOnSize(t *testing.T) {
	g := NewWithT(t)
	var p Pacer
	g.Expect(p.Due(written)).To(BeTrue())
	p.Started(written, 1000)
	g.Expect(p.Due(written.Add(minWriteInterval - 1))).To(BeFalse())
	g.Expect(p.Due(written.Add(minWriteInterval))).To(BeTrue())
	p.Started(written, 10*bytesPerSecond)
	g.Expect(p.Due(written.Add(9 * time.Second))).To(BeFalse())
	g.Expect(p.Due(written.Add(10 * time.Second))).To(BeTrue())
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(written, learnedState())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:9])
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := Decode(written, data); err != nil && err.Error() == "" {
			t.Fatal("the error message is empty")
		}
	})
}
