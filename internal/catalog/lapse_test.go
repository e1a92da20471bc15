package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var lapseStart = time.Unix(1000, 0)

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
	lapses.Update(listOf(6), lapseStart)
	engines, again := lapses.Update(listOf(1), lapseStart)
	g.Expect(engines).To(gomega.HaveLen(6))
	g.Expect(again).To(gomega.Equal(lapseStart.Add(LapseHold)))
	engines, _ = lapses.Update(listOf(2), lapseStart.Add(LapseHold/2))
	g.Expect(engines).To(gomega.HaveLen(6))
	engines, again = lapses.Update(listOf(2), lapseStart.Add(LapseHold))
	g.Expect(engines).To(gomega.HaveLen(2))
	g.Expect(again.IsZero()).To(gomega.BeTrue())
}

func TestASingleMissingEngineHasLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	lapses := NewLapses()
	lapses.Update(listOf(6), lapseStart)
	engines, _ := lapses.Update(listOf(5), lapseStart)
	g.Expect(engines).To(gomega.HaveLen(5))
}

func TestEnginesThatSaidSoOrLostTheirAddressHaveLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	lapses := NewLapses()
	before := listOf(4)
	before[0].Leaving = true
	lapses.Update(before, lapseStart)
	after := []Engine{{ID: "new", Service: "other", Address: "a1"}}
	engines, _ := lapses.Update(after, lapseStart)
	var ids []string
	for _, engine := range engines {
		ids = append(ids, engine.ID)
	}
	g.Expect(ids).To(gomega.ConsistOf("new", "e2", "e3"))
}
