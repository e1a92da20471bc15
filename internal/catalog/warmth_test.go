package catalog

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var (
	noon     = time.Unix(1_000_000, 0)
	services = map[string]Service{"s": {ColdTime: 3 * time.Second, ColdRate: 8}, "free": {ColdTime: 3 * time.Second}}
)

// follow updates a Warmth with one engine's entry and returns what it then says.
func follow(w *Warmth, engine Engine, now time.Time) Engine {
	if engine.Service == "" {
		engine.Service = "s"
	}
	list := []Engine{engine}
	w.Update(list, services, now)
	return list[0]
}

func at(seconds float64) time.Time { return noon.Add(time.Duration(seconds * float64(time.Second))) }

func TestAnEngineIsColdFromWhenItsEntryWasSeen(t *testing.T) {
	g := gomega.NewWithT(t)
	w := NewWarmth()
	follow(w, Engine{ID: "other"}, at(0))
	e := follow(w, Engine{ID: "e", Revision: 5, ToldCold: 2 * time.Second}, at(1))
	g.Expect(e.ColdUntil).To(gomega.Equal(at(3)))
	g.Expect(e.ColdMaybePast).To(gomega.BeFalse())
	again := follow(w, Engine{ID: "e", Revision: 5, ToldCold: 2 * time.Second}, at(2))
	g.Expect(again.ColdUntil).To(gomega.Equal(at(3)), "the same entry is not counted anew")
	again = follow(w, Engine{ID: "e", Revision: 6, ToldCold: 2 * time.Second}, at(9))
	g.Expect(again.ColdUntil).To(gomega.Equal(at(11)), "it turned cold again")
	again = follow(w, Engine{ID: "e", Revision: 7}, at(10))
	g.Expect(again.ColdUntil).To(gomega.Equal(at(10)), "it says that it is warm")
	g.Expect(paced(again, 10)).To(gomega.BeTrue(), "its pace rises before it is lifted")
	again = follow(w, Engine{ID: "e", Revision: 8}, at(20))
	g.Expect(again.ColdUntil.IsZero()).To(gomega.BeTrue())
	g.Expect(follow(w, Engine{ID: "new", Revision: 9}, at(21)).ColdUntil.IsZero()).To(gomega.BeTrue())
}

func TestEnginesOfAZoneThatIsDrainedNoMoreCountAsCold(t *testing.T) {
	g := gomega.NewWithT(t)
	w := NewWarmth()
	follow(w, Engine{ID: "e"}, at(0))
	g.Expect(follow(w, Engine{ID: "e", Drained: true}, at(1)).ColdUntil.IsZero()).To(gomega.BeTrue())
	g.Expect(follow(w, Engine{ID: "e"}, at(7)).ColdUntil).To(gomega.Equal(at(10.5)))
	e := follow(w, Engine{ID: "e", Revision: 8, ToldCold: time.Second}, at(8))
	g.Expect(e.ColdUntil).To(gomega.Equal(at(10.5)), "what is heard late makes it warm no sooner")
	g.Expect(follow(w, Engine{ID: "e", Revision: 9, ToldCold: 5 * time.Second}, at(9)).ColdUntil).To(gomega.Equal(at(14)))
}

func TestThePaceRisesBeforeItIsLifted(t *testing.T) {
	g := gomega.NewWithT(t)
	w := NewWarmth()
	follow(w, Engine{ID: "other"}, at(0))
	e := follow(w, Engine{ID: "e", Revision: 1, ToldCold: time.Second}, at(0))
	for _, one := range []struct {
		second float64
		factor int
		paced  bool
	}{{0, 1, true}, {0.99, 1, true}, {1, 2, true}, {1.99, 2, true}, {2, 4, true}, {2.99, 4, true}, {3, 4, false}} {
		g.Expect(e.PaceFactor(at(one.second))).To(gomega.Equal(one.factor), "%+v", one)
		g.Expect(e.Paced(at(one.second))).To(gomega.Equal(one.paced), "%+v", one)
	}
}

func TestEnginesOfAServiceWithoutAColdRateAreNotPaced(t *testing.T) {
	g := gomega.NewWithT(t)
	e := follow(NewWarmth(), Engine{ID: "e", Service: "free", Revision: 1, ToldCold: time.Second}, at(0))
	g.Expect(e.ColdUntil).To(gomega.Equal(at(1)))
	g.Expect(e.Paced(at(0))).To(gomega.BeFalse())
}

// A node that just started can't know how old an entry is; a peer that knows tells. What
// it saw begin itself, no peer that may be behind can end.
func TestAPeerEndsOnlyAColdThatMayBePast(t *testing.T) {
	g := gomega.NewWithT(t)
	w := NewWarmth()
	entry := Engine{ID: "e", Revision: 3, ToldCold: 2 * time.Second}
	g.Expect(follow(w, entry, at(0)).ColdMaybePast).To(gomega.BeTrue())
	w.Warm("e", 2)
	g.Expect(paced(follow(w, entry, at(0.1)), 0.1)).To(gomega.BeTrue(), "another revision")
	w.Warm("e", 3)
	g.Expect(paced(follow(w, entry, at(0.2)), 0.2)).To(gomega.BeFalse())
	entry.Revision = 4
	g.Expect(paced(follow(w, entry, at(1)), 1)).To(gomega.BeTrue())
	w.Warm("e", 4)
	g.Expect(paced(follow(w, entry, at(1.1)), 1.1)).To(gomega.BeTrue(), "seen to begin")
}

func TestChangesAreToldOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	w := NewWarmth()
	list := func() []Engine { return []Engine{{ID: "e", Service: "s", Revision: 1, ToldCold: time.Second}} }
	changes, again := w.Update(list(), services, at(0))
	g.Expect(changes).To(gomega.HaveLen(1))
	g.Expect(changes[0].Cold).To(gomega.BeTrue())
	g.Expect(again).To(gomega.Equal(at(1)))
	changes, _ = w.Update(list(), services, at(0.5))
	g.Expect(changes).To(gomega.BeEmpty())
	changes, again = w.Update(list(), services, at(1))
	g.Expect(changes).To(gomega.HaveLen(1))
	g.Expect(changes[0].Cold).To(gomega.BeFalse())
	g.Expect(again.IsZero()).To(gomega.BeTrue())
}

func paced(engine Engine, second float64) bool { return engine.Paced(at(second)) }

// Nothing is to be done once an engine is warm that gets all it can take anyway.
func TestEnginesOfAServiceWithoutAColdRateChangeNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	list := []Engine{{ID: "e", Service: "free", Revision: 1, ToldCold: time.Second}}
	changes, again := NewWarmth().Update(list, services, at(0))
	g.Expect(changes).To(gomega.BeEmpty())
	g.Expect(again.IsZero()).To(gomega.BeTrue())
}

// A drain that this node saw end no peer can tell as past, also of the first list.
func TestAColdAfterADrainIsNotMaybePast(t *testing.T) {
	g := gomega.NewWithT(t)
	w := NewWarmth()
	entry := Engine{ID: "e", Revision: 3, ToldCold: 2 * time.Second, Drained: true}
	g.Expect(follow(w, entry, at(0)).ColdMaybePast).To(gomega.BeTrue())
	entry.Drained = false
	back := follow(w, entry, at(1))
	g.Expect(back.ColdUntil).To(gomega.Equal(at(4.5)))
	g.Expect(back.ColdMaybePast).To(gomega.BeFalse())
}
