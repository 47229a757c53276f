package front

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against reads of the store while a host waits for upstreams, which peers send.
func TestWaitingForUpstreamsDoesNotRefresh(t *testing.T) {
	now := time.Unix(100, 0)
	for name, c := range map[string]struct {
		first     State
		refreshes int
	}{
		"upstreams missing": {State{Standby: true, ConfirmedAt: now}, 0},
		"state stale":       {State{Standby: true, UpstreamsKnown: true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			complete := State{Standby: true, UpstreamsKnown: true, ConfirmedAt: now}
			state, refreshes, waits := c.first, 0, 0
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
			got := h.awaitState(q, time.Minute, h.refreshStale, func(s *State) bool { return s.sufficesAt(now) })
			g.Expect(*got).To(Equal(complete))
			g.Expect(refreshes).To(Equal(c.refreshes))
		})
	}
}
