package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/freshness"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/peer"
)

// pullHedgeDelay is how long a pull may take before a second peer is queried.
// It exceeds two round trips between the most distant regions (110 ms each).
const pullHedgeDelay = 300 * time.Millisecond

// pullState is the control thread's state for its configuration calls to peers.
type pullState struct {
	// inFlight maps the instance of a peer to the start time of the pull from
	// it.
	inFlight       map[string]time.Time
	pollInProgress bool
}

func newPullState() pullState { return pullState{inFlight: map[string]time.Time{}} }

// handleConfigReport processes the configuration version in a peer's heartbeat.
func (c *control) handleConfigReport(m membership.Member, now time.Time) {
	c.confirmVersion(m.ConfigVersion, m.ConfirmedAt)
	c.pullNewerRecord(now)
}

// pullNewerRecord requests the record of one peer that has a higher version,
// and of another peer if the first pull takes longer than pullHedgeDelay.
// Querying all of these peers at once would transfer the full record once per
// peer at each change.
func (c *control) pullNewerRecord(now time.Time) {
	for _, started := range c.config.pulls.inFlight {
		if now.Sub(started) < pullHedgeDelay {
			return
		}
	}
	source, ok := c.pullSource(now)
	if !ok {
		return
	}
	c.config.pulls.inFlight[source.Instance] = now
	haveVersion := c.config.version()
	c.d.spawn(func(ctx context.Context) {
		c.send(pullDone{source.Instance, c.d.pull(ctx, source.PeerAddress, haveVersion)})
	})
}

// pullSource selects the peer to pull from: peers of this daemon's own zone
// first, then the highest version.
func (c *control) pullSource(now time.Time) (best membership.Member, ok bool) {
	for _, m := range c.members.table.Live(now) {
		_, pulling := c.config.pulls.inFlight[m.Instance]
		if pulling || m.ConfigVersion <= max(c.config.version(), c.config.rejectedVersion) {
			continue
		}
		if !ok || c.isBetterSource(m, best) {
			best, ok = m, true
		}
	}
	return best, ok
}

func (c *control) isBetterSource(a, b membership.Member) bool {
	zone := c.d.identity.Zone
	if (a.Zone == zone) != (b.Zone == zone) {
		return a.Zone == zone
	}
	return a.ConfigVersion > b.ConfigVersion
}

// pullResult is the response of one peer to a pull.
type pullResult struct {
	err     error
	version uint64
	// parsed is the zero value if the peer has no higher version.
	parsed parsedRecord
	// confirmedAt is a time at which version was the version of the store. It
	// is zero if no such time is known.
	confirmedAt time.Time
	// peers lists the addresses of the peers that this peer knows.
	peers []string
}

// pullDone reports that a pull from a peer has ended.
type pullDone struct {
	instance string
	result   pullResult
}

func (m pullDone) apply(c *control) {
	delete(c.config.pulls.inFlight, m.instance)
	c.applyPullResult(m.result)
	// If the store has reported that it contains no configuration, the daemon
	// becomes ready with the first configuration that it receives.
	c.becomeReady()
}

func (c *control) applyPullResult(result pullResult) {
	if result.err != nil {
		return
	}
	if result.parsed.record != nil {
		c.applyRecord(result.parsed)
	}
	c.confirmVersion(result.version, result.confirmedAt)
}

func (d *Daemon) pull(ctx context.Context, address string, haveVersion uint64) pullResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := peer.NewDRPCConfigurationClient(d.conns.Conn(ctx, address)).Pull(ctx, &peer.PullRequest{HaveVersion: haveVersion})
	if err != nil {
		d.log.Debug("pull_failed", "peer", address, "err", err)
		return pullResult{err: err}
	}
	result := pullResult{version: reply.Version, confirmedAt: confirmationTime(sentAt, reply.ConfirmedAgeMs), peers: reply.Peers}
	if len(reply.Record) == 0 {
		return result
	}
	record, err := config.ParseRecord(reply.Record)
	if err != nil {
		d.log.Warn("pulled_record_invalid", "peer", address, "err", err)
		return pullResult{err: err}
	}
	result.parsed = activateRecord(record)
	return result
}

