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

// Timing of quotas.
const (
	// planEvery is the time between plans of every quota in use; a taker that
	// waits wakes the planner at once.
	planEvery = 50 * time.Millisecond
	dropEvery = 10 * time.Second
	// lendIdle closes a stream to a lender that was not asked for so long.
	lendIdle = 10 * time.Second
	// asksBuffered bounds the asks that wait for a stream; more are dropped,
	// as a network would.
	asksBuffered = 256
)

// quotaState is the control thread's part for quotas.
type quotaState struct {
	cuts quota.Cuts
	// adopted are the slots that came with their tokens, by the time since
	// which they are held.
	adopted map[int]time.Time
	shape   *quota.Shape
	scores  map[string]float64
	// cutOf keeps the cuts of cutVersion.
	cutOf      map[string]quota.Cut
	cutVersion uint64
	nextScore  time.Time
	nextDrop   time.Time
}

func newQuotaState() quotaState { return quotaState{adopted: map[int]time.Time{}} }

// publishShares sets the ledger to the usable slots and the versions in force.
func (c *control) publishShares(snap *view.Snapshot, now time.Time) {
	members := append([]membership.Member{snap.Self}, snap.Members...)
	shape := &quota.Shape{
		Zone:     snap.Self.Zone,
		Slots:    c.settled(snap.Self.HeldSlots, now),
		Versions: c.quota.cuts.Observe(snap.Config, members, now),
	}
	if old := c.quota.shape; old != nil && slices.Equal(old.Slots, shape.Slots) && slices.Equal(old.Versions, shape.Versions) {
		return
	}
	c.quota.shape = shape
	c.d.ledger.SetShape(shape, now)
}

// settled returns the slots that may be spent from. A slot comes with the
// loans that its earlier holder made of it; while they run, the borrowers and
// this daemon together would exceed the quota. A slot that came with tokens is
// free of loans: see quota.Ledger.Surrender.
func (c *control) settled(held []membership.HeldSlot, now time.Time) []int {
	var out []int
	for _, h := range held {
		if len(c.slots.levels[h.Slot].levels) > 0 {
			c.quota.adopted[h.Slot] = h.Since
		}
		adopted := c.quota.adopted[h.Slot].Equal(h.Since)
		if adopted || now.Sub(h.Since) >= quota.Quarantine {
			out = append(out, h.Slot)
		}
	}
	return out
}

func (c *control) tickQuota(now time.Time) {
	if c.active() == nil {
		return
	}
	if !now.Before(c.quota.nextDrop) {
		c.quota.nextDrop = now.Add(dropEvery)
		c.d.ledger.DropIdle(now)
	}
	if !now.Before(c.quota.nextScore) || c.state == membership.StateLeaving {
		c.quota.nextScore = now.Add(membership.HeartbeatInterval)
		c.scoreQuotas(now)
	}
	members := c.members.table.Live(now)
	for _, name := range c.d.ledger.Names() {
		c.d.ledger.Situate(name, c.situation(name, members))
	}
}

// scoreQuotas sets what the next heartbeats tell of demand. This daemon's own
// election uses the same numbers: with fresher ones of its own, every daemon
// would take itself for the hub as long as demand grows everywhere.
func (c *control) scoreQuotas(now time.Time) {
	scores := map[string]float64{}
	for _, name := range c.d.ledger.Names() {
		score := c.d.ledger.Score(name, now)
		if score > 0 && c.state == membership.StateReady {
			scores[name] = score
		}
	}
	c.quota.scores = scores
}

// situation finds the hub, the lenders and the fleet's demand of a quota. A
// leaving daemon tells no demand (see scoreQuotas), so it is not elected.
//
// The failure it guards against: the share of a leaving daemon is lent to the
// hub until the loan's term has passed, and callers that keep a connection go on
// asking the leaving daemon. Without a hub to take tokens from, it refused them
// after MaxWait although they were inside their rate.
func (c *control) situation(name string, members []membership.Member) quota.Situation {
	s := quota.Situation{Self: c.d.identity.Instance, Leaving: c.state == membership.StateLeaving}
	cut := c.quota.cut(c.active(), name)
	scores := []quota.Score{{Instance: s.Self, Value: c.quota.scores[name]}}
	for _, m := range members {
		if cut.Holds(m.Zone, m.Slots) {
			s.Lenders = append(s.Lenders, m.Instance)
		}
		// A leaving daemon gives its loans back: whoever went on asking it
		// for tokens would wait in vain.
		if m.State == membership.StateReady {
			scores = append(scores, quota.Score{Instance: m.Instance, Value: m.Demand[name]})
		}
	}
	s.Hub, s.Demand = quota.Elect(scores)
	return s
}

func (s *quotaState) cut(active *config.Active, name string) quota.Cut {
	if s.cutOf == nil || s.cutVersion != active.Version {
		s.cutOf, s.cutVersion = map[string]quota.Cut{}, active.Version
	}
	cut, ok := s.cutOf[name]
	if !ok {
		cut = quota.CutOf(active.Config, name)
		s.cutOf[name] = cut
	}
	return cut
}

// borrow plans at every tick, and a quota that a taker waits for at once.
func (d *Daemon) borrow(ctx context.Context) {
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	lenders := &lenders{d: d, streams: map[string]*lendStream{}}
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-d.ledger.Wanted():
			lenders.plan(ctx, name)
		case <-ticker.C:
			for _, name := range d.ledger.Names() {
				lenders.plan(ctx, name)
			}
		}
	}
}

