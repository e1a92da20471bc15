package command

import (
	"fmt"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/settings/tree"
)

// ConflictError reports that the stored node is not the version that the change
// is based on. It lists the fields that differ.
type ConflictError struct {
	Path     string               `json:"path"`
	Revision uint64               `json:"revision"` // of the stored version
	By       string               `json:"by"`
	At       time.Time            `json:"at"`
	Fields   []tree.FieldConflict `json:"fields"`
}

func newConflict(path string, before, theirs, yours *tree.Node) *ConflictError {
	return withWriter(&ConflictError{Path: path, Fields: tree.Conflicts(before, theirs, yours)}, theirs)
}

// newRevisionConflict returns the conflict of a change whose base version is
// unknown.
func newRevisionConflict(path string, theirs, yours *tree.Node) *ConflictError {
	conflict := &ConflictError{Path: path}
	for _, change := range tree.Differences(theirs, yours) {
		conflict.Fields = append(conflict.Fields, tree.FieldConflict{
			Field: change.Field, Before: "(not known)", Theirs: change.Old, Yours: change.New,
		})
	}
	return withWriter(conflict, theirs)
}

func withWriter(conflict *ConflictError, theirs *tree.Node) *ConflictError {
	if theirs == nil {
		return conflict
	}
	conflict.Revision = theirs.Revision
	if theirs.Change != nil {
		conflict.By, conflict.At = theirs.Change.By, theirs.Change.At
	}
	return conflict
}

// Error lists both versions of each field.
func (e *ConflictError) Error() string {
	head := fmt.Sprintf("%s was changed by %q at %s and is at revision %d now; read it with `chutelockctl get %s` and apply again",
		e.Path, e.By, e.At.Format(time.RFC3339), e.Revision, e.Path)
	lines := []string{head}
	for _, field := range e.Fields {
		lines = append(lines, fmt.Sprintf("  %s: before %s, theirs %s, yours %s", field.Field, field.Before, field.Theirs, field.Yours))
	}
	return strings.Join(lines, "\n")
}

// UnknownOutcomeError reports that a node may or may not have been written.
// Retrying the change with the same ID resolves it.
type UnknownOutcomeError struct {
	ID   string
	Path string
	Err  error
}

// Error includes the remedy.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is not known whether %s was written (%v); repeat with -id %s", e.Path, e.Err, e.ID)
}

// Unwrap returns the store's error.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// StoreBehindError reports that the store is older than the applied settings,
// as after a restore from an old backup. Nothing is written to it.
type StoreBehindError struct {
	Path     string
	Stored   uint64
	Expected uint64
	InForce  settings.Version
}

// Error includes the remedy.
func (e *StoreBehindError) Error() string {
	return fmt.Sprintf("the store has gone back: it holds %q at revision %d, but revision %d of it is in force (settings %s); "+
		"nothing was written. Bring the right copy of the store back, or write what is in force to it with `chutelockctl apply -recover-store`",
		e.Path, e.Stored, e.Expected, e.InForce)
}

// NotReadyError reports that this machine cannot validate changes yet.
type NotReadyError struct{ Reason string }

// Error implements error.
func (e *NotReadyError) Error() string {
	return "this node can't take changes of settings: " + e.Reason
}

// BadRequestError reports that a change is malformed.
type BadRequestError struct{ Reason string }

// Error implements error.
func (e *BadRequestError) Error() string { return e.Reason }
