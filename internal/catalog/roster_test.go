package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func born(instance string, second int64) *Engine {
	start := time.Unix(second, 0)
	return &Engine{ID: EngineID(instance, start), Born: start, Service: "s", Slots: 8}
}

func ids(engines []Engine) (list []string) {
	for _, engine := range engines {
		list = append(list, engine.ID)
	}
	return list
}

// An entry that a former start wrote late doesn't bring that back, and a later start
// takes the place of the one before.
func TestAFormerStartsLateEntryIsPassedOver(t *testing.T) {
	g := gomega.NewWithT(t)
	roster := NewRoster()
	roster.Put(Entry{"a", born("a", 100)})
	roster.Put(Entry{"a", born("a", 200)})
	g.Expect(ids(roster.Engines())).To(gomega.Equal([]string{"a@200000"}))
	late := born("a", 100)
	late.Leaving = true
	roster.Put(Entry{"a", late})
	g.Expect(roster.Engines()).To(gomega.HaveLen(1))
	g.Expect(roster.Engines()[0].ID).To(gomega.Equal("a@200000"))
	g.Expect(roster.Engines()[0].Leaving).To(gomega.BeFalse())
	roster.Remove("a")
	g.Expect(roster.Engines()).To(gomega.BeEmpty())
}

// An entry without a birth is no engine's where the others have one; it costs none its place.
func TestAnEntryWithoutABirthIsForeignWhereOthersHaveOne(t *testing.T) {
	g := gomega.NewWithT(t)
	roster := NewRoster()
	for i := range 3 {
		roster.Put(Entry{fmt.Sprint("e", i), born(fmt.Sprint("e", i), 100)})
	}
	roster.Put(Entry{"foreign", &Engine{ID: "foreign", Service: "s", Slots: 8}})
	roster.Put(Entry{"unreadable", nil})
	g.Expect(ids(roster.Engines())).To(gomega.Equal([]string{"e0@100000", "e1@100000", "e2@100000"}))
	g.Expect(roster.Unusable()).To(gomega.Equal(2))
	plain := NewRoster()
	for i := range 3 {
		plain.Put(Entry{fmt.Sprint("e", i), &Engine{ID: fmt.Sprint("e", i)}})
	}
	plain.Put(Entry{"foreign", born("foreign", 100)})
	g.Expect(plain.Engines()).To(gomega.HaveLen(4), "where most have none, it proves nothing")
	plain.Put(Entry{"e0", nil})
	plain.KeepOnly(map[string]bool{"e0": true, "e1": true})
	g.Expect(ids(plain.Engines())).To(gomega.Equal([]string{"e1"}))
}

// Peers of an earlier version tell instance names only.
func TestAnEngineIsFoundByItsInstanceName(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := NewSnapshot(nil, []Engine{*born("a", 100), {ID: "b", Service: "s"}})
	for _, id := range []string{"a", "a@100000", "b"} {
		g.Expect(snapshot.Usable(id, "s")).To(gomega.BeTrue(), id)
	}
	for _, id := range []string{"a@99000", "b@99000", "c"} {
		g.Expect(snapshot.Usable(id, "s")).To(gomega.BeFalse(), id)
	}
	g.Expect(Instance(EngineID("x@y", time.Time{}))).To(gomega.Equal("x@y"))
	g.Expect(Instance("b")).To(gomega.Equal("b"))
}
