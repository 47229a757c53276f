package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// maxDatagram is the largest packet that is read.
const maxDatagram = 64 << 10

// Wire sends and receives packets as datagrams, a large one in fragments.
type Transport struct {
	conn   *net.UDPConn
	packer packer
	// fragmented counts the packets that were sent in fragments.
	fragmented atomic.Uint64
}

// Listen opens the socket at address, IP:port.
func Listen(address string) (*Transport, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	conn, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, errors.Wrap(err, "listen for heartbeats")
	}
	w := &Transport{conn: conn}
	if w.packer, err = newPacker(); err != nil {
		return nil, err
	}
	// A process that starts again must not complete a packet of the one before it.
	w.fragmented.Store(rand.Uint64())
	return w, nil
}

// Address that heartbeats arrive at.
func (w *Transport) Address() string { return w.conn.LocalAddr().String() }

// Send sends a heartbeat to each peer. A heartbeat that cannot be sent is like
// one that is lost on the way, so only the first error is returned, for the log.
func (w *Transport) SendHeartbeat(b *Heartbeat, peers []string) error {
	data, err := proto.Marshal(&Packet{Content: &Packet_Heartbeat{b}})
	if err != nil {
		return errors.WithStack(err)
	}
	var first error
	for _, peer := range peers {
		if err := w.write(data, peer); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// SendPacket sends one packet to one peer.
func (w *Transport) SendPacket(p *Packet, peer string) error {
	data, err := proto.Marshal(p)
	if err != nil {
		return errors.WithStack(err)
	}
	if len(data) >= packFrom {
		if data, err = w.packer.pack(data); err != nil {
			return err
		}
	}
	if len(data) <= fragmentBytes {
		return w.write(data, peer)
	}
	for _, f := range fragments(w.fragmented.Add(1), data) {
		part, err := proto.Marshal(&Packet{Content: &Packet_Fragment{f}})
		if err != nil {
			return errors.WithStack(err)
		}
		if err := w.write(part, peer); err != nil {
			return err
		}
	}
	return nil
}

func (w *Transport) write(data []byte, peer string) error {
	a, err := netip.ParseAddrPort(peer)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = w.conn.WriteToUDPAddrPort(data, a)
	return errors.Wrap(err, "send to peer")
}

// Receive passes packets on, with the address of their sender, until ctx ends.
// Datagrams that cannot be read are passed to spoiled.
func (w *Transport) Receive(ctx context.Context, heard func(p *Packet, from string), spoiled func(error)) {
	stop := context.AfterFunc(ctx, func() { _ = w.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	var partial assembly
	for ctx.Err() == nil {
		n, from, err := w.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				spoiled(errors.WithStack(err))
			}
			continue
		}
		p := &Packet{}
		if err := proto.Unmarshal(buffer[:n], p); err != nil {
			spoiled(errors.WithStack(err))
			continue
		}
		sender := from.String()
		if f := p.GetFragment(); f != nil {
			p, err = partial.add(sender, f)
		}
		if packed := p.GetPacked(); packed != nil && err == nil {
			p, err = w.packer.unpack(packed)
		}
		if err != nil {
			spoiled(err)
		} else if p != nil {
			heard(p, sender)
		}
	}
}
