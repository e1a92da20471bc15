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

// ErrBadChunk says that a chunk of a snapshot is damaged.
var ErrBadChunk = errors.New("storage: damaged snapshot chunk")

const chunkVersion = 1

// fixedChunk heads a chunk; its fields are keys and values in turn.
type fixedChunk struct {
	Checksum uint64 // over Final and the fields
	Final    bool   // no chunk follows
}

// Marker returns what the view's state includes.
func (v *View) Marker() replication.SnapshotMarker { return v.applied.marker }

// Chunk encodes about maxBytes of the state that follows the key after, or
// that starts the state when after is empty.
func (v *View) Chunk(after []byte, maxBytes int) ([]byte, error) {
	from := after
	if len(after) > 0 {
		from = append(append([]byte(nil), after...), 0)
	}
	space := keySpace{reader: v.snapshot, prefix: v.state}
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
	fixed := fixedChunk{Checksum: chunkChecksum(final, fields), Final: final}
	chunk, err := wire.Marshal(chunkVersion, fixed, fields...)
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

// Staging receives a snapshot beside the state that it will replace.
type Staging struct {
	shard   *Shard
	marker  replication.SnapshotMarker
	edition uint32
	after   []byte
	final   bool
}

// Stage starts to receive a snapshot; an earlier one that was not installed
// is dropped.
func (s *Shard) Stage(marker replication.SnapshotMarker) (*Staging, error) {
	staging := &Staging{shard: s, marker: marker, edition: s.edition() + 1}
	prefix := statePrefix(s.id, staging.edition)
	batch := s.store.db.NewBatch()
	if err := batch.DeleteRange(prefix, prefixEnd(prefix), nil); err != nil {
		return nil, trace.Wrap(err, "stage a snapshot of shard %d", s.id)
	}
	return staging, trace.Wrap(s.store.committer.commit(batch, false), "stage a snapshot of shard %d", s.id)
}

// Marker returns what the staged state includes.
func (g *Staging) Marker() replication.SnapshotMarker { return g.marker }

// After is the last key received, to ask for the next chunk.
func (g *Staging) After() []byte { return g.after }

// Complete says that the final chunk was received.
func (g *Staging) Complete() bool { return g.final }

// Add takes the next chunk.
func (g *Staging) Add(chunk []byte) error {
	var fixed fixedChunk
	fields, err := wire.Unmarshal(chunk, chunkVersion, &fixed, -1)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBadChunk, err)
	}
	if len(fields)%2 != 0 || fixed.Checksum != chunkChecksum(fixed.Final, fields) {
		return ErrBadChunk
	}
	batch := g.shard.store.db.NewBatch()
	prefix := statePrefix(g.shard.id, g.edition)
	for i := 0; i < len(fields); i += 2 {
		key := append(append([]byte(nil), prefix...), fields[i]...)
		if err := batch.Set(key, fields[i+1], nil); err != nil {
			return trace.Wrap(err)
		}
		g.after = append([]byte(nil), fields[i]...)
	}
	g.final = fixed.Final
	if len(fields) == 0 {
		return nil
	}
	return trace.Wrap(g.shard.store.committer.commit(batch, false), "stage a chunk of shard %d", g.shard.id)
}

// InstallSnapshot replaces the whole log and applied state by a complete
// staging, together with the hard state, and syncs.
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
	next := applied{marker: staging.marker, edition: staging.edition}
	batch := s.store.db.NewBatch()
	if err := s.putBase(batch, next, state); err != nil {
		return trace.Wrap(err, "install shard %d", s.id)
	}
	if err := s.dropEdition(batch, s.edition()); err != nil {
		return trace.Wrap(err, "install shard %d", s.id)
	}
	if err := s.store.committer.commit(batch, true); err != nil {
		return trace.Wrap(err, "install shard %d", s.id)
	}
	s.setBase(next, state)
	return nil
}

func (s *Shard) dropEdition(batch *pebble.Batch, edition uint32) error {
	prefix := statePrefix(s.id, edition)
	return batch.DeleteRange(prefix, prefixEnd(prefix), nil)
}
