package storage

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/bloom"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/gravitational/trace"
)

// Sizes and bounds of the store.
const (
	memTableBytes   = 4 << 20
	memTableLeast   = 1 << 20
	blockCacheBytes = 4 << 20
	// smallDiskBytes is the size from which on compactions may take their time
	// and room; smallTableBytes is the size of tables on smaller disks.
	smallDiskBytes  = 1 << 30
	smallTableBytes = 256 << 10
	// slowDisk is when a disk operation is reported as slow.
	slowDisk = 2 * time.Second
	// spaceInterval is the time between two looks at the free space.
	spaceInterval = time.Second
	// DefaultReserve is the free space, in bytes, below which no new entry is
	// taken.
	DefaultReserve = 256 << 20
	folderMode     = 0o750
	// closeTimeout bounds the closing of a corrupt folder.
	closeTimeout = 5 * time.Second
)

// Options of a store.
type Options struct {
	// Folder is the ledger's folder, made if it is missing.
	Folder string
	// FS is the file system; nil means the machine's.
	FS vfs.FS
	// Reserve is the free space in bytes below which the store counts as
	// full; 0 means DefaultReserve.
	Reserve uint64
	// Scarce is the free space in bytes below which the store asks for nothing
	// new to be begun; 0 means Reserve.
	Scarce uint64
	// DiskBytes is the size of the disk, which bounds the write-ahead logs; 0
	// means large.
	DiskBytes uint64
}

func (o Options) smallDisk() bool { return o.DiskBytes > 0 && o.DiskBytes < smallDiskBytes }

// memTable is the size of a table in memory, and so of a write-ahead log; up to
// five of these logs lie on the disk.
func (o Options) memTable() uint64 {
	if o.DiskBytes == 0 {
		return memTableBytes
	}
	return min(max(o.DiskBytes/64, memTableLeast), memTableBytes)
}

// Store is the ledger's disk of one node. All methods may be called
// concurrently. Lock order: mutex is a leaf; no call is made under it.
type Store struct {
	options     Options
	db          *pebble.DB
	health      io.Closer
	incarnation uint64
	committer   *committer
	watermark   *watermark
	full        atomic.Bool
	scarce      atomic.Bool
	slow        atomic.Int64 // UnixNano of the last slow operation

	mutex   sync.Mutex
	failure error         // why failed was closed
	failed  chan struct{} // closed when nothing more can be written
	stop    chan struct{}
	watcher sync.WaitGroup
}

// Open opens or makes the store. It fails with ErrCorrupt when the folder
// must be discarded.
func Open(options Options) (*Store, error) {
	if options.FS == nil {
		options.FS = vfs.Default
	}
	if options.Reserve == 0 {
		options.Reserve = DefaultReserve
	}
	options.Scarce = max(options.Scarce, options.Reserve)
	s := &Store{options: options, failed: make(chan struct{}), stop: make(chan struct{})}
	if err := s.openIdentified(); err != nil {
		return nil, trace.Wrap(classify(err), "open the ledger folder %s", options.Folder)
	}
	s.lookAtSpace()
	s.watcher.Add(1)
	go s.watchSpace()
	return s, nil
}

// openIdentified opens the folder, and gives a new one its identity.
func (s *Store) openIdentified() error {
	if err := s.open(); err != nil {
		return err
	}
	err := s.loadIncarnation()
	if err == nil {
		err = s.checkWatermark()
	}
	if err != nil {
		return errors.Join(err, s.closeFiles())
	}
	return nil
}

// checkWatermark compares the store with what was synced to it.
func (s *Store) checkWatermark() error {
	watermark, err := openWatermark(s.options, s.incarnation)
	if err != nil {
		return err
	}
	sequence, err := s.loadSequence()
	if err == nil && sequence < watermark.highest {
		err = fmt.Errorf("%w: it holds write %d, but write %d was synced", ErrCorrupt, sequence, watermark.highest)
	}
	if err != nil {
		watermark.close()
		return err
	}
	s.watermark = watermark
	return nil
}

