package balance

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/upstream"
)

func send(table *Table, id string, now time.Time) {
	table.Begin(id, ClassOnline, 0, now)
	table.Await(id, now)
}

// Guards against engines that count as silent while they are heard from or have nothing to say, and
// against ones that don't while they are.
func TestSilentOnlyWhileRequestsHearNothing(t *testing.T) {
	const almost = silentAfter - time.Millisecond
	for _, test := range []struct {
		name   string
		play   func(table *Table)
		after  time.Duration
		silent bool
	}{
		{"unused", func(*Table) {}, time.Hour, false},
		{"request", func(table *Table) { send(table, "a", start) }, silentAfter, true},
		{"request, soon", func(table *Table) { send(table, "a", start) }, almost, false},
		{"batch work", func(table *Table) { table.Begin("a", ClassBatch, 0, start) }, time.Hour, false},
		{"second request", func(table *Table) {
			send(table, "a", start)
			send(table, "a", start.Add(almost))
		}, silentAfter, true},
		{"heard from", func(table *Table) {
			send(table, "a", start)
			table.Heard("a", start.Add(almost))
		}, silentAfter, false},
		{"silent again", func(table *Table) {
			send(table, "a", start)
			table.Heard("a", start.Add(almost))
		}, almost + silentAfter, true},
		{"load reported", func(table *Table) {
			send(table, "a", start)
			table.RecordReport("a", upstream.Load{Slots: 8}, start.Add(almost))
		}, silentAfter, false},
		{"ended", func(table *Table) {
			send(table, "a", start)
			table.End("a", ClassOnline, start.Add(almost))
		}, silentAfter, false},
		{"left as it was silent", func(table *Table) {
			send(table, "a", start)
			table.End("a", ClassOnline, start.Add(silentAfter))
		}, silentAfter + trialPause - time.Millisecond, true},
		{"to be tried", func(table *Table) {
			send(table, "a", start)
			table.End("a", ClassOnline, start.Add(silentAfter))
		}, silentAfter + trialPause, false},
		{"tried", func(table *Table) {
			send(table, "a", start)
			table.End("a", ClassOnline, start.Add(silentAfter))
			send(table, "a", start.Add(time.Hour))
		}, time.Hour + time.Millisecond, true},
		{"heard from in a trial", func(table *Table) {
			send(table, "a", start)
			table.End("a", ClassOnline, start.Add(silentAfter))
			send(table, "a", start.Add(time.Hour))
			table.Heard("a", start.Add(time.Hour))
		}, time.Hour + time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable()
			test.play(table)
			gomega.NewWithT(t).Expect(table.silent("a", start.Add(test.after))).To(gomega.Equal(test.silent))
		})
	}
}

// Guards against a silence that counts as a failure too soon, or never where requests come and leave.
func TestDarkOnceSilentToAllRequestsForLong(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	g.Expect(table.dark("a", start)).To(gomega.BeFalse())
	send(table, "a", start)
	table.End("a", ClassOnline, start.Add(silentAfter))
	send(table, "a", start.Add(darkAfter-time.Millisecond))
	g.Expect(table.dark("a", start.Add(darkAfter-time.Millisecond))).To(gomega.BeFalse())
	g.Expect(table.dark("a", start.Add(darkAfter))).To(gomega.BeTrue())
	table.Heard("a", start.Add(darkAfter))
	g.Expect(table.dark("a", start.Add(darkAfter+time.Millisecond))).To(gomega.BeFalse())
}

// Guards against requests sent to a silent engine though another one is free, and against ones refused
// though only a silent one has room.
func TestSilentEngineChosenLast(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{{ID: "a", Service: "s", Slots: 4}, {ID: "b", Service: "s", Slots: 4}})
	now := start.Add(silentAfter)
	choose := func() string {
		engine, _ := table.Choose(snapshot, Wish{Service: "s"}, now, func() float64 { return 0.5 })
		return engine.ID
	}
	send(table, "a", start)
	for range 4 {
		g.Expect(choose()).To(gomega.Equal("b"), "a has the lower load from the second request on")
		send(table, "b", now)
	}
	for range 3 {
		g.Expect(choose()).To(gomega.Equal("a"), "b is full")
		send(table, "a", now)
	}
	table.End("b", ClassOnline, now)
	g.Expect(choose()).To(gomega.Equal("b"))
	send(table, "b", now)
	table.End("a", ClassOnline, now)
	table.End("a", ClassOnline, now)
	table.End("b", ClassOnline, now)
	table.Heard("a", now)
	g.Expect(choose()).To(gomega.Equal("a"), "back at once")
	now = now.Add(time.Hour)
	g.Expect(choose()).To(gomega.Equal("a"), "all are silent")
}

// Guards against requests that leave a silent engine for one that isn't better.
func TestElsewhereOnlyAtFreeEngine(t *testing.T) {
	engines := []catalog.Engine{
		{ID: "a", Service: "s", Slots: 2, Version: "1", Region: "r"}, {ID: "b", Service: "s", Slots: 2, Version: "1", Region: "r"},
		{ID: "c", Service: "s", Slots: 2, Version: "2", Region: "r2"},
	}
	for _, test := range []struct {
		name  string
		play  func(table *Table)
		wish  Wish
		found string
	}{
		{"of the release", func(*Table) {}, Wish{Release: engines[1].Release()}, "b"},
		{"in the region", func(*Table) {}, Wish{Regions: catalog.Regions{"r2"}}, "c"},
		{"none of the release and in the region", func(*Table) {}, Wish{Release: engines[1].Release(), Regions: catalog.Regions{"r2"}}, ""},
		{"full", func(table *Table) {
			for range 2 {
				send(table, "b", start)
			}
		}, Wish{Release: engines[1].Release()}, ""},
		{"ejected", func(table *Table) { table.RecordFailure("b", start) }, Wish{Release: engines[1].Release()}, ""},
		{"silent", func(table *Table) { send(table, "b", start.Add(-silentAfter)) }, Wish{Release: engines[1].Release()}, ""},
		{"tried before", func(*Table) {}, Wish{Avoid: []string{"b"}}, "c"},
		{"all tried before", func(*Table) {}, Wish{Avoid: []string{"a", "b"}, Release: engines[1].Release()}, "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable()
			test.play(table)
			test.wish.Service = "s"
			engine, _ := table.chooseElsewhere(catalog.NewSnapshot(nil, engines), engines[0], test.wish, start, func() float64 { return 0.5 })
			gomega.NewWithT(t).Expect(engine.ID).To(gomega.Equal(test.found))
		})
	}
}
