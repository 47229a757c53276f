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
	// partBytes bounds one part of a table on its way, far below what a peer
	// takes in one message.
	partBytes = 512 << 10
	// partTimeout bounds the passing on of one part.
	partTimeout = 2 * time.Second
	// handOverBound bounds the passing on of all tables; 80 parts of a full one
	// take a second within a zone.
	handOverBound = 10 * time.Second
	// maxSuccessors bounds the peers that are tried: a host that is cut off
	// must not spend its stop on asking everybody.
	maxSuccessors = 4
	// postingOverhead is added to the variable bytes of a posting.
	postingOverhead = 128
	// assemblyFor is how long the parts of an unfinished table are kept: more
	// than a planned stop takes.
	assemblyFor = 2 * time.Minute
	// maxStatus is the highest status of an answer.
	maxStatus = 599
	// maxAssemblies bounds the tables on their way at once.
	maxAssemblies = 8
)

// errDeclined says that a peer had no room for a table.
var errDeclined = errors.New("daemon: peer does not take the postings")

// handOverPostings closes the table of postings and passes it to a peer of the
// zone, which answers for this instance from then on. It is called at a
// planned stop, after the callers' and relay listeners have ended every
// request: a posting that still runs goes as unknown. Where no peer of the
// zone takes it, another zone's may.
func (d *Daemon) handOverPostings(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverBound)
	defer cancel()
	for _, table := range d.postings.Seal(time.Now()) {
		d.handOver(ctx, table)
	}
}

