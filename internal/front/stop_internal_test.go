package front

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
)

// Guards against late requests that a stopping host accepts because recent ones were short, and breaks off.
func TestStoppingHostTrustsForecastsOnlyForCallersThatCannotKnow(t *testing.T) {
	began := time.Unix(1000, 0)
	stop := Stop{At: began.Add(5500 * time.Millisecond), LearnedBy: began.Add(2 * time.Second)}
	for name, c := range map[string]struct {
		arrived, limit time.Duration // since the stop began
		accepted       bool
	}{
		"cannot know of the stop":            {2 * time.Second, 8 * time.Second, true},
		"can know of the stop":               {2*time.Second + time.Millisecond, 8 * time.Second, false},
		"shortly before the listener closes": {3200 * time.Millisecond, 5700 * time.Millisecond, false},
		"time limit ends with the stop":      {3200 * time.Millisecond, 5500 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := began.Add(c.arrived)
			h := New(Deps{Now: func() time.Time { return now }, Stop: func() Stop { return stop }})
			recent := &request{arrived: now.Add(-500 * time.Millisecond), route: &catalog.Route{Name: "r"}}
			h.latencies.start(recent)
			h.latencies.end(now, recent, true)
			q := &request{arrived: now, route: recent.route, timeLimit: began.Add(c.limit), deadline: began.Add(c.limit)}
			refused := h.checkStop(q)
			g.Expect(refused == nil).To(Equal(c.accepted))
			if c.accepted {
				g.Expect(q.deadline.After(stop.At)).To(BeFalse())
			} else {
				g.Expect(refused.cause).To(Equal(CauseStopping))
			}
		})
	}
}

// Guards against a request that a planned stop has ended and the log shows as one that was too slow.
func TestTimeoutNamesThePlannedStop(t *testing.T) {
	g := NewWithT(t)
	limit := time.Unix(1000, 0)
	h := New(Deps{})
	for _, sends := range []int{0, 1} {
		q := &request{
			http: httptest.NewRequest(http.MethodGet, "/", nil), body: &body{}, attempts: attempts{sends: sends},
			timeLimit: limit, deadline: limit,
		}
		g.Expect(h.timeoutRefusal(q).reason).To(Succeed())
		q.deadline = limit.Add(-time.Millisecond)
		g.Expect(h.timeoutRefusal(q).reason).To(MatchError(errEndOfStop))
	}
}
