package daemon

import (
	"context"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"balsambarrow/internal/config"
	"balsambarrow/internal/kv"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/view"
)

// Guards against serving a customer that has a staleness limit from a
// configuration older than it seems. The clocks of two hosts differ by minutes,
// and a heartbeat's response takes seconds. The time derived from the response
// must never be later than the actual confirmation.
func TestConfirmationIsNeverTakenForFresher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		ms := func(name string, maximum int) time.Duration {
			return time.Duration(rapid.IntRange(0, maximum*1000).Draw(t, name)) * time.Microsecond
		}
		start := time.Unix(1_000_000, 0)
		confirmedAt := start.Add(ms("confirmed", 10_000))
		respondedAt := confirmedAt.Add(ms("age at the response", 10_000))
		// The request may have been sent long before the response was created.
		sentAt := respondedAt.Add(-ms("request delay", 5000))
		skew := ms("skew", 600_000)
		age := ageMs(confirmedAt.Add(skew), respondedAt.Add(skew))
		g.Expect(confirmationTime(sentAt, age)).To(BeTemporally("<=", confirmedAt))
		g.Expect(confirmedAt.Sub(confirmationTime(sentAt, age))).To(BeNumerically("<=", respondedAt.Sub(sentAt)+2*time.Millisecond))
	})
}

// Guards against treating a version that was never confirmed as confirmed.
func TestMissingConfirmationHasNoTime(t *testing.T) {
	g := NewWithT(t)
	g.Expect(ageMs(time.Time{}, time.Unix(1, 0))).To(BeZero())
	g.Expect(confirmationTime(time.Unix(1, 0), 0)).To(BeZero())
}

// Guards against an age that does not fit into a time.Duration: the version would never become stale.
func TestImpossibleAgeConfirmsNoVersion(t *testing.T) {
	for _, age := range []int64{-1, math.MinInt64, math.MaxInt64, math.MaxInt64/1_000_000 + 1} {
		t.Run(fmt.Sprint(age), func(t *testing.T) {
			NewWithT(t).Expect(confirmationTime(time.Unix(1, 0), age)).To(BeZero())
		})
	}
}

// Guards against a wrong confirmation time from a watch that reports no change. It
// confirms the version until its wait ended, but if the response came before the
// wait could have ended, only until the call was sent.
func TestUnchangedResponseConfirmsTheEndOfTheWatch(t *testing.T) {
	g := NewWithT(t)
	sentAt := time.Unix(1000, 0)
	g.Expect(unchangedUntil(sentAt, sentAt.Add(3*time.Second), 2*time.Second)).To(Equal(sentAt.Add(2 * time.Second)))
	g.Expect(unchangedUntil(sentAt, sentAt.Add(time.Second), 2*time.Second)).To(Equal(sentAt))
}

// laggingWatchStore is a store whose watches report no change although the key has changed.
type laggingWatchStore struct{ kv.Store }

func (laggingWatchStore) Watch(_ context.Context, _ string, after uint64, _ time.Duration) (kv.Changes, error) {
	return kv.Changes{Revision: after}, nil
}

// Guards against confirming a version that hides a withdrawn key. The store drops its
// history, so its watches miss the changes of the last second (watchMaxLag). A watch
// that reports no change must not confirm the version for that second.
func TestWatchDoesNotConfirmItsLastSecond(t *testing.T) {
	g := NewWithT(t)
	c := idleControl(t)
	t.Cleanup(c.d.Kill)
	c.d.store = laggingWatchStore{}
	read := c.d.readConfig(context.Background(), 7, 0)
	g.Expect(read.err).NotTo(HaveOccurred())
	g.Expect(read.watchRevision).To(Equal(uint64(7)))
	g.Expect(read.validAt).To(BeTemporally("<=", time.Now().Add(-watchMaxLag)))
}

// Guards against admitting a withdrawn key after a pause. A host is suspended for ten
// seconds, and a key may have been withdrawn meanwhile. The daemon must admit no
// request until it has verified its version; a check that began before the pause
// does not count.
func TestPausedDaemonAdmitsNoRequestsUntilVerified(t *testing.T) {
	g := NewWithT(t)
	c := idleControl(t)
	t.Cleanup(c.d.Kill)
	start := time.Now()
	record := &config.Record{Version: 1, Document: []byte(seedDocument)}
	recordWritten{activateRecord(record), start}.apply(c)
	c.publish(start)
	g.Expect(c.d.view.Load().Current(start)).To(BeTrue())

	resumed := start.Add(10 * time.Second)
	g.Expect(c.d.view.Load().Current(resumed)).To(BeFalse(), "before the control thread has run")
	c.publish(resumed)
	g.Expect(c.d.view.Load().Current(resumed)).To(BeFalse(), "after the control thread has run")
	storeReadResult{watchRevision: 1, parsed: activateRecord(record), validAt: start}.apply(c)
	c.publish(resumed)
	g.Expect(c.d.view.Load().Current(resumed)).To(BeFalse(), "a response to a read from before the pause")
	peerPollDone{started: resumed}.apply(c)
	c.publish(resumed)
	g.Expect(c.d.view.Load().Current(resumed)).To(BeTrue(), "every reachable peer was polled")
}

// Guards against rejecting a customer that has a staleness limit although a peer
// could confirm the version. A zone cannot reach the store, and its only reachable
// peer sends heartbeats just before each of the daemon's own. A daemon that always
// skips peers it has just received a heartbeat from would never send one to this
// peer, and only the response to its own heartbeat confirms its version.
func TestUnconfirmedDaemonSendsHeartbeatsToActivePeers(t *testing.T) {
	g := NewWithT(t)
	c := idleControl(t)
	t.Cleanup(c.d.Kill)
	const peer = "127.0.0.1:2"
	now := time.Now()
	c.config.confirmedAt = now
	c.contacts().RecordResponse(peer, now)
	targeted := map[time.Duration]bool{}
	for since := time.Duration(0); since < 10*time.Second; since += membership.HeartbeatInterval {
		heartbeatAt := now.Add(since)
		c.contacts().RecordHeartbeat(peer, heartbeatAt.Add(-100*time.Millisecond))
		targeted[since] = slices.Contains(c.heartbeatTargets(false, heartbeatAt), peer)
	}
	g.Expect(targeted[membership.HeartbeatInterval]).To(BeFalse(), "heartbeats were just exchanged and the confirmation is recent")
	for since, isTarget := range targeted {
		g.Expect(isTarget).To(Equal(since > maxConfirmationAge), since.String())
	}
}

// Guards against taking a busy control thread for a suspended process: a snapshot
// that is published within its maximum age stays valid.
func TestBusyControlThreadIsNotAPause(t *testing.T) {
	g := NewWithT(t)
	c := idleControl(t)
	t.Cleanup(c.d.Kill)
	start := time.Now()
	recordWritten{activateRecord(&config.Record{Version: 1, Document: []byte(seedDocument)}), start}.apply(c)
	c.publish(start)
	c.publish(start.Add(view.MaxAge))
	g.Expect(c.d.view.Load().Current(start.Add(view.MaxAge))).To(BeTrue())
}
