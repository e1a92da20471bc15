package command

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/settings/tree"
)

func fixedNow() time.Time { return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC) }

func parseNodes(t *testing.T, text string) []*tree.Node {
	t.Helper()
	parsed, problems := tree.ParseFile("f.yaml", []byte(text))
	gomega.NewWithT(t).Expect(problems).To(gomega.BeEmpty())
	return parsed
}

func folderYAML(path, extra string) string {
	return fmt.Sprintf("path: %s\nkind: folder\n%s\n---\n", path, extra)
}

// apply applies a change on a machine that is in sync with the store.
func apply(store *memoryStore, change Change) (*Result, error) {
	return NewWriter(store, newSyncedState(store), fixedNow).Apply(context.Background(), change)
}

func newSeededStore(t *testing.T) *memoryStore {
	t.Helper()
	store := newMemoryStore()
	_, err := apply(store, Change{ID: "seed", By: "ann", Nodes: parseNodes(t, folderYAML("fleet", "burst: 1")+folderYAML("fleet/a", ""))})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return store
}

// Guards against writes of unchanged nodes, and a dry run that writes or differs.
func TestApplyWritesOnlyChangedNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	store := newSeededStore(t)
	change := Change{ID: "c1", Nodes: parseNodes(t, folderYAML("fleet/a/b", "")+folderYAML("fleet", "burst: 2")+folderYAML("fleet/a", ""))}
	change.DryRun = true
	dryRun, err := apply(store, change)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(store.puts).To(gomega.Equal(2))
	change.DryRun = false
	result, err := apply(store, change)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var actions []string
	for i, node := range result.Nodes {
		g.Expect(node.Action).To(gomega.Equal(dryRun.Nodes[i].Action))
		actions = append(actions, node.Path+" "+string(node.Action))
	}
	g.Expect(actions).To(gomega.Equal([]string{"fleet update", "fleet/a unchanged", "fleet/a/b create"}))
	g.Expect(result.Nodes[0].Fields).To(gomega.Equal([]tree.FieldChange{{Field: "burst", Old: "1", New: "2"}}))
	g.Expect(result.Revision).To(gomega.Equal(store.revision))
}

// Guards against a rejected change that is partly written.
func TestApplyRejectsWithoutPartialWrites(t *testing.T) {
	for name, test := range map[string]struct {
		text   string
		remove []string
		want   any
	}{
		"invalid nodes":     {folderYAML("fleet/x", "burst: -1") + folderYAML("fleet/y", "") + folderYAML("lost/z", ""), nil, new(*tree.InvalidError)},
		"orphaned child":    {"", []string{"fleet"}, new(*tree.InvalidError)},
		"duplicate path":    {folderYAML("fleet/x", "") + folderYAML("fleet/x", ""), nil, new(*BadRequestError)},
		"no nodes":          {"", nil, new(*BadRequestError)},
		"revision mismatch": {"path: fleet\nkind: folder\nrevision: 99\n", nil, new(*ConflictError)},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store := newSeededStore(t)
			before := store.revision
			parsed, _ := tree.ParseFile("f.yaml", []byte(test.text))
			_, err := apply(store, Change{ID: "c", Nodes: parsed, Delete: test.remove})
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(errorsAs(err, test.want)).To(gomega.BeTrue(), "%T %v", err, err)
			g.Expect(store.revision).To(gomega.Equal(before))
		})
	}
}

// Guards against an error that reports only the first problem.
func TestApplyReportsAllProblems(t *testing.T) {
	g := gomega.NewWithT(t)
	parsed, _ := tree.ParseFile("f.yaml", []byte(folderYAML("fleet/x", "burst: -1\npriority: 11")+folderYAML("lost/z", "")))
	_, err := apply(newSeededStore(t), Change{ID: "c", Nodes: parsed})
	for _, want := range []string{"fleet/x: burst", "fleet/x: priority", "lost/z: path"} {
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(want)))
	}
}

