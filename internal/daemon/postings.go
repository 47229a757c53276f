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
	// maxPartBytes limits one part of a table in transfer. It is far below the
	// size that a peer accepts in one message.
	maxPartBytes = 512 << 10
	// partTimeout limits the transfer of one part.
	partTimeout = 2 * time.Second
	// transferTimeout limits the transfer of all tables. The 80 parts of a full
	// table take one second within a zone.
	transferTimeout = 10 * time.Second
	// maxTransferTargets limits the number of peers that are tried. A host that
	// is partitioned from the network must not spend its planned stop on trying
	// every peer.
	maxTransferTargets = 4
	// postingOverhead is the estimated size of the fixed fields of a posting.
	// It is added to the size of the variable fields.
	postingOverhead = 128
	// assemblyTTL is how long the parts of an incomplete table are kept. It is
	// longer than a planned stop.
	assemblyTTL = 2 * time.Minute
	// maxHTTPStatus is the highest status code of an HTTP response.
	maxHTTPStatus = 599
	// maxAssemblies limits the number of tables in transfer at once.
	maxAssemblies = 8
)

// errTableNotAccepted reports that a peer did not accept a table, for example
// because it has no room for the table.
var errTableNotAccepted = errors.New("daemon: peer rejected the postings")

// transferPostings closes the table of postings and transfers it to a peer of
// the zone, which responds to queries about this instance's postings from then
// on. It is called at a planned stop, after the callers' and relay listeners
// have finished all requests. A posting that still runs is transferred with an
// unknown outcome. If no peer of the zone accepts the table, a peer of another
// zone may.
func (d *Daemon) transferPostings(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	for _, table := range d.postings.Seal(time.Now()) {
		d.transferTable(ctx, table)
	}
}

func (d *Daemon) transferTable(ctx context.Context, table posting.Transfer) {
	peers := d.transferTargets()
	for _, to := range peers[:min(len(peers), maxTransferTargets)] {
		err := d.sendTable(ctx, to, table)
		if err == nil {
			d.log.Info("postings_transferred", "instance", table.Instance, "to", to.Instance, "postings", len(table.Postings))
			return
		}
		d.log.Warn("postings_not_taken", "instance", table.Instance, "by", to.Instance, "err", err)
	}
	if len(table.Postings) == 0 {
		return
	}
	d.log.Warn("postings_lost", "instance", table.Instance, "postings", len(table.Postings))
}

// transferTargets returns the ready daemons, those of this daemon's zone first.
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

func (d *Daemon) sendTable(ctx context.Context, to membership.Member, table posting.Transfer) error {
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
		return errTableNotAccepted
	}
	return nil
}

