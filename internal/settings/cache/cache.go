// Package cache persists the settings in force on a node's disk, so that a node
// can restart with them while the store is down.
package cache

import (
	"errors"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/settings/dissemination"
	"chutelock.dev/chutelock/internal/wire"
)

const (
	entryPrefix     = "e/"
	entryUpperBound = "e0" // exclusive upper bound of entry keys
	versionKey      = "version"
	valueVersion    = 1
	memTableSize    = 1 << 20 // bytes
)

type storedEntry struct {
	Revision uint64
	Deleted  uint8
}

type storedVersion struct{ Version uint64 }

// Cache is an on-disk copy of the settings. It is not safe for concurrent use.
type Cache struct {
	database *pebble.DB
}

// Open opens the cache in a folder, creating it if needed. A nil filesystem
// means the operating system's.
func Open(folder string, filesystem vfs.FS) (*Cache, error) {
	options := &pebble.Options{MemTableSize: memTableSize, CacheSize: memTableSize, Logger: discardLogger{}}
	if filesystem != nil {
		options.FS = filesystem
	}
	database, err := pebble.Open(folder, options)
	if err != nil {
		return nil, trace.Wrap(err, "open the settings cache %s", folder)
	}
	return &Cache{database: database}, nil
}

// Close closes the cache.
func (c *Cache) Close() error { return trace.Wrap(c.database.Close(), "close the settings cache") }

// Load returns the cached state, or nil if there is none.
func (c *Cache) Load() (*dissemination.State, error) {
	value, closer, err := c.database.Get([]byte(versionKey))
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, trace.Wrap(err, "read the cached settings version")
	}
	var version storedVersion
	_, err = wire.Unmarshal(value, valueVersion, &version, 0)
	if closeErr := closer.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, trace.Wrap(err, "read the cached settings version")
	}
	entries, err := c.loadEntries()
	if err != nil {
		return nil, trace.Wrap(err, "read the cached settings")
	}
	return dissemination.NewState(settings.Version(version.Version), entries), nil
}

func (c *Cache) loadEntries() ([]dissemination.Entry, error) {
	iterator, err := c.database.NewIter(&pebble.IterOptions{LowerBound: []byte(entryPrefix), UpperBound: []byte(entryUpperBound)})
	if err != nil {
		return nil, err
	}
	var entries []dissemination.Entry
	for iterator.First(); iterator.Valid(); iterator.Next() {
		var stored storedEntry
		fields, err := wire.Unmarshal(iterator.Value(), valueVersion, &stored, 1)
		if err != nil {
			return nil, errors.Join(err, iterator.Close())
		}
		entries = append(entries, dissemination.Entry{
			Name: string(iterator.Key()[len(entryPrefix):]), Revision: stored.Revision, Deleted: stored.Deleted != 0,
			Spec: append([]byte(nil), fields[0]...),
		})
	}
	return entries, iterator.Close()
}

// Write atomically persists changes and their version, synced to disk. With
// replace, the changes replace all previous entries.
func (c *Cache) Write(version settings.Version, changes []dissemination.Entry, replace bool) error {
	batch := c.database.NewBatch()
	defer func() { _ = batch.Close() }()
	if err := fillBatch(batch, version, changes, replace); err != nil {
		return trace.Wrap(err, "write the settings cache")
	}
	return trace.Wrap(batch.Commit(pebble.Sync), "write the settings cache")
}

func fillBatch(batch *pebble.Batch, version settings.Version, changes []dissemination.Entry, replace bool) error {
	if replace {
		if err := batch.DeleteRange([]byte(entryPrefix), []byte(entryUpperBound), nil); err != nil {
			return err
		}
	}
	for _, entry := range changes {
		if err := putEntry(batch, entry); err != nil {
			return err
		}
	}
	value, err := wire.Marshal(valueVersion, storedVersion{Version: uint64(version)})
	if err != nil {
		return err
	}
	return batch.Set([]byte(versionKey), value, nil)
}

func putEntry(batch *pebble.Batch, entry dissemination.Entry) error {
	key := []byte(entryPrefix + entry.Name)
	if entry.Purged() {
		return batch.Delete(key, nil)
	}
	stored := storedEntry{Revision: entry.Revision}
	if entry.Deleted {
		stored.Deleted = 1
	}
	value, err := wire.Marshal(valueVersion, stored, entry.Spec)
	if err != nil {
		return err
	}
	return batch.Set(key, value, nil)
}

// discardLogger discards pebble's log output; failures are returned as errors.
type discardLogger struct{}

func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
