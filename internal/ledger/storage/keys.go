package storage

import (
	"encoding/binary"

	"chutelock.dev/chutelock/internal/ledger"
)

// Layout of the keys. A node's own keys are spaceNode and a section; a shard's
// are spaceShard, the shard, a section, and what the section adds.
const (
	spaceNode  = 'n'
	spaceShard = 's'

	sectionIncarnation = 'i' // identity of the folder
	sectionSequence    = 'q' // of the last write that was to be synced
	sectionGeneration  = 'g' // by shard: how often its replica here was destroyed

	sectionHardState = 'h' // term, vote and commit index
	sectionApplied   = 'a' // what the state includes
	sectionCompacted = 'c' // last entry that the log no longer holds
	sectionLog       = 'l' // entries, by index
	sectionState     = 'x' // applied state, by edition

	// An edition of the state holds the state machine's keys, and what the
	// shell keeps beside them.
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

// statePrefix is the prefix of one edition of a shard's applied state.
func statePrefix(shard ledger.ShardID, edition uint32) []byte {
	return binary.BigEndian.AppendUint32(sectionKey(shard, sectionState), edition)
}

func logKey(shard ledger.ShardID, index uint64) []byte {
	key := make([]byte, 0, logKeySize)
	key = append(key, spaceShard)
	key = binary.BigEndian.AppendUint32(key, uint32(shard))
	key = append(key, sectionLog)
	return binary.BigEndian.AppendUint64(key, index)
}

// prefixEnd returns the first key after all keys with the prefix.
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
