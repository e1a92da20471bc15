package replication

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/wire"
)

// ReplicaID identifies one incarnation of one node's disk. Zero is nobody.
type ReplicaID uint64

// NewReplicaID derives the identity of a replica from its node's name and the
// incarnation that was drawn at random when the disk was found empty.
func NewReplicaID(node string, incarnation uint64) ReplicaID {
	seed := binary.BigEndian.AppendUint64([]byte(node), incarnation)
	return ReplicaID(max(xxhash.Sum64(seed), 1))
}

// String implements fmt.Stringer.
func (id ReplicaID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// EntryType says what an entry's data is.
type EntryType uint8

// Entry types.
const (
	// EntryNormal carries a proposal; one without data marks the start of a
	// leader's term and is not for the state machine.
	EntryNormal EntryType = iota
	// EntryConfiguration carries an encoded Configuration.
	EntryConfiguration
)

// Entry is one position of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Type  EntryType
	Data  []byte
}

// HardState is what a replica must have on disk before it sends anything that
// depends on it. Commit may lag behind after a crash.
type HardState struct {
	Term   uint64
	Vote   ReplicaID
	Commit uint64
}

// Configuration lists the replicas of a shard, each list in rising order.
// Learners receive the log, but neither vote nor count.
type Configuration struct {
	Voters   []ReplicaID
	Learners []ReplicaID
}

// SnapshotMarker names an applied state: the last entry that it contains and
// the configuration at that entry.
type SnapshotMarker struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
}

// Bootstrap position of every shard.
const (
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// BootstrapMarker is the state from which a new shard starts on each of its
// first voters: nothing applied, and the same configuration everywhere.
func BootstrapMarker(voters ...ReplicaID) SnapshotMarker {
	sorted := slices.Clone(voters)
	slices.Sort(sorted)
	return SnapshotMarker{
		Index:         bootstrapIndex,
		Term:          bootstrapTerm,
		Configuration: Configuration{Voters: slices.Compact(sorted)},
	}
}

// BootstrapState is the hard state that belongs to BootstrapMarker.
func BootstrapState() HardState {
	return HardState{Term: bootstrapTerm, Commit: bootstrapIndex}
}

// HasVoter says whether id votes.
func (c Configuration) HasVoter(id ReplicaID) bool {
	_, found := slices.BinarySearch(c.Voters, id)
	return found
}

// HasLearner says whether id is a learner.
func (c Configuration) HasLearner(id ReplicaID) bool {
	_, found := slices.BinarySearch(c.Learners, id)
	return found
}

// Members lists voters and learners in rising order.
func (c Configuration) Members() []ReplicaID {
	members := slices.Concat(c.Voters, c.Learners)
	slices.Sort(members)
	return members
}

// Quorum is the number of voters that decide.
func (c Configuration) Quorum() int { return len(c.Voters)/2 + 1 }

func (c Configuration) clone() Configuration {
	return Configuration{Voters: slices.Clone(c.Voters), Learners: slices.Clone(c.Learners)}
}

// Versions of the encodings below; a decoder refuses any other.
const (
	configurationVersion = 1
	markerVersion        = 1
	hardStateVersion     = 1
	entryVersion         = 1
)

type fixedConfiguration struct{}

type fixedMarker struct{ Index, Term uint64 }

type fixedEntry struct {
	Index, Term uint64
	Type        EntryType
}

// Marshal encodes the configuration, as EntryConfiguration holds it.
func (c Configuration) Marshal() []byte {
	return mustMarshal(configurationVersion, fixedConfiguration{}, marshalIDs(c.Voters), marshalIDs(c.Learners))
}

// UnmarshalConfiguration decodes what Configuration.Marshal encoded.
func UnmarshalConfiguration(encoded []byte) (Configuration, error) {
	fields, err := wire.Unmarshal(encoded, configurationVersion, &fixedConfiguration{}, 2)
	if err != nil {
		return Configuration{}, err
	}
	voters, err := unmarshalIDs(fields[0])
	if err != nil {
		return Configuration{}, err
	}
	learners, err := unmarshalIDs(fields[1])
	if err != nil {
		return Configuration{}, err
	}
	return Configuration{Voters: voters, Learners: learners}, nil
}

// Marshal encodes the marker.
func (m SnapshotMarker) Marshal() []byte {
	return mustMarshal(markerVersion, fixedMarker{m.Index, m.Term}, m.Configuration.Marshal())
}

// UnmarshalSnapshotMarker decodes what SnapshotMarker.Marshal encoded.
func UnmarshalSnapshotMarker(encoded []byte) (SnapshotMarker, error) {
	var fixed fixedMarker
	fields, err := wire.Unmarshal(encoded, markerVersion, &fixed, 1)
	if err != nil {
		return SnapshotMarker{}, err
	}
	configuration, err := UnmarshalConfiguration(fields[0])
	if err != nil {
		return SnapshotMarker{}, err
	}
	return SnapshotMarker{Index: fixed.Index, Term: fixed.Term, Configuration: configuration}, nil
}

// Marshal encodes the hard state.
func (s HardState) Marshal() []byte { return mustMarshal(hardStateVersion, s) }

// UnmarshalHardState decodes what HardState.Marshal encoded.
func UnmarshalHardState(encoded []byte) (HardState, error) {
	var state HardState
	_, err := wire.Unmarshal(encoded, hardStateVersion, &state, 0)
	return state, err
}

// Marshal encodes the entry.
func (e Entry) Marshal() []byte {
	return mustMarshal(entryVersion, fixedEntry{e.Index, e.Term, e.Type}, e.Data)
}

// UnmarshalEntry decodes what Entry.Marshal encoded; Data aliases encoded.
func UnmarshalEntry(encoded []byte) (Entry, error) {
	var fixed fixedEntry
	fields, err := wire.Unmarshal(encoded, entryVersion, &fixed, 1)
	if err != nil {
		return Entry{}, err
	}
	if fixed.Type > EntryConfiguration {
		return Entry{}, fmt.Errorf("%w: entry type %d", wire.ErrLength, fixed.Type)
	}
	return Entry{Index: fixed.Index, Term: fixed.Term, Type: fixed.Type, Data: fields[0]}, nil
}

// mustMarshal encodes a struct that is of fixed size by its declaration, so
// that an error can only be a mistake in this package.
func mustMarshal(version uint8, fixed any, fields ...[]byte) []byte {
	encoded, err := wire.Marshal(version, fixed, fields...)
	if err != nil {
		panic(err)
	}
	return encoded
}

const idBytes = 8

func marshalIDs(ids []ReplicaID) []byte {
	encoded := make([]byte, 0, idBytes*len(ids))
	for _, id := range ids {
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(id))
	}
	return encoded
}

func unmarshalIDs(encoded []byte) ([]ReplicaID, error) {
	if len(encoded)%idBytes != 0 {
		return nil, wire.ErrLength
	}
	if len(encoded) == 0 {
		return nil, nil
	}
	ids := make([]ReplicaID, 0, len(encoded)/idBytes)
	for ; len(encoded) > 0; encoded = encoded[idBytes:] {
		ids = append(ids, ReplicaID(binary.BigEndian.Uint64(encoded)))
	}
	for i := 1; i < len(ids); i++ {
		if ids[i] <= ids[i-1] {
			return nil, fmt.Errorf("%w: replica identities out of order", wire.ErrLength)
		}
	}
	return ids, nil
}
