package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func startedEngine(instance string, second int64) *Engine {
	start := time.Unix(second, 0)
	return &Engine{ID: EngineID(instance, start), Started: start, Service: "s", Slots: 8}
}

func engineIDs(engines []Engine) (list []string) {
	for _, engine := range engines {
		list = append(list, engine.ID)
	}
	return list
}

// Guards against replacing an engine by an earlier incarnation whose entry arrives late.
func TestRosterIgnoresEntryOfEarlierStart(t *testing.T) {
	g := gomega.NewWithT(t)
	roster := NewRoster()
	roster.Put(Entry{"a", startedEngine("a", 100)})
	roster.Put(Entry{"a", startedEngine("a", 200)})
	g.Expect(engineIDs(roster.Engines())).To(gomega.Equal([]string{"a@200000"}))
	late := startedEngine("a", 100)
	late.Leaving = true
	roster.Put(Entry{"a", late})
	g.Expect(roster.Engines()).To(gomega.HaveLen(1))
	g.Expect(roster.Engines()[0].ID).To(gomega.Equal("a@200000"))
	g.Expect(roster.Engines()[0].Leaving).To(gomega.BeFalse())
	roster.Remove("a")
	g.Expect(roster.Engines()).To(gomega.BeEmpty())
}

// Guards against using entries of foreign writers as engines.
func TestRosterExcludesEntryWithoutStartIfMostHaveOne(t *testing.T) {
	g := gomega.NewWithT(t)
	roster := NewRoster()
	for i := range 3 {
		roster.Put(Entry{fmt.Sprint("e", i), startedEngine(fmt.Sprint("e", i), 100)})
	}
	roster.Put(Entry{"foreign", &Engine{ID: "foreign", Service: "s", Slots: 8}})
	roster.Put(Entry{"unreadable", nil})
	g.Expect(engineIDs(roster.Engines())).To(gomega.Equal([]string{"e0@100000", "e1@100000", "e2@100000"}))
	g.Expect(roster.Unusable()).To(gomega.Equal(2))
	plain := NewRoster()
	for i := range 3 {
		plain.Put(Entry{fmt.Sprint("e", i), &Engine{ID: fmt.Sprint("e", i)}})
	}
	plain.Put(Entry{"foreign", startedEngine("foreign", 100)})
	g.Expect(plain.Engines()).To(gomega.HaveLen(4), "most entries have no start time, so none is required")
	plain.Put(Entry{"e0", nil})
	plain.KeepOnly(map[string]bool{"e0": true, "e1": true})
	g.Expect(engineIDs(plain.Engines())).To(gomega.Equal([]string{"e1"}))
}

// Guards against using entries of foreign writers once most engines are removed at once.
func TestRosterExcludesEntryWithoutStartAfterBulkRemoval(t *testing.T) {
	g := gomega.NewWithT(t)
	roster := NewRoster()
	for i := range 6 {
		roster.Put(Entry{fmt.Sprint("e", i), startedEngine(fmt.Sprint("e", i), 100)})
	}
	g.Expect(roster.Engines()).To(gomega.HaveLen(6))
	for i := range 3 {
		roster.Put(Entry{fmt.Sprint("foreign", i), &Engine{ID: fmt.Sprint("foreign", i)}})
	}
	for i := 1; i < 6; i++ {
		roster.Remove(fmt.Sprint("e", i))
		g.Expect(roster.Engines()).To(gomega.HaveLen(6-i), "%d removed", i)
	}
	roster.Remove("e0")
	g.Expect(roster.Engines()).To(gomega.BeEmpty())
}

// Guards against an outage after a platform that reports start times is replaced by one that doesn't.
func TestRosterUsesEnginesWithoutStartOnceMostLackIt(t *testing.T) {
	g := gomega.NewWithT(t)
	roster := NewRoster()
	const engines = 6
	for i := range engines {
		roster.Put(Entry{fmt.Sprint("e", i), startedEngine(fmt.Sprint("e", i), 100)})
	}
	g.Expect(roster.Engines()).To(gomega.HaveLen(engines))
	for i := range engines {
		roster.Remove(fmt.Sprint("e", i))
		roster.Put(Entry{fmt.Sprint("p", i), &Engine{ID: fmt.Sprint("p", i)}})
		g.Expect(roster.Engines()).NotTo(gomega.BeEmpty(), "%d replaced", i+1)
	}
	g.Expect(roster.Engines()).To(gomega.HaveLen(engines))
}

// Peers of an earlier version send instance names only.
func TestSnapshotFindsEngineByInstanceName(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := NewSnapshot(nil, []Engine{*startedEngine("a", 100), {ID: "b", Service: "s"}})
	for _, id := range []string{"a", "a@100000", "b"} {
		g.Expect(snapshot.Usable(id, "s")).To(gomega.BeTrue(), id)
	}
	for _, id := range []string{"a@99000", "b@99000", "c"} {
		g.Expect(snapshot.Usable(id, "s")).To(gomega.BeFalse(), id)
	}
	g.Expect(Instance(EngineID("x@y", time.Time{}))).To(gomega.Equal("x@y"))
	g.Expect(Instance("b")).To(gomega.Equal("b"))
}
