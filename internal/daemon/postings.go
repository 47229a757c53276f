package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/membership"
	"balsambarrow/internal/peer"
	"balsambarrow/internal/posting"
)

const (
	// maxPartBytes bounds one part of a table on its way, far below what a peer
	// takes in one message.
	maxPartBytes = 512 << 10
	// partTimeout bounds the passing on of one part.
	partTimeout = 2 * time.Second
	// transferTimeout bounds the passing on of all tables; 80 parts of a full one
	// take a second within a zone.
	transferTimeout = 10 * time.Second
	// maxSuccessors bounds the peers that are tried: a host that is cut off
	// must not spend its stop on asking everybody.
	maxSuccessors = 4
	// postingOverhead is added to the variable bytes of a posting.
	postingOverhead = 128
	// assemblyTTL is how long the parts of an unfinished table are kept: more
	// than a planned stop takes.
	assemblyTTL = 2 * time.Minute
	// maxHTTPStatus is the highest status of an answer.
	maxHTTPStatus = 599
	// maxAssemblies bounds the tables on their way at once.
	maxAssemblies = 8
)

// errDeclined says that a peer had no room for a table.
var errDeclined = errors.New("daemon: peer does not take the postings")

// transferPostings closes the table of postings and passes it to a peer of the
// zone, which answers for this instance from then on. It is called at a
// planned stop, after the callers' and relay listeners have ended every
// request: a posting that still runs goes as unknown. Where no peer of the
// zone takes it, another zone's may.
func (d *Daemon) transferPostings(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	for _, table := range d.postings.Seal(time.Now()) {
		d.transferTable(ctx, table)
	}
}

func (d *Daemon) transferTable(ctx context.Context, table posting.Handover) {
	peers := d.transferTargets()
	for _, to := range peers[:min(len(peers), maxSuccessors)] {
		err := d.sendTable(ctx, to, table)
		if err == nil {
			d.log.Info("postings_handed_over", "instance", table.Instance, "to", to.Instance, "postings", len(table.Postings))
			return
		}
		d.log.Warn("postings_not_taken", "instance", table.Instance, "by", to.Instance, "err", err)
	}
	if len(table.Postings) == 0 {
		return
	}
	d.log.Warn("postings_lost", "instance", table.Instance, "postings", len(table.Postings))
}

// transferTargets lists the ready daemons, those of the own zone first.
func (d *Daemon) transferTargets() []membership.Member {
	var sameZone, otherZones []membership.Member
	for _, m := range d.view.Load().Members {
		switch {
		case m.State != membership.StateReady:
		case m.Zone == d.identity.Zone:
			sameZone = append(sameZone, m)
		default:
			otherZones = append(otherZones, m)
		}
	}
	return append(sameZone, otherZones...)
}

func (d *Daemon) sendTable(ctx context.Context, to membership.Member, table posting.Handover) error {
	client := peer.NewDRPCHandoverClient(d.conns.Conn(ctx, to.PeerAddress))
	var reply *peer.HandoverReply
	for _, part := range splitTable(table) {
		partCtx, cancel := context.WithTimeout(ctx, partTimeout)
		response, err := client.TakePostings(partCtx, part)
		cancel()
		if err != nil {
			return err
		}
		reply = response
	}
	if reply == nil || !reply.Taken {
		return errDeclined
	}
	return nil
}

// splitTable cuts a table so that each part stays small. An empty table is passed
// too: it makes the successor's not-run true for ids that never came.
func splitTable(table posting.Handover) []*peer.PostingTable {
	newPart := func() *peer.PostingTable {
		return &peer.PostingTable{Instance: table.Instance, Epoch: table.Epoch, Total: uint64(len(table.Postings))}
	}
	current := newPart()
	all := []*peer.PostingTable{current}
	size := 0
	for _, record := range table.Postings {
		p := postingToWire(record)
		n := len(p.Id) + len(p.Customer) + len(p.Body) + headerBytes(p) + postingOverhead
		if size > 0 && size+n > maxPartBytes {
			current = newPart()
			all = append(all, current)
			size = 0
		}
		current.Postings = append(current.Postings, p)
		size += n
	}
	return all
}

func headerBytes(p *peer.Posting) int {
	n := 0
	for _, h := range p.Headers {
		n += len(h.Name)
		for _, v := range h.Values {
			n += len(v)
		}
	}
	return n
}

// postingReceiver receives what a stopping peer passes on; it implements
// peer.DRPCHandoverServer.
type postingReceiver struct {
	peer.DRPCHandoverUnimplementedServer
	d *Daemon

	mu         sync.Mutex
	assemblies map[string]*assembly
}

// assembly is a table of which parts are missing, by the postings' ids: a part
// that arrives twice counts once.
type assembly struct {
	startedAt   time.Time
	postings    map[postingKey]posting.Kept
	answerBytes int
}

