package storage

import (
	"encoding/binary"

	"chutelock.dev/chutelock/internal/ledger"
)

// Layout of the keys. A shard's keys are spaceShard, the shard, and a section.
const (
	spaceNode  = 'n'
	spaceShard = 's'

	sectionHardState = 'h' // term, vote and commit index
	sectionApplied   = 'a' // what the state machine's keys include
	sectionLog       = 'l' // entries, by index
	sectionLogEnd    = 'm' // first byte after the log's section
	sectionMachine   = 'x' // the state machine's keys
	sectionEnd       = 'z'
)

// Sizes of key parts, in bytes.
const (
	shardPrefixSize = 1 + 4
	logKeySize      = shardPrefixSize + 1 + 8
)

// incarnationKey holds the identity of the folder.
var incarnationKey = []byte{spaceNode, 'i'}

func shardPrefix(shard ledger.ShardID) []byte {
	prefix := make([]byte, 1, shardPrefixSize+1)
	prefix[0] = spaceShard
	return binary.BigEndian.AppendUint32(prefix, uint32(shard))
}

func sectionKey(shard ledger.ShardID, section byte) []byte {
	return append(shardPrefix(shard), section)
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
