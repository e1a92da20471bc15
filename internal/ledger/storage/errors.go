package storage

import (
	"errors"
	"fmt"

	"github.com/cockroachdb/pebble/v2"
)

// Errors of the store.
var (
	// ErrCorrupt: data that was durable is damaged. Discard the folder.
	ErrCorrupt = errors.New("storage: the ledger folder is corrupt")
	// ErrFailed: the disk failed a write. Nothing more is written until the
	// process restarts.
	ErrFailed = errors.New("storage: the ledger disk has failed")
	// ErrClosed: the store was closed.
	ErrClosed = errors.New("storage: closed")
)

// classify marks pebble's corruption errors as ErrCorrupt.
func classify(err error) error {
	if err == nil || errors.Is(err, ErrCorrupt) {
		return err
	}
	if pebble.IsCorruptionError(err) {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return err
}
