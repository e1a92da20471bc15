package storage

import (
	"errors"
	"io/fs"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/gravitational/trace"
)

// corruptFile is a marker file in a folder that was found corrupt.
const corruptFile = "CORRUPT"

// markCorrupt creates the marker file, so that Open rejects the folder after a
// restart. Errors are ignored: a restart would detect the corruption again.
func markCorrupt(options Options) {
	file, err := options.FS.Create(options.FS.PathJoin(options.Folder, corruptFile), vfs.WriteCategoryUnspecified)
	if err != nil {
		return
	}
	_ = file.Sync()
	_ = file.Close()
}

func isMarkedCorrupt(options Options) (bool, error) {
	_, err := options.FS.Stat(options.FS.PathJoin(options.Folder, corruptFile))
	if err == nil {
		return true, nil
	}
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	return false, trace.Wrap(err, "check for the corruption marker")
}

// Discard removes the folder with all its replicas and logs the cause. The next
// Open creates a folder with a new incarnation.
func Discard(options Options, cause error) error {
	if options.FS == nil {
		options.FS = vfs.Default
	}
	eventDiscarded.Error(cause, "folder", options.Folder)
	return trace.Wrap(options.FS.RemoveAll(options.Folder), "discard the ledger folder %s", options.Folder)
}
