package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var startTime = time.Unix(1000, 0)

func noneDrained(string) bool { return false }

func engineList(count int) []Engine {
	var list []Engine
	for i := range count {
		list = append(list, Engine{ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprint("a", i)})
	}
	return list
}

func TestEntriesExpiredTogetherAreHeld(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewExpiryTracker()
	tracker.Update(engineList(6), noneDrained, startTime)
	engines, nextUpdate := tracker.Update(engineList(1), noneDrained, startTime)
	g.Expect(engines).To(gomega.HaveLen(6))
	g.Expect(nextUpdate).To(gomega.Equal(startTime.Add(ExpiryHold)))
	engines, _ = tracker.Update(engineList(2), noneDrained, startTime.Add(ExpiryHold/2))
	g.Expect(engines).To(gomega.HaveLen(6))
	engines, nextUpdate = tracker.Update(engineList(2), noneDrained, startTime.Add(ExpiryHold))
	g.Expect(engines).To(gomega.HaveLen(2))
	g.Expect(nextUpdate.IsZero()).To(gomega.BeTrue())
}

func TestSingleMissingEngineIsDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewExpiryTracker()
	tracker.Update(engineList(6), noneDrained, startTime)
	engines, _ := tracker.Update(engineList(5), noneDrained, startTime)
	g.Expect(engines).To(gomega.HaveLen(5))
}

func TestLeavingEnginesAndReusedAddressesAreNotHeld(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewExpiryTracker()
	before := engineList(4)
	before[0].Leaving = true
	tracker.Update(before, noneDrained, startTime)
	after := []Engine{{ID: "new", Service: "other", Address: "a1"}}
	engines, _ := tracker.Update(after, noneDrained, startTime)
	var ids []string
	for _, engine := range engines {
		ids = append(ids, engine.ID)
	}
	g.Expect(ids).To(gomega.ConsistOf("new", "e2", "e3"))
}

// Guards against dropping all serving engines when their entries expire while the other zones
// are drained, and against holding them once those zones serve again.
func TestDrainedZonesDoNotCountAgainstExpiredEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	zoned := engineList(6)
	for i := range zoned {
		zoned[i].Zone = []string{"z0", "z1", "z2"}[i%3]
	}
	listed := append(append([]Engine{}, zoned[0:2]...), zoned[3:5]...) // z2's entries expired
	drained := func(zone string) bool { return zone != "z2" }
	tracker := NewExpiryTracker()
	tracker.Update(zoned, drained, startTime)
	engines, nextUpdate := tracker.Update(listed, drained, startTime)
	g.Expect(engines).To(gomega.HaveLen(6))
	g.Expect(nextUpdate).To(gomega.Equal(startTime.Add(ExpiryHold)))
	engines, _ = tracker.Update(listed, noneDrained, startTime.Add(ExpiryHold/2))
	g.Expect(engines).To(gomega.HaveLen(4))
}

// Guards against holding engines of a drained zone that left.
func TestEnginesLeavingDrainedZoneAreNotHeld(t *testing.T) {
	g := gomega.NewWithT(t)
	zoned := engineList(6)
	for i := range zoned {
		zoned[i].Zone = []string{"z0", "z1"}[i/4]
	}
	drained := func(zone string) bool { return zone == "z0" }
	tracker := NewExpiryTracker()
	tracker.Update(zoned, drained, startTime)
	engines, _ := tracker.Update(zoned[4:], drained, startTime)
	g.Expect(engines).To(gomega.HaveLen(2))
}
