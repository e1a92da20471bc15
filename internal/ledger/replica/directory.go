package replica

import (
	"encoding/binary"
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
}

func newDirectory(shards int) *directory {
	return &directory{hints: make([]leaderHint, shards)}
}

func (d *directory) leader(shard ledger.ShardID) (transport.Address, bool) {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	if int(shard) >= len(d.hints) {
		return "", false
	}
	hint := d.hints[shard]
	return hint.leader, hint.leader != ""
}

// learn takes a hint; it returns whether it was news.
func (d *directory) learn(shard ledger.ShardID, term uint64, leader transport.Address) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if int(shard) >= len(d.hints) {
		return false
	}
	hint := &d.hints[shard]
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
	if int(shard) < len(d.hints) && d.hints[shard].leader == leader {
		d.hints[shard].leader = ""
	}
}

// digest is equal for equal directories.
func (d *directory) digest() uint64 {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	hash := xxhash.New()
	for _, hint := range d.hints {
		var term [8]byte
		binary.BigEndian.PutUint64(term[:], hint.term)
		_, _ = hash.Write(term[:])
		_, _ = hash.WriteString(string(hint.leader))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
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
