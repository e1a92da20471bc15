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

// upperBound returns a scan's exclusive bound; an empty to means the end.
func (k *keySpace) upperBound(to []byte) []byte {
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

// Scan implements ledger.Reader. If to is empty, it scans to the end.
func (k *keySpace) Scan(from, to []byte, visit func(key, value []byte) (bool, error)) error {
	iterator, err := k.reader.NewIter(&pebble.IterOptions{LowerBound: k.key(from), UpperBound: k.upperBound(to)})
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

// Transaction collects the writes of applied entries; its reads include them.
// It implements ledger.Writer. The caller must commit or close it.
type Transaction struct {
	keySpace
	batch         *pebble.Batch
	versionPrefix []byte // of the version in use
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

// DeleteRange implements ledger.Writer. If to is empty, it deletes to the end.
func (t *Transaction) DeleteRange(from, to []byte) error {
	return trace.Wrap(t.batch.DeleteRange(t.key(from), t.upperBound(to), nil))
}

// Close discards the transaction's writes unless it was committed.
func (t *Transaction) Close() {
	if t.batch != nil {
		_ = t.batch.Close()
		t.batch = nil
	}
}

// View is a consistent read-only view of a shard's applied state. It implements
// ledger.Reader. The caller must close it.
type View struct {
	keySpace
	snapshot      *pebble.Snapshot
	applied       applied
	versionPrefix []byte // of the version in use
}

// Close releases the view.
func (v *View) Close() error { return trace.Wrap(v.snapshot.Close()) }
