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

const (
	memTableBytes    = 4 << 20
	minMemTableBytes = 1 << 20
	blockCacheBytes  = 4 << 20
	// smallDiskBytes is the disk size below which compactions are kept small;
	// smallTableBytes is the target size of tables on such disks.
	smallDiskBytes  = 1 << 30
	smallTableBytes = 256 << 10
	// slowThreshold is the duration after which a disk operation is reported as slow.
	slowThreshold = 2 * time.Second
	// spaceInterval is the interval between checks of the free space.
	spaceInterval = time.Second
	// DefaultReserve is the default of Options.Reserve, in bytes.
	DefaultReserve = 256 << 20
	folderMode     = 0o750
	// closeTimeout limits the wait for closing a store that is corrupt or whose disk hangs.
	closeTimeout = 5 * time.Second
)

// Options configures a store.
type Options struct {
	// Folder is the ledger's folder; it is created if missing.
	Folder string
	// FS is the file system; nil means the operating system's.
	FS vfs.FS
	// Reserve is the free space in bytes below which Full reports true; 0 means
	// DefaultReserve.
	Reserve uint64
	// LowSpaceThreshold is the free space in bytes below which LowSpace reports
	// true; it is at least Reserve.
	LowSpaceThreshold uint64
	// DiskBytes is the disk's size, to which the sizes of write-ahead logs and
	// compactions are adapted; 0 means a large disk.
	DiskBytes uint64
	// Canceled makes Open give up, without waiting for a disk that hangs, once it is closed; nil
	// means never.
	Canceled <-chan struct{}
}

func (o Options) smallDisk() bool { return o.DiskBytes > 0 && o.DiskBytes < smallDiskBytes }

// memTableSize returns the size of a memtable, which limits the size of a
// write-ahead log; with pebbleOptions' MemTableStopWritesThreshold, the disk holds up to
// five of these logs.
func (o Options) memTableSize() uint64 {
	if o.DiskBytes == 0 {
		return memTableBytes
	}
	return min(max(o.DiskBytes/64, minMemTableBytes), memTableBytes)
}

// Store holds all ledger replicas of one node. Its methods are safe for
// concurrent use. Lock order: mutex is a leaf lock; no call is made under it.
type Store struct {
	options      Options
	guard        *guardFS
	db           *pebble.DB
	healthChecks io.Closer
	incarnation  uint64
	committer    *committer
	watermark    *watermark // sequence of the last synced write
	full         atomic.Bool
	lowSpace     atomic.Bool
	lastSlow     atomic.Int64 // UnixNano when an operation was last found slow

	access sync.RWMutex // held for reading by uses of db that no shard accounts for
	closed bool         // guarded by access

	mutex   sync.Mutex
	failure error         // set before failed is closed
	failed  chan struct{} // closed when the store can't write any more
	stop    chan struct{}
	monitor sync.WaitGroup
}

// Open opens or creates the store. It fails with ErrCorrupt when the folder must
// be discarded, with ErrFailed when the disk refuses writes, and with ErrClosed once it
// is canceled.
func Open(options Options) (*Store, error) {
	if options.FS == nil {
		options.FS = vfs.Default
	}
	if options.Reserve == 0 {
		options.Reserve = DefaultReserve
	}
	options.LowSpaceThreshold = max(options.LowSpaceThreshold, options.Reserve)
	s := &Store{options: options, failed: make(chan struct{}), stop: make(chan struct{})}
	s.guard = newGuardFS(options.FS, s.fail)
	if err := s.openUnlessFailed(); err != nil {
		s.guard.fence()
		return nil, trace.Wrap(classify(err), "open the ledger folder %s", options.Folder)
	}
	s.checkSpace()
	s.monitor.Add(1)
	go s.monitorSpace()
	return s, nil
}

// openUnlessFailed opens the folder. It doesn't wait for pebble after a disk failure or once it is
// canceled.
func (s *Store) openUnlessFailed() error {
	opened := make(chan error, 1)
	go func() { opened <- s.openAndVerify() }()
	select {
	case err := <-opened:
		return err
	case <-s.failed:
		return s.Failure()
	case <-s.options.Canceled:
		return ErrClosed
	}
}

