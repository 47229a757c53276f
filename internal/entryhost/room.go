package entryhost

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/place"
	"balsambarrow/internal/room"
)

const (
	// roomTimeout is how long the owner of an upstream's room may take to respond: a few round trips
	// inside the region.
	roomTimeout = 20 * time.Millisecond
	// roomSweepInterval is the time between two removals of what has expired in the ledger.
	roomSweepInterval = 100 * time.Millisecond
)

// rooms shares the room of upstreams with the other hosts. Each upstream has an owner, which follows
// from the ready hosts; see place.Table.RoomOwner.
type rooms struct {
	d *Daemon
	// ledger is that of the upstreams that this host owns. holdings are the requests of this host.
	ledger   *room.Ledger
	holdings *room.Holdings
	owners   *room.Owners
	peers    atomic.Pointer[roomPeers]
	// sweptAt is used by the control thread only.
	sweptAt time.Time

	mu sync.Mutex
	// awaited are the requests that wait for an answer, by the sequence of their statements.
	awaited map[uint64]awaitedAnswer
}

// roomPeers are the other hosts that are alive. It is never modified.
type roomPeers struct {
	byInstance map[string]roomPeer
	// addresses holds the address of each of them by the hash of its instance, and instances the
	// instance by the address.
	addresses map[uint64]string
	instances map[string]string
}

// awaitedAnswer is where the answer about an upstream is awaited. Sequences alone do not tell it from a
// late answer to an earlier process at the same address.
type awaitedAnswer struct {
	upstream uint64
	answer   chan room.Answer
}

type roomPeer struct{ address, region string }

func newRooms(d *Daemon) *rooms {
	r := &rooms{
		d: d, ledger: room.NewLedger(), holdings: room.NewHoldings(xxhash.Sum64String(d.self.Instance)), owners: room.NewOwners(),
		awaited: map[uint64]awaitedAnswer{},
	}
	r.peers.Store(&roomPeers{})
	return r
}

// setPeers publishes the hosts that are alive.
func (r *rooms) setPeers(members []fleet.Member) {
	p := &roomPeers{byInstance: map[string]roomPeer{}, addresses: map[uint64]string{}, instances: map[string]string{}}
	alive := map[uint64]bool{}
	for _, m := range members {
		id := xxhash.Sum64String(m.Instance)
		p.byInstance[m.Instance], p.addresses[id], p.instances[m.PeerAddress] = roomPeer{m.PeerAddress, m.Region}, m.PeerAddress, m.Instance
		alive[id] = true
	}
	r.peers.Store(p)
	r.ledger.SetAlive(alive)
	r.owners.Forget(func(owner string) bool {
		_, ok := p.byInstance[owner]
		return ok
	})
}

// Reserve implements front.Room.
func (r *rooms) Reserve(c place.Choice, service string, until time.Time) (place.Choice, bool) {
	if !r.d.applies(r.d.settings.Load().Overload.Sharing, service) {
		return c, true
	}
	c.Room.Reserved = true
	now := r.d.now()
	owner, slots, ok := r.d.table.RoomOwner(c.Room.Upstream)
	if !ok {
		r.holdings.Announce(c.Room.Upstream, c.Room.Slots, until)
		return c, true
	}
	if owner.Instance == r.d.self.Instance {
		s := r.holdings.Ask(c.Room.Upstream, slots, until)
		a, err := r.ledger.Reserve(now, s, c.Room.MaxAhead)
		return r.settle(c, s, a, err == nil)
	}
	peer := r.peers.Load().byInstance[owner.Instance]
	if peer.address == "" || peer.region != r.d.self.Region || !r.owners.MayWait(now, owner.Instance) {
		s := r.holdings.Announce(c.Room.Upstream, slots, until)
		r.send(peer.address, requestPacket(now, s, c.Room.MaxAhead, true))
		r.count("announced")
		return c, true
	}
	s := r.holdings.Ask(c.Room.Upstream, slots, until)
	a, ok := r.ask(now, s, c.Room.MaxAhead, peer.address)
	if !ok && r.owners.NoAnswer(r.d.now(), owner.Instance) {
		r.d.events.Info("room owner silent", "owner", owner.Instance, "upstream", c.ID, "zone", c.Zone)
	}
	return r.settle(c, s, a, ok)
}

