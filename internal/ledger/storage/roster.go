package storage

import (
	"encoding/binary"
	"fmt"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/wire"
)

// RosterEntry maps a replica to its node. The roster is part of the replicated
// state, so that replicas find each other without the platform's store.
type RosterEntry struct {
	Replica replication.ReplicaID
	Node    string
	Zone    string
	// Address is the node's address when the entry was written; it may be stale.
	Address transport.Address
}

const rosterVersion = 1

type rosterHeader struct {
	Replica replication.ReplicaID
}

func rosterKey(prefix []byte, replica replication.ReplicaID) []byte {
	key := append(append([]byte(nil), prefix...), partRoster)
	return binary.BigEndian.AppendUint64(key, uint64(replica))
}

// Marshal encodes the entry.
func (e RosterEntry) Marshal() []byte {
	encoded, err := wire.Marshal(rosterVersion, rosterHeader{e.Replica}, []byte(e.Node), []byte(e.Zone), []byte(e.Address))
	if err != nil {
		panic(err) // rosterHeader has a fixed size
	}
	return encoded
}

// UnmarshalRosterEntry decodes an entry encoded by Marshal.
func UnmarshalRosterEntry(encoded []byte) (RosterEntry, error) {
	var header rosterHeader
	fields, err := wire.Unmarshal(encoded, rosterVersion, &header, 3)
	if err != nil {
		return RosterEntry{}, err
	}
	return RosterEntry{
		Replica: header.Replica,
		Node:    string(fields[0]),
		Zone:    string(fields[1]),
		Address: transport.Address(fields[2]),
	}, nil
}

// SetRoster adds or replaces the entry of a replica.
func (t *Transaction) SetRoster(entry RosterEntry) error {
	return trace.Wrap(t.batch.Set(rosterKey(t.versionPrefix, entry.Replica), entry.Marshal(), nil))
}

// DeleteRoster removes the entry of a replica.
func (t *Transaction) DeleteRoster(replica replication.ReplicaID) error {
	return trace.Wrap(t.batch.Delete(rosterKey(t.versionPrefix, replica), nil))
}

// Roster returns all roster entries, ordered by replica.
func (v *View) Roster() ([]RosterEntry, error) {
	space := keySpace{reader: v.snapshot, prefix: append(append([]byte(nil), v.versionPrefix...), partRoster)}
	var roster []RosterEntry
	err := space.Scan(nil, nil, func(_, value []byte) (bool, error) {
		entry, err := UnmarshalRosterEntry(value)
		if err != nil {
			return false, fmt.Errorf("%w: roster: %w", ErrCorrupt, err)
		}
		roster = append(roster, entry)
		return true, nil
	})
	return roster, trace.Wrap(err, "read the roster")
}
