package fleet

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

func largePacket(bytes int) (*Packet, []byte) {
	p := &Packet{Content: &Packet_ConfirmAnswer{&ConfirmAnswer{Id: 7, Changes: []*Change{{Key: "k", Value: make([]byte, bytes)}}}}}
	data, err := proto.Marshal(p)
	if err != nil {
		panic(err)
	}
	return p, data
}

func TestFragmentsAreReassembledInAnyOrder(t *testing.T) {
	g := NewWithT(t)
	want, data := largePacket(5*fragmentBytes + 17)
	parts := fragments(3, data)
	g.Expect(parts).To(HaveLen(6))
	rng := rand.New(rand.NewPCG(1, 2))
	rng.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
	var a reassembler
	for i, f := range parts {
		got, err := a.add("10.0.0.1:7", f)
		g.Expect(err).NotTo(HaveOccurred())
		again, err := a.add("10.0.0.1:7", f)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(BeNil(), "a duplicate fragment")
		if i < len(parts)-1 {
			g.Expect(got).To(BeNil())
			continue
		}
		g.Expect(proto.Equal(got, want)).To(BeTrue())
	}
}

// Guards against a packet that is assembled from fragments of two packets or of two
// senders, and against memory that grows with packets of which a fragment was lost.
func TestIncompletePackets(t *testing.T) {
	g := NewWithT(t)
	_, data := largePacket(2 * fragmentBytes)
	parts := fragments(1, data)
	var a reassembler
	for _, sender := range []string{"a", "b"} {
		got, err := a.add(sender, parts[0])
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(BeNil())
	}
	got, err := a.add("a", fragments(2, data)[1])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(BeNil(), "a fragment of another packet")
	for id := range uint64(1000) {
		_, err := a.add("c", fragments(id, data)[0])
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(a.incomplete)).To(BeNumerically("<=", maxIncomplete))
	}
}

func TestInvalidFragments(t *testing.T) {
	for name, f := range map[string]*Fragment{
		"count of zero":         {Index: 0, Count: 0},
		"index beyond the last": {Index: 3, Count: 3},
		"too many fragments":    {Index: 0, Count: maxFragments + 1},
		"another count":         {Id: 9, Index: 1, Count: 4},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var a reassembler
			_, err := a.add("s", &Fragment{Id: 9, Index: 0, Count: 3})
			g.Expect(err).NotTo(HaveOccurred())
			_, err = a.add("s", f)
			var wrong *FragmentError
			g.Expect(errors.As(err, &wrong)).To(BeTrue())
		})
	}
}
