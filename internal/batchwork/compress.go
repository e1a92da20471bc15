package batchwork

import (
	"sync"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"
)

// compressWindow bounds the codec's memory; texts are short.
const compressWindow = 64 << 10

// The codecs keep tables, so one of each is shared; both are safe for concurrent use.
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

// compress compresses text for decompress; empty input gives empty output.
func compress(plain []byte) []byte {
	if len(plain) == 0 {
		return nil
	}
	return encoder().EncodeAll(plain, nil)
}

// decompress decompresses one or more concatenated outputs of compress.
func decompress(compressed []byte) ([]byte, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	plain, err := decoder().DecodeAll(compressed, nil)
	return plain, trace.Wrap(err, "decompress")
}

// plainSize returns the decompressed size, or the compressed size if the header of a short
// text omits it.
func plainSize(compressed []byte) int {
	var header zstd.Header
	if header.Decode(compressed) != nil || !header.HasFCS {
		return len(compressed)
	}
	return int(header.FrameContentSize)
}
