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

// cachedEstimate estimates how many tokens of a prompt are in a prefix cache,
// from the engines' answers, as a node can. Prompts of a service share
// templates, so it is a number of tokens and not a share of the prompt.
type cachedEstimate struct{ tokens float64 }

// cachedWeight is the weight of a new observation.
const cachedWeight = 0.05

func (c *cachedEstimate) observe(cached int) {
	c.tokens += cachedWeight * (float64(cached) - c.tokens)
}

// prefill estimates the tokens of a request that the engine must compute.
func (c *cachedEstimate) prefill(request arrivals.Request) int {
	return max(1, request.PromptTokens()-int(c.tokens))
}
