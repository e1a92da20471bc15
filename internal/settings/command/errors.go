package command

import (
	"fmt"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/settings/tree"
)

// ConflictError says that another operator wrote the same node first. It
// shows both versions, field by field.
type ConflictError struct {
	Path     string               `json:"path"`
	Revision uint64               `json:"revision"` // of their version
	By       string               `json:"by"`
	At       time.Time            `json:"at"`
	Fields   []tree.FieldConflict `json:"fields"`
}

func newConflict(path string, before, theirs, yours *tree.Node) *ConflictError {
	return describeRival(&ConflictError{Path: path, Fields: tree.Conflicts(before, theirs, yours)}, theirs)
}

// newBlindConflict is of a change whose starting version is not known.
func newBlindConflict(path string, theirs, yours *tree.Node) *ConflictError {
	conflict := &ConflictError{Path: path}
	for _, change := range tree.Differences(theirs, yours) {
		conflict.Fields = append(conflict.Fields, tree.FieldConflict{
			Field: change.Field, Before: "(not known)", Theirs: change.Old, Yours: change.New,
		})
	}
	return describeRival(conflict, theirs)
}

func describeRival(conflict *ConflictError, theirs *tree.Node) *ConflictError {
	if theirs == nil {
		return conflict
	}
	conflict.Revision = theirs.Revision
	if theirs.Change != nil {
		conflict.By, conflict.At = theirs.Change.By, theirs.Change.At
	}
	return conflict
}

// Error shows both versions.
func (e *ConflictError) Error() string {
	head := fmt.Sprintf("%s was changed by %q at %s and is at revision %d now; read it with `chutelockctl get %s` and apply again",
		e.Path, e.By, e.At.Format(time.RFC3339), e.Revision, e.Path)
	lines := []string{head}
	for _, field := range e.Fields {
		lines = append(lines, fmt.Sprintf("  %s: before %s, theirs %s, yours %s", field.Field, field.Before, field.Theirs, field.Yours))
	}
	return strings.Join(lines, "\n")
}

// UnknownOutcomeError says that it is not known whether a node was written.
// Repeating the change with the same id finds out.
type UnknownOutcomeError struct {
	ID   string
	Path string
	Err  error
}

// Error says what to do.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is not known whether %s was written (%v); repeat with -id %s", e.Path, e.Err, e.ID)
}

// Unwrap gives the store's error.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// StoreBehindError says that the store holds an older state than the one in
// force, as after the restore of an old copy. Writing to it is refused.
type StoreBehindError struct {
	Path     string
	Stored   uint64
	Expected uint64
	InForce  settings.Version
}

// Error says what to do.
func (e *StoreBehindError) Error() string {
	return fmt.Sprintf("the store has gone back: it holds %q at revision %d, but revision %d of it is in force (settings %s); "+
		"nothing was written. Bring the right copy of the store back, or write what is in force to it with `chutelockctl apply -recover-store`",
		e.Path, e.Stored, e.Expected, e.InForce)
}

// NotReadyError says that this node can't check a change now.
type NotReadyError struct{ Reason string }

// Error gives the reason.
func (e *NotReadyError) Error() string {
	return "this node can't take changes of settings: " + e.Reason
}

// BadRequestError says that a change is malformed.
type BadRequestError struct{ Reason string }

// Error gives the reason.
func (e *BadRequestError) Error() string { return e.Reason }
