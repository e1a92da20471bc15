package replication

import (
	"fmt"

	"chutelock.dev/chutelock/internal/wire"
)

// MessageType is the kind of a message, which determines the fields it uses.
type MessageType uint8

// Message types.
const (
	// MessagePreVote asks whether the receiver would vote for the sender at
	// Term; it does not change the receiver's term or vote.
	MessagePreVote MessageType = iota + 1
	MessagePreVoteResponse
	// MessageVote requests the receiver's vote at Term.
	MessageVote
	MessageVoteResponse
	// MessageAppend carries the Entries after Index, whose term is LogTerm.
	MessageAppend
	// MessageAppendResponse acknowledges the log up to Index, or rejects the
	// append after Index and suggests Hint and LogTerm as the position to retry.
	MessageAppendResponse
	// MessageHeartbeat prevents elections and carries Commit and a read round.
	MessageHeartbeat
	MessageHeartbeatResponse
	// MessageSnapshot carries the marker of a snapshot to replace an outdated log.
	MessageSnapshot
	// MessageTimeoutNow makes the receiver start an election at once.
	MessageTimeoutNow
)

// Message is a message between replicas of one shard. The message types
// document which fields they use.
type Message struct {
	Type   MessageType
	Reject bool
	// Forced marks vote requests of a leadership transfer, which are not
	// ignored because of the current leader's lease.
	Forced  bool
	Shard   uint32
	From    ReplicaID
	To      ReplicaID
	Term    uint64
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Hint    uint64
	// Round is the leader's read round in heartbeats and their responses.
	Round    uint64
	Entries  []Entry
	Snapshot SnapshotMarker
}

const messageVersion = 1

// fixedMessage is the fixed-size part of an encoded message.
type fixedMessage struct {
	Type                                      MessageType
	Reject, Forced                            bool
	Shard                                     uint32
	From, To                                  ReplicaID
	Term, Index, LogTerm, Commit, Hint, Round uint64
}

// Marshal encodes the message for the wire.
func (m Message) Marshal() ([]byte, error) {
	fixed := fixedMessage{
		Type: m.Type, Reject: m.Reject, Forced: m.Forced, Shard: m.Shard,
		From: m.From, To: m.To, Term: m.Term, Index: m.Index, LogTerm: m.LogTerm,
		Commit: m.Commit, Hint: m.Hint, Round: m.Round,
	}
	if m.Type == MessageSnapshot {
		return wire.Marshal(messageVersion, fixed, m.Snapshot.Marshal())
	}
	fields := make([][]byte, len(m.Entries))
	for i, entry := range m.Entries {
		fields[i] = entry.Marshal()
	}
	return wire.Marshal(messageVersion, fixed, fields...)
}

// UnmarshalMessage decodes the result of Message.Marshal. The data of Entries
// aliases encoded. It returns an error if the entries' indexes are not
// consecutive from Index+1.
func UnmarshalMessage(encoded []byte) (Message, error) {
	var fixed fixedMessage
	fields, err := wire.Unmarshal(encoded, messageVersion, &fixed, -1)
	if err != nil {
		return Message{}, err
	}
	if fixed.Type < MessagePreVote || fixed.Type > MessageTimeoutNow {
		return Message{}, fmt.Errorf("%w: unknown message type %d", wire.ErrLength, fixed.Type)
	}
	message := Message{
		Type: fixed.Type, Reject: fixed.Reject, Forced: fixed.Forced, Shard: fixed.Shard,
		From: fixed.From, To: fixed.To, Term: fixed.Term, Index: fixed.Index, LogTerm: fixed.LogTerm,
		Commit: fixed.Commit, Hint: fixed.Hint, Round: fixed.Round,
	}
	if fixed.Type == MessageSnapshot {
		if len(fields) != 1 {
			return Message{}, fmt.Errorf("%w: snapshot with %d fields", wire.ErrLength, len(fields))
		}
		message.Snapshot, err = UnmarshalSnapshotMarker(fields[0])
		return message, err
	}
	message.Entries, err = unmarshalEntries(fixed, fields)
	return message, err
}

func unmarshalEntries(fixed fixedMessage, fields [][]byte) ([]Entry, error) {
	if len(fields) == 0 {
		return nil, nil
	}
	if fixed.Type != MessageAppend {
		return nil, fmt.Errorf("%w: message type %d with entries", wire.ErrLength, fixed.Type)
	}
	entries := make([]Entry, len(fields))
	for i, field := range fields {
		entry, err := UnmarshalEntry(field)
		if err != nil {
			return nil, err
		}
		if entry.Index != fixed.Index+1+uint64(i) {
			return nil, fmt.Errorf("%w: entry index %d does not follow %d", wire.ErrLength, entry.Index, fixed.Index+uint64(i))
		}
		entries[i] = entry
	}
	return entries, nil
}
