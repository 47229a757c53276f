package suspect_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/suspect"
)

const (
	simulatedHosts = 6
	// maxTransit is the longest time that a message between hosts takes.
	maxTransit = 60 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats of a host.
	heartbeatInterval = 250 * time.Millisecond
)

type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation is a fleet whose callers repeat one request under which each upstream ends.
type simulation struct {
	random *rand.Rand
	now    time.Time
	queue  eventQueue
	hosts  []*suspect.Tracker
	// loss is the part of messages that are lost. sides separates hosts that do not reach each other.
	loss  float64
	sides [simulatedHosts]int
	// ends are the times at which upstreams ended, and begins those at which attempts began.
	ends   []time.Time
	begins []begun
	// startedAt is when each host last started.
	startedAt [simulatedHosts]time.Time
}

// begun is an attempt that began at a host at a time.
type begun struct {
	at   time.Time
	host int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 0)), now: start}
	for i := range simulatedHosts {
		s.hosts = append(s.hosts, newTracker())
		s.after(s.upTo(heartbeatInterval), func() { s.heartbeat(i) })
	}
	return s
}

func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.queue, event{s.now.Add(d), do})
}

func (s *simulation) run(span time.Duration) {
	for end := s.now.Add(span); len(s.queue) > 0 && s.queue[0].at.Before(end); {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

func (s *simulation) send(from int, reports []suspect.Report) {
	for to := range s.hosts {
		if to == from || len(reports) == 0 || s.random.Float64() < s.loss || s.sides[from] != s.sides[to] {
			continue
		}
		s.after(s.upTo(maxTransit), func() { s.hosts[to].Apply(s.now, fmt.Sprint("host-", from), reports) })
	}
}

func (s *simulation) heartbeat(host int) {
	s.send(host, s.hosts[host].Reports(s.now))
	s.after(heartbeatInterval, func() { s.heartbeat(host) })
}

// repeat lets a caller send the request to a random host, and again after each answer.
func (s *simulation) repeat() {
	host := s.random.IntN(simulatedHosts)
	tracker := s.hosts[host]
	again := func() { s.after(20*time.Millisecond+s.upTo(200*time.Millisecond), s.repeat) }
	a, err := tracker.Begin(s.now, request, s.now.Add(3*time.Second))
	if err != nil {
		again()
		return
	}
	s.begins = append(s.begins, begun{s.now, host})
	s.send(host, tracker.Changes(s.now))
	s.after(20*time.Millisecond+s.upTo(300*time.Millisecond), func() {
		s.ends = append(s.ends, s.now)
		tracker.UpstreamEnded(s.now, a, uint64(len(s.ends)))
		tracker.Done(s.now, a, false)
		s.send(host, tracker.Changes(s.now))
		again()
	})
}

// restart starts a host anew.
func (s *simulation) restart() {
	host := s.random.IntN(simulatedHosts)
	s.hosts[host], s.startedAt[host] = newTracker(), s.now
}

// begunBefore returns the number of attempts that began before a time.
func (s *simulation) begunBefore(at time.Time) int {
	n := 0
	for _, b := range s.begins {
		if b.at.Before(at) {
			n++
		}
	}
	return n
}

// begunLate returns the number of attempts that began although the host has run for the time in which it
// learns of ends, and enough upstreams had ended before that: those of the attempts that began before the
// first end was known and one more, and MaxEnds at least.
func (s *simulation) begunLate(learned time.Duration) int {
	enough := max(suspect.MaxEnds, s.begunBefore(s.ends[0].Add(learned))+1)
	if len(s.ends) < enough {
		return 0
	}
	n := 0
	for _, b := range s.begins {
		if b.at.After(s.ends[enough-1].Add(learned)) && b.at.After(s.startedAt[b.host].Add(learned)) {
			n++
		}
	}
	return n
}

// Guards against hosts that send the request on after its third end because they have not learned of it.
func TestRequestIsRefusedByAllHostsOnceTheyHaveLearnedOfTheEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		loss float64
		// learned is the time after which hosts have learned of an end.
		learned           time.Duration
		restarts, callers int
	}{
		{"one caller", 0, maxTransit, 0, 1},
		{"ten callers", 0, maxTransit, 0, 10},
		{"ten callers, messages are lost", .3, maxTransit + 12*heartbeatInterval, 0, 10},
		{"ten callers, hosts restart", 0, maxTransit + heartbeatInterval, 5, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, most := NewWithT(t), 0
			for seed := range uint64(200) {
				s := newSimulation(seed)
				s.loss = c.loss
				for range c.callers {
					s.after(s.upTo(maxTransit), s.repeat)
				}
				for range c.restarts {
					s.after(time.Second+s.upTo(20*time.Second), s.restart)
				}
				s.run(30 * time.Second)
				g.Expect(len(s.ends)).To(BeNumerically(">=", suspect.MaxEnds), "seed %d", seed)
				g.Expect(s.begunLate(c.learned)).To(BeZero(), "seed %d", seed)
				most = max(most, len(s.ends))
			}
			t.Log("most ends of a run:", most)
		})
	}
}

// Guards against a network partition after which each side lets as many upstreams end again.
func TestPartitionedHostsKeepTheirOwnBound(t *testing.T) {
	g, most := NewWithT(t), 0
	for seed := range uint64(200) {
		s := newSimulation(seed)
		for host := range simulatedHosts / 2 {
			s.sides[host] = 1
		}
		s.after(0, s.repeat)
		s.run(10 * time.Second)
		most = max(most, len(s.ends))
		s.sides = [simulatedHosts]int{}
		ends := len(s.ends)
		s.run(20 * time.Second)
		g.Expect(s.ends).To(HaveLen(ends), "seed %d", seed)
	}
	t.Log("most ends of a run:", most)
	g.Expect(most).To(BeNumerically(">=", 2*suspect.MaxEnds), "otherwise the partition had no effect")
}
