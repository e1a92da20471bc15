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

func nodes(t *testing.T, text string) []*tree.Node {
	t.Helper()
	parsed, problems := tree.ParseFile("f.yaml", []byte(text))
	gomega.NewWithT(t).Expect(problems).To(gomega.BeEmpty())
	return parsed
}

func folder(path, extra string) string {
	return fmt.Sprintf("path: %s\nkind: folder\n%s\n---\n", path, extra)
}

// apply makes a change at a node that is in step with the store.
func apply(store *memoryStore, change Change) (*Result, error) {
	return NewWriter(store, follow(store), fixedNow).Apply(context.Background(), change)
}

func seeded(t *testing.T) *memoryStore {
	t.Helper()
	store := newMemoryStore()
	_, err := apply(store, Change{ID: "seed", By: "ann", Nodes: nodes(t, folder("fleet", "burst: 1")+folder("fleet/a", ""))})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return store
}

func TestApplyWritesWhatDiffers(t *testing.T) {
	g := gomega.NewWithT(t)
	store := seeded(t)
	change := Change{ID: "c1", Nodes: nodes(t, folder("fleet/a/b", "")+folder("fleet", "burst: 2")+folder("fleet/a", ""))}
	change.DryRun = true
	trial, err := apply(store, change)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(store.puts).To(gomega.Equal(2))
	change.DryRun = false
	result, err := apply(store, change)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var actions []string
	for i, node := range result.Nodes {
		g.Expect(node.Action).To(gomega.Equal(trial.Nodes[i].Action))
		actions = append(actions, node.Path+" "+string(node.Action))
	}
	g.Expect(actions).To(gomega.Equal([]string{"fleet update", "fleet/a unchanged", "fleet/a/b create"}))
	g.Expect(result.Nodes[0].Fields).To(gomega.Equal([]tree.FieldChange{{Field: "burst", Old: "1", New: "2"}}))
	g.Expect(result.Revision).To(gomega.Equal(store.revision))
}

func TestApplyIsRefusedWhole(t *testing.T) {
	for name, test := range map[string]struct {
		text   string
		remove []string
		want   any
	}{
		"invalid nodes":   {folder("fleet/x", "burst: -1") + folder("fleet/y", "") + folder("lost/z", ""), nil, new(*tree.InvalidError)},
		"would be orphan": {"", []string{"fleet"}, new(*tree.InvalidError)},
		"twice":           {folder("fleet/x", "") + folder("fleet/x", ""), nil, new(*BadRequestError)},
		"nothing":         {"", nil, new(*BadRequestError)},
		"other revision":  {"path: fleet\nkind: folder\nrevision: 99\n", nil, new(*ConflictError)},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store := seeded(t)
			before := store.revision
			parsed, _ := tree.ParseFile("f.yaml", []byte(test.text))
			_, err := apply(store, Change{ID: "c", Nodes: parsed, Delete: test.remove})
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(errorsAs(err, test.want)).To(gomega.BeTrue(), "%T %v", err, err)
			g.Expect(store.revision).To(gomega.Equal(before))
		})
	}
}

func TestInvalidChangeNamesAllProblems(t *testing.T) {
	g := gomega.NewWithT(t)
	parsed, _ := tree.ParseFile("f.yaml", []byte(folder("fleet/x", "burst: -1\npriority: 11")+folder("lost/z", "")))
	_, err := apply(seeded(t), Change{ID: "c", Nodes: parsed})
	for _, want := range []string{"fleet/x: burst", "fleet/x: priority", "lost/z: path"} {
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(want)))
	}
}

