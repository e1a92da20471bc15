package replication

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/wire"
)

// ReplicaID identifies one incarnation of a node's disk. Zero means none.
type ReplicaID uint64

// NewReplicaID derives a replica's ID from its node's name and an incarnation,
// which must be drawn at random each time the node's disk is found empty.
func NewReplicaID(node string, incarnation uint64) ReplicaID {
	seed := binary.BigEndian.AppendUint64([]byte(node), incarnation)
	return ReplicaID(max(xxhash.Sum64(seed), 1))
}

// String implements fmt.Stringer.
func (id ReplicaID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// EntryType is the type of an entry's data.
type EntryType uint8

// Entry types.
const (
	// EntryNormal carries a proposal. One without data marks the start of a
	// leader's term and is not passed to the state machine.
	EntryNormal EntryType = iota
	// EntryConfiguration carries an encoded Configuration.
	EntryConfiguration
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Type  EntryType
	Data  []byte
}

// HardState is the state that a replica must persist before it sends messages
// that depend on it. After a crash, Commit may be stale.
type HardState struct {
	Term   uint64
	Vote   ReplicaID
	Commit uint64
}

// Configuration lists the replicas of a shard, each list in ascending order.
// Learners receive the log but neither vote nor count toward a quorum.
type Configuration struct {
	Voters   []ReplicaID
	Learners []ReplicaID
}

// SnapshotMarker identifies an applied state by the last entry it includes and
// holds the configuration at that entry.
type SnapshotMarker struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
}

// Log position at which every shard starts.
const (
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// BootstrapMarker returns the marker from which each initial voter of a new
// shard starts: an empty state and a configuration of these voters.
func BootstrapMarker(voters ...ReplicaID) SnapshotMarker {
	sorted := slices.Clone(voters)
	slices.Sort(sorted)
	return SnapshotMarker{
		Index:         bootstrapIndex,
		Term:          bootstrapTerm,
		Configuration: Configuration{Voters: slices.Compact(sorted)},
	}
}

// BootstrapState returns the hard state to store with BootstrapMarker.
func BootstrapState() HardState {
	return HardState{Term: bootstrapTerm, Commit: bootstrapIndex}
}

// HasVoter reports whether id is a voter.
func (c Configuration) HasVoter(id ReplicaID) bool {
	_, found := slices.BinarySearch(c.Voters, id)
	return found
}

// HasLearner reports whether id is a learner.
func (c Configuration) HasLearner(id ReplicaID) bool {
	_, found := slices.BinarySearch(c.Learners, id)
	return found
}

// Members returns all voters and learners in ascending order.
func (c Configuration) Members() []ReplicaID {
	members := slices.Concat(c.Voters, c.Learners)
	slices.Sort(members)
	return members
}

// Quorum returns the number of voters in a majority.
func (c Configuration) Quorum() int { return len(c.Voters)/2 + 1 }

func (c Configuration) clone() Configuration {
	return Configuration{Voters: slices.Clone(c.Voters), Learners: slices.Clone(c.Learners)}
}

// Versions of the encodings; decoders reject any other.
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

// Marshal encodes the configuration as the data of an EntryConfiguration.
func (c Configuration) Marshal() []byte {
	return mustMarshal(configurationVersion, fixedConfiguration{}, marshalIDs(c.Voters), marshalIDs(c.Learners))
}

// UnmarshalConfiguration decodes the result of Configuration.Marshal.
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

// UnmarshalSnapshotMarker decodes the result of SnapshotMarker.Marshal.
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

// UnmarshalHardState decodes the result of HardState.Marshal.
func UnmarshalHardState(encoded []byte) (HardState, error) {
	var state HardState
	_, err := wire.Unmarshal(encoded, hardStateVersion, &state, 0)
	return state, err
}

// Marshal encodes the entry.
func (e Entry) Marshal() []byte {
	return mustMarshal(entryVersion, fixedEntry{e.Index, e.Term, e.Type}, e.Data)
}

// UnmarshalEntry decodes the result of Entry.Marshal. Data aliases encoded.
func UnmarshalEntry(encoded []byte) (Entry, error) {
	var fixed fixedEntry
	fields, err := wire.Unmarshal(encoded, entryVersion, &fixed, 1)
	if err != nil {
		return Entry{}, err
	}
	if fixed.Type > EntryConfiguration {
		return Entry{}, fmt.Errorf("%w: unknown entry type %d", wire.ErrLength, fixed.Type)
	}
	return Entry{Index: fixed.Index, Term: fixed.Term, Type: fixed.Type, Data: fields[0]}, nil
}

// mustMarshal encodes a fixed-size struct and other fields. It panics on an
// error, which can only be a bug in this package.
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
			return nil, fmt.Errorf("%w: replica IDs are not in ascending order", wire.ErrLength)
		}
	}
	return ids, nil
}
