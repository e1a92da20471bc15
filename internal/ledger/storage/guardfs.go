package storage

import (
	"errors"
	"io"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// guardFS is the file system of one open store. It hides failed writes from pebble, which
// can't recover from them and ends the process for some: an operation that the disk refuses
// is reported through onFailure and waits.
//
// A write refused for lack of space had no effect and is repeated after resume, so that
// pebble can then be closed in order. After any other failure, such as that of a sync, the
// state of the file is unknown: the operation never returns, and the store must be abandoned.
//
// After fence, no new operation changes a file, and the locks are released once those in
// progress are done, so that another store can use the folder. Reads and the closing of files
// are always possible.
type guardFS struct {
	vfs.FS
	onFailure func(error)

	mutex    sync.Mutex // guards the fields below; a leaf
	changed  sync.Cond  // uses mutex
	state    guardState
	inFlight int
	stuck    bool // an operation will never return
	locks    []*guardLock
}

type guardState int

const (
	guardOpen      guardState = iota
	guardSuspended            // operations wait for resume
	guardFenced               // operations wait forever
)

func newGuardFS(fs vfs.FS, onFailure func(error)) *guardFS {
	g := &guardFS{FS: fs, onFailure: onFailure}
	g.changed.L = &g.mutex
	return g
}

// isNoSpace reports whether the disk refused a write without an effect.
func isNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// isDiskFailure reports whether the disk refused an operation, unlike errors such as a
// missing file.
func isDiskFailure(err error) bool {
	return isNoSpace(err) || errors.Is(err, syscall.EIO) || errors.Is(err, syscall.EROFS)
}

// change runs an operation that changes a name. It repeats the operation after a lack of space.
func (g *guardFS) change(operation func() error) error {
	return g.run(operation, isDiskFailure, isNoSpace)
}

// write runs an operation that writes to a file, for which every error is a failure.
func (g *guardFS) write(operation func() error) error {
	return g.run(operation, isAny, isNoSpace)
}

// sync runs an operation that makes writes durable. It is never repeated: after a failed
// sync, the operating system may report success for pages that it has dropped.
func (g *guardFS) sync(operation func() error) error {
	return g.run(operation, isAny, func(error) bool { return false })
}

func isAny(err error) bool { return err != nil }

func (g *guardFS) run(operation func() error, isFailure, isRepeatable func(error) bool) error {
	for {
		g.begin()
		err := operation()
		repeatable := isRepeatable(err)
		failed := err != nil && isFailure(err)
		g.end(failed, repeatable)
		if !failed {
			return err
		}
		g.onFailure(err)
		if !repeatable {
			select {}
		}
	}
}

func (g *guardFS) begin() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for g.state != guardOpen {
		g.changed.Wait()
	}
	g.inFlight++
}

func (g *guardFS) end(failed, repeatable bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.inFlight--
	g.changed.Broadcast()
	if !failed {
		return
	}
	if g.state == guardOpen {
		g.state = guardSuspended
	}
	g.stuck = g.stuck || !repeatable
}

// resume repeats the refused operations and lets others run, unless an operation will never
// return.
func (g *guardFS) resume() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.stuck || g.state == guardFenced {
		return
	}
	g.state = guardOpen
	g.changed.Broadcast()
}

func (g *guardFS) isOpen() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.state == guardOpen
}

// fence stops all new operations for good. The locks are released once no operation is in
// progress, without waiting for a disk that hangs.
func (g *guardFS) fence() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.state == guardFenced {
		return
	}
	g.state = guardFenced
	go g.releaseLocks()
}

func (g *guardFS) releaseLocks() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for g.inFlight > 0 {
		g.changed.Wait()
	}
	for _, lock := range g.locks {
		if err := lock.Close(); err != nil {
			eventLockKept.Error(err)
		}
	}
}

// Unwrap implements vfs.FS.
func (g *guardFS) Unwrap() vfs.FS { return g.FS }

// open runs an operation that changes a name and returns a file.
func (g *guardFS) open(operation func() (vfs.File, error)) (vfs.File, error) {
	var file vfs.File
	err := g.change(func() (err error) {
		file, err = operation()
		return err
	})
	if err != nil {
		return nil, err
	}
	return &guardFile{File: file, guard: g}, nil
}