// openAndVerify opens the folder and checks its incarnation and watermark.
func (s *Store) openAndVerify() error {
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

// checkWatermark returns ErrCorrupt if synced writes are missing.
func (s *Store) checkWatermark() error {
	watermark, err := openWatermark(s.options, s.incarnation)
	if err != nil {
		return err
	}
	sequence, err := s.loadSequence()
	if err == nil && sequence < watermark.highest {
		err = fmt.Errorf("%w: last write found is %d, but write %d was synced", ErrCorrupt, sequence, watermark.highest)
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
		return 0, fmt.Errorf("%w: sequence has %d bytes, want 8", ErrCorrupt, len(value))
	}
	return binary.BigEndian.Uint64(value), nil
}

// advanceWatermark records, after a sync, the sequence of the last synced write.
func (s *Store) advanceWatermark(sequence uint64) {
	if s.watermark != nil {
		s.watermark.advance(sequence, s.incarnation)
	}
}

func (s *Store) open() error {
	if err := s.guard.MkdirAll(s.options.Folder, folderMode); err != nil {
		return err
	}
	marked, err := isMarkedCorrupt(s.options)
	if err != nil {
		return err
	}
	if marked {
		return ErrCorrupt
	}
	// The guard is outermost, since the operations that wait in it are not slow.
	s.guard.FS, s.healthChecks = vfs.WithDiskHealthChecks(s.options.FS, slowThreshold, nil, s.onDiskSlow)
	s.db, err = pebble.Open(s.options.Folder, s.pebbleOptions(s.guard))
	if err != nil {
		_ = s.healthChecks.Close()
		return err
	}
	sequence, err := s.loadSequence()
	s.committer = startCommitter(s.db, sequence, s.failed, s.fail, s.advanceWatermark)
	return err
}

func (s *Store) pebbleOptions(fs vfs.FS) *pebble.Options {
	options := &pebble.Options{
		FS:                          fs,
		CacheSize:                   blockCacheBytes,
		MemTableSize:                s.options.memTableSize(),
		MemTableStopWritesThreshold: 4,
		L0CompactionThreshold:       8,
		L0StopWritesThreshold:       1000,
		FormatMajorVersion:          pebble.FormatWALSyncChunks,
		Logger:                      &storeLogger{store: s},
		EventListener:               &pebble.EventListener{DataCorruption: s.onDataCorruption},
	}
	for level := range options.Levels {
		options.Levels[level].FilterPolicy = bloom.FilterPolicy(10)
	}
	if s.options.smallDisk() {
		s.limitCompactionSize(options)
	}
	return options
}

// limitCompactionSize makes compactions small, since each needs disk space for
// its whole output before its inputs are deleted.
func (s *Store) limitCompactionSize(options *pebble.Options) {
	options.L0CompactionThreshold = 2
	options.LBaseMaxBytes = int64(s.options.DiskBytes / 32)
	for level := range options.TargetFileSizes {
		options.TargetFileSizes[level] = smallTableBytes
	}
}

// loadIncarnation reads the folder's incarnation, or creates it in a new folder.
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
	var randomBytes [8]byte
	if _, err := rand.Read(randomBytes[:]); err != nil {
		return err
	}
	randomBytes[0] &= 0x7f // positive as a signed integer, too
	randomBytes[7] |= 1    // never 0
	batch := s.db.NewBatch()
	incarnation := binary.BigEndian.Uint64(randomBytes[:])
	// Incarnations are stored as the index of a position.
	record, err := position{Index: incarnation}.encode()
	if err != nil {
		return err
	}
	if err := putRecord(batch, incarnationKey(), record); err != nil {
		return err
	}
	if err := s.committer.commit(batch, true); err != nil {
		return err
	}
	s.incarnation = incarnation
	eventCreated.Info("folder", s.options.Folder, "incarnation", s.incarnation)
	return nil
}

// Incarnation identifies the folder: it is never 0, is stored in the folder, and
// is drawn at random for each new one.
func (s *Store) Incarnation() uint64 { return s.incarnation }

// Full reports whether free space is too low to accept new entries.
func (s *Store) Full() bool { return s.full.Load() }

// LowSpace reports whether free space is below Options.LowSpaceThreshold: no new work should
// be started, so that work in progress can complete.
func (s *Store) LowSpace() bool { return s.lowSpace.Load() }

// Failed returns a channel that is closed when the store can't write any more;
// Failure returns the reason.
func (s *Store) Failed() <-chan struct{} { return s.failed }

// Failure returns the reason that Failed was closed, ErrFailed or ErrCorrupt
// with its cause, or nil if it is open.
func (s *Store) Failure() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failure
}