// Guards against a concurrent write that is overwritten or not shown in the conflict.
func TestApplyConflictReportsBothVersions(t *testing.T) {
	g := gomega.NewWithT(t)
	store := newSeededStore(t)
	store.beforePut = func() {
		_, err := apply(store, Change{ID: "rival", By: "bob", Nodes: parseNodes(t, folderYAML("fleet", "burst: 5"))})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	_, err := apply(store, Change{ID: "mine", By: "ann", Nodes: parseNodes(t, folderYAML("fleet", "burst: 9"))})
	var conflict *ConflictError
	g.Expect(errorsAs(err, &conflict)).To(gomega.BeTrue())
	g.Expect(conflict.By).To(gomega.Equal("bob"))
	g.Expect(conflict.Fields).To(gomega.Equal([]tree.FieldConflict{{Field: "burst", Before: "1", Theirs: "5", Yours: "9"}}))
}

// Guards against a retry that writes a second time or reports a false conflict.
func TestApplyWritesOnceAfterLostResponse(t *testing.T) {
	for name, test := range map[string]struct {
		answers, requests int
		overwritten       bool
	}{
		"response lost":                     {answers: 1},
		"request lost":                      {requests: 2},
		"response lost, overwritten since":  {answers: 1, overwritten: true},
		"request lost, then response lost":  {answers: 1, requests: 1},
		"all requests lost, then retried":   {requests: maxWriteTries},
		"response lost, retried afterwards": {answers: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store := newSeededStore(t)
			store.loseResponses, store.loseRequests = test.answers, test.requests
			lossy := &overwritingStore{memoryStore: store}
			if test.overwritten {
				lossy.afterLoss = func() {
					_, err := apply(store, Change{ID: "later", Nodes: parseNodes(t, folderYAML("fleet", "burst: 7"))})
					g.Expect(err).NotTo(gomega.HaveOccurred())
				}
			}
			change := Change{ID: "mine", Nodes: parseNodes(t, folderYAML("fleet", "burst: 9"))}
			result, err := NewWriter(lossy, newSyncedState(store), fixedNow).Apply(context.Background(), change)
			if test.requests == maxWriteTries {
				var unknown *UnknownOutcomeError
				g.Expect(errorsAs(err, &unknown)).To(gomega.BeTrue())
				result, err = apply(store, change)
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(result.Nodes[0].Written).To(gomega.BeTrue())
			revision := store.revision
			again, err := apply(store, change)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(again.Nodes[0].Written).To(gomega.BeTrue())
			g.Expect(store.revision).To(gomega.Equal(revision), "a repeated change writes nothing")
		})
	}
}

// Guards against parents deleted first, missing tombstones, and paths that cannot be reused.
func TestApplyDeleteLeavesTombstones(t *testing.T) {
	g := gomega.NewWithT(t)
	store := newSeededStore(t)
	result, err := apply(store, Change{ID: "d", Delete: []string{"fleet"}, Recursive: true})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(result.Nodes[0].Path).To(gomega.Equal("fleet/a"), "children go first")
	g.Expect(string(store.objects["fleet"].Spec)).To(gomega.ContainSubstring(`"deleted":true`))
	left, err := newSyncedState(store).Nodes("", true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(left).To(gomega.BeEmpty())
	_, err = apply(store, Change{ID: "again", Nodes: parseNodes(t, folderYAML("fleet", ""))})
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against tombstones swept too early or never.
func TestApplySweepsExpiredTombstones(t *testing.T) {
	g := gomega.NewWithT(t)
	store := newSeededStore(t)
	_, err := apply(store, Change{ID: "d", Delete: []string{"fleet/a"}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, step := range []struct {
		later time.Duration
		kept  bool
	}{{tombstoneRetention - time.Hour, true}, {tombstoneRetention + time.Hour, false}} {
		now := func() time.Time { return fixedNow().Add(step.later) }
		change := Change{ID: fmt.Sprint(step.later), Nodes: parseNodes(t, folderYAML("fleet", fmt.Sprintf("burst: %d", step.later.Milliseconds())))}
		_, err := NewWriter(store, newSyncedState(store), now).Apply(context.Background(), change)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, present := store.objects["fleet.a"]
		g.Expect(present).To(gomega.Equal(step.kept))
	}
}

// Guards against mistaking a swept tombstone for a rollback of the store, or the reverse.
func TestApplyAcceptsMissingTombstoneOnlyIfExpired(t *testing.T) {
	g := gomega.NewWithT(t)
	store := newSeededStore(t)
	_, err := apply(store, Change{ID: "d", Delete: []string{"fleet/a"}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	inForce := newSyncedState(store)
	delete(store.objects, "fleet.a")
	change := Change{ID: "c", Nodes: parseNodes(t, folderYAML("fleet", "burst: 5"))}
	_, err = NewWriter(store, inForce, fixedNow).Apply(context.Background(), change)
	var behind *StoreBehindError
	g.Expect(errorsAs(err, &behind)).To(gomega.BeTrue())
	later := func() time.Time { return fixedNow().Add(tombstoneRetention + time.Hour) }
	_, err = NewWriter(store, inForce, later).Apply(context.Background(), change)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against writes to a rolled-back store, and an incomplete recovery.
func TestRecoverStoreAfterRollback(t *testing.T) {
	g := gomega.NewWithT(t)
	store := newSeededStore(t)
	old := *store
	old.objects = map[string]platformObject{}
	for name, object := range store.objects {
		old.objects[name] = object
	}
	_, err := apply(store, Change{ID: "n", Nodes: parseNodes(t, folderYAML("fleet", "burst: 3")+folderYAML("fleet/b", ""))})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	writer := NewWriter(&old, newSyncedState(store), fixedNow)
	_, err = writer.Apply(context.Background(), Change{ID: "x", Nodes: parseNodes(t, folderYAML("fleet", "burst: 4"))})
	var behind *StoreBehindError
	g.Expect(errorsAs(err, &behind)).To(gomega.BeTrue())
	recovery, err := writer.RecoverStore(context.Background(), "r", "ann")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(recovery.Epoch).To(gomega.Equal(uint16(1)))
	g.Expect(recovery.Written).To(gomega.ConsistOf("fleet", "fleet/b"))
	delete(old.objects, tree.EpochObject)
	for _, path := range []string{"fleet", "fleet/b"} {
		want, _ := newSyncedState(store).Explain(path)
		g.Expect(newSyncedState(&old).Explain(path)).To(gomega.Equal(want))
	}
}

// Guards against changes accepted before any settings are known.
func TestApplyRejectsBeforeFirstVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := NewWriter(newMemoryStore(), &emptyState{}, fixedNow).Apply(context.Background(), Change{ID: "c"})
	var notReady *NotReadyError
	g.Expect(errorsAs(err, &notReady)).To(gomega.BeTrue())
}

type emptyState struct{ syncedState }

func (*emptyState) Version() (settings.Version, bool) { return 0, false }
