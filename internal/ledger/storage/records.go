package storage

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/wire"
)

// appliedVersion is the version of the encoding of applied.
const appliedVersion = 1

// checksumSize is the size in bytes of the checksum before each record.
const checksumSize = 8

// addChecksum prepends a checksum of the key and the record to the record, so
// that a record stored under a wrong key is detected.
func addChecksum(key, record []byte) []byte {
	value := make([]byte, checksumSize, checksumSize+len(record))
	binary.BigEndian.PutUint64(value, checksum(key, record))
	return append(value, record...)
}

// verifyChecksum checks a stored value and returns its record, which aliases it.
func verifyChecksum(key, value []byte) ([]byte, error) {
	if len(value) < checksumSize {
		return nil, fmt.Errorf("%w: record %x has only %d bytes", ErrCorrupt, key, len(value))
	}
	record := value[checksumSize:]
	if binary.BigEndian.Uint64(value) != checksum(key, record) {
		return nil, fmt.Errorf("%w: checksum mismatch in record %x", ErrCorrupt, key)
	}
	return record, nil
}

func checksum(key, record []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(key)
	_, _ = digest.Write(record)
	return digest.Sum64()
}

// applied holds the last applied position and the version of the state in use.
type applied struct {
	marker  replication.SnapshotMarker
	version uint32
}

type appliedHeader struct {
	Version uint32
}

func (a applied) encode() ([]byte, error) {
	return wire.Marshal(appliedVersion, appliedHeader{Version: a.version}, a.marker.Marshal())
}

func decodeApplied(record []byte) (applied, error) {
	var header appliedHeader
	fields, err := wire.Unmarshal(record, appliedVersion, &header, 1)
	if err != nil {
		return applied{}, fmt.Errorf("%w: applied state: %w", ErrCorrupt, err)
	}
	marker, err := replication.UnmarshalSnapshotMarker(fields[0])
	if err != nil {
		return applied{}, fmt.Errorf("%w: applied marker: %w", ErrCorrupt, err)
	}
	return applied{marker: marker, version: header.Version}, nil
}

// position is a log index and its term. Incarnations are stored as an index, too.
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
