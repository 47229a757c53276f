package entryhost

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/place"
)

// Guards against a lost response that counts as an end of its upstream because that was replaced long after.
func TestOnlyARestartSoonAfterALostResponseIsAnEnd(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		ended bool
	}{
		"soon": {restartRegistered - time.Millisecond, true},
		"late": {restartRegistered, false},
	} {
		t.Run(name, func(t *testing.T) {
			g, now := NewWithT(t), time.Unix(1000, 0)
			table := place.NewTable(place.Host{Instance: "h", Zone: "a1", Region: "a"}, map[string]string{"a1": "a"})
			upstream := catalog.Upstream{ID: "u", Service: "s", Zone: "a1", Address: "10.0.0.1:1", Slots: 3, State: catalog.StateReady, StartedMs: 1}
			table.PutUpstream(now, upstream)
			choice, err := table.Choose(now, place.Query{Service: "s", Route: "r", Target: time.Second, Remaining: time.Second})
			g.Expect(err).NotTo(HaveOccurred())
			ended := make(chan uint64, 1)
			e := newUpstreamEnds(&Daemon{table: table})
			e.awaitRestart(lostResponse{choice, now, func(instance uint64) { ended <- instance }})
			upstream.StartedMs = 2
			table.PutUpstream(now.Add(c.after), upstream)
			e.registrationsChanged(now.Add(c.after))
			if c.ended {
				g.Eventually(ended, "5s").Should(Receive())
			} else {
				g.Consistently(ended, "200ms").ShouldNot(Receive())
			}
			g.Expect(e.unclear).To(BeEmpty())
		})
	}
}
