package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/peer"
	"balsambarrow/internal/quota"
	"balsambarrow/internal/view"
)

// Timing and limits of quotas.
const (
	// planInterval is the time between two plans of every quota in use. A
	// request that waits for tokens of a quota wakes the planner at once.
	planInterval     = 50 * time.Millisecond
	dropIdleInterval = 10 * time.Second
	// loanStreamIdleTimeout is the idle time after which a stream to a loan
	// source is closed.
	loanStreamIdleTimeout = 10 * time.Second
	// maxQueuedRequests limits the loan requests that wait for a stream.
	// Further requests fail at once, as if the network had lost them.
	maxQueuedRequests = 256
)

// quotaState is the control thread's state for quotas.
type quotaState struct {
	splitVersions quota.SplitVersions
	// transferredAt maps each slot that was transferred together with its
	// tokens to the time since which this daemon holds it.
	transferredAt map[int]time.Time
	heldSlots     *quota.HeldSlots
	demandScores  map[string]float64
	// splitByQuota caches the split of each quota over the slots, for the
	// configuration version splitConfigVersion.
	splitByQuota       map[string]quota.Split
	splitConfigVersion uint64
	nextScoreAt        time.Time
	nextDropAt         time.Time
}

func newQuotaState() quotaState { return quotaState{transferredAt: map[int]time.Time{}} }

// publishShares sets the slots that the ledger may use and the configuration
// versions in force.
func (c *control) publishShares(snap *view.Snapshot, now time.Time) {
	members := append([]membership.Member{snap.Self}, snap.Members...)
	heldSlots := &quota.HeldSlots{
		Zone:     snap.Self.Zone,
		Slots:    c.spendableSlots(snap.Self.HeldSlots, now),
		Versions: c.quota.splitVersions.Observe(snap.Config, members, now),
	}
	if previous := c.quota.heldSlots; previous != nil && slices.Equal(previous.Slots, heldSlots.Slots) && slices.Equal(previous.Versions, heldSlots.Versions) {
		return
	}
	c.quota.heldSlots = heldSlots
	c.d.ledger.SetHeldSlots(heldSlots, now)
}

// spendableSlots returns the slots whose tokens may be spent. The previous
// holder of a slot may have lent its share. Until those loans have ended, the
// borrowers and this daemon could together exceed the quota, so a slot stays
// unused for quota.Quarantine. A slot that was transferred together with its
// tokens is free of loans and may be used at once: see
// quota.Ledger.ReleaseLevels.
func (c *control) spendableSlots(held []membership.HeldSlot, now time.Time) []int {
	var spendable []int
	for _, h := range held {
		if len(c.slots.pendingLevels[h.Slot].levels) > 0 {
			c.quota.transferredAt[h.Slot] = h.Since
		}
		transferred := c.quota.transferredAt[h.Slot].Equal(h.Since)
		if transferred || now.Sub(h.Since) >= quota.Quarantine {
			spendable = append(spendable, h.Slot)
		}
	}
	return spendable
}

func (c *control) tickQuota(now time.Time) {
	if c.activeConfig() == nil {
		return
	}
	if !now.Before(c.quota.nextDropAt) {
		c.quota.nextDropAt = now.Add(dropIdleInterval)
		c.d.ledger.DropIdle(now)
	}
	if !now.Before(c.quota.nextScoreAt) || c.state == membership.StateLeaving {
		c.quota.nextScoreAt = now.Add(membership.HeartbeatInterval)
		c.updateDemandScores(now)
	}
	members := c.members.table.Live(now)
	for _, name := range c.d.ledger.Names() {
		c.d.ledger.SetFleetState(name, c.quotaFleetState(name, members))
	}
}

// updateDemandScores sets the demand that the next heartbeats report. This
// daemon's own election of the hub uses the same numbers. If it used newer
// numbers for itself than for the others, every daemon would elect itself while
// demand grows everywhere.
func (c *control) updateDemandScores(now time.Time) {
	scores := map[string]float64{}
	for _, name := range c.d.ledger.Names() {
		score := c.d.ledger.Score(name, now)
		if score > 0 && c.state == membership.StateReady {
			scores[name] = score
		}
	}
	c.quota.demandScores = scores
}

