package routing

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// The block size doubles after each blocksPerSize blocks, so that few keys
	// cover long prompts.
	firstBlockBytes = 128
	blocksPerSize   = 16
	// MaxPrefixKeys is the maximum number of keys of a prompt; they cover about 30 KB.
	MaxPrefixKeys = 64

	// holdersPerKey is the number of endpoints recorded as holders of a prefix.
	holdersPerKey = 2
	// countHalfLife is the age at which an occurrence of a key counts half.
	countHalfLife = time.Minute
	// replicaHeadroom is the capacity for a prefix relative to its measured share.
	replicaHeadroom = 1.25
	// anchorEngines is the maximum number of engines for an anchor's traffic.
	anchorEngines = 2
	// maxReplicas is the maximum number of ranked endpoints of an anchor.
	maxReplicas = 16
	// commonShare is the share of the endpoints from which on a prefix counts as
	// held by all.
	commonShare = 0.75
	// minRankedShare is the minimum expected share of the ranked endpoints, by
	// which gateways agree on the endpoint for a prefix that they haven't seen.
	minRankedShare = 0.1
	// holderDiscount is the weight of an endpoint that this node sent a prefix
	// to, but that doesn't rank for it; it lets such copies age out.
	holderDiscount = 0.5
)

// PrefixKeys returns hashes of the leading blocks of a prompt. Each key covers
// all bytes up to the end of its block, so prompts with a common prefix have
// common leading keys. Prompts with different scopes, such as model and adapter,
// have no key in common.
func PrefixKeys(scope, prompt string) []uint64 {
	var keys []uint64
	var chained [8]byte
	key := xxhash.Sum64String(scope)
	var digest xxhash.Digest
	size := firstBlockBytes
	for len(prompt) >= size && len(keys) < MaxPrefixKeys {
		digest.ResetWithSeed(key)
		binary.LittleEndian.PutUint64(chained[:], uint64(size))
		_, _ = digest.Write(chained[:])
		_, _ = digest.WriteString(prompt[:size])
		key = digest.Sum64()
		keys = append(keys, key)
		prompt = prompt[size:]
		if len(keys)%blocksPerSize == 0 {
			size *= 2
		}
	}
	return keys
}

// prefixTable counts how often this node saw the prefixes of one model and
// records where it sent them, in two generations of bounded size.
type prefixTable struct {
	limit             int
	current, previous map[uint64]prefixEntry
	start             time.Time
	total             decayingCount
	// reuse is the mean share of a prompt that was seen before, without the
	// prefixes that nearly all endpoints hold.
	reuse movingMean
}

type prefixEntry struct {
	seen    decayingCount
	holders [holdersPerKey]uint64 // hashes of endpoints, newest first
}

// decayingCount is a count that halves with each period of countHalfLife.
type decayingCount struct {
	value  float32
	period int32
}

func (c decayingCount) at(period int32) float32 {
	if c.period >= period {
		return c.value
	}
	return c.value * float32(math.Exp2(-float64(period-c.period)))
}

func (c *decayingCount) increase(period int32) {
	c.value = c.at(period) + 1
	c.period = period
}

func newPrefixTable(now time.Time, limit int) *prefixTable {
	return &prefixTable{limit: limit, current: map[uint64]prefixEntry{}, start: now}
}

func (t *prefixTable) period(now time.Time) int32 {
	return int32(now.Sub(t.start) / countHalfLife)
}

func (t *prefixTable) lookup(key uint64) (prefixEntry, bool) {
	if entry, ok := t.current[key]; ok {
		return entry, true
	}
	entry, ok := t.previous[key]
	return entry, ok
}

// record counts a prompt's keys and makes the endpoint their newest holder.
func (t *prefixTable) record(now time.Time, keys []uint64, p *plan, holder uint64) {
	t.reuse.add(float64(p.known-p.common) / float64(len(keys)))
	period := t.period(now)
	t.total.increase(period)
	for _, key := range keys {
		entry, _ := t.lookup(key)
		entry.seen.increase(period)
		if entry.holders[0] != holder {
			entry.holders = [holdersPerKey]uint64{holder, entry.holders[0]}
		}
		t.current[key] = entry
	}
	if len(t.current) >= t.limit/2 {
		t.previous = t.current
		t.current = make(map[uint64]prefixEntry, t.limit/2)
	}
}

// plan describes where the prefix of one prompt is expected to be cached.
type plan struct {
	anchor   uint64
	replicas int // endpoints that the anchor's traffic needs
	known    int // leading keys seen before
	common   int // leading keys that nearly all endpoints hold
	// share of the prompt that the anchor's endpoints are expected to hold.
	share   float64
	entries [MaxPrefixKeys]prefixEntry
}

// fillPlan computes the plan for a prompt over a number of endpoints.
//
// The anchor is the shallowest key seen before whose traffic needs at most
// anchorEngines engines. All gateways see about the same shares, so they rank
// endpoints by the same key without communication, and a conversation keeps its
// anchor as it grows. If every known key needs more engines, the deepest is the
// anchor with as many replicas as it needs; if nearly all endpoints hold it, or it
// needs more than maxReplicas, the first unknown key is the anchor at the mean
// reuse, as another gateway may know it.
func (t *prefixTable) fillPlan(now time.Time, keys []uint64, endpoints int, p *plan) {
	period := t.period(now)
	total := max(t.total.at(period), 1)
	p.known, p.common = 0, 0
	for i, key := range keys {
		entry, seen := t.lookup(key)
		if !seen {
			break
		}
		p.entries[i] = entry
		p.known = i + 1
	}
	p.share = max(minRankedShare, float64(p.known)/float64(len(keys)))
	engines := 0.0
	for i := range p.known {
		share := float64(p.entries[i].seen.at(period) / total)
		engines = share * float64(endpoints) * replicaHeadroom
		if engines >= commonShare*float64(endpoints) {
			p.common = i + 1
		}
		p.anchor = keys[i]
		p.replicas = max(1, int(math.Ceil(engines)))
		if engines <= anchorEngines {
			return
		}
	}
	if p.known > p.common && p.replicas <= maxReplicas {
		return
	}
	p.anchor = keys[min(p.known, len(keys)-1)]
	p.replicas = 1
	p.share = max(minRankedShare, t.reuse.value)
}

// rendezvousWeight returns the rendezvous hashing weight of an endpoint for a key.
func rendezvousWeight(key, endpoint uint64) uint64 {
	x := key ^ endpoint
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
