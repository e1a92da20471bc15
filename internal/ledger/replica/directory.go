package replica

import (
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/transport"
)

// leaderHint is the last known leader of a shard.
type leaderHint struct {
	term   uint64
	leader transport.Address
}

// directory holds a hint for each shard. A higher term wins.
type directory struct {
	mutex sync.RWMutex
	hints []leaderHint
	// regions are the hints of regions' shards; those that may exist have one.
	regions map[ledger.ShardID]*leaderHint
}

func newDirectory(shards int, regional ...ledger.ShardID) *directory {
	d := &directory{hints: make([]leaderHint, shards), regions: make(map[ledger.ShardID]*leaderHint, len(regional))}
	for _, id := range regional {
		d.regions[id] = &leaderHint{}
	}
	return d
}

// hint returns a shard's; nil if there can't be such a shard. The caller holds the
// mutex.
func (d *directory) hint(shard ledger.ShardID) *leaderHint {
	if int(shard) < len(d.hints) {
		return &d.hints[shard]
	}
	return d.regions[shard]
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

// regional lists the shards of regions that have had a leader, in order.
func (d *directory) regional() []ledger.ShardID {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return d.led()
}

// led is regional for a caller that holds the mutex.
func (d *directory) led() []ledger.ShardID {
	var ids []ledger.ShardID
	for id, hint := range d.regions {
		if hint.term > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// learn takes a hint; it returns whether it was news.
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

// suspect forgets a leader that could not be reached, until anyone confirms
// it or names another.
func (d *directory) suspect(shard ledger.ShardID, leader transport.Address) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if hint := d.hint(shard); hint != nil && hint.leader == leader {
		hint.leader = ""
	}
}

// digest is equal for equal directories.
func (d *directory) digest() uint64 {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	hash := xxhash.New()
	for _, hint := range d.hints {
		writeHint(hash, hint)
	}
	for _, id := range d.led() {
		writeHint(hash, *d.regions[id])
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
	for _, id := range d.led() {
		if hint := d.regions[id]; hint.leader != "" {
			fields = append(fields, encodeLeader(id, *hint))
		}
	}
	return encode(directoryAnswer{}, fields...)
}

// learnAll merges an encoded directory.
func (d *directory) learnAll(encoded []byte) error {
	fields, err := decode(encoded, &directoryAnswer{}, -1)
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
