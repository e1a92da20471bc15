package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/gravitational/trace"
)

const (
	// probeFile is written beside pebble's files and removed again.
	probeFile  = "PROBE"
	probeBytes = 64 << 10
	// openMargin is the free space that opening a store takes beside that for its
	// write-ahead logs.
	openMargin = 1 << 20
)

// CheckWritable returns an error while the folder's disk refuses writes, or has less free
// space than opening a store takes: the contents of its write-ahead logs are written to tables.
// It fails with ErrFailed then, and with other errors if the folder can't be used at all.
func CheckWritable(options Options) error {
	if options.FS == nil {
		options.FS = vfs.Default
	}
	err := options.FS.MkdirAll(options.Folder, folderMode)
	if err == nil {
		err = checkOpenSpace(options)
	}
	if err == nil {
		err = writeProbe(options)
	}
	if isDiskFailure(err) {
		err = fmt.Errorf("%w: %w", ErrFailed, err)
	}
	return trace.Wrap(err, "probe the ledger folder %s", options.Folder)
}

func checkOpenSpace(options Options) error {
	usage, err := options.FS.GetDiskUsage(options.Folder)
	if errors.Is(err, vfs.ErrUnsupported) {
		return nil
	}
	if err != nil {
		return err
	}
	logBytes, err := writeAheadLogBytes(options)
	if err != nil {
		return err
	}
	if need := logBytes + openMargin; usage.AvailBytes < need {
		return fmt.Errorf("%w: %d bytes are free, %d are needed", ErrFailed, usage.AvailBytes, need)
	}
	return nil
}

func writeAheadLogBytes(options Options) (total uint64, err error) {
	names, err := options.FS.List(options.Folder)
	if err != nil {
		return 0, err
	}
	for _, name := range names {
		if !strings.HasSuffix(name, ".log") {
			continue
		}
		info, err := options.FS.Stat(options.FS.PathJoin(options.Folder, name))
		if errors.Is(err, fs.ErrNotExist) {
			continue // deleted concurrently
		}
		if err != nil {
			return 0, err
		}
		total += uint64(info.Size())
	}
	return total, nil
}

func writeProbe(options Options) error {
	path := options.FS.PathJoin(options.Folder, probeFile)
	file, err := options.FS.Create(path, vfs.WriteCategoryUnspecified)
	if err != nil {
		return err
	}
	_, err = file.Write(make([]byte, probeBytes))
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close(), options.FS.Remove(path))
}
