package scheduler

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// HashBlocks returns the hashes of the full blocks of a prompt. Each hash is chained
// to the previous one, so that equal hashes mean equal prefixes. tokenBytes is the
// number of bytes per token.
func HashBlocks(model string, prompt []byte, blockTokens, tokenBytes int) []uint64 {
	blockBytes := blockTokens * tokenBytes
	if blockBytes <= 0 {
		return nil
	}
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	chain := xxhash.Sum64String(model)
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		digest := xxhash.NewWithSeed(chain)
		_, _ = digest.Write(prompt[start : start+blockBytes])
		var previous [8]byte
		binary.BigEndian.PutUint64(previous[:], chain)
		_, _ = digest.Write(previous[:])
		chain = digest.Sum64()
		hashes = append(hashes, chain)
	}
	return hashes
}

// cachedBlock is a block in the prefix cache.
type cachedBlock struct {
	hash       uint64
	references int
	// idle is the block's element of the eviction list while references is 0.
	idle *list.Element
}

// blockPool accounts for the KV blocks. Invariant: private + len(cached) <= total.
type blockPool struct {
	total   int
	private int
	cached  map[uint64]*cachedBlock
	idle    *list.List // of *cachedBlock, least recently used first

	stored  []uint64
	removed []uint64
}

func newBlockPool(total int) blockPool {
	return blockPool{total: total, cached: map[uint64]*cachedBlock{}, idle: list.New()}
}

func (p *blockPool) free() int { return p.total - p.private - len(p.cached) }

// reclaim evicts unreferenced cached blocks until count blocks are free, and reports
// whether that succeeded.
func (p *blockPool) reclaim(count int) bool {
	for p.free() < count {
		oldest := p.idle.Front()
		if oldest == nil {
			return false
		}
		block := p.idle.Remove(oldest).(*cachedBlock)
		delete(p.cached, block.hash)
		p.removed = append(p.removed, block.hash)
	}
	return true
}

// countCached returns the number of leading hashes that are cached.
func (p *blockPool) countCached(hashes []uint64) int {
	for i, hash := range hashes {
		if p.cached[hash] == nil {
			return i
		}
	}
	return len(hashes)
}

func (p *blockPool) reference(block *cachedBlock) {
	block.references++
	if block.idle != nil {
		p.idle.Remove(block.idle)
		block.idle = nil
	}
}

func (p *blockPool) dereference(block *cachedBlock) {
	block.references--
	if block.references == 0 {
		block.idle = p.idle.PushBack(block)
	}
}

// share replaces a private block by the cached block of the hash, which it adds if
// missing.
func (p *blockPool) share(hash uint64) *cachedBlock {
	p.private--
	block := p.cached[hash]
	if block == nil {
		block = &cachedBlock{hash: hash, references: 1}
		p.cached[hash] = block
		p.stored = append(p.stored, hash)
		return block
	}
	p.reference(block)
	return block
}

// insert adds an unreferenced cached block and reports whether there was room.
func (p *blockPool) insert(hash uint64) bool {
	if block := p.cached[hash]; block != nil {
		if block.idle != nil {
			p.idle.MoveToBack(block.idle)
		}
		return true
	}
	if !p.reclaim(1) {
		return false
	}
	block := &cachedBlock{hash: hash}
	block.idle = p.idle.PushBack(block)
	p.cached[hash] = block
	p.stored = append(p.stored, hash)
	return true
}