// lenders are the streams to peers that this daemon borrows from.
type lenders struct {
	d       *Daemon
	mu      sync.Mutex
	streams map[string]*lendStream
}

// lendStream is one stream to a lender.
type lendStream struct {
	asks chan quota.Outgoing
}

func (l *lenders) plan(ctx context.Context, name string) {
	for _, out := range l.d.ledger.Plan(name, time.Now()) {
		l.send(ctx, out)
	}
}

func (l *lenders) send(ctx context.Context, out quota.Outgoing) {
	m, known := l.d.view.Load().Find(out.To)
	if !known {
		l.d.ledger.Failed(out, time.Now())
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streams[out.To]
	if s == nil {
		s = &lendStream{asks: make(chan quota.Outgoing, asksBuffered)}
		l.streams[out.To] = s
		l.d.spawn(func(context.Context) { l.run(ctx, out.To, m.PeerAddress, s) })
	}
	select {
	case s.asks <- out:
	default:
		l.d.ledger.Failed(out, time.Now())
	}
}

// run carries asks over one stream until it breaks or is idle.
func (l *lenders) run(ctx context.Context, to, address string, s *lendStream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	waiting := &waitingAsks{bySequence: map[uint64]quota.Outgoing{}}
	err := l.carry(ctx, address, s, waiting)
	if err != nil && ctx.Err() == nil {
		l.d.log.Debug("lend_stream_failed", "peer", to, "err", err)
	}
	l.mu.Lock()
	delete(l.streams, to)
	l.mu.Unlock()
	now := time.Now()
	for _, out := range waiting.drain() {
		l.d.ledger.Failed(out, now)
	}
	for len(s.asks) > 0 {
		l.d.ledger.Failed(<-s.asks, now)
	}
}

func (l *lenders) carry(ctx context.Context, address string, s *lendStream, waiting *waitingAsks) error {
	stream, err := peer.NewDRPCQuotaClient(l.d.conns.Conn(ctx, address)).Lend(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	broken := make(chan error, 1)
	l.d.spawn(func(context.Context) { broken <- l.receive(stream, waiting) })
	idle := time.NewTimer(lendIdle)
	defer idle.Stop()
	for {
		select {
		case out := <-s.asks:
			idle.Reset(lendIdle)
			if err := stream.Send(askToWire(waiting.add(out), out.Ask)); err != nil {
				return err
			}
		case err := <-broken:
			return err
		case <-idle.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *lenders) receive(stream peer.DRPCQuota_LendClient, waiting *waitingAsks) error {
	for {
		reply, err := stream.Recv()
		if err != nil {
			return err
		}
		if out, ok := waiting.take(reply.Sequence); ok {
			l.d.ledger.Answered(out, grantFromWire(reply), time.Now())
		}
	}
}

// waitingAsks are the asks of one stream that have not been answered.
type waitingAsks struct {
	mu         sync.Mutex
	last       uint64
	bySequence map[uint64]quota.Outgoing
}

func (w *waitingAsks) add(out quota.Outgoing) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last++
	w.bySequence[w.last] = out
	return w.last
}

func (w *waitingAsks) take(sequence uint64) (quota.Outgoing, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	out, ok := w.bySequence[sequence]
	delete(w.bySequence, sequence)
	return out, ok
}

func (w *waitingAsks) drain() []quota.Outgoing {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []quota.Outgoing
	for _, out := range w.bySequence {
		all = append(all, out)
	}
	clear(w.bySequence)
	return all
}

// Lend answers a peer that borrows; it implements peer.DRPCQuotaServer.
func (d *Daemon) Lend(stream peer.DRPCQuota_LendStream) error {
	sender := &lendSender{stream: stream}
	for {
		request, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "lend")
		}
		ask := askFromWire(request)
		grant, ticket := d.ledger.Lend(ask, time.Now())
		if ticket == nil {
			if err := sender.send(request.Sequence, grant); err != nil {
				return err
			}
			continue
		}
		d.spawn(func(context.Context) {
			_ = d.ledger.Await(stream.Context(), ask.Quota, ticket)
			_ = sender.send(request.Sequence, d.ledger.Granted(ask.Quota, ticket, time.Now()))
		})
	}
}

// lendSender sends replies on one stream, one at a time.
type lendSender struct {
	mu     sync.Mutex
	stream peer.DRPCQuota_LendStream
}

func (s *lendSender) send(sequence uint64, g quota.Grant) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return errors.WithStack(s.stream.Send(grantToWire(sequence, g)))
}

func askToWire(sequence uint64, a quota.Ask) *peer.BorrowRequest {
	out := &peer.BorrowRequest{
		Sequence: sequence, Borrower: a.Borrower, Quota: a.Quota, Loan: a.Loan, Standing: a.Standing,
		Tokens: a.Tokens, PatienceMs: uint32(a.Patience.Milliseconds()),
	}
	for _, c := range a.Closed {
		out.Closed = append(out.Closed, &peer.LoanClosing{Loan: c.Loan, Tokens: c.Tokens})
	}
	return out
}

func askFromWire(in *peer.BorrowRequest) quota.Ask {
	a := quota.Ask{
		Borrower: in.Borrower, Quota: in.Quota, Loan: in.Loan, Standing: in.Standing,
		Tokens: in.Tokens, Patience: time.Duration(in.PatienceMs) * time.Millisecond,
	}
	for _, c := range in.Closed {
		a.Closed = append(a.Closed, quota.Closing{Loan: c.Loan, Tokens: c.Tokens})
	}
	return a
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
