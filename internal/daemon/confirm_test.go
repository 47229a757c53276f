package daemon

import (
	"context"
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

// The clocks of two hosts differ by minutes, and a heartbeat's answer takes
// seconds. A customer with a bound on staleness must not be served by a
// configuration that is older than it seems, so the time that is derived from
// the answer must never be later than the confirmation.
func TestConfirmationIsNeverTakenForFresher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most*1000).Draw(t, name)) * time.Microsecond
		}
		zero := time.Unix(1_000_000, 0)
		confirmed := zero.Add(ms("confirmed", 10_000))
		built := confirmed.Add(ms("age when the answer was made", 10_000))
		// The call may have left long before its answer was made.
		asked := built.Add(-ms("way there", 5000))
		skew := ms("skew", 600_000)
		age := ageMs(confirmed.Add(skew), built.Add(skew))
		g.Expect(confirmationTime(asked, age)).To(BeTemporally("<=", confirmed))
		g.Expect(confirmed.Sub(confirmationTime(asked, age))).To(BeNumerically("<=", built.Sub(asked)+2*time.Millisecond))
	})
}

func TestConfirmationThatNeverWas(t *testing.T) {
	g := NewWithT(t)
	g.Expect(ageMs(time.Time{}, time.Unix(1, 0))).To(BeZero())
	g.Expect(confirmationTime(time.Unix(1, 0), 0)).To(BeZero())
}

func TestUnchangedAnswerConfirmsTheEndOfItsWait(t *testing.T) {
	g := NewWithT(t)
	asked := time.Unix(1000, 0)
	g.Expect(unchangedUntil(asked, asked.Add(3*time.Second), 2*time.Second)).To(Equal(asked.Add(2 * time.Second)))
	g.Expect(unchangedUntil(asked, asked.Add(time.Second), 2*time.Second)).To(Equal(asked))
}

// deafStore is a store whose watches bring nothing, although the key has changed.
type deafStore struct{ kv.Store }

func (deafStore) Watch(_ context.Context, _ string, after uint64, _ time.Duration) (kv.Changes, error) {
	return kv.Changes{Revision: after}, nil
}

// The store drops its history, and its watches hear nothing of changes for a second
// before. A key was withdrawn in that second. A watch that brought nothing must not
// confirm the version for the time in which it may have been deaf.
func TestWatchConfirmsNothingOfItsLastSecond(t *testing.T) {
	g := NewWithT(t)
	c := idleControl(t)
	t.Cleanup(c.d.Kill)
	c.d.store = deafStore{}
	read := c.d.readConfig(context.Background(), 7, 0)
	g.Expect(read.err).NotTo(HaveOccurred())
	g.Expect(read.watchRevision).To(Equal(uint64(7)))
	g.Expect(read.validAt).To(BeTemporally("<=", time.Now().Add(-watchMaxLag)))
}

// A host is frozen for ten seconds and goes on. A key may have been withdrawn
// meanwhile, so it must admit nobody until it has compared its version; a
// comparison that began before the freeze does not count.
func TestPausedDaemonAdmitsNobodyUntilItHasCaughtUp(t *testing.T) {
	g := NewWithT(t)
	c := idleControl(t)
	t.Cleanup(c.d.Kill)
	start := time.Now()
	record := &config.Record{Version: 1, Document: []byte(seed)}
	recordWritten{activateRecord(record), start}.apply(c)
	c.publish(start)
	g.Expect(c.d.view.Load().Current(start)).To(BeTrue())

	resumed := start.Add(10 * time.Second)
	g.Expect(c.d.view.Load().Current(resumed)).To(BeFalse(), "before the control thread has turned")
	c.publish(resumed)
	g.Expect(c.d.view.Load().Current(resumed)).To(BeFalse(), "after it has turned")
	storeReadResult{watchRevision: 1, parsed: activateRecord(record), validAt: start}.apply(c)
	c.publish(resumed)
	g.Expect(c.d.view.Load().Current(resumed)).To(BeFalse(), "an answer from before the pause")
	peerPollDone{started: resumed}.apply(c)
	c.publish(resumed)
	g.Expect(c.d.view.Load().Current(resumed)).To(BeTrue(), "every reachable peer was asked")
}

// A zone is cut off from the store and reaches one peer, whose heartbeats come
// just before each of its own. A customer with a bound on staleness stayed
// refused there for as long as that order held: the daemon had always just
// heard the peer, never asked it, and only an answer confirms.
func TestUnconfirmedDaemonAsksPeersThatItHears(t *testing.T) {
	g := NewWithT(t)
	c := idleControl(t)
	t.Cleanup(c.d.Kill)
	const peer = "127.0.0.1:2"
	now := time.Now()
	c.config.confirmedAt = now
	c.contacts().RecordResponse(peer, now)
	asked := map[time.Duration]bool{}
	for since := time.Duration(0); since < 10*time.Second; since += membership.HeartbeatInterval {
		beat := now.Add(since)
		c.contacts().RecordHeartbeat(peer, beat.Add(-100*time.Millisecond))
		asked[since] = slices.Contains(c.heartbeatTargets(false, beat), peer)
	}
	g.Expect(asked[membership.HeartbeatInterval]).To(BeFalse(), "both have each other's account and a fresh confirmation")
	for since, asks := range asked {
		g.Expect(asks).To(Equal(since > maxConfirmationAge), since.String())
	}
}

func TestBusyControlThreadIsNoPause(t *testing.T) {
	g := NewWithT(t)
	c := idleControl(t)
	t.Cleanup(c.d.Kill)
	start := time.Now()
	recordWritten{activateRecord(&config.Record{Version: 1, Document: []byte(seed)}), start}.apply(c)
	c.publish(start)
	c.publish(start.Add(view.MaxAge))
	g.Expect(c.d.view.Load().Current(start.Add(view.MaxAge))).To(BeTrue())
}
