package command

import (
	"cmp"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/settings/tree"
)

// Change is an operator's request to write and delete nodes.
type Change struct {
	// ID identifies the change; a retry uses the same ID.
	ID string `json:"id"`
	// By is the operator's name, shown in conflicts.
	By string `json:"by,omitempty"`
	// Nodes replace the stored nodes: an omitted field is inherited. A node
	// with a Revision is written only over exactly that revision.
	Nodes []*tree.Node `json:"-"`
	// Delete are the paths to delete.
	Delete []string `json:"delete,omitempty"`
	// Recursive deletes the descendants as well.
	Recursive bool `json:"recursive,omitempty"`
	// DryRun validates the change and writes nothing.
	DryRun bool `json:"dryRun,omitempty"`
}

// Action is the effect of a change on a node.
type Action string

// Actions.
const (
	ActionCreate    Action = "create"
	ActionUpdate    Action = "update"
	ActionDelete    Action = "delete"
	ActionUnchanged Action = "unchanged"
)

// NodeResult is the outcome for one node.
type NodeResult struct {
	Path   string             `json:"path"`
	Action Action             `json:"action"`
	Fields []tree.FieldChange `json:"fields,omitempty"`
	// Written is set if the store holds the change; false in a dry run.
	Written  bool   `json:"written"`
	Revision uint64 `json:"revision,omitempty"`
}

// Result is the outcome of a change.
type Result struct {
	ID     string       `json:"id"`
	DryRun bool         `json:"dryRun,omitempty"`
	Nodes  []NodeResult `json:"nodes"`
	// Revision is the highest revision written; a machine that has reached it
	// applies the whole change.
	Revision uint64 `json:"revision,omitempty"`
	// Epoch is the settings epoch of the write.
	Epoch uint16 `json:"epoch"`
}

// step is the write of one node.
type step struct {
	path           string
	wanted         *tree.Node // nil deletes
	stored         *tree.Node // nil if absent; may be a tombstone
	action         Action
	fields         []tree.FieldChange
	alreadyWritten bool // an earlier attempt of the same change wrote it
}

// update returns the tree update of the step.
func (s *step) update() tree.Update { return tree.Update{Path: s.path, Node: s.wanted} }

// storedRevision returns the revision that the write replaces; 0 creates.
func (s *step) storedRevision() uint64 {
	if s.stored == nil {
		return 0
	}
	return s.stored.Revision
}

// replacement returns the node to write; a deletion writes a tombstone.
func (s *step) replacement(change *Change, at time.Time) *tree.Node {
	node := &tree.Node{Path: s.path, Kind: tree.KindFolder, Deleted: true}
	if s.wanted != nil {
		copied := *s.wanted
		node = &copied
	}
	node.Change = s.stored.NextChange(change.ID, change.By, at)
	return node
}

// classify sets the step's action and changed fields.
func (s *step) classify(changeID string) {
	present := s.stored != nil && !s.stored.Deleted
	s.alreadyWritten = s.stored != nil && s.stored.Change.Includes(changeID)
	s.fields = tree.Differences(s.stored, s.wanted)
	switch {
	case s.alreadyWritten, s.wanted == nil && !present, present && s.wanted != nil && len(s.fields) == 0:
		s.action = ActionUnchanged
	case s.wanted == nil:
		s.action = ActionDelete
	case present:
		s.action = ActionUpdate
	default:
		s.action = ActionCreate
	}
}

// checkExpected returns a conflict if the node was edited from another revision
// than the stored one.
func (s *step) checkExpected() error {
	if s.action == ActionUnchanged || s.wanted == nil || s.wanted.Revision == 0 || s.wanted.Revision == s.storedRevision() {
		return nil
	}
	return newRevisionConflict(s.path, s.stored, s.wanted)
}

// sortSteps orders steps so that every prefix leaves a tree without orphans:
// parents before children, then deletions with children before parents.
func sortSteps(steps []*step) {
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