func (s *Store) loadSequence() (uint64, error) {
	value, closer, err := s.db.Get(sequenceKey())
	if errors.Is(err, pebble.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, classify(err)
	}
	defer closer.Close()
	if len(value) != 8 {
		return 0, fmt.Errorf("%w: sequence of %d bytes", ErrCorrupt, len(value))
	}
	return binary.BigEndian.Uint64(value), nil
}

// noteSynced is told of each sync.
func (s *Store) noteSynced(sequence uint64) {
	if s.watermark != nil {
		s.watermark.note(sequence, s.incarnation)
	}
}

func (s *Store) open() error {
	if err := s.options.FS.MkdirAll(s.options.Folder, folderMode); err != nil {
		return err
	}
	marked, err := markedCorrupt(s.options)
	if err != nil {
		return err
	}
	if marked {
		return ErrCorrupt
	}
	fs, health := vfs.WithDiskHealthChecks(s.options.FS, slowDisk, nil, s.diskSlow)
	s.health = health
	s.db, err = pebble.Open(s.options.Folder, s.pebbleOptions(fs))
	if err != nil {
		_ = health.Close()
		return err
	}
	sequence, err := s.loadSequence()
	s.committer = startCommitter(s.db, sequence, s.failed, s.fail, s.noteSynced)
	return err
}

func (s *Store) pebbleOptions(fs vfs.FS) *pebble.Options {
	options := &pebble.Options{
		FS:                          fs,
		CacheSize:                   blockCacheBytes,
		MemTableSize:                s.options.memTable(),
		MemTableStopWritesThreshold: 4,
		L0CompactionThreshold:       8,
		L0StopWritesThreshold:       1000,
		FormatMajorVersion:          pebble.FormatWALSyncChunks,
		Logger:                      &storeLogger{store: s},
		EventListener:               &pebble.EventListener{DataCorruption: s.dataCorrupt},
	}
	for level := range options.Levels {
		options.Levels[level].FilterPolicy = bloom.FilterPolicy(10)
	}
	if s.options.smallDisk() {
		s.compactInSmallSteps(options)
	}
	return options
}

// compactInSmallSteps makes compactions small: one needs room for all that it
// writes before it can drop what it read.
func (s *Store) compactInSmallSteps(options *pebble.Options) {
	options.L0CompactionThreshold = 2
	options.LBaseMaxBytes = int64(s.options.DiskBytes / 32)
	for level := range options.TargetFileSizes {
		options.TargetFileSizes[level] = smallTableBytes
	}
}

// loadIncarnation reads the folder's identity or gives it one.
func (s *Store) loadIncarnation() error {
	record, found, err := s.getRecord(incarnationKey())
	if err != nil {
		return err
	}
	if !found {
		return s.createIncarnation()
	}
	identity, err := decodePosition(record)
	s.incarnation = identity.Index
	return err
}

func (s *Store) createIncarnation() error {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return err
	}
	random[0] &= 0x7f // reads well as a signed number, too
	random[7] |= 1    // never 0
	batch := s.db.NewBatch()
	incarnation := binary.BigEndian.Uint64(random[:])
	record, err := position{Index: incarnation}.encode()
	if err != nil {
		return err
	}
	if err := put(batch, incarnationKey(), record); err != nil {
		return err
	}
	if err := s.committer.commit(batch, true); err != nil {
		return err
	}
	s.incarnation = incarnation
	eventCreated.Info("folder", s.options.Folder, "incarnation", s.incarnation)
	return nil
}

// Incarnation identifies the folder: it is never 0, stays the same as long as
// the folder's content does, and is another one for every new folder.
func (s *Store) Incarnation() uint64 { return s.incarnation }

// Full says that no new entry may be taken for want of space.
func (s *Store) Full() bool { return s.full.Load() }

// Scarce says that nothing new should be begun, so that what was begun can be
// completed.
func (s *Store) Scarce() bool { return s.scarce.Load() }