// quotaFleetState returns the hub, the loan sources and the fleet's demand of a
// quota. A leaving daemon reports no demand (see updateDemandScores), so it is
// not elected.
//
// A leaving daemon still needs a hub to borrow tokens from. Its share stays
// lent to the hub until the term of the loan has ended, while callers that keep
// a connection continue to send requests to the leaving daemon. Without a hub,
// it would reject these requests after MaxWait, although the callers are within
// their rate.
func (c *control) quotaFleetState(name string, members []membership.Member) quota.FleetState {
	s := quota.FleetState{Self: c.d.identity.Instance, Leaving: c.state == membership.StateLeaving}
	split := c.quota.split(c.activeConfig(), name)
	scores := []quota.Score{{Instance: s.Self, Value: c.quota.demandScores[name]}}
	for _, m := range members {
		if split.HasShare(m.Zone, m.Slots) {
			s.LoanSources = append(s.LoanSources, m.Instance)
		}
		// A leaving daemon ends its loans. A daemon that continued to request
		// tokens from it would wait for tokens that never arrive.
		if m.State == membership.StateReady {
			scores = append(scores, quota.Score{Instance: m.Instance, Value: m.Demand[name]})
		}
	}
	s.Hub, s.Demand = quota.ElectHub(scores)
	return s
}

func (s *quotaState) split(active *config.Active, name string) quota.Split {
	if s.splitByQuota == nil || s.splitConfigVersion != active.Version {
		s.splitByQuota, s.splitConfigVersion = map[string]quota.Split{}, active.Version
	}
	split, ok := s.splitByQuota[name]
	if !ok {
		split = quota.SplitOf(active.Config, name)
		s.splitByQuota[name] = split
	}
	return split
}

// runBorrower plans every quota at each interval, and plans a quota at once
// when a request waits for its tokens.
func (d *Daemon) runBorrower(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	sources := &loanSources{d: d, streams: map[string]*loanStream{}}
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-d.ledger.PlanRequests():
			sources.plan(ctx, name)
		case <-ticker.C:
			for _, name := range d.ledger.Names() {
				sources.plan(ctx, name)
			}
		}
	}
}

// loanSources manages the streams to the peers that this daemon borrows from.
type loanSources struct {
	d       *Daemon
	mu      sync.Mutex
	streams map[string]*loanStream
}

// loanStream is a stream to one loan source.
type loanStream struct {
	requests chan quota.OutgoingRequest
}

func (l *loanSources) plan(ctx context.Context, name string) {
	for _, outgoing := range l.d.ledger.Plan(name, time.Now()) {
		l.send(ctx, outgoing)
	}
}

