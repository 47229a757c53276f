package fleet

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// compressThreshold is the size in bytes from which a packet is compressed.
	compressThreshold = 1 << 10
	// compressionWindowBytes bounds the memory of compression. The repetitions in a packet of
	// many changes lie within a window of this size.
	compressionWindowBytes = 64 << 10
	// maxPacketBytes is the size of the largest packet that is decompressed: the entries
	// of some thousands of upstreams and the largest configuration.
	maxPacketBytes = 8 << 20
)

// packer compresses large packets; the store's entries of different upstreams are
// similar. It is safe for concurrent use.
type packer struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

func newPacker() (packer, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(compressionWindowBytes), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return packer{}, errors.Wrap(err, "fleet: create compressor")
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxPacketBytes))
	return packer{encoder, decoder}, errors.Wrap(err, "fleet: create decompressor")
}

// pack returns a marshalled packet that carries the given marshalled packet in
// compressed form.
func (p packer) pack(data []byte) ([]byte, error) {
	packed := &Packet{Content: &Packet_Packed{p.encoder.EncodeAll(data, nil)}}
	out, err := proto.Marshal(packed)
	return out, errors.WithStack(err)
}

// unpack decompresses and parses a packet.
func (p packer) unpack(packed []byte) (*Packet, error) {
	data, err := p.decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, errors.Wrap(err, "fleet: decompress packet")
	}
	out := &Packet{}
	if err := proto.Unmarshal(data, out); err != nil {
		return nil, errors.WithStack(err)
	}
	if out.GetPacked() != nil || out.GetFragment() != nil {
		return nil, errors.WithStack(&NestedError{})
	}
	return out, nil
}

// NestedError reports a compressed packet that carries another compressed packet or a
// fragment.
type NestedError struct{}

func (e *NestedError) Error() string { return "fleet: compressed packet contains a nested packet" }
