package batchwork

import (
	"sync"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"
)

// compressWindow bounds the memory of the codec; texts are short.
const compressWindow = 64 << 10

// Both codecs are made once, as they keep tables, and may be used concurrently.
var (
	encoder = sync.OnceValue(func() *zstd.Encoder {
		made, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
			zstd.WithWindowSize(compressWindow), zstd.WithEncoderCRC(false))
		if err != nil {
			panic(err) // the options are constants
		}
		return made
	})
	decoder = sync.OnceValue(func() *zstd.Decoder {
		made, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true))
		if err != nil {
			panic(err) // the options are constants
		}
		return made
	})
)

// compress returns what decompress undoes; nothing stays nothing.
func compress(plain []byte) []byte {
	if len(plain) == 0 {
		return nil
	}
	return encoder().EncodeAll(plain, nil)
}

// decompress undoes compress, also where several are joined.
func decompress(compressed []byte) ([]byte, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	plain, err := decoder().DecodeAll(compressed, nil)
	return plain, trace.Wrap(err, "decompress")
}

// plainSize is what compressed will be long once it is decompressed; if it
// doesn't say so, as short texts don't, its own length.
func plainSize(compressed []byte) int {
	var header zstd.Header
	if header.Decode(compressed) != nil || !header.HasFCS {
		return len(compressed)
	}
	return int(header.FrameContentSize)
}