// LastSlow returns when a disk operation was last found to take longer than
// slowThreshold, or the zero time if none was.
func (s *Store) LastSlow() time.Time {
	at := s.lastSlow.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// DiskBytes returns the disk space that the store uses, or 0 once it is closed.
func (s *Store) DiskBytes() uint64 {
	if s.acquire() != nil {
		return 0
	}
	defer s.access.RUnlock()
	return s.db.Metrics().DiskSpaceUsage()
}

// MemoryBytes estimates the memory used by memtables and the block cache; it is 0 once the
// store is closed.
func (s *Store) MemoryBytes() uint64 {
	if s.acquire() != nil {
		return 0
	}
	defer s.access.RUnlock()
	metrics := s.db.Metrics()
	return metrics.MemTable.Size + uint64(metrics.BlockCache.Size)
}

// acquire keeps the store from being closed until access is released for reading. It fails
// with ErrClosed.
func (s *Store) acquire() error {
	s.access.RLock()
	if s.closed {
		s.access.RUnlock()
		return ErrClosed
	}
	return nil
}

// Resume lets a store that failed for lack of space go on, so that Close can release all it
// holds. Call it once CheckWritable succeeds; Failure is kept.
func (s *Store) Resume() { s.guard.resume() }

// Abandon fails the uses of a store whose disk hangs, so that it can be closed without waiting for
// the disk.
func (s *Store) Abandon() {
	s.fail(errHanging)
	s.guard.fence()
}

// Close closes the store; uncommitted writes are lost. No shard may be in use. It may be
// called once, and another store may then open the folder.
//
// After a failure its files and memory are kept until the process ends, since pebble can't be
// closed, unless Resume let it go on; the lock of the folder is released when the operations in
// progress are done. The same holds for a store whose disk hangs.
func (s *Store) Close() error {
	close(s.stop)
	s.access.Lock()
	s.closed = true
	s.access.Unlock()
	closed := make(chan error, 1)
	go func() {
		s.monitor.Wait()
		closed <- s.closeFiles()
	}()
	select {
	case err := <-closed:
		return trace.Wrap(err, "close the ledger folder %s", s.options.Folder)
	case <-s.failed:
	case <-time.After(closeTimeout):
		eventAbandoned.Info("folder", s.options.Folder, "after", closeTimeout)
		s.guard.fence()
		return nil
	}
	if errors.Is(s.Failure(), ErrCorrupt) || s.guard.isOpen() {
		select {
		case <-closed:
			return nil
		case <-time.After(closeTimeout):
		}
	}
	s.guard.fence()
	return nil
}

func (s *Store) closeFiles() error {
	s.committer.close()
	if s.watermark != nil {
		s.watermark.close()
	}
	err := s.db.Close()
	_ = s.healthChecks.Close()
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

func (s *Store) onDataCorruption(info pebble.DataCorruptionInfo) {
	markCorrupt(s.options)
	s.fail(fmt.Errorf("%w: %s", ErrCorrupt, info.Path))
}

func (s *Store) onDiskSlow(info vfs.DiskSlowInfo) {
	s.lastSlow.Store(time.Now().UnixNano())
	eventSlow.Info("folder", s.options.Folder, "operation", info.OpType.String(), "duration", info.Duration)
}

func (s *Store) monitorSpace() {
	defer s.monitor.Done()
	ticker := time.NewTicker(spaceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.checkSpace()
			s.watermark.sync()
		case <-s.stop:
			return
		}
	}
}

func (s *Store) checkSpace() {
	usage, err := s.options.FS.GetDiskUsage(s.options.Folder)
	if errors.Is(err, vfs.ErrUnsupported) {
		return
	}
	s.setLowSpace(err != nil || usage.AvailBytes < s.options.LowSpaceThreshold, usage.AvailBytes)
	full := err != nil || usage.AvailBytes < s.options.Reserve
	if s.full.Swap(full) == full {
		return
	}
	event := eventSpaceRecovered
	if full {
		event = eventFull
	}
	event.Info("folder", s.options.Folder, "available", usage.AvailBytes, "reserve", s.options.Reserve)
}

func (s *Store) setLowSpace(low bool, available uint64) {
	if s.lowSpace.Swap(low) != low {
		eventLowSpace.Info("folder", s.options.Folder, "scarce", low, "available", available, "bound", s.options.LowSpaceThreshold)
	}
}
