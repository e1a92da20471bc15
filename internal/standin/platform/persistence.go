package platform

import (
	"encoding/binary"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/pebble/v2"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/standin/platform/objects"
)

// Keys in the embedded store.
const (
	objectPrefix = "object/"
	leasePrefix  = "lease/"
	revisionKey  = "revision"
)

// Directories below the data directory.
const (
	currentFolder     = "current"
	checkpointsFolder = "checkpoints"
)

// disk stores the state in a directory. A nil disk stores nothing.
type disk struct {
	folder       string
	store        *pebble.DB
	writeOptions *pebble.WriteOptions
}

// quietLogger discards the embedded store's log.
type quietLogger struct{}

// Infof implements pebble.Logger.
func (quietLogger) Infof(string, ...any) {}

// Errorf implements pebble.Logger.
func (quietLogger) Errorf(string, ...any) {}

// Fatalf implements pebble.Logger.
func (quietLogger) Fatalf(format string, _ ...any) { panic("platform: embedded store: " + format) }

func openDisk(folder string, sync bool) (*disk, error) {
	if folder == "" {
		return nil, nil
	}
	current := filepath.Join(folder, currentFolder)
	if err := os.MkdirAll(current, 0o755); err != nil {
		return nil, trace.Wrap(err, "create the platform data folder")
	}
	store, err := pebble.Open(current, &pebble.Options{Logger: quietLogger{}})
	if err != nil {
		return nil, trace.Wrap(err, "open %s", current)
	}
	opened := &disk{folder: folder, store: store, writeOptions: pebble.NoSync}
	if sync {
		opened.writeOptions = pebble.Sync
	}
	return opened, nil
}

// state is the stored content of the platform.
type state struct {
	objects  []objects.Object
	leases   []objects.Lease
	revision uint64
}

func (d *disk) load() (state, error) {
	var loaded state
	if d == nil {
		return loaded, nil
	}
	iterator, err := d.store.NewIter(nil)
	if err != nil {
		return loaded, trace.Wrap(err)
	}
	defer func() { _ = iterator.Close() }()
	for valid := iterator.First(); valid; valid = iterator.Next() {
		if err := loaded.add(string(iterator.Key()), iterator.Value()); err != nil {
			return loaded, trace.Wrap(err, "stored key %q", iterator.Key())
		}
	}
	return loaded, trace.Wrap(iterator.Error())
}

func (s *state) add(key string, value []byte) error {
	switch {
	case key == revisionKey:
		s.revision = binary.BigEndian.Uint64(value)
	case strings.HasPrefix(key, objectPrefix):
		var object objects.Object
		if err := json.Unmarshal(value, &object); err != nil {
			return err
		}
		s.objects = append(s.objects, object)
	case strings.HasPrefix(key, leasePrefix):
		var lease objects.Lease
		if err := json.Unmarshal(value, &lease); err != nil {
			return err
		}
		s.leases = append(s.leases, lease)
	}
	return nil
}

func objectKey(key objects.Key) []byte {
	return []byte(objectPrefix + key.Kind + "/" + key.Name)
}

// saveChange writes one change and its revision atomically.
func (d *disk) saveChange(change objects.Change) error {
	if d == nil {
		return nil
	}
	batch := d.store.NewBatch()
	defer func() { _ = batch.Close() }()
	key := objectKey(change.Object.Key)
	var err error
	if change.Type == objects.Deleted {
		err = batch.Delete(key, nil)
	} else {
		var value []byte
		if value, err = json.Marshal(change.Object); err == nil {
			err = batch.Set(key, value, nil)
		}
	}
	if err != nil {
		return trace.Wrap(err)
	}
	revision := binary.BigEndian.AppendUint64(nil, change.Object.Revision)
	if err := batch.Set([]byte(revisionKey), revision, nil); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(batch.Commit(d.writeOptions))
}

func (d *disk) saveLease(lease objects.Lease) error {
	if d == nil {
		return nil
	}
	value, err := json.Marshal(lease)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(d.store.Set([]byte(leasePrefix+lease.Name), value, d.writeOptions))
}

// checkpoint stores a copy of the current state under a name.
func (d *disk) checkpoint(name string) error {
	if d == nil {
		return trace.BadParameter("the platform keeps nothing: no folder is set")
	}
	folder := filepath.Join(d.folder, checkpointsFolder)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(d.store.Checkpoint(filepath.Join(folder, filepath.Base(name)), pebble.WithFlushedWAL()))
}

// replace closes the store and opens a copy of the named checkpoint in its
// place, or an empty store if name is empty.
func (d *disk) replace(name string) (*disk, error) {
	current := filepath.Join(d.folder, currentFolder)
	checkpoint := filepath.Join(d.folder, checkpointsFolder, filepath.Base(name))
	if name != "" {
		if _, err := os.Stat(checkpoint); err != nil {
			return d, trace.NotFound("no checkpoint %q", name)
		}
	}
	if err := d.store.Close(); err != nil {
		return d, trace.Wrap(err)
	}
	if err := os.RemoveAll(current); err != nil {
		return d, trace.Wrap(err)
	}
	if name != "" {
		if err := os.CopyFS(current, os.DirFS(checkpoint)); err != nil {
			return d, trace.Wrap(err)
		}
	}
	return openDisk(d.folder, d.writeOptions.Sync)
}

func (d *disk) close() error {
	if d == nil {
		return nil
	}
	return trace.Wrap(d.store.Close())
}
