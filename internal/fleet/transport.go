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

// maxDatagram is the size in bytes of the largest datagram that is read.
const maxDatagram = 64 << 10

// Transport sends and receives packets as datagrams, and splits large packets into
// fragments.
type Transport struct {
	conn   *net.UDPConn
	packer packer
	// lastPacketID is the id of the last packet that was sent in fragments.
	lastPacketID atomic.Uint64
}

// Listen opens a datagram socket at the address, IP:port.
func Listen(address string) (*Transport, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	conn, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, errors.Wrap(err, "fleet: listen for heartbeats")
	}
	t := &Transport{conn: conn}
	if t.packer, err = newPacker(); err != nil {
		return nil, err
	}
	// The ids start at a random number, so that a fragment sent after a restart does not
	// complete a packet of the earlier process.
	t.lastPacketID.Store(rand.Uint64())
	return t, nil
}

// Address returns the address at which packets are received.
func (t *Transport) Address() string { return t.conn.LocalAddr().String() }

// SendHeartbeat sends a heartbeat to each peer. A heartbeat that cannot be sent is
// equivalent to one that is lost in the network, so only the first error is returned, for
// the log.
func (t *Transport) SendHeartbeat(b *Heartbeat, peers []string) error {
	data, err := proto.Marshal(&Packet{Content: &Packet_Heartbeat{b}})
	if err != nil {
		return errors.WithStack(err)
	}
	var first error
	for _, peer := range peers {
		if err := t.write(data, peer); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// SendPacket sends one packet to one peer.
func (t *Transport) SendPacket(p *Packet, peer string) error {
	data, err := proto.Marshal(p)
	if err != nil {
		return errors.WithStack(err)
	}
	if len(data) >= compressThreshold {
		if data, err = t.packer.pack(data); err != nil {
			return err
		}
	}
	if len(data) <= fragmentBytes {
		return t.write(data, peer)
	}
	for _, f := range fragments(t.lastPacketID.Add(1), data) {
		part, err := proto.Marshal(&Packet{Content: &Packet_Fragment{f}})
		if err != nil {
			return errors.WithStack(err)
		}
		if err := t.write(part, peer); err != nil {
			return err
		}
	}
	return nil
}

func (t *Transport) write(data []byte, peer string) error {
	a, err := netip.ParseAddrPort(peer)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = t.conn.WriteToUDPAddrPort(data, a)
	return errors.Wrap(err, "fleet: send to peer")
}

// Receive calls handle for each packet, with the address of its sender, until ctx ends.
// It calls onError for datagrams that cannot be received or parsed.
func (t *Transport) Receive(ctx context.Context, handle func(p *Packet, from string), onError func(error)) {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	var pending reassembler
	for ctx.Err() == nil {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				onError(errors.WithStack(err))
			}
			continue
		}
		p := &Packet{}
		if err := proto.Unmarshal(buffer[:n], p); err != nil {
			onError(errors.WithStack(err))
			continue
		}
		sender := from.String()
		if f := p.GetFragment(); f != nil {
			p, err = pending.add(sender, f)
		}
		if packed := p.GetPacked(); packed != nil && err == nil {
			p, err = t.packer.unpack(packed)
		}
		if err != nil {
			onError(err)
		} else if p != nil {
			handle(p, sender)
		}
	}
}
