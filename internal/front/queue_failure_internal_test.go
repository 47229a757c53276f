package front

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/place"
)

// fullHost is a host whose upstreams have no room: they are filled by running requests.
type fullHost struct {
	*simFleet
	host    *Handler
	running []runningChoice
}

type runningChoice struct {
	q *request
	c place.Choice
}

// newFullHost fills the upstreams of a host.
func newFullHost(t *testing.T) *fullHost {
	f := &fullHost{simFleet: newSimFleet(t, 1, true, asUsual, "a")}
	f.host = f.hosts[0]
	left, leave := context.WithCancel(t.Context())
	leave()
	for {
		q := f.request(t.Context(), patient())
		choice, err := f.host.choose(left, q)
		if err != nil {
			clear(f.events)
			return f
		}
		f.running = append(f.running, runningChoice{q, choice})
	}
}

// end ends a running request.
func (f *fullHost) end() {
	r := f.running[0]
	f.running = f.running[1:]
	f.host.done(r.q, r.c, place.Report{Result: place.Canceled})
}

// waiting starts a request that finds no room, and returns the channel of its outcome.
func (f *fullHost) waiting(ctx context.Context, k loadKind) chan error {
	out := make(chan error, 1)
	go func() {
		q := f.request(ctx, k)
		_, err := f.host.choose(ctx, q)
		if err != nil {
			f.host.placementRefusal(q, err)
		}
		out <- err
	}()
	synctest.Wait()
	return out
}

func patient() loadKind {
	k := steady("a", 0)
	k.target = 1500 * time.Millisecond
	return k
}

func cause(err error) Cause {
	var waited *waitError
	if errors.As(err, &waited) {
		return waited.refusal.cause
	}
	return ""
}

// Guards against a slot that stays free until a timer while a request waits.
func TestFreedRoomIsUsedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFullHost(t)
		out := f.waiting(t.Context(), patient())
		g.Expect(out).To(BeEmpty())
		began := time.Now()
		f.end()
		g.Expect(<-out).To(Succeed())
		g.Expect(time.Since(began)).To(BeZero())
	})
}

// Guards against work for a caller that has left while its request waited.
func TestCallerThatLeavesIsRemovedFromTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFullHost(t)
		ctx, leave := context.WithCancel(t.Context())
		gone, next := f.waiting(ctx, patient()), f.waiting(t.Context(), patient())
		began := time.Now()
		leave()
		g.Expect(cause(<-gone)).To(Equal(CauseCallerLeft))
		g.Expect(time.Since(began)).To(BeZero())
		f.end()
		g.Expect(<-next).To(Succeed())
		g.Expect(f.events).To(HaveKeyWithValue(QueueLeft, 1))
	})
}

// Guards against requests that a planned stop cuts off while they wait, and against a queue that is
// held until the end of the stop.
func TestPlannedStopRefusesWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFullHost(t)
		var waiting []chan error
		for range 20 {
			waiting = append(waiting, f.waiting(t.Context(), patient()))
		}
		began := time.Now()
		f.stopsAt = began.Add(500 * time.Millisecond)
		f.host.StopBegun()
		for _, out := range waiting {
			g.Expect(cause(<-out)).To(Equal(CauseStopping))
		}
		g.Expect(time.Since(began)).To(BeZero())
	})
}

// Guards against a request that waits forever because the notice of free room was lost.
func TestLostNoticeDelaysButStrandsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFullHost(t)
		out := f.waiting(t.Context(), patient())
		began := time.Now()
		f.host.Table.Done(began, f.running[0].c, place.Report{Result: place.Canceled})
		g.Expect(<-out).To(Succeed())
		g.Expect(time.Since(began)).To(BeNumerically("<", patient().target/3))
	})
}

// Guards against requests that are held until their deadline although no upstream is left.
func TestLossOfAllUpstreamsEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFullHost(t)
		first, second := f.waiting(t.Context(), patient()), f.waiting(t.Context(), patient())
		for id := range f.upstreams {
			f.host.Table.RemoveUpstream(time.Now(), id)
		}
		began := time.Now()
		f.end()
		var none *place.NoUpstreamError
		g.Expect(errors.As(<-first, &none)).To(BeTrue())
		g.Expect(errors.As(<-second, &none)).To(BeTrue())
		g.Expect(time.Since(began)).To(BeZero())
	})
}

// Guards against requests that are held although too many others are served before them.
func TestRequestWhoseTurnCannotComeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFullHost(t)
		began, refusals := time.Now(), 0
		for range 1000 {
			select {
			case err := <-f.waiting(t.Context(), patient()):
				refusals++
				g.Expect(cause(err)).To(Equal(CauseOverloaded))
				g.Expect(strings.Contains(f.host.placementRefusal(nil, err).reason.Error(), "position")).To(BeTrue())
			default:
			}
		}
		g.Expect(refusals).To(BeNumerically(">", 0))
		g.Expect(time.Since(began)).To(BeZero())
		time.Sleep(loadTimeout)
		synctest.Wait()
	})
}
