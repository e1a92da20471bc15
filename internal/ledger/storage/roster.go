package storage

import (
	"encoding/binary"
	"fmt"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/wire"
)

// RosterEntry tells which node a replica identity belongs to. The roster is
// part of the replicated state, so that replicas find each other without the
// platform's store.
type RosterEntry struct {
	Replica replication.ReplicaID
	Node    string
	Zone    string
	// Address is where the node was when the entry was made; it may have moved.
	Address transport.Address
}

const rosterVersion = 1

type fixedRoster struct {
	Replica replication.ReplicaID
}

func rosterKey(state []byte, replica replication.ReplicaID) []byte {
	key := append(append([]byte(nil), state...), partRoster)
	return binary.BigEndian.AppendUint64(key, uint64(replica))
}

// Marshal encodes the entry.
func (e RosterEntry) Marshal() []byte {
	encoded, err := wire.Marshal(rosterVersion, fixedRoster{e.Replica}, []byte(e.Node), []byte(e.Zone), []byte(e.Address))
	if err != nil {
		panic(err) // the fixed part is of fixed size
	}
	return encoded
}

// UnmarshalRosterEntry decodes what Marshal encoded.
func UnmarshalRosterEntry(encoded []byte) (RosterEntry, error) {
	var fixed fixedRoster
	fields, err := wire.Unmarshal(encoded, rosterVersion, &fixed, 3)
	if err != nil {
		return RosterEntry{}, err
	}
	return RosterEntry{
		Replica: fixed.Replica,
		Node:    string(fields[0]),
		Zone:    string(fields[1]),
		Address: transport.Address(fields[2]),
	}, nil
}

// SetRoster adds or replaces a roster entry.
func (t *Transaction) SetRoster(entry RosterEntry) error {
	return trace.Wrap(t.batch.Set(rosterKey(t.state, entry.Replica), entry.Marshal(), nil))
}

// DeleteRoster removes a roster entry.
func (t *Transaction) DeleteRoster(replica replication.ReplicaID) error {
	return trace.Wrap(t.batch.Delete(rosterKey(t.state, replica), nil))
}

// Roster reads all roster entries of the view.
func (v *View) Roster() ([]RosterEntry, error) {
	space := keySpace{reader: v.snapshot, prefix: append(append([]byte(nil), v.state...), partRoster)}
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
