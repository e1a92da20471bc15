package storage

import (
	"errors"
	"io/fs"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/gravitational/trace"
)

// corruptMarker is a file that says that the folder was found corrupt.
const corruptMarker = "CORRUPT"

// markCorrupt leaves the marker, so that a restart doesn't trust the folder.
// It is best effort: the damage is there to be found again.
func markCorrupt(options Options) {
	file, err := options.FS.Create(options.FS.PathJoin(options.Folder, corruptMarker), vfs.WriteCategoryUnspecified)
	if err != nil {
		return
	}
	_ = file.Sync()
	_ = file.Close()
}

func markedCorrupt(options Options) (bool, error) {
	_, err := options.FS.Stat(options.FS.PathJoin(options.Folder, corruptMarker))
	if err == nil {
		return true, nil
	}
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	return false, trace.Wrap(err, "look for the corruption marker")
}

// Discard removes the folder with all replicas in it. The next Open makes a
// new one with another incarnation.
func Discard(options Options, cause error) error {
	if options.FS == nil {
		options.FS = vfs.Default
	}
	eventDiscarded.Error(cause, "folder", options.Folder)
	return trace.Wrap(options.FS.RemoveAll(options.Folder), "discard the ledger folder %s", options.Folder)
}