func (d *Daemon) handOver(ctx context.Context, table posting.Handover) {
	peers := d.successors()
	for _, to := range peers[:min(len(peers), maxSuccessors)] {
		err := d.passTable(ctx, to, table)
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

// successors lists the ready daemons, those of the own zone first.
func (d *Daemon) successors() []membership.Member {
	var near, far []membership.Member
	for _, m := range d.view.Load().Members {
		switch {
		case m.State != membership.StateReady:
		case m.Zone == d.identity.Zone:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	return append(near, far...)
}

func (d *Daemon) passTable(ctx context.Context, to membership.Member, table posting.Handover) error {
	client := peer.NewDRPCHandoverClient(d.conns.Conn(ctx, to.PeerAddress))
	var reply *peer.HandoverReply
	for _, part := range parts(table) {
		bounded, cancel := context.WithTimeout(ctx, partTimeout)
		got, err := client.TakePostings(bounded, part)
		cancel()
		if err != nil {
			return err
		}
		reply = got
	}
	if reply == nil || !reply.Taken {
		return errDeclined
	}
	return nil
}

// parts cuts a table so that each part stays small. An empty table is passed
// too: it makes the successor's not-run true for ids that never came.
func parts(table posting.Handover) []*peer.PostingTable {
	fresh := func() *peer.PostingTable {
		return &peer.PostingTable{Instance: table.Instance, Epoch: table.Epoch, Total: uint64(len(table.Postings))}
	}
	current := fresh()
	all := []*peer.PostingTable{current}
	size := 0
	for _, kept := range table.Postings {
		p := postingToWire(kept)
		n := len(p.Id) + len(p.Customer) + len(p.Body) + headerBytes(p) + postingOverhead
		if size > 0 && size+n > partBytes {
			current = fresh()
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

// handover receives what a stopping peer passes on; it implements
// peer.DRPCHandoverServer.
type handover struct {
	peer.DRPCHandoverUnimplementedServer
	d *Daemon

	mu         sync.Mutex
	assemblies map[string]*assembly
}

// assembly is a table of which parts are missing, by the postings' ids: a part
// that arrives twice counts once.
type assembly struct {
	begun       time.Time
	postings    map[postingKey]posting.Kept
	answerBytes int
}

func (a *assembly) add(kept posting.Kept) {
	k := postingKey{customer: kept.Customer, id: kept.ID}
	if _, twice := a.postings[k]; !twice && kept.Answer != nil {
		a.answerBytes += len(kept.Answer.Body)
	}
	a.postings[k] = kept
}

type postingKey struct {
	customer string
	id       posting.ID
}

func newHandover(d *Daemon) *handover {
	return &handover{d: d, assemblies: map[string]*assembly{}}
}

// TakePostings takes one part in. The reply says whether the whole table has
// been taken: answering for an instance with a part of its table would call
// the rest not-run.
func (h *handover) TakePostings(_ context.Context, in *peer.PostingTable) (*peer.HandoverReply, error) {
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
	for _, kept := range postings {
		a.add(kept)
	}
	if a.answerBytes > posting.MaxAnswerBytes {
		delete(h.assemblies, in.Instance)
		return &peer.HandoverReply{}, nil
	}
	if uint64(len(a.postings)) < in.Total {
		return &peer.HandoverReply{}, nil
	}
	delete(h.assemblies, in.Instance)
	return &peer.HandoverReply{Taken: h.d.takePostings(in, a)}, nil
}

// assembly finds or begins the collecting of an instance's parts; nil where
// there are too many.
func (h *handover) assembly(instance string, now time.Time) *assembly {
	for name, a := range h.assemblies {
		if now.Sub(a.begun) > assemblyFor {
			delete(h.assemblies, name)
		}
	}
	a := h.assemblies[instance]
	if a == nil && len(h.assemblies) < maxAssemblies {
		a = &assembly{begun: now, postings: map[postingKey]posting.Kept{}}
		h.assemblies[instance] = a
	}
	return a
}

func (d *Daemon) takePostings(in *peer.PostingTable, a *assembly) bool {
	table := posting.Handover{Instance: in.Instance, Epoch: in.Epoch}
	for _, kept := range a.postings {
		table.Postings = append(table.Postings, kept)
	}
	taken := d.postings.Take(table, time.Now())
	d.log.Info("postings_taken", "instance", in.Instance, "postings", len(table.Postings), "taken", taken)
	return taken
}

// stateNames are the states that travel. A running one does not.
var stateNames = map[posting.State]string{posting.StateRan: "ran", posting.StateUnknown: "unknown"}

var statesByName = map[string]posting.State{"ran": posting.StateRan, "unknown": posting.StateUnknown}

func postingToWire(k posting.Kept) *peer.Posting {
	out := &peer.Posting{Id: k.ID.String(), Customer: k.Customer, State: stateNames[k.State], Digest: k.Digest[:]}
	if k.Answer == nil {
		return out
	}
	out.Status, out.Body, out.Dropped = uint32(k.Answer.Status), k.Answer.Body, k.Answer.Dropped
	for name, values := range k.Answer.Header {
		out.Headers = append(out.Headers, &peer.PostingHeader{Name: name, Values: values})
	}
	return out
}

// errBadPosting says that a peer's posting cannot be read.
var errBadPosting = errors.New("daemon: unreadable posting in a table")

func postingsFromWire(in *peer.PostingTable) ([]posting.Kept, error) {
	var all []posting.Kept
	for _, p := range in.Postings {
		kept, err := postingFromWire(p)
		if err != nil {
			return nil, err
		}
		if kept.ID.Instance != in.Instance {
			return nil, errors.Wrap(errBadPosting, "another instance's")
		}
		all = append(all, kept)
	}
	return all, nil
}

func postingFromWire(in *peer.Posting) (posting.Kept, error) {
	id, err := posting.ParseID(in.Id)
	if err != nil {
		return posting.Kept{}, errors.Wrap(errBadPosting, err.Error())
	}
	state, known := statesByName[in.State]
	if len(in.Digest) != len(posting.Digest{}) || !known {
		return posting.Kept{}, errors.Wrap(errBadPosting, "digest or state")
	}
	kept := posting.Kept{ID: id, Customer: in.Customer, Digest: posting.Digest(in.Digest), State: state}
	if in.Status == 0 {
		return kept, nil
	}
	if in.Status < http.StatusOK || in.Status > maxStatus {
		return posting.Kept{}, errors.Wrap(errBadPosting, "status")
	}
	kept.Answer = &posting.Answer{
		Status: int(in.Status), Header: http.Header{}, Body: in.Body, Dropped: in.Dropped,
	}
	for _, h := range in.Headers {
		kept.Answer.Header[h.Name] = h.Values
	}
	return kept, nil
}