// Pull responds to a peer's pull. It implements peer.DRPCConfigurationServer.
func (d *Daemon) Pull(ctx context.Context, in *peer.PullRequest) (*peer.PullReply, error) {
	request := recordRequest{haveVersion: in.HaveVersion, reply: make(chan recordResponse, 1)}
	d.control.send(request)
	select {
	case response := <-request.reply:
		reply := &peer.PullReply{Version: response.version, ConfirmedAgeMs: ageMs(response.confirmedAt, time.Now()), Peers: response.peers}
		if response.record == nil {
			return reply, nil
		}
		var err error
		reply.Record, err = response.record.Encode()
		return reply, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// recordRequest is a peer's request for a record above the version that it has.
type recordRequest struct {
	haveVersion uint64
	reply       chan recordResponse
}

type recordResponse struct {
	version     uint64
	record      *config.Record
	confirmedAt time.Time
	peers       []string
}

func (m recordRequest) apply(c *control) {
	response := recordResponse{version: c.config.version(), confirmedAt: c.config.confirmedAt}
	response.peers = append(slices.Collect(maps.Keys(c.peerAddresses())), c.d.identity.PeerAddress)
	if response.version > m.haveVersion {
		response.record = c.config.record
	}
	m.reply <- response
}

// startPeerPoll starts a query of the version of every reachable peer, unless
// one is already in progress.
func (c *control) startPeerPoll(now time.Time) {
	if c.config.pulls.pollInProgress {
		return
	}
	c.config.pulls.pollInProgress = true
	known, haveVersion := c.peerAddresses(), c.config.version()
	c.d.spawn(func(ctx context.Context) {
		c.send(peerPollDone{started: now, results: c.d.pollPeers(ctx, known, haveVersion)})
	})
}

// peerPollDone reports that every reachable peer has responded.
type peerPollDone struct {
	started time.Time
	results []pullResult
}

// apply lets the daemon continue with the highest version of its peers while
// the store is unreachable. If no peer responds, a daemon that has a
// configuration continues with it, because its entire zone may be partitioned
// from the others. A daemon without a configuration stays in the starting
// state.
func (m peerPollDone) apply(c *control) {
	c.config.pulls.pollInProgress = false
	for _, result := range m.results {
		c.applyPullResult(result)
	}
	if c.config.active != nil {
		c.markVerified(m.started)
	}
}

// pollPeers pulls from the peers of the host list, the peers already known, and
// the peers that these report in turn. It returns one result for each peer that
// was queried.
func (d *Daemon) pollPeers(ctx context.Context, known map[string]bool, haveVersion uint64) []pullResult {
	if len(known) == 0 || haveVersion == 0 {
		hosts, _ := d.readHosts(ctx)
		for _, h := range hosts {
			known[h.PeerAddress] = true
		}
	}
	polled := map[string]bool{d.identity.PeerAddress: true}
	var results []pullResult
	for {
		addresses := slices.Collect(maps.Keys(known))
		addresses = slices.DeleteFunc(addresses, func(address string) bool { return polled[address] })
		if len(addresses) == 0 || ctx.Err() != nil {
			return results
		}
		for _, result := range d.pullAll(ctx, addresses, haveVersion) {
			results = append(results, result)
			for _, address := range result.peers {
				known[address] = true
			}
		}
		for _, address := range addresses {
			polled[address] = true
		}
	}
}

func (d *Daemon) pullAll(ctx context.Context, addresses []string, haveVersion uint64) []pullResult {
	results := make(chan pullResult, len(addresses))
	for _, address := range addresses {
		go func() { results <- d.pull(ctx, address, haveVersion) }()
	}
	collected := make([]pullResult, 0, len(addresses))
	for range addresses {
		collected = append(collected, <-results)
	}
	return collected
}

// ageMs returns the age of a confirmation in milliseconds as it is sent to a peer;
// 0 if there was none.
func ageMs(at, now time.Time) int64 {
	return int64(freshness.Age(now, at, time.Millisecond))
}

// confirmationTime converts the age in a response to a call sent at sentAt to a
// time of the local clock, and returns the zero time if the age confirms nothing.
// The peer computed the age no earlier than sentAt, so
// the result is never later than the real time of confirmation, no matter how
// long the response took. For a message that is not a response to a call, there
// is no such bound, and its age is not used.
func confirmationTime(sentAt time.Time, ageMillis int64) time.Time {
	at, err := freshness.ConfirmedAt(sentAt, uint64(max(ageMillis, 0)), time.Millisecond)
	if err != nil {
		return time.Time{}
	}
	return at
}