// Create implements vfs.FS.
func (g *guardFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return g.open(func() (vfs.File, error) { return g.FS.Create(name, category) })
}

// OpenReadWrite implements vfs.FS.
func (g *guardFS) OpenReadWrite(name string, category vfs.DiskWriteCategory, options ...vfs.OpenOption) (vfs.File, error) {
	return g.open(func() (vfs.File, error) { return g.FS.OpenReadWrite(name, category, options...) })
}

// ReuseForWrite implements vfs.FS.
func (g *guardFS) ReuseForWrite(oldname, newname string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return g.open(func() (vfs.File, error) { return g.FS.ReuseForWrite(oldname, newname, category) })
}

// OpenDir implements vfs.FS.
func (g *guardFS) OpenDir(name string) (vfs.File, error) {
	file, err := g.FS.OpenDir(name)
	if err != nil {
		return nil, err
	}
	return &guardFile{File: file, guard: g}, nil
}

// Link implements vfs.FS.
func (g *guardFS) Link(oldname, newname string) error {
	return g.change(func() error { return g.FS.Link(oldname, newname) })
}

// Remove implements vfs.FS.
func (g *guardFS) Remove(name string) error {
	return g.change(func() error { return g.FS.Remove(name) })
}

// RemoveAll implements vfs.FS.
func (g *guardFS) RemoveAll(name string) error {
	return g.change(func() error { return g.FS.RemoveAll(name) })
}

// Rename implements vfs.FS.
func (g *guardFS) Rename(oldname, newname string) error {
	return g.change(func() error { return g.FS.Rename(oldname, newname) })
}

// MkdirAll implements vfs.FS.
func (g *guardFS) MkdirAll(dir string, perm os.FileMode) error {
	return g.change(func() error { return g.FS.MkdirAll(dir, perm) })
}

// Lock implements vfs.FS.
func (g *guardFS) Lock(name string) (io.Closer, error) {
	var lock *guardLock
	err := g.change(func() error {
		closer, err := g.FS.Lock(name)
		if err != nil {
			return err
		}
		lock = &guardLock{closer: closer}
		g.addLock(lock) // before the operation ends, so that fence releases it
		return nil
	})
	if err != nil {
		return nil, err
	}
	return lock, nil
}

func (g *guardFS) addLock(lock *guardLock) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.locks = append(g.locks, lock)
}

// guardLock is the lock of a file, which may be released more than once.
type guardLock struct {
	closer io.Closer
	once   sync.Once
}

// Close implements io.Closer.
func (l *guardLock) Close() (err error) {
	l.once.Do(func() { err = l.closer.Close() })
	return err
}

// guardFile is a file of a guardFS.
type guardFile struct {
	vfs.File
	guard *guardFS
}

// Write implements vfs.File. After a partial write it goes on with the rest.
func (f *guardFile) Write(content []byte) (int, error) {
	written := 0
	err := f.guard.write(func() error {
		n, err := f.File.Write(content[written:])
		written += n
		return err
	})
	return written, err
}

// WriteAt implements vfs.File.
func (f *guardFile) WriteAt(content []byte, offset int64) (int, error) {
	written := 0
	err := f.guard.write(func() error {
		n, err := f.File.WriteAt(content[written:], offset+int64(written))
		written += n
		return err
	})
	return written, err
}

// Preallocate implements vfs.File. Its failure is no failure of the disk, since the write
// that follows may succeed.
func (f *guardFile) Preallocate(offset, length int64) error {
	f.guard.begin()
	defer f.guard.end(false, false)
	return f.File.Preallocate(offset, length)
}

// Sync implements vfs.File.
func (f *guardFile) Sync() error { return f.guard.sync(f.File.Sync) }

// SyncData implements vfs.File.
func (f *guardFile) SyncData() error { return f.guard.sync(f.File.SyncData) }

// SyncTo implements vfs.File.
func (f *guardFile) SyncTo(length int64) (full bool, err error) {
	err = f.guard.sync(func() (err error) {
		full, err = f.File.SyncTo(length)
		return err
	})
	return full, err
}
