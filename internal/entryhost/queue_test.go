package entryhost_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against requests that are sent into the queue of a full upstream, where they can no longer
// be withdrawn, although the setting makes them wait at the host.
func TestRequestsWaitAtTheHostUntilThereIsRoom(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	u := s.worker("i-1", "s", "a1", 0)
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	t.Cleanup(end)
	s.declare(4, "k1")
	h := s.hostWith("h1", "a1", hostOptions{queue: "on"})
	s.awaitServing()
	before := len(u.Runs())
	u.SetHandler(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.Header().Set("X-Response-Signature", "signed-by-i-1")
	})
	const calls, room = 8, 5 // four slots, and a pipeline of one request
	responses := make(chan response, calls)
	for range calls {
		go func() { responses <- s.read(h) }()
	}
	g.Eventually(func() string { return s.metrics(h) }, 2*time.Second).Should(
		ContainSubstring(`balsambarrow_queue_waiting{service="s",priority="1"} 3` + "\n"))
	g.Expect(u.Runs()).To(HaveLen(before + room))
	end()
	for range calls {
		g.Expect((<-responses).status).To(Equal(http.StatusOK))
	}
	g.Expect(s.metrics(h)).To(ContainSubstring(`balsambarrow_queue_wait_seconds_count{service="s",priority="1",event="sent"} 3` + "\n"))
}
