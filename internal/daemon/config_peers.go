package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/peer"
)

// hedgeAfter is how long a pull may take before a second peer is asked: above
// two round trips between the farthest regions (110 ms each).
const hedgeAfter = 300 * time.Millisecond

// pullState is what the control thread knows of its calls to peers for the
// configuration.
type pullState struct {
	// running are the pulls under way, by the peer's instance, and their start.
	running   map[string]time.Time
	surveying bool
}

func newPullState() pullState { return pullState{running: map[string]time.Time{}} }

// heardConfig takes what a peer's heartbeat says of the configuration.
func (c *control) heardConfig(m membership.Member, now time.Time) {
	c.confirm(m.ConfigVersion, m.ConfirmedAt)
	c.pullHighest(now)
}

// pullHighest asks one peer that has a higher version for its record, and
// another one if that takes long. Asking all of them at once would move the
// whole record as often as there are peers, at each change.
func (c *control) pullHighest(now time.Time) {
	for _, started := range c.config.pulls.running {
		if now.Sub(started) < hedgeAfter {
			return
		}
	}
	source, ok := c.pullSource(now)
	if !ok {
		return
	}
	c.config.pulls.running[source.Instance] = now
	have := c.config.version()
	c.d.spawn(func(ctx context.Context) {
		c.send(pullDone{source.Instance, c.d.pull(ctx, source.PeerAddress, have)})
	})
}

// pullSource prefers the own zone, then the highest version.
func (c *control) pullSource(now time.Time) (best membership.Member, ok bool) {
	for _, m := range c.members.table.Live(now) {
		_, asked := c.config.pulls.running[m.Instance]
		if asked || m.ConfigVersion <= max(c.config.version(), c.config.rejected) {
			continue
		}
		if !ok || c.betterSource(m, best) {
			best, ok = m, true
		}
	}
	return best, ok
}

func (c *control) betterSource(m, than membership.Member) bool {
	zone := c.d.identity.Zone
	if (m.Zone == zone) != (than.Zone == zone) {
		return m.Zone == zone
	}
	return m.ConfigVersion > than.ConfigVersion
}

// pulled is what one peer answered.
type pulled struct {
	err     error
	version uint64
	// found is empty where the peer has no higher version.
	found candidate
	// confirmed is a time at which version was the store's; zero: not known.
	confirmed time.Time
	// peers are the addresses that the peer knows.
	peers []string
}

// pullDone: a pull from a peer ended.
type pullDone struct {
	instance string
	answer   pulled
}

func (m pullDone) apply(c *control) {
	delete(c.config.pulls.running, m.instance)
	c.takePulled(m.answer)
	// A daemon that the store told that it holds nothing serves by the first
	// configuration that it hears of.
	c.serveOnce()
}

func (c *control) takePulled(answer pulled) {
	if answer.err != nil {
		return
	}
	if answer.found.record != nil {
		c.adopt(answer.found)
	}
	c.confirm(answer.version, answer.confirmed)
}

func (d *Daemon) pull(ctx context.Context, address string, have uint64) pulled {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := time.Now()
	reply, err := peer.NewDRPCConfigurationClient(d.conns.Conn(ctx, address)).Pull(ctx, &peer.PullRequest{HaveVersion: have})
	if err != nil {
		d.log.Debug("pull_failed", "peer", address, "err", err)
		return pulled{err: err}
	}
	answer := pulled{version: reply.Version, confirmed: confirmedAt(asked, reply.ConfirmedAgeMs), peers: reply.Peers}
	if len(reply.Record) == 0 {
		return answer
	}
	record, err := config.ParseRecord(reply.Record)
	if err != nil {
		d.log.Warn("pull_unreadable", "peer", address, "err", err)
		return pulled{err: err}
	}
	answer.found = examine(record)
	return answer
}