// splitTable splits a table into parts. A part exceeds maxPartBytes only if a
// single posting does. An empty table is transferred too, because the peer can
// report ids that never arrived as not-run only if it has the table.
func splitTable(table posting.Transfer) []*peer.PostingTable {
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

// postingReceiver receives the posting tables that stopping peers transfer. It
// implements the posting part of peer.DRPCHandoverServer.
type postingReceiver struct {
	peer.DRPCHandoverUnimplementedServer
	d *Daemon

	mu         sync.Mutex
	assemblies map[string]*assembly
}

// assembly is a table of which some parts have not arrived yet. Its postings
// are indexed by customer and id, so that a part that arrives twice counts
// once.
type assembly struct {
	startedAt     time.Time
	postings      map[postingKey]posting.TransferRecord
	responseBytes int
}

func (a *assembly) add(record posting.TransferRecord) {
	k := postingKey{customer: record.Customer, id: record.ID}
	if _, duplicate := a.postings[k]; !duplicate && record.Response != nil {
		a.responseBytes += len(record.Response.Body)
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

// TakePostings receives one part of a table. The response says whether the full
// table has been accepted. A daemon that responded to queries about an instance
// with an incomplete table would report the missing postings as not-run.
func (r *postingReceiver) TakePostings(_ context.Context, in *peer.PostingTable) (*peer.HandoverReply, error) {
	postings, err := postingsFromWire(in)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.assembly(in.Instance, time.Now())
	if a == nil || uint64(len(a.postings)+len(postings)) > posting.MaxRecords {
		return &peer.HandoverReply{}, nil
	}
	for _, record := range postings {
		a.add(record)
	}
	if a.responseBytes > posting.MaxTotalResponseBytes {
		delete(r.assemblies, in.Instance)
		return &peer.HandoverReply{}, nil
	}
	if uint64(len(a.postings)) < in.Total {
		return &peer.HandoverReply{}, nil
	}
	delete(r.assemblies, in.Instance)
	return &peer.HandoverReply{Taken: r.d.storeTable(in, a)}, nil
}

// assembly returns the assembly of an instance's table, and creates it if
// needed. It returns nil if there are too many assemblies.
func (r *postingReceiver) assembly(instance string, now time.Time) *assembly {
	for name, a := range r.assemblies {
		if now.Sub(a.startedAt) > assemblyTTL {
			delete(r.assemblies, name)
		}
	}
	a := r.assemblies[instance]
	if a == nil && len(r.assemblies) < maxAssemblies {
		a = &assembly{startedAt: now, postings: map[postingKey]posting.TransferRecord{}}
		r.assemblies[instance] = a
	}
	return a
}

func (d *Daemon) storeTable(in *peer.PostingTable, a *assembly) bool {
	table := posting.Transfer{Instance: in.Instance, Epoch: in.Epoch}
	for _, record := range a.postings {
		table.Postings = append(table.Postings, record)
	}
	accepted := d.postings.Import(table, time.Now())
	d.log.Info("postings_received", "instance", in.Instance, "postings", len(table.Postings), "taken", accepted)
	return accepted
}

// stateNames are the names of the states on the wire. A running posting is
// transferred as unknown.
var stateNames = map[posting.State]string{posting.StateRan: "ran", posting.StateUnknown: "unknown"}

var statesByName = map[string]posting.State{"ran": posting.StateRan, "unknown": posting.StateUnknown}

func postingToWire(record posting.TransferRecord) *peer.Posting {
	out := &peer.Posting{Id: record.ID.String(), Customer: record.Customer, State: stateNames[record.State], Digest: record.Digest[:]}
	if record.Response == nil {
		return out
	}
	out.Status, out.Body, out.Dropped = uint32(record.Response.Status), record.Response.Body, record.Response.Dropped
	for name, values := range record.Response.Header {
		out.Headers = append(out.Headers, &peer.PostingHeader{Name: name, Values: values})
	}
	return out
}

// errInvalidPosting reports that a posting received from a peer is malformed.
var errInvalidPosting = errors.New("daemon: invalid posting in a transferred table")

func postingsFromWire(in *peer.PostingTable) ([]posting.TransferRecord, error) {
	var all []posting.TransferRecord
	for _, p := range in.Postings {
		record, err := postingFromWire(p)
		if err != nil {
			return nil, err
		}
		if record.ID.Instance != in.Instance {
			return nil, errors.Wrap(errInvalidPosting, "id of another instance")
		}
		all = append(all, record)
	}
	return all, nil
}

func postingFromWire(in *peer.Posting) (posting.TransferRecord, error) {
	id, err := posting.ParseID(in.Id)
	if err != nil {
		return posting.TransferRecord{}, errors.Wrap(errInvalidPosting, err.Error())
	}
	state, known := statesByName[in.State]
	if len(in.Digest) != len(posting.Digest{}) || !known {
		return posting.TransferRecord{}, errors.Wrap(errInvalidPosting, "invalid digest or state")
	}
	record := posting.TransferRecord{ID: id, Customer: in.Customer, Digest: posting.Digest(in.Digest), State: state}
	if in.Status == 0 {
		return record, nil
	}
	if in.Status < http.StatusOK || in.Status > maxHTTPStatus {
		return posting.TransferRecord{}, errors.Wrap(errInvalidPosting, "invalid status")
	}
	record.Response = &posting.Response{
		Status: int(in.Status), Header: http.Header{}, Body: in.Body, Dropped: in.Dropped,
	}
	for _, h := range in.Headers {
		record.Response.Header[h.Name] = h.Values
	}
	return record, nil
}
