package storage

import (
	"encoding/binary"

	"chutelock.dev/chutelock/internal/ledger"
)

// Key layout. Node keys are spaceNode and a section; shard keys are spaceShard,
// the shard's ID, a section, and the section's suffix.
const (
	spaceNode  = 'n'
	spaceShard = 's'

	sectionIncarnation = 'i' // incarnation of the folder
	sectionSequence    = 'q' // sequence of the last synced write
	sectionGeneration  = 'g' // per shard: how often its replica was destroyed

	sectionHardState = 'h' // term, vote and commit index
	sectionApplied   = 'a' // snapshot marker and version of the applied state
	sectionCompacted = 'c' // position of the last entry removed from the log
	sectionLog       = 'l' // entries, by index
	sectionState     = 'x' // applied state, by version

	// Each version of the applied state holds the state machine's keys and the
	// roster.
	partMachine = 'm'
	partRoster  = 'r'
)

// Sizes of key parts, in bytes.
const (
	shardPrefixSize = 1 + 4
	logKeySize      = shardPrefixSize + 1 + 8
	statePrefixSize = shardPrefixSize + 1 + 4
)

func incarnationKey() []byte { return []byte{spaceNode, sectionIncarnation} }

func sequenceKey() []byte { return []byte{spaceNode, sectionSequence} }

func generationKey(shard ledger.ShardID) []byte {
	return binary.BigEndian.AppendUint32([]byte{spaceNode, sectionGeneration}, uint32(shard))
}

func shardPrefix(shard ledger.ShardID) []byte {
	prefix := make([]byte, 1, statePrefixSize+1)
	prefix[0] = spaceShard
	return binary.BigEndian.AppendUint32(prefix, uint32(shard))
}

func sectionKey(shard ledger.ShardID, section byte) []byte {
	return append(shardPrefix(shard), section)
}

// statePrefix returns the prefix of one version of a shard's applied state.
func statePrefix(shard ledger.ShardID, version uint32) []byte {
	return binary.BigEndian.AppendUint32(sectionKey(shard, sectionState), version)
}

func logKey(shard ledger.ShardID, index uint64) []byte {
	key := make([]byte, 0, logKeySize)
	key = append(key, spaceShard)
	key = binary.BigEndian.AppendUint32(key, uint32(shard))
	key = append(key, sectionLog)
	return binary.BigEndian.AppendUint64(key, index)
}

// prefixEnd returns the first key after all with the prefix; nil if there is none.
func prefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		end[i]++
		if end[i] != 0 {
			return end[:i+1]
		}
	}
	return nil
}
