package fleet

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// packFrom is the size from which a packet is compressed.
	packFrom = 1 << 10
	// packWindowBytes bounds the memory of compression; packets of many changes repeat
	// themselves within it.
	packWindowBytes = 64 << 10
	// maxPacketBytes is the largest packet that is unpacked: the accounts of some thousands
	// of upstreams and the largest configuration.
	maxPacketBytes = 8 << 20
)

// packer compresses large packets: accounts of many upstreams are much alike. It is safe
// for concurrent use.
type packer struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

func newPacker() (packer, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(packWindowBytes), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return packer{}, errors.Wrap(err, "compress packets")
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxPacketBytes))
	return packer{encoder, decoder}, errors.Wrap(err, "decompress packets")
}

// pack returns the packet that carries a marshalled one compressed.
func (p packer) pack(data []byte) ([]byte, error) {
	packed := &Packet{Content: &Packet_Packed{p.encoder.EncodeAll(data, nil)}}
	out, err := proto.Marshal(packed)
	return out, errors.WithStack(err)
}

// unpack returns the packet that was compressed.
func (p packer) unpack(packed []byte) (*Packet, error) {
	data, err := p.decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
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

// NestedError says that a packed packet carries another packed one, or a fragment.
type NestedError struct{}

func (e *NestedError) Error() string { return "fleet: packed packet within a packed packet" }
