package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var startTime = time.Unix(1000, 0)

func engineList(count int) []Engine {
	var list []Engine
	for i := range count {
		list = append(list, Engine{ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprint("a", i)})
	}
	return list
}

// Guards against dropping engines that live, as their entries expired while the store was away.
func TestEntriesExpiredDuringOutageAreHeld(t *testing.T) {
	for _, left := range []int{0, 1, 5} {
		t.Run(fmt.Sprint(left, " of 6 left"), func(t *testing.T) {
			g := gomega.NewWithT(t)
			tracker := NewExpiryTracker()
			tracker.Update(engineList(6), time.Time{}, startTime)
			returned := startTime.Add(10 * time.Second)
			engines, nextUpdate := tracker.Update(engineList(left), returned, returned)
			g.Expect(engines).To(gomega.HaveLen(6))
			g.Expect(nextUpdate).To(gomega.Equal(returned.Add(ExpiryHold)))
			engines, _ = tracker.Update(engineList(left), returned, returned.Add(ExpiryHold-1))
			g.Expect(engines).To(gomega.HaveLen(6))
			engines, nextUpdate = tracker.Update(engineList(left), returned, returned.Add(ExpiryHold))
			g.Expect(engines).To(gomega.HaveLen(left), "they are gone if they are not back by then")
			g.Expect(nextUpdate.IsZero()).To(gomega.BeTrue())
		})
	}
}

// Guards against holding engines whose entries a store removes that has been there: they have left,
// one at a time or most of them at once.
func TestRemovedEnginesAreDroppedAtOnce(t *testing.T) {
	for _, left := range []int{5, 3, 1, 0} {
		t.Run(fmt.Sprint(left, " of 6 left"), func(t *testing.T) {
			g := gomega.NewWithT(t)
			tracker := NewExpiryTracker()
			for _, returned := range []time.Time{{}, startTime.Add(-ExpiryHold)} {
				tracker.Update(engineList(6), returned, startTime)
				engines, nextUpdate := tracker.Update(engineList(left), returned, startTime)
				g.Expect(engines).To(gomega.HaveLen(left))
				g.Expect(nextUpdate.IsZero()).To(gomega.BeTrue())
			}
		})
	}
}

// Guards against a second outage that ends the hold of the first one too early, or that brings
// engines back that were gone before.
func TestSecondOutageDuringReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewExpiryTracker()
	tracker.Update(engineList(6), time.Time{}, startTime)
	tracker.Update(engineList(5), time.Time{}, startTime) // e5 has left
	first := startTime.Add(10 * time.Second)
	tracker.Update(engineList(3), first, first)
	second := first.Add(ExpiryHold - time.Second)
	engines, nextUpdate := tracker.Update(engineList(1), second, second)
	g.Expect(engines).To(gomega.HaveLen(5))
	g.Expect(nextUpdate).To(gomega.Equal(second.Add(ExpiryHold)))
	engines, _ = tracker.Update(engineList(5), second, second.Add(time.Second))
	g.Expect(engines).To(gomega.HaveLen(5))
	engines, nextUpdate = tracker.Update(engineList(5), second, second.Add(ExpiryHold))
	g.Expect(engines).To(gomega.HaveLen(5))
	g.Expect(nextUpdate.IsZero()).To(gomega.BeTrue())
}

func TestLeavingEnginesAndReusedAddressesAreNotHeld(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewExpiryTracker()
	before := engineList(4)
	before[0].Leaving = true
	tracker.Update(before, time.Time{}, startTime)
	after := []Engine{{ID: "new", Service: "other", Address: "a1"}}
	engines, _ := tracker.Update(after, startTime, startTime)
	var ids []string
	for _, engine := range engines {
		ids = append(ids, engine.ID)
	}
	g.Expect(ids).To(gomega.ConsistOf("new", "e2", "e3"))
}
