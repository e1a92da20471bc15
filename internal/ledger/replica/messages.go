package replica

import (
	"fmt"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/wire"
)

// Message kinds.
const (
	kindFrame    = transport.KindLedger + iota // one-way: protocol messages of replicas
	kindAnnounce                               // one-way: a new leader
	kindDescribe                               // call: a node's replica ID and load
	kindJoin                                   // call: start an empty replica
	kindLeave                                  // call: destroy a removed replica
	kindSnapshotOpen
	kindSnapshotChunk
	kindDirectory // call: all known leaders
	kindMember    // call: whether a replica is a member
	kindCommitted // call: an index that covers all committed entries
	kindPlaced    // call: whether a node holds a replica, and the number of other healthy voters
)

// messageVersion is the wire version of all messages of this package.
const messageVersion = 1

// fixedFrame is the fixed part of a frame; each field is one replication.Message.
type fixedFrame struct{}

// describeRequest asks for a node's replica ID in a shard.
type describeRequest struct {
	Shard ledger.ShardID
}

// describeResponse has the node's replica ID and the number of replicas it holds.
type describeResponse struct {
	Replica  replication.ReplicaID
	Holds    bool // the node runs a replica of the shard
	Replicas uint32
}

// joinRequest asks a node to start an empty replica; the response is a
// describeResponse.
type joinRequest struct {
	Shard ledger.ShardID
}

// memberRequest asks a leader whether a replica is a member (kindMember), or tells
// a node that its replica was removed (kindLeave).
type memberRequest struct {
	Shard   ledger.ShardID
	Replica replication.ReplicaID
}

type memberResponse struct {
	Member bool
}

// committedRequest asks a leader for an index that covers all committed entries.
type committedRequest struct {
	Shard ledger.ShardID
}

type committedResponse struct {
	Index uint64
}

// placedRequest asks a leader whether the node named in its field holds a replica.
type placedRequest struct {
	Shard ledger.ShardID
}

type placedResponse struct {
	Holds         bool
	HealthyVoters uint32
}

type snapshotOpenRequest struct {
	Shard   ledger.ShardID
	Replica replication.ReplicaID // the receiver's ID
}

// snapshotOpenResponse has one field: the snapshot marker.
type snapshotOpenResponse struct {
	Session uint64
}

// snapshotChunkRequest has one field: the last key received.
type snapshotChunkRequest struct {
	Session uint64
}

// leaderRecord is a directory entry; its field is the leader's address.
type leaderRecord struct {
	Shard ledger.ShardID
	Term  uint64
}

// directoryRequest has the digest of the requester's directory. The response is
// empty if the digests are equal; otherwise each field is a leaderRecord.
type directoryRequest struct {
	Digest uint64
}

type directoryResponse struct{}

// encode marshals a message of this package.
func encode(fixed any, fields ...[]byte) []byte {
	encoded, err := wire.Marshal(messageVersion, fixed, fields...)
	if err != nil {
		panic(err) // unreachable: all messages have a fixed size
	}
	return encoded
}

func decode(message []byte, fixed any, fields int) ([][]byte, error) {
	decoded, err := wire.Unmarshal(message, messageVersion, fixed, fields)
	return decoded, trace.Wrap(err)
}

// decodeFrame returns the messages of a frame; one invalid message fails the frame.
func decodeFrame(frame []byte) ([]replication.Message, error) {
	fields, err := decode(frame, &fixedFrame{}, -1)
	if err != nil {
		return nil, err
	}
	messages := make([]replication.Message, 0, len(fields))
	for i, field := range fields {
		message, err := replication.UnmarshalMessage(field)
		if err != nil {
			return nil, fmt.Errorf("message %d of a frame: %w", i, err)
		}
		messages = append(messages, message)
	}
	return messages, nil
}

// The first byte of a log entry's data is its type.
const (
	entryUser   = 0 // an entry for the state machine
	entryRoster = 1 // a storage.RosterEntry
)
