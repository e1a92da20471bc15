package mirror

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/transport"
)

// The last state of an object that is created and removed in quick succession must reach all
// nodes within MaxStaleness, also if the store rejects some nodes or compacts its history.
func TestQuickRemovalsAndRecreationsReachAllNodes(t *testing.T) {
	for name, c := range map[string]struct {
		steps  func(s *fakeStore)
		exists bool
	}{
		"removed":         {func(s *fakeStore) { s.put("drain"); time.Sleep(testFresh); s.remove("drain") }, false},
		"removed at once": {func(s *fakeStore) { s.put("drain"); time.Sleep(latency); s.remove("drain") }, false},
		"created again":   {func(s *fakeStore) { s.put("drain"); s.remove("drain"); time.Sleep(latency); s.put("drain") }, true},
		"created again later": {func(s *fakeStore) {
			s.put("drain")
			time.Sleep(testFresh)
			s.remove("drain")
			time.Sleep(latency)
			s.put("drain")
		}, true},
		"removed, then compacted":        {func(s *fakeStore) { s.put("drain"); time.Sleep(testFresh); s.remove("drain"); s.compact() }, false},
		"created again after compaction": {func(s *fakeStore) { s.put("drain"); s.remove("drain"); s.compact(); s.put("drain"); s.compact() }, true},
		"created, then compacted":        {func(s *fakeStore) { s.put("drain"); s.compact() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newTestFleet(5, 12)
				defer fleet.close()
				time.Sleep(settleTime)
				fleet.markNodes(fleet.store.unanswered, "data-00", "front-00", "front-01")
				fleet.markNodes(fleet.store.rejected, "data-03", "front-02")
				c.steps(fleet.store)
				time.Sleep(testFresh)
				for node, agent := range fleet.agents {
					objects, _ := agent.Objects(kind)
					if _, exists := names(objects)["drain"]; exists != c.exists {
						t.Errorf("%s: %s has the object: %v", name, node, exists)
					}
				}
			})
		})
	}
}

// A removal that arrives before the object's creation must not be undone by the creation.
func TestRemovalReceivedBeforeCreationWins(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable([]string{kind})
	table.Merge(Delta{Kind: kind, IsSnapshot: true, Revision: 3})
	creation := Delta{Kind: kind, Since: 3, Revision: 5, Objects: []Object{{Name: "drain", Revision: 5}}}
	g.Expect(table.Merge(Delta{Kind: kind, Since: 3, Revision: 6, Objects: []Object{{Name: "drain", Revision: 6, Gone: true}}})).To(gomega.BeFalse())
	g.Expect(table.Merge(creation)).To(gomega.BeFalse())
	// A delta from a peer at the same revision that contains only the creation.
	creation.Revision = 6
	table.Merge(creation)
	g.Expect(table.Objects(kind)).To(gomega.BeEmpty())
	g.Expect(table.Changed(kind, 5)).To(gomega.BeTrue(), "the removal must be sent to peers that have the creation")
}

// A node whose peers lack one of its kinds must pause between pulls while the store doesn't
// answer it.
func TestPullsPausedWhilePeersLackKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		fleet := newTestFleet(3, 3)
		defer fleet.close()
		time.Sleep(settleTime)
		fleet.markNodes(fleet.store.unanswered, "late")
		fleet.add(Node{Name: "late", Address: "late", Zone: "zone-0"}, false)
		late := fleet.agents["late"]
		late.options.Kinds = append(late.options.Kinds, Kind{Name: "not mirrored by peers", MaxStaleness: testFresh})
		late.SetSeeds([]transport.Address{"data-00"})
		late.Start()
		time.Sleep(settleTime)
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		rate := float64(fleet.hosts["late"].calls) / settleTime.Seconds()
		g.Expect(rate).To(gomega.BeNumerically("<", 2/initialPullRetry.Seconds()), "calls per second")
	})
}
