package upstream

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/wire"
)

// shed lets the upstream of a ticket shed its request and ask for a pause.
func shed(t *Ticket, retryAfter time.Duration) {
	t.Done(Result{Shed: true, Failed: true, Took: time.Millisecond, RetryAfter: retryAfter})
}

// Guards against requests to an upstream that has shed one and asked for a pause.
func TestShedRequestPausesItsUpstream(t *testing.T) {
	g := NewWithT(t)
	h := NewHandler()
	h.Assign(lookupConfig(nil), lookupUpstreams("u1", "u2"), false)
	first := acquire(g, h)
	shed(first, time.Minute)
	var running []*Ticket
	for range 2 {
		running = append(running, acquire(g, h))
		g.Expect(running[len(running)-1].Upstream).NotTo(Equal(first.Upstream))
	}
	g.Expect(h.Headroom()["lookup"].Free).To(BeZero(), "peers must not count on the paused upstream")
	for _, ticket := range running {
		ticket.Done(Result{Took: time.Millisecond})
	}
}

// Guards against requests that wait for upstreams which are all paused, until their deadlines.
func TestRequestIsRefusedWhileAllUpstreamsPause(t *testing.T) {
	g := NewWithT(t)
	h := NewHandler()
	h.Assign(lookupConfig(nil), lookupUpstreams("u1"), false)
	running, other := acquire(g, h), acquire(g, h)
	waiting := make(chan *wire.Problem)
	go func() {
		r := lookupRequest("a")
		r.Deadline = time.Now().Add(30 * time.Second)
		_, problem := h.Acquire(context.Background(), r)
		waiting <- problem
	}()
	g.Eventually(func() int { return h.Headroom()["lookup"].Queued }, "5s", "1ms").Should(Equal(1))
	shed(running, time.Minute)
	problems := []*wire.Problem{<-waiting}
	other.Done(Result{Took: time.Millisecond})
	_, problem := h.Acquire(context.Background(), lookupRequest("a"))
	for _, p := range append(problems, problem) {
		g.Expect(p).NotTo(BeNil())
		g.Expect(p.Type).To(Equal(wire.TypeNoRoom))
		g.Expect(p.Outcome).To(Equal(wire.OutcomeNotRun))
		g.Expect(p.RetryAfterMs).To(BeNumerically("~", time.Minute.Milliseconds(), 5000))
	}
}

// Guards against queued requests that nobody starts when the last pause has ended.
func TestQueuedRequestStartsWhenThePauseEnds(t *testing.T) {
	g := NewWithT(t)
	h := NewHandler()
	h.Assign(lookupConfig(nil), lookupUpstreams("u1"), false)
	running, other := acquire(g, h), acquire(g, h)
	started := make(chan *Ticket)
	go func() {
		ticket, _ := h.Acquire(context.Background(), lookupRequest("a"))
		started <- ticket
	}()
	g.Eventually(func() int { return h.Headroom()["lookup"].Queued }, "5s", "1ms").Should(Equal(1))
	shed(running, 50*time.Millisecond)
	other.Done(Result{Took: time.Millisecond})
	var ticket *Ticket
	g.Eventually(started, "10s").Should(Receive(&ticket))
	g.Expect(ticket).NotTo(BeNil())
	ticket.Done(Result{Took: time.Millisecond})
}

// Guards against delays that are misread.
func TestRetryAfterOfShedResponse(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 0, "3": 3 * time.Second, "0.5": 500 * time.Millisecond, "0": 0, "-1": 0, "soon": 0, "NaN": 0, "Inf": 0, "1e30": time.Minute, "1e999": time.Minute,
	} {
		header := http.Header{}
		if value != "" {
			header.Set("Retry-After", value)
		}
		got, err := parseRetryAfter(header)
		NewWithT(t).Expect(got).To(Equal(want), value)
		valid := value == "" || value == "0" || want > 0
		NewWithT(t).Expect(err == nil).To(Equal(valid), value)
	}
}
