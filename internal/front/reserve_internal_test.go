package front

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/place"
)

// fakeRoom refuses the first requests for room, of which it knows others at the upstream.
type fakeRoom struct {
	table   *place.Table
	now     time.Time
	refuses int
	asked   []string
}

// Reserve implements Room.
func (r *fakeRoom) Reserve(c place.Choice, _ string, _ time.Time) (place.Choice, bool) {
	r.asked = append(r.asked, c.ID)
	others := 0
	if len(r.asked) <= r.refuses {
		others = 2 * c.Room.Slots
	}
	r.table.ObserveRoom(r.now, c.Room.Upstream, others)
	return c.WithRoom(others), others == 0
}

// Release implements Room.
func (r *fakeRoom) Release(place.Choice, place.Report) {}

// Guards against requests that are refused, or sent to an upstream without room, while another one has
// room.
func TestRefusedRoomIsSoughtElsewhere(t *testing.T) {
	for _, c := range []struct {
		name               string
		upstreams, refuses int
		served             bool
		asked              int
	}{
		{"the first upstream has room", 4, 0, true, 1},
		{"the third has room", 4, 2, true, 3},
		{"three have none", 9, 3, false, 3},
		{"the only one has none", 1, 1, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(1000, 0)
			table := place.NewTable(place.Host{Instance: "h", Zone: "a1", Region: "a"}, map[string]string{"a1": "a"})
			for i := range c.upstreams {
				table.PutUpstream(now, catalog.Upstream{ID: fmt.Sprint("u-", i), Service: "s", Zone: "a1", Slots: 3, State: catalog.StateReady})
			}
			r := &fakeRoom{table: table, now: now, refuses: c.refuses}
			h := &Handler{Deps: Deps{Table: table, Room: r, Now: func() time.Time { return now }}}
			query := place.Query{Service: "s", Route: "r", Target: 4 * time.Second, Remaining: 4 * time.Second}
			choice, err := h.chooseWithRoom(&request{service: "s", deadline: now.Add(time.Second)}, query, func() {})
			g.Expect(r.asked).To(HaveLen(c.asked))
			if c.served {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(choice.ID).To(Equal(r.asked[c.asked-1]))
				return
			}
			var full *place.QueueLimitError
			g.Expect(errors.As(err, &full)).To(BeTrue())
			g.Expect(full.NoRoom).To(BeTrue())
			choice, err = table.Choose(now, query)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(choice.Known.Own).To(BeZero(), "a refused choice does not count")
		})
	}
}
