package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var lapseStart = time.Unix(1000, 0)

func noneDrained(string) bool { return false }

func listOf(count int) []Engine {
	var list []Engine
	for i := range count {
		list = append(list, Engine{ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprint("a", i)})
	}
	return list
}

func TestEntriesThatLapseTogetherStayInUseForAWhile(t *testing.T) {
	g := gomega.NewWithT(t)
	lapses := NewLapses()
	lapses.Update(listOf(6), noneDrained, lapseStart)
	engines, again := lapses.Update(listOf(1), noneDrained, lapseStart)
	g.Expect(engines).To(gomega.HaveLen(6))
	g.Expect(again).To(gomega.Equal(lapseStart.Add(LapseHold)))
	engines, _ = lapses.Update(listOf(2), noneDrained, lapseStart.Add(LapseHold/2))
	g.Expect(engines).To(gomega.HaveLen(6))
	engines, again = lapses.Update(listOf(2), noneDrained, lapseStart.Add(LapseHold))
	g.Expect(engines).To(gomega.HaveLen(2))
	g.Expect(again.IsZero()).To(gomega.BeTrue())
}

func TestASingleMissingEngineHasLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	lapses := NewLapses()
	lapses.Update(listOf(6), noneDrained, lapseStart)
	engines, _ := lapses.Update(listOf(5), noneDrained, lapseStart)
	g.Expect(engines).To(gomega.HaveLen(5))
}

func TestEnginesThatSaidSoOrLostTheirAddressHaveLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	lapses := NewLapses()
	before := listOf(4)
	before[0].Leaving = true
	lapses.Update(before, noneDrained, lapseStart)
	after := []Engine{{ID: "new", Service: "other", Address: "a1"}}
	engines, _ := lapses.Update(after, noneDrained, lapseStart)
	var ids []string
	for _, engine := range engines {
		ids = append(ids, engine.ID)
	}
	g.Expect(ids).To(gomega.ConsistOf("new", "e2", "e3"))
}

// With two of three zones drained, the third one's engines are all that serve: when
// their entries lapse together they stay in use, and once the zones are back, the many
// that are listed count again.
func TestEnginesOfDrainedZonesDoNotCountBesideLapsedOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	zoned := listOf(6)
	for i := range zoned {
		zoned[i].Zone = []string{"z0", "z1", "z2"}[i%3]
	}
	listed := append(append([]Engine{}, zoned[0:2]...), zoned[3:5]...) // z2 has lapsed
	drained := func(zone string) bool { return zone != "z2" }
	lapses := NewLapses()
	lapses.Update(zoned, drained, lapseStart)
	engines, again := lapses.Update(listed, drained, lapseStart)
	g.Expect(engines).To(gomega.HaveLen(6))
	g.Expect(again).To(gomega.Equal(lapseStart.Add(LapseHold)))
	engines, _ = lapses.Update(listed, noneDrained, lapseStart.Add(LapseHold/2))
	g.Expect(engines).To(gomega.HaveLen(4))
}

// The engines of a drained zone that go one after the other, as they are replaced, don't
// make others that left look lapsed.
func TestEnginesThatLeaveADrainedZoneAreNotLapsed(t *testing.T) {
	g := gomega.NewWithT(t)
	zoned := listOf(6)
	for i := range zoned {
		zoned[i].Zone = []string{"z0", "z1"}[i/4]
	}
	drained := func(zone string) bool { return zone == "z0" }
	lapses := NewLapses()
	lapses.Update(zoned, drained, lapseStart)
	engines, _ := lapses.Update(zoned[4:], drained, lapseStart)
	g.Expect(engines).To(gomega.HaveLen(2))
}