// settle applies the owner's decision. Without one, the host decides by what it knows.
func (r *rooms) settle(c place.Choice, s room.Statement, a room.Answer, answered bool) (place.Choice, bool) {
	sent := a.Granted || !answered
	r.holdings.Settle(s, sent)
	if !answered {
		r.count("unanswered")
		return c, true
	}
	r.count(map[bool]string{true: "granted", false: "refused"}[a.Granted])
	r.observe(r.d.now(), s.Upstream, a)
	return c.WithRoom(a.Others), sent
}

// observe corrects what the table knows by an owner's answer.
func (r *rooms) observe(now time.Time, upstream uint64, a room.Answer) {
	r.d.table.ObserveSlowdown(now, upstream, a.Slowdown, a.SlowdownAge)
	r.d.table.ObserveRoom(now, upstream, a.Others)
}

// ask asks the owner, and waits for its answer for up to roomTimeout.
func (r *rooms) ask(now time.Time, s room.Statement, maxAhead int, address string) (room.Answer, bool) {
	answer := make(chan room.Answer, 1)
	r.mu.Lock()
	r.awaited[s.Sequence] = awaitedAnswer{s.Upstream, answer}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.awaited, s.Sequence)
		r.mu.Unlock()
	}()
	if !r.send(address, requestPacket(now, s, maxAhead, false)) {
		return room.Answer{}, false
	}
	timeout := time.NewTimer(roomTimeout)
	defer timeout.Stop()
	select {
	case a := <-answer:
		return a, true
	case <-timeout.C:
		return room.Answer{}, false
	}
}

// Release implements front.Room.
func (r *rooms) Release(c place.Choice, report place.Report) {
	if !c.Room.Reserved {
		return
	}
	now := r.d.now()
	s := r.holdings.End(c.Room.Upstream, c.Room.Slots)
	owner, slots, ok := r.d.table.RoomOwner(c.Room.Upstream)
	if !ok {
		return
	}
	s.Slots = slots
	r.countReleased()
	var load *room.Report
	if report.HasLoad && c.Region == r.d.self.Region {
		load = &room.Report{Requests: report.Load.Running + report.Load.Waiting, Slowdown: report.Load.Slowdown, Age: c.ReportAge(now, report)}
	}
	if owner.Instance == r.d.self.Instance {
		freed, err := r.ledger.Release(now, s, load)
		r.notify(now, freed, err)
		return
	}
	q := &fleet.RoomRelease{Statement: statementMessage(now, s)}
	if load != nil {
		q.Reported, q.Requests, q.ReportAgeMs = true, uint32(load.Requests), uint32(load.Age.Milliseconds())
		q.Slowdown = float32(load.Slowdown)
	}
	r.send(r.peers.Load().byInstance[owner.Instance].address, &fleet.Packet{Content: &fleet.Packet_RoomRelease{RoomRelease: q}})
}

// handlePacket handles a message about room. It reports whether the packet is one.
func (r *rooms) handlePacket(p *fleet.Packet, from string) bool {
	now := r.d.now()
	switch m := p.Content.(type) {
	case *fleet.Packet_RoomRequest:
		r.decide(now, m.RoomRequest, from)
	case *fleet.Packet_RoomRelease:
		q := m.RoomRelease
		var load *room.Report
		if q.Reported {
			load = &room.Report{Requests: int(q.Requests), Slowdown: float64(q.Slowdown), Age: time.Duration(q.ReportAgeMs) * time.Millisecond}
		}
		freed, err := r.ledger.Release(now, r.statement(now, q.Statement), load)
		r.notify(now, freed, err)
	case *fleet.Packet_RoomAnswer:
		r.receiveAnswer(now, m.RoomAnswer, from)
	case *fleet.Packet_RoomFreed:
		q := room.Answer{Others: int(m.RoomFreed.Others)}
		if err := q.Check(); err != nil {
			r.rejected(err)
			break
		}
		r.freed(now, m.RoomFreed.Upstream, q.Others)
	default:
		return false
	}
	return true
}

// decide answers a holder's request from the ledger.
func (r *rooms) decide(now time.Time, q *fleet.RoomRequest, from string) {
	s := r.statement(now, q.Statement)
	var a room.Answer
	var err error
	if q.Announced {
		a, err = r.ledger.Announce(now, s)
	} else {
		a, err = r.ledger.Reserve(now, s, int(q.MaxAhead))
	}
	if err != nil {
		r.rejected(err)
		return
	}
	answer := &fleet.RoomAnswer{
		Upstream: s.Upstream, Sequence: s.Sequence, Granted: a.Granted, Others: uint32(max(a.Others, 0)),
		Slowdown: float32(a.Slowdown), SlowdownAgeMs: uint32(a.SlowdownAge.Milliseconds()),
	}
	r.send(from, &fleet.Packet{Content: &fleet.Packet_RoomAnswer{RoomAnswer: answer}})
}

