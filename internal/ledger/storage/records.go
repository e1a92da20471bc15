package storage

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/wire"
)

// appliedVersion is the encoding's version.
const appliedVersion = 1

// checksumSize is the size of the checksum before each record, in bytes.
const checksumSize = 8

// seal puts a checksum over the key and the record before the record. A
// record that was written under another key doesn't pass for this one.
func seal(key, record []byte) []byte {
	sealed := make([]byte, checksumSize, checksumSize+len(record))
	binary.BigEndian.PutUint64(sealed, checksum(key, record))
	return append(sealed, record...)
}

// unseal checks a sealed record and returns it; it aliases sealed.
func unseal(key, sealed []byte) ([]byte, error) {
	if len(sealed) < checksumSize {
		return nil, fmt.Errorf("%w: record %x of %d bytes", ErrCorrupt, key, len(sealed))
	}
	record := sealed[checksumSize:]
	if binary.BigEndian.Uint64(sealed) != checksum(key, record) {
		return nil, fmt.Errorf("%w: checksum of record %x", ErrCorrupt, key)
	}
	return record, nil
}

func checksum(key, record []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(key)
	_, _ = digest.Write(record)
	return digest.Sum64()
}

// applied is what an edition of the state includes.
type applied struct {
	marker  replication.SnapshotMarker
	edition uint32
}

type fixedApplied struct {
	Edition uint32
}

func (a applied) encode() ([]byte, error) {
	return wire.Marshal(appliedVersion, fixedApplied{Edition: a.edition}, a.marker.Marshal())
}

func decodeApplied(record []byte) (applied, error) {
	var fixed fixedApplied
	fields, err := wire.Unmarshal(record, appliedVersion, &fixed, 1)
	if err != nil {
		return applied{}, fmt.Errorf("%w: applied state: %w", ErrCorrupt, err)
	}
	marker, err := replication.UnmarshalSnapshotMarker(fields[0])
	if err != nil {
		return applied{}, fmt.Errorf("%w: applied marker: %w", ErrCorrupt, err)
	}
	return applied{marker: marker, edition: fixed.Edition}, nil
}

// position is an index and its term.
type position struct {
	Index uint64
	Term  uint64
}

const positionVersion = 1

func (p position) encode() ([]byte, error) { return wire.Marshal(positionVersion, p) }

func decodePosition(record []byte) (position, error) {
	var decoded position
	if _, err := wire.Unmarshal(record, positionVersion, &decoded, 0); err != nil {
		return position{}, fmt.Errorf("%w: position: %w", ErrCorrupt, err)
	}
	return decoded, nil
}
