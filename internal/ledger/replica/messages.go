package replica

import (
	"fmt"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/wire"
)

// Kinds of messages between the nodes' ledgers.
const (
	kindFrame    = transport.KindLedger + iota // messages of replicas, one way
	kindAnnounce                               // a new leader, one way
	kindDescribe                               // call: which identity and load a node has
	kindJoin                                   // call: hold an empty replica
	kindLeave                                  // call: destroy a removed replica
	kindSnapshotOpen
	kindSnapshotChunk
	kindDirectory // call: all leaders known
	kindMember    // call: is a replica still a member?
	kindCommitted // call: an index that covers all that is committed
	kindPlaced    // call: does a node hold a replica, and how many others are sound?
)

// messageVersion is the version of all messages below.
const messageVersion = 1

// fixedFrame heads a frame; each field is one replication.Message.
type fixedFrame struct{}

// describeRequest asks for a node's identity at a shard.
type describeRequest struct {
	Shard ledger.ShardID
}

// describeAnswer tells it, and how many replicas the node holds.
type describeAnswer struct {
	Replica  replication.ReplicaID
	Holds    bool // the node runs a replica of the shard
	Replicas uint32
}

// joinRequest asks a node to hold an empty replica; the answer is a
// describeAnswer.
type joinRequest struct {
	Shard ledger.ShardID
}

// memberRequest asks a leader whether a replica is a member. leaveRequest has
// the same form and tells a replica that it is none.
type memberRequest struct {
	Shard   ledger.ShardID
	Replica replication.ReplicaID
}

type memberAnswer struct {
	Member bool
}

// committedRequest asks a leader for an index that covers all that is committed.
type committedRequest struct {
	Shard ledger.ShardID
}

type committedAnswer struct {
	Index uint64
}

// placedRequest asks a leader about the node in its field.
type placedRequest struct {
	Shard ledger.ShardID
}

type placedAnswer struct {
	Holds bool
	Sound uint32
}

type snapshotOpenRequest struct {
	Shard   ledger.ShardID
	Replica replication.ReplicaID // of the receiver
}

// snapshotOpenAnswer has one field: the marker.
type snapshotOpenAnswer struct {
	Session uint64
}

// snapshotChunkRequest has one field: the last key received.
type snapshotChunkRequest struct {
	Session uint64
}

// leaderRecord is one entry of a directory; its field is the leader's address.
type leaderRecord struct {
	Shard ledger.ShardID
	Term  uint64
}

// directoryRequest carries a digest of the asker's directory; the answer is
// empty when the digests are equal, else each field is a leaderRecord.
type directoryRequest struct {
	Digest uint64
}

type directoryAnswer struct{}

// encode marshals a message of this package.
func encode(fixed any, fields ...[]byte) []byte {
	encoded, err := wire.Marshal(messageVersion, fixed, fields...)
	if err != nil {
		panic(err) // all of them are of fixed size by declaration
	}
	return encoded
}

func decode(message []byte, fixed any, fields int) ([][]byte, error) {
	decoded, err := wire.Unmarshal(message, messageVersion, fixed, fields)
	return decoded, trace.Wrap(err)
}

// decodeFrame returns the messages of a frame; it fails as a whole.
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

// Entries of the log that carry data begin with a byte that says what they are.
const (
	entryUser   = 0 // for the state machine
	entryRoster = 1 // a storage.RosterEntry
)
