package storage

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/pebble/v2"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/wire"
)

// ErrBadChunk means that a snapshot chunk is damaged.
var ErrBadChunk = errors.New("storage: damaged snapshot chunk")

const chunkVersion = 1

// chunkHeader precedes the chunk's fields, which are alternating keys and values.
type chunkHeader struct {
	Checksum uint64 // over Final and the fields
	Final    bool   // set on the last chunk
}

// Marker returns the last position that the view's state includes.
func (v *View) Marker() replication.SnapshotMarker { return v.applied.marker }

// Chunk encodes the keys that follow after, or the first keys if after is empty,
// and their values, about maxBytes in total.
func (v *View) Chunk(after []byte, maxBytes int) ([]byte, error) {
	from := after
	if len(after) > 0 {
		from = append(append([]byte(nil), after...), 0)
	}
	space := keySpace{reader: v.snapshot, prefix: v.versionPrefix}
	var fields [][]byte
	size := 0
	final := true
	err := space.Scan(from, nil, func(key, value []byte) (bool, error) {
		if size >= maxBytes {
			final = false
			return false, nil
		}
		fields = append(fields, append([]byte(nil), key...), append([]byte(nil), value...))
		size += len(key) + len(value)
		return true, nil
	})
	if err != nil {
		return nil, trace.Wrap(err, "read a snapshot chunk")
	}
	header := chunkHeader{Checksum: chunkChecksum(final, fields), Final: final}
	chunk, err := wire.Marshal(chunkVersion, header, fields...)
	return chunk, trace.Wrap(err)
}

func chunkChecksum(final bool, fields [][]byte) uint64 {
	digest := xxhash.New()
	_, _ = fmt.Fprint(digest, final)
	for _, field := range fields {
		_, _ = fmt.Fprintf(digest, "%d:", len(field))
		_, _ = digest.Write(field)
	}
	return digest.Sum64()
}

// Staging collects the chunks of a snapshot while the current state stays in use.
type Staging struct {
	shard   *Shard
	marker  replication.SnapshotMarker
	version uint32
	after   []byte
	final   bool
}

// Stage starts receiving a snapshot. It deletes an earlier staged one that was
// not installed.
func (s *Shard) Stage(marker replication.SnapshotMarker) (*Staging, error) {
	staging := &Staging{shard: s, marker: marker, version: s.stateVersion() + 1}
	prefix := statePrefix(s.id, staging.version)
	batch := s.store.db.NewBatch()
	if err := batch.DeleteRange(prefix, prefixEnd(prefix), nil); err != nil {
		return nil, trace.Wrap(err, "stage a snapshot of shard %d", s.id)
	}
	return staging, trace.Wrap(s.store.committer.commit(batch, false), "stage a snapshot of shard %d", s.id)
}

// Marker returns the last position that the snapshot includes.
func (g *Staging) Marker() replication.SnapshotMarker { return g.marker }

// After returns the last key received, from which the next chunk follows.
func (g *Staging) After() []byte { return g.after }

// Complete reports whether the final chunk was received.
func (g *Staging) Complete() bool { return g.final }

// Add writes the next chunk. It fails with ErrBadChunk if the chunk is damaged.
func (g *Staging) Add(chunk []byte) error {
	var header chunkHeader
	fields, err := wire.Unmarshal(chunk, chunkVersion, &header, -1)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBadChunk, err)
	}
	if len(fields)%2 != 0 || header.Checksum != chunkChecksum(header.Final, fields) {
		return ErrBadChunk
	}
	batch := g.shard.store.db.NewBatch()
	prefix := statePrefix(g.shard.id, g.version)
	for i := 0; i < len(fields); i += 2 {
		key := append(append([]byte(nil), prefix...), fields[i]...)
		if err := batch.Set(key, fields[i+1], nil); err != nil {
			return trace.Wrap(err)
		}
		g.after = append([]byte(nil), fields[i]...)
	}
	g.final = header.Final
	if len(fields) == 0 {
		return nil
	}
	return trace.Wrap(g.shard.store.committer.commit(batch, false), "stage a chunk of shard %d", g.shard.id)
}

// InstallSnapshot atomically replaces the log and applied state by the staged
// snapshot and, if hard isn't nil, the hard state. The write is synced.
func (s *Shard) InstallSnapshot(staging *Staging, hard *replication.HardState) error {
	if !staging.final {
		return trace.Errorf("install shard %d: the snapshot is not complete", s.id)
	}
	state, err := s.HardState()
	if err != nil {
		return err
	}
	if hard != nil {
		state = *hard
	}
	next := applied{marker: staging.marker, version: staging.version}
	batch := s.store.db.NewBatch()
	if err := s.putBaseState(batch, next, state); err != nil {
		return trace.Wrap(err, "install shard %d", s.id)
	}
	if err := s.deleteState(batch, s.stateVersion()); err != nil {
		return trace.Wrap(err, "install shard %d", s.id)
	}
	if err := s.store.committer.commit(batch, true); err != nil {
		return trace.Wrap(err, "install shard %d", s.id)
	}
	s.setBaseState(next, state)
	return nil
}

func (s *Shard) deleteState(batch *pebble.Batch, version uint32) error {
	prefix := statePrefix(s.id, version)
	return batch.DeleteRange(prefix, prefixEnd(prefix), nil)
}