// Pull answers a peer; it implements peer.DRPCConfigurationServer.
func (d *Daemon) Pull(ctx context.Context, in *peer.PullRequest) (*peer.PullReply, error) {
	ask := recordWanted{have: in.HaveVersion, reply: make(chan recordAnswer, 1)}
	d.control.send(ask)
	select {
	case a := <-ask.reply:
		reply := &peer.PullReply{Version: a.version, ConfirmedAgeMs: ageMs(a.confirmed, time.Now()), Peers: a.peers}
		if a.record == nil {
			return reply, nil
		}
		var err error
		reply.Record, err = a.record.Encode()
		return reply, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// recordWanted: a peer asks for a record above the version it has.
type recordWanted struct {
	have  uint64
	reply chan recordAnswer
}

type recordAnswer struct {
	version   uint64
	record    *config.Record
	confirmed time.Time
	peers     []string
}

func (m recordWanted) apply(c *control) {
	a := recordAnswer{version: c.config.version(), confirmed: c.config.confirmed}
	a.peers = append(slices.Collect(maps.Keys(c.peerAddresses())), c.d.identity.PeerAddress)
	if a.version > m.have {
		a.record = c.config.record
	}
	m.reply <- a
}

// survey asks every peer that can be reached for its version, once at a time.
func (c *control) survey(now time.Time) {
	if c.config.pulls.surveying {
		return
	}
	c.config.pulls.surveying = true
	known, have := c.peerAddresses(), c.config.version()
	c.d.spawn(func(ctx context.Context) {
		c.send(surveyDone{started: now, answers: c.d.surveyPeers(ctx, known, have)})
	})
}

// surveyDone: every peer that could be reached has answered.
type surveyDone struct {
	started time.Time
	answers []pulled
}

// apply lets a daemon go on by the highest version of its peers while the
// store is out. Without an answer, one that had a version before goes on with
// it, as a cut-off zone must; one that has none keeps waiting.
func (m surveyDone) apply(c *control) {
	c.config.pulls.surveying = false
	for _, answer := range m.answers {
		c.takePulled(answer)
	}
	if c.config.active != nil {
		c.caughtUp(m.started)
	}
}

// surveyPeers asks the peers in the host list, those known already, and those
// that they know in turn, and returns what the reachable ones answered.
func (d *Daemon) surveyPeers(ctx context.Context, known map[string]bool, have uint64) []pulled {
	if len(known) == 0 || have == 0 {
		hosts, _ := d.readHosts(ctx)
		for _, h := range hosts {
			known[h.PeerAddress] = true
		}
	}
	asked := map[string]bool{d.identity.PeerAddress: true}
	var answers []pulled
	for {
		round := slices.Collect(maps.Keys(known))
		round = slices.DeleteFunc(round, func(address string) bool { return asked[address] })
		if len(round) == 0 || ctx.Err() != nil {
			return answers
		}
		for _, answer := range d.pullAll(ctx, round, have) {
			answers = append(answers, answer)
			for _, address := range answer.peers {
				known[address] = true
			}
		}
		for _, address := range round {
			asked[address] = true
		}
	}
}

func (d *Daemon) pullAll(ctx context.Context, addresses []string, have uint64) []pulled {
	results := make(chan pulled, len(addresses))
	for _, address := range addresses {
		go func() { results <- d.pull(ctx, address, have) }()
	}
	answers := make([]pulled, 0, len(addresses))
	for range addresses {
		answers = append(answers, <-results)
	}
	return answers
}

// ageMs is how long ago a time was, for the way to a peer: 0 for never, and
// otherwise rounded up, so at least 1.
func ageMs(t, now time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(now.Sub(t).Milliseconds(), 0) + 1
}

// confirmedAt turns the age in an answer to a call sent at asked into a time
// by the own clock. The answer was made no earlier than asked, so the result
// is no later than the truth, however long the answer took. A message that
// answers no call gives no such bound, and its age is not used.
func confirmedAt(asked time.Time, age int64) time.Time {
	if age <= 0 {
		return time.Time{}
	}
	return asked.Add(-time.Duration(age) * time.Millisecond)
}
