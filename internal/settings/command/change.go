package command

import (
	"cmp"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/settings/tree"
)

// Change is what an operator asks for.
type Change struct {
	// ID names the change; a repeated change has the same id.
	ID string `json:"id"`
	// By names the operator, for others to see.
	By string `json:"by,omitempty"`
	// Nodes are written whole: a field that is left out inherits. A node with
	// a Revision is written only over exactly that version.
	Nodes []*tree.Node `json:"-"`
	// Delete are the paths to delete.
	Delete []string `json:"delete,omitempty"`
	// Recursive deletes all below the paths as well.
	Recursive bool `json:"recursive,omitempty"`
	// DryRun checks and compares, and writes nothing.
	DryRun bool `json:"dryRun,omitempty"`
}

// Action is what a change does to a node.
type Action string

// Actions.
const (
	ActionCreate    Action = "create"
	ActionUpdate    Action = "update"
	ActionDelete    Action = "delete"
	ActionUnchanged Action = "unchanged"
)

// NodeResult is what became of one node.
type NodeResult struct {
	Path   string             `json:"path"`
	Action Action             `json:"action"`
	Fields []tree.FieldChange `json:"fields,omitempty"`
	// Written says that the store holds the change; false in a dry run.
	Written  bool   `json:"written"`
	Revision uint64 `json:"revision,omitempty"`
}

// Result is the answer to a change.
type Result struct {
	ID     string       `json:"id"`
	DryRun bool         `json:"dryRun,omitempty"`
	Nodes  []NodeResult `json:"nodes"`
	// Revision is the highest revision written; the change is in force where
	// this revision is.
	Revision uint64 `json:"revision,omitempty"`
	// Epoch is the settings epoch under which it was written.
	Epoch uint16 `json:"epoch"`
}

// step is the write of one node.
type step struct {
	path    string
	wanted  *tree.Node // nil deletes
	stored  *tree.Node // nil if there is none; may be a trace of a deletion
	action  Action
	fields  []tree.FieldChange
	already bool // an earlier try of the same change wrote it
}

// update is the step as the tree takes it.
func (s *step) update() tree.Update { return tree.Update{Path: s.path, Node: s.wanted} }

// storedRevision is the version that the write replaces; 0 creates.
func (s *step) storedRevision() uint64 {
	if s.stored == nil {
		return 0
	}
	return s.stored.Revision
}

// replacement is the node to write.
func (s *step) replacement(change *Change, at time.Time) *tree.Node {
	node := &tree.Node{Path: s.path, Kind: tree.KindFolder, Deleted: true}
	if s.wanted != nil {
		copied := *s.wanted
		node = &copied
	}
	node.Change = s.stored.NextChange(change.ID, change.By, at)
	return node
}

// classify fills in what the step does.
func (s *step) classify(changeID string) {
	present := s.stored != nil && !s.stored.Deleted
	s.already = s.stored != nil && s.stored.Change.Includes(changeID)
	s.fields = tree.Differences(s.stored, s.wanted)
	switch {
	case s.already, s.wanted == nil && !present, present && s.wanted != nil && len(s.fields) == 0:
		s.action = ActionUnchanged
	case s.wanted == nil:
		s.action = ActionDelete
	case present:
		s.action = ActionUpdate
	default:
		s.action = ActionCreate
	}
}

// checkExpected refuses a node that was made from another version than the
// stored one.
func (s *step) checkExpected() error {
	if s.action == ActionUnchanged || s.wanted == nil || s.wanted.Revision == 0 || s.wanted.Revision == s.storedRevision() {
		return nil
	}
	return newBlindConflict(s.path, s.stored, s.wanted)
}

// order sorts steps so that every prefix leaves a tree without orphans:
// parents before children, then deletions with children before parents.
func order(steps []*step) {
	slices.SortFunc(steps, func(a, b *step) int {
		if (a.wanted == nil) != (b.wanted == nil) {
			if a.wanted != nil {
				return -1
			}
			return 1
		}
		if a.wanted == nil {
			return cmp.Compare(b.path, a.path)
		}
		return cmp.Compare(a.path, b.path)
	})
}
