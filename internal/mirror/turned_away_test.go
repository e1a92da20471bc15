package mirror

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// The store turns all data nodes away and answers some front nodes. A zone is drained, and
// the data node that leads batch work goes on sending items to the zone's engines for 3.0 to
// 3.9 s, where 2 s are promised. The same with the watchers turned away and one other data
// node answered.
//
// Why: a front node whose facts are old reads the store, but tells nobody. Data nodes asked by
// chance, mostly each other, and each that knew nothing held such a pull for half a second.
// Evidence, as "mirror-changed" told it in the soak: drained at 13.736, the three front nodes
// had it by way "list" at 14.574 to 14.722, the first data node by way "peer" at 17.530. Here
// one front node had it at 12.486 and the next node at 14.834; in two of six plays no other
// node had it 5.5 s after the change. Now a node that is behind its asker asks back.
func TestAChangeIsKnownInTimeThoughTheStoreAnswersFew(t *testing.T) {
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
		t.Run(fmt.Sprint(c.dataNodes, " and ", c.fronts, ", answered ", c.answered), func(t *testing.T) {
			for run := range storeFewRuns {
				synctest.Test(t, func(t *testing.T) {
					fleet := newTestFleet(c.dataNodes, c.fronts)
					defer fleet.close()
					time.Sleep(settle + time.Duration(run)*storeFewStep)
					turnAwayAllBut(fleet, c.answered, run)
					time.Sleep(testFresh)
					fleet.store.put("news")
					time.Sleep(testFresh)
					if ignorant := fleet.ignorant("news"); len(ignorant) > 0 {
						slices.Sort(ignorant)
						t.Errorf("run %d: %v don't know of the change %v after it", run, ignorant, testFresh)
					}
				})
			}
		})
	}
}

const (
	// storeFewRuns differ in when the store turns nodes away, by storeFewStep each, and in how.
	storeFewRuns = 12
	storeFewStep = 137 * time.Millisecond
)

// turnAwayAllBut has the store answer these nodes only; by turns it refuses or ignores the
// others.
func turnAwayAllBut(fleet *testFleet, answered []string, run int) {
	way := fleet.store.refuses
	if run%2 == 0 {
		way = fleet.store.ignores
	}
	for name := range fleet.agents {
		if !slices.Contains(answered, name) {
			fleet.affect(way, name)
		}
	}
}
