package mirror

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// A change must reach all nodes within MaxStaleness if the store answers only a few
// non-watchers. Guards against nodes that read the store but don't notify peers.
func TestChangeReachesAllNodesWhenStoreAnswersFew(t *testing.T) {
	for _, c := range []struct {
		dataNodes, fronts int
		answered          []string
	}{
		{3, 3, []string{"front-00"}},
		{3, 3, []string{"front-00", "front-01", "front-02"}},
		{5, 12, []string{"front-00"}},
		{5, 12, []string{"front-03", "front-04", "front-05", "front-06"}},
		{12, 12, []string{"data-11"}},
		{40, 60, []string{"front-00", "front-59"}},
	} {
		t.Run(fmt.Sprint(c.dataNodes, " data and ", c.fronts, " front nodes, answered ", c.answered), func(t *testing.T) {
			for run := range blockedStoreRuns {
				synctest.Test(t, func(t *testing.T) {
					fleet := newTestFleet(c.dataNodes, c.fronts)
					defer fleet.close()
					time.Sleep(settleTime + time.Duration(run)*blockedStoreStep)
					blockStoreExcept(fleet, c.answered, run)
					time.Sleep(testFresh)
					fleet.store.put("news")
					time.Sleep(testFresh)
					if missing := fleet.nodesMissing("news"); len(missing) > 0 {
						slices.Sort(missing)
						t.Errorf("run %d: %v lack the change %v after it", run, missing, testFresh)
					}
				})
			}
		})
	}
}

const (
	// Runs differ in the time at which the store blocks nodes, by blockedStoreStep each, and in
	// whether it rejects calls or doesn't answer.
	blockedStoreRuns = 12
	blockedStoreStep = 137 * time.Millisecond
)

// blockStoreExcept makes the store answer only the given nodes. In odd runs it rejects the calls
// of the others, in even runs it doesn't answer them.
func blockStoreExcept(fleet *testFleet, answered []string, run int) {
	blocked := fleet.store.rejected
	if run%2 == 0 {
		blocked = fleet.store.unanswered
	}
	for name := range fleet.agents {
		if !slices.Contains(answered, name) {
			fleet.markNodes(blocked, name)
		}
	}
}