// receiveAnswer hands an answer to the request that waits for it. A late one, or one to an announced
// request, corrects what the table knows. It does not show that the owner answers in time: requests
// would wait again for an owner that is only slow, each until its timeout.
func (r *rooms) receiveAnswer(now time.Time, a *fleet.RoomAnswer, from string) {
	r.mu.Lock()
	awaited := r.awaited[a.Sequence]
	r.mu.Unlock()
	answer := room.Answer{
		Granted: a.Granted, Others: int(a.Others), Slowdown: float64(a.Slowdown), SlowdownAge: time.Duration(a.SlowdownAgeMs) * time.Millisecond,
	}
	if err := answer.Check(); err != nil {
		r.rejected(err)
		return
	}
	if awaited.answer == nil || awaited.upstream != a.Upstream {
		r.observe(now, a.Upstream, answer)
		return
	}
	r.owners.Heard(r.peers.Load().instances[from])
	select {
	case awaited.answer <- answer:
	default:
	}
}

// notify tells holders of free room.
func (r *rooms) notify(now time.Time, freed []room.Freed, err error) {
	if err != nil {
		r.rejected(err)
	}
	for _, f := range freed {
		if f.Holder == r.holdings.Holder() {
			r.freed(now, f.Upstream, f.Others)
			continue
		}
		m := &fleet.RoomFreed{Upstream: f.Upstream, Others: uint32(max(f.Others, 0))}
		r.send(r.peers.Load().addresses[f.Holder], &fleet.Packet{Content: &fleet.Packet_RoomFreed{RoomFreed: m}})
	}
}

// freed records that room is kept for a request of this host.
func (r *rooms) freed(now time.Time, upstream uint64, others int) {
	if service := r.d.table.ObserveRoom(now, upstream, others); service != "" {
		r.d.callers.RoomFreed(service)
	}
}

// sweep removes what has expired. It is called by the control thread.
func (r *rooms) sweep(now time.Time) {
	if now.Sub(r.sweptAt) < roomSweepInterval {
		return
	}
	r.sweptAt = now
	r.notify(now, r.ledger.Sweep(now), nil)
}

// send sends a packet to a peer and reports whether it was sent. A packet that is not sent is
// equivalent to one that is lost.
func (r *rooms) send(address string, p *fleet.Packet) bool {
	if address == "" {
		return false
	}
	if err := r.d.transport.SendPacket(p, address); err != nil {
		r.d.events.Debug("room message not sent", "error", err)
		return false
	}
	return true
}

func requestPacket(now time.Time, s room.Statement, maxAhead int, announced bool) *fleet.Packet {
	q := &fleet.RoomRequest{Statement: statementMessage(now, s), MaxAhead: uint32(max(maxAhead, 0)), Announced: announced}
	return &fleet.Packet{Content: &fleet.Packet_RoomRequest{RoomRequest: q}}
}

func statementMessage(now time.Time, s room.Statement) *fleet.RoomStatement {
	return &fleet.RoomStatement{
		Upstream: s.Upstream, Holder: s.Holder, Slots: uint32(s.Slots), Sequence: s.Sequence, Settled: s.Settled,
		Count: uint32(s.Count), LeftMs: uint32(max(s.Until.Sub(now), 0).Milliseconds()),
	}
}

// statement reads a holder's statement. The slots are those that this host knows, if it knows the
// upstream.
func (r *rooms) statement(now time.Time, m *fleet.RoomStatement) room.Statement {
	s := room.Statement{
		Upstream: m.GetUpstream(), Holder: m.GetHolder(), Slots: int(m.GetSlots()), Sequence: m.GetSequence(), Settled: m.GetSettled(),
		Count: int(m.GetCount()), Until: now.Add(time.Duration(m.GetLeftMs()) * time.Millisecond),
	}
	if _, slots, ok := r.d.table.RoomOwner(s.Upstream); ok {
		s.Slots = slots
	}
	return s
}

func (r *rooms) rejected(err error) {
	r.d.metrics.Set.GetOrCreateCounter("balsambarrow_room_messages_rejected_total").Inc()
	r.d.events.Debug("room message rejected", "error", err)
}

func (r *rooms) count(result string) {
	r.d.metrics.Set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_room_requests_total{result=%q}`, result)).Inc()
}

func (r *rooms) countReleased() {
	r.d.metrics.Set.GetOrCreateCounter("balsambarrow_room_released_total").Inc()
}
