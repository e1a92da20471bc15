package mirror

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/transport"
)

// Objects that are set, taken back and set again within milliseconds, as requests of
// operators are: what counts in the end is known at all nodes within Fresh, also at those
// that the store turns away, and also if the store forgets its history meanwhile.
func TestWhatIsTakenBackAndSetAgainIsKnownInTime(t *testing.T) {
	for name, end := range map[string]struct {
		steps  func(s *fakeStore)
		stands bool
	}{
		"taken back":         {func(s *fakeStore) { s.put("drain"); time.Sleep(testFresh); s.remove("drain") }, false},
		"taken back at once": {func(s *fakeStore) { s.put("drain"); time.Sleep(hop); s.remove("drain") }, false},
		"and set again":      {func(s *fakeStore) { s.put("drain"); s.remove("drain"); time.Sleep(hop); s.put("drain") }, true},
		"and set again later": {func(s *fakeStore) {
			s.put("drain")
			time.Sleep(testFresh)
			s.remove("drain")
			time.Sleep(hop)
			s.put("drain")
		}, true},
		"history forgotten":      {func(s *fakeStore) { s.put("drain"); time.Sleep(testFresh); s.remove("drain"); s.forget() }, false},
		"forgotten, set anew":    {func(s *fakeStore) { s.put("drain"); s.remove("drain"); s.forget(); s.put("drain"); s.forget() }, true},
		"set, history forgotten": {func(s *fakeStore) { s.put("drain"); s.forget() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newTestFleet(5, 12)
				defer fleet.close()
				time.Sleep(settle)
				fleet.affect(fleet.store.ignores, "data-00", "front-00", "front-01")
				fleet.affect(fleet.store.refuses, "data-03", "front-02")
				end.steps(fleet.store)
				time.Sleep(testFresh)
				for node, agent := range fleet.agents {
					objects, _ := agent.Objects(kind)
					if _, stands := names(objects)["drain"]; stands != end.stands {
						t.Errorf("%s: at %s it stands: %v", name, node, stands)
					}
				}
			})
		})
	}
}

// A node that hears of a removal before it heard of the object's start doesn't take the
// start for news afterwards.
func TestARemovalThatIsHeardBeforeItsStartHolds(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable([]string{kind})
	table.Merge(Delta{Kind: kind, Whole: true, At: 3})
	start := Delta{Kind: kind, Since: 3, At: 5, Objects: []Object{{Name: "drain", Revision: 5}}}
	g.Expect(table.Merge(Delta{Kind: kind, Since: 3, At: 6, Objects: []Object{{Name: "drain", Revision: 6, Gone: true}}})).To(gomega.BeFalse())
	g.Expect(table.Merge(start)).To(gomega.BeFalse())
	// From a peer that is as far, but has the start alone in what it passes on.
	start.At = 6
	table.Merge(start)
	g.Expect(table.Objects(kind)).To(gomega.BeEmpty())
	g.Expect(table.Changed(kind, 5)).To(gomega.BeTrue(), "peers that have the start are told")
}

// A node whose peers don't mirror a kind that it wants asks them again at a pace, not as
// fast as they answer, as long as the store doesn't answer it.
func TestAPeerThatLacksAKindIsNotAskedWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		fleet := newTestFleet(3, 3)
		defer fleet.close()
		time.Sleep(settle)
		fleet.affect(fleet.store.ignores, "late")
		fleet.add(Node{Name: "late", Address: "late", Zone: "zone-0"}, false)
		late := fleet.agents["late"]
		late.options.Kinds = append(late.options.Kinds, Kind{Name: "unknown to all", Fresh: testFresh})
		late.SetSeeds([]transport.Address{"data-00"})
		late.Start()
		time.Sleep(settle)
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		rate := float64(fleet.hosts["late"].calls) / settle.Seconds()
		g.Expect(rate).To(gomega.BeNumerically("<", 2/firstPullRetry.Seconds()), "calls a second")
	})
}
