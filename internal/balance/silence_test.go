package balance

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/upstream"
)

func send(table *Table, id string, now time.Time) {
	table.Begin(id, ClassOnline, 0, now)
	table.Await(id, true, now)
}

func end(table *Table, id string, now time.Time) {
	table.End(id, ClassOnline, now)
	table.StopAwaiting(id, true, now)
}

// Guards against engines that count as silent, or dark, while they are heard from or have nothing to say,
// and against ones that don't while they are.
func TestSilentOnlyWhileRequestsHearNothing(t *testing.T) {
	const almost, instant = silentAfter - time.Millisecond, time.Millisecond
	for _, test := range []struct {
		name         string
		play         func(table *Table)
		after        time.Duration
		silent, dark bool
	}{
		{"unused", func(*Table) {}, time.Hour, false, false},
		{"request", func(table *Table) { send(table, "a", start) }, silentAfter, true, false},
		{"request, soon", func(table *Table) { send(table, "a", start) }, almost, false, false},
		{"request, long ago", func(table *Table) {
			send(table, "a", start)
			send(table, "a", start.Add(darkAfter-instant))
		}, darkAfter, true, true},
		{"whole answer, long ago", func(table *Table) {
			table.Await("a", false, start)
			table.Await("a", false, start.Add(darkAfter))
		}, darkAfter, true, false},
		{"batch work", func(table *Table) { table.Begin("a", ClassBatch, 0, start) }, time.Hour, false, false},
		{"second request", func(table *Table) {
			send(table, "a", start)
			send(table, "a", start.Add(almost))
		}, silentAfter, true, false},
		{"heard from", func(table *Table) {
			send(table, "a", start)
			table.Heard("a", start.Add(almost))
		}, silentAfter, false, false},
		{"silent again", func(table *Table) {
			send(table, "a", start)
			table.Heard("a", start.Add(almost))
		}, almost + silentAfter, true, false},
		{"load reported", func(table *Table) {
			send(table, "a", start)
			table.RecordReport("a", upstream.Load{Slots: 8}, start.Add(almost))
		}, silentAfter, false, false},
		{"ended", func(table *Table) {
			send(table, "a", start)
			end(table, "a", start.Add(almost))
		}, silentAfter, false, false},
		{"left as it was silent", func(table *Table) {
			send(table, "a", start)
			end(table, "a", start.Add(silentAfter))
		}, silentAfter + minTrialPause - instant, true, false},
		{"to be tried", func(table *Table) {
			send(table, "a", start)
			end(table, "a", start.Add(silentAfter))
		}, silentAfter + minTrialPause, false, false},
		{"tried", func(table *Table) {
			send(table, "a", start)
			end(table, "a", start.Add(silentAfter))
			send(table, "a", start.Add(time.Hour))
		}, time.Hour + maxTrialPause - instant, true, true},
		{"to be tried again", func(table *Table) {
			send(table, "a", start)
			end(table, "a", start.Add(silentAfter))
			send(table, "a", start.Add(time.Hour))
		}, time.Hour + maxTrialPause, false, false},
		{"heard from in a trial", func(table *Table) {
			send(table, "a", start)
			end(table, "a", start.Add(silentAfter))
			send(table, "a", start.Add(time.Hour))
			table.Heard("a", start.Add(time.Hour))
		}, time.Hour + instant, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			table := NewTable()
			test.play(table)
			g.Expect(table.silent("a", start.Add(test.after))).To(gomega.Equal(test.silent))
			g.Expect(table.healthy("a", start.Add(test.after))).To(gomega.Equal(!test.dark))
		})
	}
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
	end(table, "b", now)
	g.Expect(choose()).To(gomega.Equal("b"))
	send(table, "b", now)
	end(table, "a", now)
	end(table, "a", now)
	end(table, "b", now)
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
			engine, _ := table.chooseElsewhere(catalog.NewSnapshot(nil, engines), engines[0], test.wish, true, start, func() float64 { return 0.5 })
			gomega.NewWithT(t).Expect(engine.ID).To(gomega.Equal(test.found))
		})
	}
}

// Guards against requests that leave a silent engine for a queue, and against ones that stay at a dark one
// though another one has room in its queue.
func TestElsewhereQueuesOnlyForDarkEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{{ID: "a", Service: "s", Slots: 2}, {ID: "b", Service: "s", Slots: 2}})
	choose := func(freeSlot bool) bool {
		_, found := table.chooseElsewhere(snapshot, catalog.Engine{ID: "a"}, Wish{Service: "s", hasPlace: true}, freeSlot, start, func() float64 { return 0.5 })
		return found
	}
	for range 2 {
		g.Expect(choose(true)).To(gomega.BeTrue())
		send(table, "b", start)
	}
	g.Expect(choose(true)).To(gomega.BeFalse())
	g.Expect(choose(false)).To(gomega.BeTrue())
	send(table, "b", start)
	g.Expect(choose(false)).To(gomega.BeFalse())
}

// Guards against a request with a place that holds up those of lower priority that have none.
func TestElsewhereHoldsUpNoOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	a, other := catalog.Engine{ID: "a", Service: "s", Slots: 2}, catalog.Engine{ID: "o", Service: "s", Slots: 2, Version: "2"}
	b := New(func() *catalog.Snapshot { return catalog.NewSnapshot(nil, []catalog.Engine{a, other}) })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	found := make(chan *Lease)
	go func() {
		found <- b.Elsewhere(ctx, a, Wish{Service: "s", Release: a.Release()}, 0, time.Now(), nil)
	}()
	g.Eventually(func() int { return b.searching() }, 10*time.Second).Should(gomega.Equal(1))
	g.Expect(b.Waiting()).To(gomega.BeZero())
	lease, err := b.Acquire(ctx, Wish{Service: "s"}, 2, 0, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lease.Release()
	cancel()
	g.Eventually(found, 10*time.Second).Should(gomega.Receive(gomega.BeNil()))
	g.Expect(b.searching()).To(gomega.BeZero())
	g.Expect(b.OwnReport()).To(gomega.BeEmpty())
}

// searching returns the number of waiters, those with a place included.
func (b *Balancer) searching() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.waiting)
}
