package fleet

import (
	"fmt"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// fragmentBytes is the size of the largest packet that is sent unfragmented. It is
	// small so that the loss of a datagram does not cost a slow link much.
	fragmentBytes = 32 << 10
	// maxFragments limits a packet to the size of the largest value of the store.
	maxFragments = 32
	// maxIncomplete is the number of incomplete packets whose fragments are kept.
	maxIncomplete = 8
)

// FragmentError reports a fragment whose index or count is invalid, or differs from the
// other fragments of its packet.
type FragmentError struct {
	Index, Count uint32
}

func (e *FragmentError) Error() string {
	return fmt.Sprintf("fleet: invalid fragment: index %d of %d", e.Index, e.Count)
}

// fragments splits the marshalled packet with the given id.
func fragments(id uint64, data []byte) []*Fragment {
	count := (len(data) + fragmentBytes - 1) / fragmentBytes
	out := make([]*Fragment, 0, count)
	for i := range count {
		part := data[i*fragmentBytes : min((i+1)*fragmentBytes, len(data))]
		out = append(out, &Fragment{Id: id, Index: uint32(i), Count: uint32(count), Data: part})
	}
	return out
}

// reassembler restores packets from fragments. If too many packets are incomplete, the
// oldest is dropped, and this host sends the request for it again. The zero value is
// empty. It is not safe for concurrent use.
type reassembler struct {
	incomplete []*incompletePacket
}

type incompletePacket struct {
	sender  string
	id      uint64
	parts   [][]byte
	missing int
}

// add stores a fragment and returns the packet that it completes, or nil if the packet
// is still incomplete.
func (r *reassembler) add(sender string, f *Fragment) (*Packet, error) {
	if f.Count == 0 || f.Count > maxFragments || f.Index >= f.Count {
		return nil, errors.WithStack(&FragmentError{f.Index, f.Count})
	}
	p := r.packet(sender, f)
	if len(p.parts) != int(f.Count) {
		return nil, errors.WithStack(&FragmentError{f.Index, f.Count})
	}
	if p.parts[f.Index] != nil {
		return nil, nil
	}
	p.parts[f.Index] = f.Data
	if p.missing--; p.missing > 0 {
		return nil, nil
	}
	r.drop(p)
	var data []byte
	for _, part := range p.parts {
		data = append(data, part...)
	}
	packet := &Packet{}
	if err := proto.Unmarshal(data, packet); err != nil {
		return nil, errors.WithStack(err)
	}
	return packet, nil
}

// packet returns the incomplete packet that a fragment belongs to, and adds it if it is
// new.
func (r *reassembler) packet(sender string, f *Fragment) *incompletePacket {
	for _, p := range r.incomplete {
		if p.sender == sender && p.id == f.Id {
			return p
		}
	}
	if len(r.incomplete) == maxIncomplete {
		r.incomplete = r.incomplete[1:]
	}
	p := &incompletePacket{sender: sender, id: f.Id, parts: make([][]byte, f.Count), missing: int(f.Count)}
	r.incomplete = append(r.incomplete, p)
	return p
}

func (r *reassembler) drop(done *incompletePacket) {
	for i, p := range r.incomplete {
		if p == done {
			r.incomplete = append(r.incomplete[:i], r.incomplete[i+1:]...)
			return
		}
	}
}
