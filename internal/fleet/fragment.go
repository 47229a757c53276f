package fleet

import (
	"fmt"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// fragmentBytes is the largest packet that is sent whole: its loss must not cost a
	// weak link much.
	fragmentBytes = 32 << 10
	// maxFragments bounds a packet to the largest value of the store.
	maxFragments = 32
	// maxPartial bounds the packets of which fragments are kept.
	maxPartial = 8
)

// FragmentError says that a fragment cannot belong to any packet.
type FragmentError struct {
	Index, Count uint32
}

func (e *FragmentError) Error() string {
	return fmt.Sprintf("fleet: fragment %d of %d", e.Index, e.Count)
}

// fragments splits the packet with the id.
func fragments(id uint64, data []byte) []*Fragment {
	count := (len(data) + fragmentBytes - 1) / fragmentBytes
	out := make([]*Fragment, 0, count)
	for i := range count {
		part := data[i*fragmentBytes : min((i+1)*fragmentBytes, len(data))]
		out = append(out, &Fragment{Id: id, Index: uint32(i), Count: uint32(count), Data: part})
	}
	return out
}

// assembly puts fragments together. The oldest packet that lacks some is given up where
// there are too many: whoever wants it asks again. The zero value is empty. It is not safe
// for concurrent use.
type assembly struct {
	partial []*partialPacket
}

type partialPacket struct {
	sender  string
	id      uint64
	parts   [][]byte
	missing int
}

// add takes a fragment in, and returns the packet that it completes; nil if it does not.
func (a *assembly) add(sender string, f *Fragment) (*Packet, error) {
	if f.Count == 0 || f.Count > maxFragments || f.Index >= f.Count {
		return nil, errors.WithStack(&FragmentError{f.Index, f.Count})
	}
	p := a.packet(sender, f)
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
	a.drop(p)
	var data []byte
	for _, part := range p.parts {
		data = append(data, part...)
	}
	whole := &Packet{}
	if err := proto.Unmarshal(data, whole); err != nil {
		return nil, errors.WithStack(err)
	}
	return whole, nil
}

// packet returns the packet that a fragment belongs to.
func (a *assembly) packet(sender string, f *Fragment) *partialPacket {
	for _, p := range a.partial {
		if p.sender == sender && p.id == f.Id {
			return p
		}
	}
	if len(a.partial) == maxPartial {
		a.partial = a.partial[1:]
	}
	p := &partialPacket{sender: sender, id: f.Id, parts: make([][]byte, f.Count), missing: int(f.Count)}
	a.partial = append(a.partial, p)
	return p
}

func (a *assembly) drop(done *partialPacket) {
	for i, p := range a.partial {
		if p == done {
			a.partial = append(a.partial[:i], a.partial[i+1:]...)
			return
		}
	}
}
