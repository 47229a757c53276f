package fleet

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

func TestPacketsOfAnySizeAreDelivered(t *testing.T) {
	for name, size := range map[string]int{"small": 10, "compressed": 5000, "fragmented": 40 * 1024 * 3} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sender, err := Listen("127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			receiver, err := Listen("127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			got := make(chan *Packet, 1)
			go receiver.Receive(ctx, func(p *Packet, _ string) { got <- p }, func(error) {})
			want, _ := largePacket(size)
			// The bytes do not repeat, so that compression does not fit them into one datagram.
			value := want.GetConfirmAnswer().Changes[0].Value
			x := uint32(7)
			for i := range value {
				x = x*1664525 + 1013904223
				value[i] = byte(x >> 24)
			}
			g.Expect(sender.SendPacket(want, receiver.Address())).To(Succeed())
			var p *Packet
			g.Eventually(got, 10*time.Second).Should(Receive(&p))
			g.Expect(proto.Equal(p, want)).To(BeTrue())
		})
	}
}

// Guards against compressed packets that are nested without end, and against a packet
// that decompresses to more memory than any packet may use.
func TestInvalidCompressedPackets(t *testing.T) {
	g := NewWithT(t)
	p, err := newPacker()
	g.Expect(err).NotTo(HaveOccurred())
	_, plain := largePacket(100)
	inner, err := p.pack(plain)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = p.unpack(p.encoder.EncodeAll(inner, nil))
	var nested *NestedError
	g.Expect(errors.As(err, &nested)).To(BeTrue())
	_, err = p.unpack(p.encoder.EncodeAll(make([]byte, 4*maxPacketBytes), nil))
	g.Expect(err).To(HaveOccurred())
	_, err = p.unpack([]byte("not packed"))
	g.Expect(err).To(HaveOccurred())
}