func TestLoserOfARaceSeesBothVersions(t *testing.T) {
	g := gomega.NewWithT(t)
	store := seeded(t)
	store.beforePut = func() {
		_, err := apply(store, Change{ID: "rival", By: "bob", Nodes: nodes(t, folder("fleet", "burst: 5"))})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	_, err := apply(store, Change{ID: "mine", By: "ann", Nodes: nodes(t, folder("fleet", "burst: 9"))})
	var conflict *ConflictError
	g.Expect(errorsAs(err, &conflict)).To(gomega.BeTrue())
	g.Expect(conflict.By).To(gomega.Equal("bob"))
	g.Expect(conflict.Fields).To(gomega.Equal([]tree.FieldConflict{{Field: "burst", Before: "1", Theirs: "5", Yours: "9"}}))
}

func TestLostAnswerIsRecognisedAsOnesOwnWrite(t *testing.T) {
	for name, test := range map[string]struct {
		answers, requests int
		overwritten       bool
	}{
		"answer lost":                      {answers: 1},
		"request lost":                     {requests: 2},
		"answer lost, overwritten since":   {answers: 1, overwritten: true},
		"request lost, then answer lost":   {answers: 1, requests: 1},
		"all lost, then repeated by hand":  {requests: maxWriteTries},
		"answer lost, repeated afterwards": {answers: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store := seeded(t)
			store.loseAnswers, store.loseRequests = test.answers, test.requests
			lossy := &overwritingStore{memoryStore: store}
			if test.overwritten {
				lossy.afterLoss = func() {
					_, err := apply(store, Change{ID: "later", Nodes: nodes(t, folder("fleet", "burst: 7"))})
					g.Expect(err).NotTo(gomega.HaveOccurred())
				}
			}
			change := Change{ID: "mine", Nodes: nodes(t, folder("fleet", "burst: 9"))}
			result, err := NewWriter(lossy, follow(store), fixedNow).Apply(context.Background(), change)
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

func TestDeletionLeavesATraceAndInheritsAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	store := seeded(t)
	result, err := apply(store, Change{ID: "d", Delete: []string{"fleet"}, Recursive: true})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(result.Nodes[0].Path).To(gomega.Equal("fleet/a"), "children go first")
	g.Expect(string(store.objects["fleet"].Spec)).To(gomega.ContainSubstring(`"deleted":true`))
	left, err := follow(store).Nodes("", true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(left).To(gomega.BeEmpty())
	_, err = apply(store, Change{ID: "again", Nodes: nodes(t, folder("fleet", ""))})
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

func TestOldTracesOfDeletionsAreSwept(t *testing.T) {
	g := gomega.NewWithT(t)
	store := seeded(t)
	_, err := apply(store, Change{ID: "d", Delete: []string{"fleet/a"}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, step := range []struct {
		later time.Duration
		kept  bool
	}{{traceRetention - time.Hour, true}, {traceRetention + time.Hour, false}} {
		now := func() time.Time { return fixedNow().Add(step.later) }
		change := Change{ID: fmt.Sprint(step.later), Nodes: nodes(t, folder("fleet", fmt.Sprintf("burst: %d", step.later.Milliseconds())))}
		_, err := NewWriter(store, follow(store), now).Apply(context.Background(), change)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, present := store.objects["fleet.a"]
		g.Expect(present).To(gomega.Equal(step.kept))
	}
}

func TestMissingTraceOfADeletionIsASweptOneOnlyIfOld(t *testing.T) {
	g := gomega.NewWithT(t)
	store := seeded(t)
	_, err := apply(store, Change{ID: "d", Delete: []string{"fleet/a"}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	inForce := follow(store)
	delete(store.objects, "fleet.a")
	change := Change{ID: "c", Nodes: nodes(t, folder("fleet", "burst: 5"))}
	_, err = NewWriter(store, inForce, fixedNow).Apply(context.Background(), change)
	var behind *StoreBehindError
	g.Expect(errorsAs(err, &behind)).To(gomega.BeTrue())
	later := func() time.Time { return fixedNow().Add(traceRetention + time.Hour) }
	_, err = NewWriter(store, inForce, later).Apply(context.Background(), change)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

func TestStoreThatWentBackIsNotWrittenButRecovered(t *testing.T) {
	g := gomega.NewWithT(t)
	store := seeded(t)
	old := *store
	old.objects = map[string]platformObject{}
	for name, object := range store.objects {
		old.objects[name] = object
	}
	_, err := apply(store, Change{ID: "n", Nodes: nodes(t, folder("fleet", "burst: 3")+folder("fleet/b", ""))})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	writer := NewWriter(&old, follow(store), fixedNow)
	_, err = writer.Apply(context.Background(), Change{ID: "x", Nodes: nodes(t, folder("fleet", "burst: 4"))})
	var behind *StoreBehindError
	g.Expect(errorsAs(err, &behind)).To(gomega.BeTrue())
	recovery, err := writer.RecoverStore(context.Background(), "r", "ann")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(recovery.Epoch).To(gomega.Equal(uint16(1)))
	g.Expect(recovery.Written).To(gomega.ConsistOf("fleet", "fleet/b"))
	delete(old.objects, tree.EpochObject)
	for _, path := range []string{"fleet", "fleet/b"} {
		want, _ := follow(store).Explain(path)
		g.Expect(follow(&old).Explain(path)).To(gomega.Equal(want))
	}
}

func TestNodeWithoutSettingsTakesNoChange(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := NewWriter(newMemoryStore(), &emptyNode{}, fixedNow).Apply(context.Background(), Change{ID: "c"})
	var notReady *NotReadyError
	g.Expect(errorsAs(err, &notReady)).To(gomega.BeTrue())
}

type emptyNode struct{ followed }

func (*emptyNode) Version() (settings.Version, bool) { return 0, false }