func (l *loanSources) send(ctx context.Context, outgoing quota.OutgoingRequest) {
	m, known := l.d.view.Load().Find(outgoing.To)
	if !known {
		l.d.ledger.DropRequest(outgoing, time.Now())
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streams[outgoing.To]
	if s == nil {
		s = &loanStream{requests: make(chan quota.OutgoingRequest, maxQueuedRequests)}
		l.streams[outgoing.To] = s
		l.d.spawn(func(context.Context) { l.run(ctx, outgoing.To, m.PeerAddress, s) })
	}
	select {
	case s.requests <- outgoing:
	default:
		l.d.ledger.DropRequest(outgoing, time.Now())
	}
}

// run forwards loan requests over one stream until the stream fails or is idle.
func (l *loanSources) run(ctx context.Context, to, address string, s *loanStream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pending := &pendingRequests{bySequence: map[uint64]quota.OutgoingRequest{}}
	err := l.forward(ctx, address, s, pending)
	if err != nil && ctx.Err() == nil {
		l.d.log.Debug("loan_stream_failed", "peer", to, "err", err)
	}
	l.mu.Lock()
	delete(l.streams, to)
	l.mu.Unlock()
	now := time.Now()
	for _, outgoing := range pending.removeAll() {
		l.d.ledger.DropRequest(outgoing, now)
	}
	for len(s.requests) > 0 {
		l.d.ledger.DropRequest(<-s.requests, now)
	}
}

func (l *loanSources) forward(ctx context.Context, address string, s *loanStream, pending *pendingRequests) error {
	stream, err := peer.NewDRPCQuotaClient(l.d.conns.Conn(ctx, address)).Lend(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	receiveErr := make(chan error, 1)
	l.d.spawn(func(context.Context) { receiveErr <- l.receive(stream, pending) })
	idle := time.NewTimer(loanStreamIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case outgoing := <-s.requests:
			idle.Reset(loanStreamIdleTimeout)
			if err := stream.Send(borrowRequestToWire(pending.add(outgoing), outgoing.Request)); err != nil {
				return err
			}
		case err := <-receiveErr:
			return err
		case <-idle.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *loanSources) receive(stream peer.DRPCQuota_LendClient, pending *pendingRequests) error {
	for {
		reply, err := stream.Recv()
		if err != nil {
			return err
		}
		if outgoing, ok := pending.remove(reply.Sequence); ok {
			l.d.ledger.ApplyGrant(outgoing, grantFromWire(reply), time.Now())
		}
	}
}

// pendingRequests contains the requests of one stream that have no response
// yet.
type pendingRequests struct {
	mu           sync.Mutex
	lastSequence uint64
	bySequence   map[uint64]quota.OutgoingRequest
}

func (p *pendingRequests) add(outgoing quota.OutgoingRequest) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSequence++
	p.bySequence[p.lastSequence] = outgoing
	return p.lastSequence
}

func (p *pendingRequests) remove(sequence uint64) (quota.OutgoingRequest, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	outgoing, ok := p.bySequence[sequence]
	delete(p.bySequence, sequence)
	return outgoing, ok
}

func (p *pendingRequests) removeAll() []quota.OutgoingRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []quota.OutgoingRequest
	for _, outgoing := range p.bySequence {
		all = append(all, outgoing)
	}
	clear(p.bySequence)
	return all
}

// Lend responds to the loan requests of a peer. It implements
// peer.DRPCQuotaServer.
func (d *Daemon) Lend(stream peer.DRPCQuota_LendStream) error {
	responder := &loanResponder{stream: stream}
	for {
		in, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "daemon: receive a loan request")
		}
		request := borrowRequestFromWire(in)
		grant, ticket := d.ledger.Lend(request, time.Now())
		if ticket == nil {
			if err := responder.send(in.Sequence, grant); err != nil {
				return err
			}
			continue
		}
		d.spawn(func(context.Context) {
			_ = d.ledger.Await(stream.Context(), request.Quota, ticket)
			_ = responder.send(in.Sequence, d.ledger.TicketGrant(request.Quota, ticket, time.Now()))
		})
	}
}

// loanResponder sends the responses on one stream, one at a time.
type loanResponder struct {
	mu     sync.Mutex
	stream peer.DRPCQuota_LendStream
}

func (s *loanResponder) send(sequence uint64, g quota.Grant) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return errors.WithStack(s.stream.Send(grantToWire(sequence, g)))
}

func borrowRequestToWire(sequence uint64, request quota.LoanRequest) *peer.BorrowRequest {
	out := &peer.BorrowRequest{
		Sequence: sequence, Borrower: request.Borrower, Quota: request.Quota, Loan: request.Loan, Standing: request.ShareLoan,
		Tokens: request.Tokens, PatienceMs: uint32(request.MaxDelay.Milliseconds()),
	}
	for _, c := range request.ClosedLoans {
		out.Closed = append(out.Closed, &peer.LoanClosing{Loan: c.Loan, Tokens: c.Tokens})
	}
	return out
}

func borrowRequestFromWire(in *peer.BorrowRequest) quota.LoanRequest {
	request := quota.LoanRequest{
		Borrower: in.Borrower, Quota: in.Quota, Loan: in.Loan, ShareLoan: in.Standing,
		Tokens: in.Tokens, MaxDelay: time.Duration(in.PatienceMs) * time.Millisecond,
	}
	for _, c := range in.Closed {
		request.ClosedLoans = append(request.ClosedLoans, quota.LoanClosing{Loan: c.Loan, Tokens: c.Tokens})
	}
	return request
}

func grantToWire(sequence uint64, g quota.Grant) *peer.BorrowReply {
	return &peer.BorrowReply{
		Sequence: sequence, Rate: g.Share.Rate, Burst: g.Share.Burst, Tokens: g.Tokens,
		TermUs: uint32(g.Term.Microseconds()), RetryAfterUs: uint32(g.RetryAfter.Microseconds()),
	}
}

func grantFromWire(in *peer.BorrowReply) quota.Grant {
	return quota.Grant{
		Share: quota.Share{Rate: in.Rate, Burst: in.Burst}, Tokens: in.Tokens,
		Term:       time.Duration(in.TermUs) * time.Microsecond,
		RetryAfter: time.Duration(in.RetryAfterUs) * time.Microsecond,
	}
}
