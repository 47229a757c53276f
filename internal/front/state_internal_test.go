package front

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a caller that waits in vain, because nothing gets what the state lacks.
func TestWaitingRequestRefreshesEachStateThatDoesNotSuffice(t *testing.T) {
	now := time.Unix(100, 0)
	for name, first := range map[string]State{
		"upstreams missing": {Standby: true, ConfirmedAt: now},
		"state stale":       {Standby: true, UpstreamsKnown: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			complete := State{Standby: true, UpstreamsKnown: true, ConfirmedAt: now}
			state, refreshes, waits := first, 0, 0
			h := New(Deps{
				State:   func() *State { return &state },
				Refresh: func() { refreshes++ },
				Updates: func() <-chan struct{} {
					if waits++; waits > 1 {
						state = complete
					}
					updated := make(chan struct{})
					close(updated)
					return updated
				},
			})
			q := &request{http: httptest.NewRequest(http.MethodGet, "/", nil)}
			got := h.awaitState(q, time.Minute, h.Refresh, func(s *State) bool { return s.sufficesAt(now) })
			g.Expect(*got).To(Equal(complete))
			g.Expect(refreshes).To(Equal(1))
		})
	}
}

// Guards against an alarm for a state that was confirmed while its request waited, and none for one of the future.
func TestUnusualAgeOfAState(t *testing.T) {
	arrived := time.Unix(1000, 0)
	now := arrived.Add(time.Second)
	for name, c := range map[string]struct {
		confirmedAt time.Time
		want        bool
	}{
		"confirmed before the arrival":    {arrived.Add(-loggedAge), false},
		"confirmed long before":           {arrived.Add(-loggedAge - time.Millisecond), true},
		"confirmed while it waited":       {arrived.Add(300 * time.Millisecond), false},
		"confirmed as of the future":      {now.Add(time.Millisecond), true},
		"confirmed far in the future":     {now.AddDate(236, 0, 0), true},
		"confirmed at the present moment": {now, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := State{ConfirmedAt: c.confirmedAt}
			NewWithT(t).Expect(s.unusualAge(arrived, now)).To(Equal(c.want))
		})
	}
}
