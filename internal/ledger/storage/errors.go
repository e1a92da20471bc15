package storage

import (
	"errors"
	"fmt"

	"github.com/cockroachdb/pebble/v2"
)

var (
	// ErrCorrupt means that durable data is damaged: the folder must be discarded.
	ErrCorrupt = errors.New("storage: the ledger folder is corrupt")
	// ErrFailed means that a disk write failed. All later writes to the store fail; it can
	// be opened again once the disk accepts writes.
	ErrFailed = errors.New("storage: the ledger disk has failed")
	// ErrClosed means that the store was closed.
	ErrClosed = errors.New("storage: closed")

	errHanging = errors.New("an operation of the disk did not end in time")
)

// classify wraps pebble's corruption errors in ErrCorrupt.
func classify(err error) error {
	if err == nil || errors.Is(err, ErrCorrupt) {
		return err
	}
	if pebble.IsCorruptionError(err) {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return err
}