func (a *assembly) add(record posting.Kept) {
	k := postingKey{customer: record.Customer, id: record.ID}
	if _, duplicate := a.postings[k]; !duplicate && record.Answer != nil {
		a.answerBytes += len(record.Answer.Body)
	}
	a.postings[k] = record
}

type postingKey struct {
	customer string
	id       posting.ID
}

func newPostingReceiver(d *Daemon) *postingReceiver {
	return &postingReceiver{d: d, assemblies: map[string]*assembly{}}
}

// TakePostings takes one part in. The reply says whether the whole table has
// been taken: answering for an instance with a part of its table would call
// the rest not-run.
func (h *postingReceiver) TakePostings(_ context.Context, in *peer.PostingTable) (*peer.HandoverReply, error) {
	postings, err := postingsFromWire(in)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.assembly(in.Instance, time.Now())
	if a == nil || uint64(len(a.postings)+len(postings)) > posting.MaxRecords {
		return &peer.HandoverReply{}, nil
	}
	for _, record := range postings {
		a.add(record)
	}
	if a.answerBytes > posting.MaxAnswerBytes {
		delete(h.assemblies, in.Instance)
		return &peer.HandoverReply{}, nil
	}
	if uint64(len(a.postings)) < in.Total {
		return &peer.HandoverReply{}, nil
	}
	delete(h.assemblies, in.Instance)
	return &peer.HandoverReply{Taken: h.d.storeTable(in, a)}, nil
}

// assembly finds or begins the collecting of an instance's parts; nil where
// there are too many.
func (h *postingReceiver) assembly(instance string, now time.Time) *assembly {
	for name, a := range h.assemblies {
		if now.Sub(a.startedAt) > assemblyTTL {
			delete(h.assemblies, name)
		}
	}
	a := h.assemblies[instance]
	if a == nil && len(h.assemblies) < maxAssemblies {
		a = &assembly{startedAt: now, postings: map[postingKey]posting.Kept{}}
		h.assemblies[instance] = a
	}
	return a
}

func (d *Daemon) storeTable(in *peer.PostingTable, a *assembly) bool {
	table := posting.Handover{Instance: in.Instance, Epoch: in.Epoch}
	for _, record := range a.postings {
		table.Postings = append(table.Postings, record)
	}
	accepted := d.postings.Take(table, time.Now())
	d.log.Info("postings_taken", "instance", in.Instance, "postings", len(table.Postings), "taken", accepted)
	return accepted
}

// stateNames are the states that travel. A running one does not.
var stateNames = map[posting.State]string{posting.StateRan: "ran", posting.StateUnknown: "unknown"}

var statesByName = map[string]posting.State{"ran": posting.StateRan, "unknown": posting.StateUnknown}

func postingToWire(record posting.Kept) *peer.Posting {
	out := &peer.Posting{Id: record.ID.String(), Customer: record.Customer, State: stateNames[record.State], Digest: record.Digest[:]}
	if record.Answer == nil {
		return out
	}
	out.Status, out.Body, out.Dropped = uint32(record.Answer.Status), record.Answer.Body, record.Answer.Dropped
	for name, values := range record.Answer.Header {
		out.Headers = append(out.Headers, &peer.PostingHeader{Name: name, Values: values})
	}
	return out
}

// errInvalidPosting says that a peer's posting cannot be read.
var errInvalidPosting = errors.New("daemon: unreadable posting in a table")

func postingsFromWire(in *peer.PostingTable) ([]posting.Kept, error) {
	var all []posting.Kept
	for _, p := range in.Postings {
		record, err := postingFromWire(p)
		if err != nil {
			return nil, err
		}
		if record.ID.Instance != in.Instance {
			return nil, errors.Wrap(errInvalidPosting, "another instance's")
		}
		all = append(all, record)
	}
	return all, nil
}

func postingFromWire(in *peer.Posting) (posting.Kept, error) {
	id, err := posting.ParseID(in.Id)
	if err != nil {
		return posting.Kept{}, errors.Wrap(errInvalidPosting, err.Error())
	}
	state, known := statesByName[in.State]
	if len(in.Digest) != len(posting.Digest{}) || !known {
		return posting.Kept{}, errors.Wrap(errInvalidPosting, "digest or state")
	}
	record := posting.Kept{ID: id, Customer: in.Customer, Digest: posting.Digest(in.Digest), State: state}
	if in.Status == 0 {
		return record, nil
	}
	if in.Status < http.StatusOK || in.Status > maxHTTPStatus {
		return posting.Kept{}, errors.Wrap(errInvalidPosting, "status")
	}
	record.Answer = &posting.Answer{
		Status: int(in.Status), Header: http.Header{}, Body: in.Body, Dropped: in.Dropped,
	}
	for _, h := range in.Headers {
		record.Answer.Header[h.Name] = h.Values
	}
	return record, nil
}
