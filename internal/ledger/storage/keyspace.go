package storage

import (
	"errors"

	"github.com/cockroachdb/pebble/v2"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger"
)

// keySpace reads the keys under a prefix. It implements ledger.Reader.
type keySpace struct {
	reader pebble.Reader
	prefix []byte
}

func (k *keySpace) key(key []byte) []byte {
	full := make([]byte, 0, len(k.prefix)+len(key))
	full = append(full, k.prefix...)
	return append(full, key...)
}

// end maps the exclusive bound of a scan; an empty one is the end of the space.
func (k *keySpace) end(to []byte) []byte {
	if len(to) == 0 {
		return prefixEnd(k.prefix)
	}
	return k.key(to)
}

// Get implements ledger.Reader.
func (k *keySpace) Get(key []byte) ([]byte, bool, error) {
	value, closer, err := k.reader.Get(k.key(key))
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, trace.Wrap(classify(err), "read a key")
	}
	copied := append(make([]byte, 0, len(value)), value...)
	return copied, true, trace.Wrap(closer.Close())
}

// Scan implements ledger.Reader. An empty to means the end of the key space.
func (k *keySpace) Scan(from, to []byte, visit func(key, value []byte) (bool, error)) error {
	iterator, err := k.reader.NewIter(&pebble.IterOptions{LowerBound: k.key(from), UpperBound: k.end(to)})
	if err != nil {
		return trace.Wrap(classify(err), "open an iterator")
	}
	visitErr := k.visitAll(iterator, visit)
	if err := iterator.Close(); err != nil && visitErr == nil {
		return trace.Wrap(classify(err), "scan keys")
	}
	return visitErr
}

func (k *keySpace) visitAll(iterator *pebble.Iterator, visit func(key, value []byte) (bool, error)) error {
	for valid := iterator.First(); valid; valid = iterator.Next() {
		value, err := iterator.ValueAndErr()
		if err != nil {
			return trace.Wrap(classify(err), "read a value")
		}
		more, err := visit(iterator.Key()[len(k.prefix):], value)
		if err != nil || !more {
			return err
		}
	}
	return trace.Wrap(classify(iterator.Error()), "scan keys")
}

// Transaction collects the writes of applied entries, and reads through them.
// It implements ledger.Writer. Close it when it is no longer used.
type Transaction struct {
	keySpace
	batch *pebble.Batch
	state []byte // prefix of the edition
}

var _ ledger.Writer = (*Transaction)(nil)

// Set implements ledger.Writer.
func (t *Transaction) Set(key, value []byte) error {
	return trace.Wrap(t.batch.Set(t.key(key), value, nil))
}

// Delete implements ledger.Writer.
func (t *Transaction) Delete(key []byte) error {
	return trace.Wrap(t.batch.Delete(t.key(key), nil))
}

// DeleteRange implements ledger.Writer. An empty to means the end of the key
// space.
func (t *Transaction) DeleteRange(from, to []byte) error {
	return trace.Wrap(t.batch.DeleteRange(t.key(from), t.end(to), nil))
}

// Close gives the transaction up, if it was not committed.
func (t *Transaction) Close() {
	if t.batch != nil {
		_ = t.batch.Close()
		t.batch = nil
	}
}

// View is a consistent read-only state of a shard's machine. It implements
// ledger.Reader. Close it when it is no longer used.
type View struct {
	keySpace
	snapshot *pebble.Snapshot
	applied  applied
	state    []byte // prefix of the edition
}

// Close releases the view.
func (v *View) Close() error { return trace.Wrap(v.snapshot.Close()) }
