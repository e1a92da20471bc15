package replica

import (
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/transport"
)

// leaderHint is the last known leader of a shard; an empty address means unknown.
type leaderHint struct {
	term   uint64
	leader transport.Address
}

// directory holds a leader hint for each shard. A hint with a higher term wins.
type directory struct {
	mutex sync.RWMutex
	hints []leaderHint
	// regionHints has a hint for each regional shard that may exist.
	regionHints map[ledger.ShardID]*leaderHint
}

func newDirectory(shards int, regional ...ledger.ShardID) *directory {
	d := &directory{hints: make([]leaderHint, shards), regionHints: make(map[ledger.ShardID]*leaderHint, len(regional))}
	for _, id := range regional {
		d.regionHints[id] = &leaderHint{}
	}
	return d
}

// hint returns the hint of a shard, or nil for an unknown shard. The caller holds
// the mutex.
func (d *directory) hint(shard ledger.ShardID) *leaderHint {
	if int(shard) < len(d.hints) {
		return &d.hints[shard]
	}
	return d.regionHints[shard]
}

func (d *directory) leader(shard ledger.ShardID) (transport.Address, bool) {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	hint := d.hint(shard)
	if hint == nil {
		return "", false
	}
	return hint.leader, hint.leader != ""
}

// regional returns the regional shards that have had a leader, sorted.
func (d *directory) regional() []ledger.ShardID {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return d.regionalLocked()
}

// regionalLocked is regional for callers that hold the mutex.
func (d *directory) regionalLocked() []ledger.ShardID {
	var ids []ledger.ShardID
	for id, hint := range d.regionHints {
		if hint.term > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// learn merges a hint and reports whether it changed the directory.
func (d *directory) learn(shard ledger.ShardID, term uint64, leader transport.Address) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	hint := d.hint(shard)
	if hint == nil {
		return false
	}
	if term < hint.term || (term == hint.term && (leader == "" || leader == hint.leader)) {
		return false
	}
	*hint = leaderHint{term: term, leader: leader}
	return true
}

// suspect clears the address of an unreachable leader until another node confirms
// it or reports a new one.
func (d *directory) suspect(shard ledger.ShardID, leader transport.Address) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if hint := d.hint(shard); hint != nil && hint.leader == leader {
		hint.leader = ""
	}
}

// digest returns a hash of the directory's contents.
func (d *directory) digest() uint64 {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	hash := xxhash.New()
	for _, hint := range d.hints {
		writeHint(hash, hint)
	}
	for _, id := range d.regionalLocked() {
		writeHint(hash, *d.regionHints[id])
	}
	return hash.Sum64()
}

func writeHint(hash *xxhash.Digest, hint leaderHint) {
	var term [8]byte
	binary.BigEndian.PutUint64(term[:], hint.term)
	_, _ = hash.Write(term[:])
	_, _ = hash.WriteString(string(hint.leader))
	_, _ = hash.Write([]byte{0})
}

func (d *directory) encodeAll() []byte {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	var fields [][]byte
	for shard, hint := range d.hints {
		if hint.leader != "" {
			fields = append(fields, encodeLeader(ledger.ShardID(shard), hint))
		}
	}
	for _, id := range d.regionalLocked() {
		if hint := d.regionHints[id]; hint.leader != "" {
			fields = append(fields, encodeLeader(id, *hint))
		}
	}
	return encode(directoryResponse{}, fields...)
}

// learnAll merges an encoded directory.
func (d *directory) learnAll(encoded []byte) error {
	fields, err := decode(encoded, &directoryResponse{}, -1)
	if err != nil {
		return err
	}
	for _, field := range fields {
		if err := d.learnEncoded(field); err != nil {
			return err
		}
	}
	return nil
}

func encodeLeader(shard ledger.ShardID, hint leaderHint) []byte {
	return encode(leaderRecord{Shard: shard, Term: hint.term}, []byte(hint.leader))
}

func (d *directory) learnEncoded(record []byte) error {
	var fixed leaderRecord
	fields, err := decode(record, &fixed, 1)
	if err != nil {
		return err
	}
	d.learn(fixed.Shard, fixed.Term, transport.Address(fields[0]))
	return nil
}
