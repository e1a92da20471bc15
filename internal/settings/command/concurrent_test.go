package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/settings/tree"
)

// TestMain fixes the seed, so that runs are reproducible. CHUTELOCK_CAMPAIGN set
// to a number runs that many sequences from random seeds.
func TestMain(m *testing.M) {
	flag.Parse()
	checks, seed := "100", "20260102"
	if campaign := os.Getenv("CHUTELOCK_CAMPAIGN"); campaign != "" {
		checks, seed = campaign, "0"
	}
	for name, value := range map[string]string{"rapid.checks": checks, "rapid.seed": seed} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// maxLaterWrites is the number of later writes up to which a retry is recognized.
const maxLaterWrites = 8

// concurrentWriters simulates operators that write to one store and lose
// responses.
type concurrentWriters struct {
	t       *rapid.T
	g       *gomega.WithT
	store   *memoryStore
	changes int
	// unresolved are the changes whose outcome is unknown.
	unresolved []unresolvedChange
}

// unresolvedChange holds a change and the number of changes issued until its
// outcome was unknown.
type unresolvedChange struct {
	Change
	before int
}

func (r *concurrentWriters) newChange(label string) Change {
	r.changes++
	path := rapid.SampledFrom([]string{"fleet", "fleet/a"}).Draw(r.t, label+" path")
	node := &tree.Node{Path: path, Kind: tree.KindFolder}
	burst := r.changes
	node.Burst = &burst
	if rapid.Bool().Draw(r.t, label+" guarded") {
		node.Revision = r.store.objects[tree.ObjectName(path)].Revision
	}
	return Change{ID: fmt.Sprintf("change-%d", r.changes), Nodes: []*tree.Node{node}}
}

// run applies a change and checks the outcome against the store's history.
func (r *concurrentWriters) run(change Change) {
	lossless := r.store.loseResponses+r.store.loseRequests == 0
	r.store.writeFailed = false
	writer := NewWriter(r.store, newSyncedState(r.store), fixedNow)
	writer.initialRetryDelay = time.Microsecond
	_, err := writer.Apply(context.Background(), change)
	name := tree.ObjectName(change.Nodes[0].Path)
	written := count(r.store.history[name], change.ID)
	var unknown *UnknownOutcomeError
	var conflict *ConflictError
	switch {
	case err == nil:
		r.g.Expect(written).To(gomega.Equal(1), "%s was accepted", change.ID)
	case errors.As(err, &conflict):
		r.g.Expect(written).To(gomega.Equal(0), "%s lost a race", change.ID)
		r.g.Expect(conflict.Fields).NotTo(gomega.BeEmpty())
	case errors.As(err, &unknown):
		r.g.Expect(written).To(gomega.BeNumerically("<=", 1))
		r.g.Expect(lossless).To(gomega.BeFalse(), "nothing was lost")
		r.unresolved = append(r.unresolved, unresolvedChange{change, r.changes})
	default:
		r.t.Fatalf("%s: %v", change.ID, err)
	}
}

func count(ids []string, id string) int {
	found := 0
	for _, candidate := range ids {
		if candidate == id {
			found++
		}
	}
	return found
}

// Guards against lost, repeated or misreported writes under concurrency and failures.
func TestApplyConcurrentWritersWithLostResponses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &concurrentWriters{t: rt, g: gomega.NewWithT(rt), store: newMemoryStore()}
		_, err := apply(r.store, Change{ID: "seed", Nodes: []*tree.Node{
			{Path: "fleet", Kind: tree.KindFolder}, {Path: "fleet/a", Kind: tree.KindFolder},
		}})
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		rt.Repeat(map[string]func(*rapid.T){
			"lose": func(*rapid.T) {
				r.store.loseResponses = rapid.IntRange(0, 7).Draw(rt, "answers")
				r.store.loseRequests = rapid.IntRange(0, 7).Draw(rt, "requests")
				r.store.loseReads = rapid.IntRange(0, 7).Draw(rt, "reads")
			},
			"change": func(*rapid.T) { r.run(r.newChange("change")) },
			"race": func(*rapid.T) {
				concurrent := r.newChange("rival")
				r.store.beforePut = func() { r.run(concurrent) }
				r.run(r.newChange("own"))
				r.store.beforePut = nil
			},
			"repeat": func(*rapid.T) {
				if len(r.unresolved) == 0 {
					return
				}
				change := r.unresolved[0]
				r.unresolved = slices.Delete(r.unresolved, 0, 1)
				if r.changes-change.before < maxLaterWrites {
					r.run(change.Change)
				}
			},
		})
	})
}
