package sim

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/lab/arrivals"
)

// prefixHashes names the full blocks of a prompt's shared part. The own part
// is never asked for again, so it is left out of the cache, as it would only
// be evicted there.
func prefixHashes(request arrivals.Request, blockTokens int) []uint64 {
	if request.Family < 0 {
		return nil
	}
	hashes := make([]uint64, request.SharedTokens/blockTokens)
	var input [16]byte
	binary.BigEndian.PutUint64(input[:8], uint64(request.Family)<<32|uint64(request.SharedTokens))
	for i := range hashes {
		binary.BigEndian.PutUint64(input[8:], uint64(i))
		hashes[i] = xxhash.Sum64(input[:])
	}
	return hashes
}