// Failed is closed when the store can't write any more; Failure says why.
func (s *Store) Failed() <-chan struct{} { return s.failed }

// Failure returns why Failed was closed: ErrFailed or ErrCorrupt, with its
// cause. It is nil before.
func (s *Store) Failure() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failure
}

// SlowSince returns when a disk operation was last found to hang for longer
// than two seconds; zero if never.
func (s *Store) SlowSince() time.Time {
	at := s.slow.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// DiskBytes returns the disk space that the store uses.
func (s *Store) DiskBytes() uint64 { return s.db.Metrics().DiskSpaceUsage() }

// MemoryBytes estimates the memory that the store uses for tables and cache.
func (s *Store) MemoryBytes() uint64 {
	metrics := s.db.Metrics()
	return metrics.MemTable.Size + uint64(metrics.BlockCache.Size)
}

// Close closes the store. What was not committed is lost. After a failed
// write, files stay open until the process ends: pebble may hang in them.
func (s *Store) Close() error {
	close(s.stop)
	s.watcher.Wait()
	failure := s.Failure()
	if failure == nil {
		return trace.Wrap(s.closeFiles(), "close the ledger folder %s", s.options.Folder)
	}
	if errors.Is(failure, ErrFailed) {
		s.committer.abandon()
		return nil
	}
	return s.closeCorrupt()
}

// closeCorrupt frees a corrupt folder, so that it can be discarded. It doesn't
// wait for a background task that hangs over the damage.
func (s *Store) closeCorrupt() error {
	closed := make(chan error, 1)
	go func() { closed <- s.closeFiles() }()
	select {
	case <-closed:
	case <-time.After(closeTimeout):
	}
	return nil
}

func (s *Store) closeFiles() error {
	s.committer.close()
	if s.watermark != nil {
		s.watermark.close()
	}
	err := s.db.Close()
	_ = s.health.Close()
	return classify(err)
}

func (s *Store) fail(cause error) {
	kind := ErrFailed
	if errors.Is(classify(cause), ErrCorrupt) {
		kind = ErrCorrupt
	}
	s.mutex.Lock()
	first := s.failure == nil
	if first {
		s.failure = fmt.Errorf("%w: %w", kind, cause)
	}
	s.mutex.Unlock()
	if !first {
		return
	}
	close(s.failed)
	event := eventFailed
	if kind == ErrCorrupt {
		event = eventCorrupt
	}
	event.Error(cause, "folder", s.options.Folder, "incarnation", s.incarnation)
}

func (s *Store) dataCorrupt(info pebble.DataCorruptionInfo) {
	markCorrupt(s.options)
	s.fail(fmt.Errorf("%w: %s", ErrCorrupt, info.Path))
}

func (s *Store) diskSlow(info vfs.DiskSlowInfo) {
	s.slow.Store(time.Now().UnixNano())
	eventSlow.Info("folder", s.options.Folder, "operation", info.OpType.String(), "duration", info.Duration)
}

func (s *Store) watchSpace() {
	defer s.watcher.Done()
	ticker := time.NewTicker(spaceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.lookAtSpace()
			s.watermark.sync()
		case <-s.stop:
			return
		}
	}
}

func (s *Store) lookAtSpace() {
	usage, err := s.options.FS.GetDiskUsage(s.options.Folder)
	if errors.Is(err, vfs.ErrUnsupported) {
		return
	}
	s.noteScarce(err != nil || usage.AvailBytes < s.options.Scarce, usage.AvailBytes)
	full := err != nil || usage.AvailBytes < s.options.Reserve
	if s.full.Swap(full) == full {
		return
	}
	event := eventRoomAgain
	if full {
		event = eventFull
	}
	event.Info("folder", s.options.Folder, "available", usage.AvailBytes, "reserve", s.options.Reserve)
}

func (s *Store) noteScarce(scarce bool, available uint64) {
	if s.scarce.Swap(scarce) != scarce {
		eventScarce.Info("folder", s.options.Folder, "scarce", scarce, "available", available, "bound", s.options.Scarce)
	}
}
