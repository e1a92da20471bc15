package sim

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/lab/arrivals"
)

// prefixHashes returns hashes of the full blocks of a prompt's shared prefix. The
// rest of the prompt is unique, so caching it would only cause evictions.
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

// cachedEstimate is a moving average of the cached prompt tokens that engines
// report. It is a number, not a fraction, as prompts share templates of fixed
// length.
type cachedEstimate struct{ tokens float64 }

// cachedWeight is the weight of a new observation in the moving average.
const cachedWeight = 0.05

func (c *cachedEstimate) observe(cached int) {
	c.tokens += cachedWeight * (float64(cached) - c.tokens)
}

// prefill estimates how many prompt tokens the engine must prefill.
func (c *cachedEstimate) prefill(request arrivals.Request) int {
	return max(1, request.PromptTokens()-int(c.tokens))
}
