package routing

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// The prompt's leading blocks grow, so that few keys cover long prompts.
	firstBlockBytes = 128
	blocksPerSize   = 16
	// MaxPrefixKeys bounds the keys of one prompt; they cover about 30 KB.
	MaxPrefixKeys = 64

	// holdersPerKey is how many endpoints are remembered to hold a prefix.
	holdersPerKey = 2
	// countHalfLife is the age at which a sighting of a key counts half.
	countHalfLife = time.Minute
	// replicaHeadroom is the room given to a prefix over its measured share.
	replicaHeadroom = 1.25
	// anchorEngines is the most engines that an anchor's traffic may need.
	anchorEngines = 2
	// maxReplicas bounds the ranked endpoints of an anchor; a prefix that needs
	// more is everywhere.
	maxReplicas = 16
	// coldAffinity lets gateways agree on where a prefix goes first.
	coldAffinity = 0.1
)

// PrefixKeys hashes the leading blocks of a prompt. Each key covers all bytes
// up to the end of its block, so that prompts with a common beginning have
// common leading keys. Scope separates what can't share a cache, such as the
// model and the adapter.
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

// prefixTable remembers how often the prefixes of one model were seen by this
// node and where it sent them, in two generations of bounded size.
type prefixTable struct {
	limit           int
	current, former map[uint64]prefixEntry
	start           time.Time
	total           decayingCount
}

type prefixEntry struct {
	seen    decayingCount
	holders [holdersPerKey]uint64 // hashes of endpoints, newest first
}

// decayingCount halves with each half-life.
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
	entry, ok := t.former[key]
	return entry, ok
}

// record notes that a prompt with these keys goes to an endpoint.
func (t *prefixTable) record(now time.Time, keys []uint64, holder uint64) {
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
		t.former = t.current
		t.current = make(map[uint64]prefixEntry, t.limit/2)
	}
}

// plan is what the table says about one prompt.
type plan struct {
	anchor   uint64
	replicas int // endpoints that the anchor's traffic needs
	known    int // leading keys seen before
	entries  [MaxPrefixKeys]prefixEntry
}

// lay fills the plan for a prompt over a number of endpoints.
//
// The anchor is the shallowest key whose traffic fits a few engines: all
// gateways see about the same shares, so they rank endpoints by the same key
// without talking, and a conversation that grows keeps its anchor.
func (t *prefixTable) lay(now time.Time, keys []uint64, endpoints int, p *plan) {
	period := t.period(now)
	total := max(t.total.at(period), 1)
	p.known = 0
	for i, key := range keys {
		entry, seen := t.lookup(key)
		if !seen {
			break
		}
		p.entries[i] = entry
		p.known = i + 1
	}
	for i, key := range keys {
		p.anchor = key
		share := float32(0)
		if i < p.known {
			share = p.entries[i].seen.at(period) / total
		}
		engines := float64(share) * float64(endpoints) * replicaHeadroom
		p.replicas = max(1, int(math.Ceil(engines)))
		if engines <= anchorEngines {
			return
		}
	}
}

// rank is the rendezvous weight of an endpoint for a key.
func rank(key, endpoint uint64) uint64 {
	x := key ^ endpoint
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
