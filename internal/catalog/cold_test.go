package catalog

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var (
	baseTime = time.Unix(1_000_000, 0)
	services = map[string]Service{"s": {ColdTime: 3 * time.Second, ColdRate: 8}, "free": {ColdTime: 3 * time.Second}}
)

// updateEngine updates tracker with one engine's entry and returns the updated engine.
func updateEngine(tracker *ColdTracker, engine Engine, now time.Time) Engine {
	if engine.Service == "" {
		engine.Service = "s"
	}
	list := []Engine{engine}
	tracker.Update(list, services, now)
	return list[0]
}

func at(seconds float64) time.Time {
	return baseTime.Add(time.Duration(seconds * float64(time.Second)))
}

func TestColdTimeStartsWhenEntryIsFirstSeen(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewColdTracker()
	updateEngine(tracker, Engine{ID: "other"}, at(0))
	e := updateEngine(tracker, Engine{ID: "e", Revision: 5, ReportedCold: 2 * time.Second}, at(1))
	g.Expect(e.ColdUntil).To(gomega.Equal(at(3)))
	g.Expect(e.ColdMaybePast).To(gomega.BeFalse())
	again := updateEngine(tracker, Engine{ID: "e", Revision: 5, ReportedCold: 2 * time.Second}, at(2))
	g.Expect(again.ColdUntil).To(gomega.Equal(at(3)), "an unchanged entry must not extend the cold time")
	again = updateEngine(tracker, Engine{ID: "e", Revision: 6, ReportedCold: 2 * time.Second}, at(9))
	g.Expect(again.ColdUntil).To(gomega.Equal(at(11)), "the engine became cold again")
	again = updateEngine(tracker, Engine{ID: "e", Revision: 7}, at(10))
	g.Expect(again.ColdUntil).To(gomega.Equal(at(10)), "the entry reports the engine warm")
	g.Expect(pacedAt(again, 10)).To(gomega.BeTrue(), "pacing continues while the rate ramps up")
	again = updateEngine(tracker, Engine{ID: "e", Revision: 8}, at(20))
	g.Expect(again.ColdUntil.IsZero()).To(gomega.BeTrue())
	g.Expect(updateEngine(tracker, Engine{ID: "new", Revision: 9}, at(21)).ColdUntil.IsZero()).To(gomega.BeTrue())
}

func TestEnginesAreColdAfterZoneDrainEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewColdTracker()
	updateEngine(tracker, Engine{ID: "e"}, at(0))
	g.Expect(updateEngine(tracker, Engine{ID: "e", Drained: true}, at(1)).ColdUntil.IsZero()).To(gomega.BeTrue())
	g.Expect(updateEngine(tracker, Engine{ID: "e"}, at(7)).ColdUntil).To(gomega.Equal(at(10.5)))
	e := updateEngine(tracker, Engine{ID: "e", Revision: 8, ReportedCold: time.Second}, at(8))
	g.Expect(e.ColdUntil).To(gomega.Equal(at(10.5)), "a late report must not shorten the cold time")
	g.Expect(updateEngine(tracker, Engine{ID: "e", Revision: 9, ReportedCold: 5 * time.Second}, at(9)).ColdUntil).To(gomega.Equal(at(14)))
}

func TestPaceFactorDoublesBeforePacingEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewColdTracker()
	updateEngine(tracker, Engine{ID: "other"}, at(0))
	e := updateEngine(tracker, Engine{ID: "e", Revision: 1, ReportedCold: time.Second}, at(0))
	for _, tc := range []struct {
		second float64
		factor int
		paced  bool
	}{{0, 1, true}, {0.99, 1, true}, {1, 2, true}, {1.99, 2, true}, {2, 4, true}, {2.99, 4, true}, {3, 4, false}} {
		g.Expect(e.PaceFactor(at(tc.second))).To(gomega.Equal(tc.factor), "%+v", tc)
		g.Expect(e.Paced(at(tc.second))).To(gomega.Equal(tc.paced), "%+v", tc)
	}
}

func TestServiceWithoutColdRateIsNotPaced(t *testing.T) {
	g := gomega.NewWithT(t)
	e := updateEngine(NewColdTracker(), Engine{ID: "e", Service: "free", Revision: 1, ReportedCold: time.Second}, at(0))
	g.Expect(e.ColdUntil).To(gomega.Equal(at(1)))
	g.Expect(e.Paced(at(0))).To(gomega.BeFalse())
}

// A node that just started does not know how old an entry is and relies on peers. Guards
// against an outdated peer ending a cold time that this node saw begin.
func TestOnlyColdTimeOfUnknownAgeCanBeEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewColdTracker()
	entry := Engine{ID: "e", Revision: 3, ReportedCold: 2 * time.Second}
	g.Expect(updateEngine(tracker, entry, at(0)).ColdMaybePast).To(gomega.BeTrue())
	tracker.EndCold("e", 2)
	g.Expect(pacedAt(updateEngine(tracker, entry, at(0.1)), 0.1)).To(gomega.BeTrue(), "another revision")
	tracker.EndCold("e", 3)
	g.Expect(pacedAt(updateEngine(tracker, entry, at(0.2)), 0.2)).To(gomega.BeFalse())
	entry.Revision = 4
	g.Expect(pacedAt(updateEngine(tracker, entry, at(1)), 1)).To(gomega.BeTrue())
	tracker.EndCold("e", 4)
	g.Expect(pacedAt(updateEngine(tracker, entry, at(1.1)), 1.1)).To(gomega.BeTrue(), "this node saw the cold time begin")
}

func TestUpdateReportsChangeOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewColdTracker()
	list := func() []Engine { return []Engine{{ID: "e", Service: "s", Revision: 1, ReportedCold: time.Second}} }
	changes, nextUpdate := tracker.Update(list(), services, at(0))
	g.Expect(changes).To(gomega.HaveLen(1))
	g.Expect(changes[0].Cold).To(gomega.BeTrue())
	g.Expect(nextUpdate).To(gomega.Equal(at(1)))
	changes, _ = tracker.Update(list(), services, at(0.5))
	g.Expect(changes).To(gomega.BeEmpty())
	changes, nextUpdate = tracker.Update(list(), services, at(1))
	g.Expect(changes).To(gomega.HaveLen(1))
	g.Expect(changes[0].Cold).To(gomega.BeFalse())
	g.Expect(nextUpdate.IsZero()).To(gomega.BeTrue())
}

func pacedAt(engine Engine, second float64) bool { return engine.Paced(at(second)) }

// Without a cold rate there is no limit to lift, so becoming warm is no change.
func TestServiceWithoutColdRateReportsNoChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	list := []Engine{{ID: "e", Service: "free", Revision: 1, ReportedCold: time.Second}}
	changes, nextUpdate := NewColdTracker().Update(list, services, at(0))
	g.Expect(changes).To(gomega.BeEmpty())
	g.Expect(nextUpdate.IsZero()).To(gomega.BeTrue())
}

// Guards against a peer ending the cold time after a drain that this node saw end.
func TestColdTimeAfterDrainIsNotMaybePast(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewColdTracker()
	entry := Engine{ID: "e", Revision: 3, ReportedCold: 2 * time.Second, Drained: true}
	g.Expect(updateEngine(tracker, entry, at(0)).ColdMaybePast).To(gomega.BeTrue())
	entry.Drained = false
	back := updateEngine(tracker, entry, at(1))
	g.Expect(back.ColdUntil).To(gomega.Equal(at(4.5)))
	g.Expect(back.ColdMaybePast).To(gomega.BeFalse())
}
