package balance

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/upstream"
)

var start = time.Unix(1_000_000, 0)

func quiet() float64 { return 0 }

func engines(count, slots int) *catalog.Snapshot {
	var list []catalog.Engine
	for i := range count {
		zone := "near"
		if i%2 == 1 {
			zone = "far"
		}
		list = append(list, catalog.Engine{ID: string(rune('a' + i)), Service: "s", Zone: zone, Slots: slots})
	}
	return catalog.NewSnapshot(nil, list)
}

func TestTheNearAndLeastLoadedEngineIsChosen(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := engines(3, 10) // a near, b far, c near
	wish := Wish{Service: "s", Zone: "near"}
	table.Begin("a", ClassOnline, 0, start)
	chosen, found := table.Choose(snapshot, wish, start, quiet)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(chosen.ID).To(gomega.Equal("c"))
	for range 4 {
		table.Begin("a", ClassOnline, 0, start)
		table.Begin("c", ClassOnline, 0, start)
	}
	chosen, _ = table.Choose(snapshot, wish, start, quiet)
	g.Expect(chosen.ID).To(gomega.Equal("b"), "another zone once it has much more room")
}

func TestAvoidedAndSetAsideEnginesComeLast(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := engines(2, 4)
	table.Failed("a", start)
	chosen, _ := table.Choose(snapshot, Wish{Service: "s", Zone: "near"}, start, quiet)
	g.Expect(chosen.ID).To(gomega.Equal("b"))
	chosen, found := table.Choose(snapshot, Wish{Service: "s", Zone: "near", Avoid: []string{"b"}}, start, quiet)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(chosen.ID).To(gomega.Equal("a"), "an engine that failed lately rather than none")
	_, found = table.Choose(snapshot, Wish{Service: "s", Avoid: []string{"a", "b"}}, start, quiet)
	g.Expect(found).To(gomega.BeTrue(), "back to an engine that it has been to rather than to none")
	_, found = table.Choose(snapshot, Wish{Service: "other"}, start, quiet)
	g.Expect(found).To(gomega.BeFalse())
}

func TestEnginesAreSetAsideLongerEachTime(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	g.Expect(table.Failed("a", start)).To(gomega.Equal(asideFirst))
	g.Expect(table.Failed("a", start)).To(gomega.Equal(2 * asideFirst))
	for range 70 {
		g.Expect(table.Failed("a", start)).To(gomega.BeNumerically("<=", asideMost))
	}
	table.Succeeded("a", start)
	g.Expect(table.sound("a", start)).To(gomega.BeTrue())
	g.Expect(table.Failed("a", start)).To(gomega.Equal(asideFirst))
}

func TestOtherNodesRequestsCount(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := engines(1, 6)
	table.PeerLoad("peer", Report{KeyOf("a"): {Counts: Counts{6 + queueDepth, 0}}}, start)
	_, found := table.Choose(snapshot, Wish{Service: "s", Zone: "near"}, start, quiet)
	g.Expect(found).To(gomega.BeFalse())
	_, found = table.Choose(snapshot, Wish{Service: "s", Zone: "near"}, start.Add(2*peerLife), quiet)
	g.Expect(found).To(gomega.BeTrue(), "a silent peer's figures lapse")
}

func TestAnEnginesOwnFiguresCountWhileFresh(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := engines(1, 6)
	table.Reported("a", upstream.Load{Running: 6, Waiting: queueDepth}, start)
	_, found := table.Choose(snapshot, Wish{Service: "s", Zone: "near"}, start, quiet)
	g.Expect(found).To(gomega.BeFalse())
	_, found = table.Choose(snapshot, Wish{Service: "s", Zone: "near"}, start.Add(2*reportLife), quiet)
	g.Expect(found).To(gomega.BeTrue())
}

// fillWithBatch starts batch work while there is room, and returns how much.
func fillWithBatch(table *Table, snapshot *catalog.Snapshot, now time.Time) int {
	wish := Wish{Service: "s", Zone: "near", Class: ClassBatch}
	for count := 0; ; count++ {
		chosen, found := table.Choose(snapshot, wish, now, quiet)
		if !found {
			return count
		}
		table.Begin(chosen.ID, ClassBatch, 0, now)
	}
}

// Batch work takes what online work leaves but for a share of the service's
// slots, and gives it back where online work needs it.
func TestBatchWorkLeavesRoomAndYields(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := engines(4, 10)
	table.PeerLoad("front", Report{KeyOf("a"): {Counts: Counts{5, 0}}}, start)
	batch := fillWithBatch(table, snapshot, start)
	free := 4*10 - 5 - batch
	g.Expect(float64(free)).To(gomega.BeNumerically("~", freeShare*4*10, 1), "a share is left free")
	g.Expect(table.Overfull(snapshot, start)).To(gomega.BeEmpty())
	counted := table.running("a", ClassBatch, start)
	table.PeerLoad("front", Report{KeyOf("a"): {Counts: Counts{9, 0}}}, start)
	g.Expect(table.Overfull(snapshot, start)).To(gomega.Equal([]Overfull{{Engine: "a", Excess: counted + 9 - 10}}))
	for range counted + 9 - 10 {
		table.End("a", ClassBatch, start)
	}
	g.Expect(table.Overfull(snapshot, start)).To(gomega.BeEmpty())
}

// The share that batch work leaves free is the service's, wherever it is:
// engines of any size are used up to it.
func TestTheFreeShareIsTheServices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		snapshot := engines(rapid.IntRange(1, 20).Draw(t, "engines"), rapid.IntRange(1, 40).Draw(t, "slots"))
		slots, online := 0, 0
		report := Report{}
		for _, engine := range snapshot.Serving("s") {
			count := rapid.IntRange(0, engine.Slots).Draw(t, "online")
			report[KeyOf(engine.ID)] = Load{Counts: Counts{count, 0}}
			slots += engine.Slots
			online += count
		}
		table.PeerLoad("fronts", report, start)
		free := slots - online - fillWithBatch(table, snapshot, start)
		least := freeShare * float64(slots)
		if float64(free) < min(least-1, float64(slots-online)) || float64(free) > max(least, float64(0))+1 && free < slots-online {
			t.Fatalf("%d of %d slots are free, online work has %d", free, slots, online)
		}
	})
}

// Slots that are free for the moment while requests wait at other engines are not batch
// work's: it would be cut at once.
func TestBatchWorkStartsNothingWhileRequestsWait(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := engines(4, 10)
	report := func(a, b int) Report {
		return Report{KeyOf("a"): {Counts: Counts{a, 0}}, KeyOf("b"): {Counts: Counts{b, 0}}, KeyOf("c"): {Counts: Counts{8, 0}}, KeyOf("d"): {Counts: Counts{8, 0}}}
	}
	table.PeerLoad("fronts", report(12, 12), start)
	g.Expect(fillWithBatch(table, snapshot, start)).To(gomega.BeZero())
	table.PeerLoad("fronts", report(10, 12), start)
	g.Expect(fillWithBatch(table, snapshot, start)).To(gomega.Equal(2))
}

// Online work goes to engines full of batch work, as that makes way; but not
// once the node that runs it has fallen silent.
func TestOnlineWorkPassesBatchWork(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := engines(1, 8)
	engine, _ := snapshot.Engine("a")
	table.PeerLoad("others", Report{KeyOf("a"): {Counts: Counts{4, 4 + queueDepth}}}, start)
	wish := Wish{Service: "s", Zone: "near"}
	_, found := table.Choose(snapshot, wish, start, quiet)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(table.pressed(engine, start)).To(gomega.BeTrue(), "batch work has to hear of it")
	_, found = table.Choose(snapshot, wish, start.Add(2*yieldLife), quiet)
	g.Expect(found).To(gomega.BeFalse(), "nobody is there to make it yield")
	table.PeerLoad("others", Report{KeyOf("a"): {Counts: Counts{8 + queueDepth, 2}}}, start)
	_, found = table.Choose(snapshot, wish, start, quiet)
	g.Expect(found).To(gomega.BeFalse(), "online work fills the engine")
}

func TestOnlyAFullEngineWithBatchWorkIsPressed(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := engines(1, 8)
	for _, one := range []struct {
		load   Counts
		wanted bool
	}{{Counts{3, 4}, false}, {Counts{8, 0}, false}, {Counts{4, 4}, false}, {Counts{4, 5}, true}, {Counts{8, 1}, true}} {
		balancer := New(func() *catalog.Snapshot { return snapshot })
		one.load[ClassOnline]-- // and the request itself
		balancer.PeerLoad("others", Report{KeyOf("a"): {Counts: one.load}})
		lease, err := balancer.Acquire(context.Background(), Wish{Service: "s"}, 0, 0, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(balancer.Pressed()).To(gomega.HaveLen(map[bool]int{true: 1}[one.wanted]), "%v", one.load)
		lease.Release()
	}
}

// Requests of a node that is lost may still run at an engine: nobody counts
// them, but the engine says so, and all nodes hear of it.
func TestWhatAnEngineSaysIsHeardByAll(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := engines(1, 10)
	witness, leader := NewTable(), NewTable()
	witness.Reported("a", upstream.Load{Running: 9, Waiting: 3}, start)
	leader.Begin("a", ClassBatch, 0, start)
	leader.PeerLoad("witness", witness.Own(start), start)
	_, found := leader.Choose(snapshot, Wish{Service: "s", Zone: "near", Class: ClassBatch}, start, quiet)
	g.Expect(found).To(gomega.BeFalse())
	g.Expect(leader.Overfull(snapshot, start)).To(gomega.BeEmpty(), "a queue that passes cuts nothing")
	g.Expect(leader.All(start)[KeyOf("a")].Seen).To(gomega.Equal(12))
	g.Expect(leader.All(start.Add(2 * peersSawLife))[KeyOf("a")].Seen).To(gomega.BeZero())
	g.Expect(leader.All(start).Without(witness.Own(start))[KeyOf("a")].Counts).To(gomega.Equal(Counts{0, 1}), "not what it counts itself")
}

// TestTheSumOfPeersIsWhatTheyLastSaid compares the running sum with adding up
// all peers anew.
func TestTheSumOfPeersIsWhatTheyLastSaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		said := map[string]peerLoad{}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
			peer := rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "peer")
			report := Report{}
			for _, id := range []string{"a", "b"} {
				if rapid.Bool().Draw(t, id) {
					counts := Counts{rapid.IntRange(0, 5).Draw(t, "online"), rapid.IntRange(0, 5).Draw(t, "batch")}
					report[KeyOf(id)] = Load{Counts: counts, Pending: rapid.IntRange(0, 9).Draw(t, "pending")}
				}
			}
			table.PeerLoad(peer, report, now)
			said[peer] = peerLoad{at: now, running: report}
			table.expireAt = time.Time{}
			all := table.All(now)
			others := all.Without(said["p"].running)
			for _, id := range []string{"a", "b"} {
				var wanted Load
				for _, load := range said {
					if now.Sub(load.at) > peerLife {
						continue
					}
					one := load.running[KeyOf(id)]
					wanted.Counts[ClassOnline] += one.Counts[ClassOnline]
					wanted.Counts[ClassBatch] += one.Counts[ClassBatch]
					wanted.Pending += one.Pending
				}
				if all[KeyOf(id)] != wanted {
					t.Fatalf("engine %s: %+v, want %+v", id, all[KeyOf(id)], wanted)
				}
				if p := said["p"]; now.Sub(p.at) <= peerLife {
					wanted.Counts[ClassOnline] -= p.running[KeyOf(id)].Counts[ClassOnline]
					wanted.Counts[ClassBatch] -= p.running[KeyOf(id)].Counts[ClassBatch]
					wanted.Pending -= p.running[KeyOf(id)].Pending
				} else {
					continue
				}
				if others[KeyOf(id)] != wanted {
					t.Fatalf("others at engine %s: %+v, want %+v", id, others[KeyOf(id)], wanted)
				}
			}
		}
	})
}

// A long prompt holds up everybody behind it at its engine.
func TestPromptsThatWaitToBeReadCount(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := engines(3, 10)
	balancer := New(func() *catalog.Snapshot { return snapshot })
	wish := Wish{Service: "s", Zone: "near", PromptTokens: 5000}
	long, err := balancer.Acquire(context.Background(), wish, 0, 0, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	wish.PromptTokens = 0
	for range 3 {
		next, _ := balancer.Acquire(context.Background(), wish, 0, 0, nil)
		g.Expect(next.Engine.ID).NotTo(gomega.Equal(long.Engine.ID))
		next.Release()
	}
	g.Expect(balancer.Own()[KeyOf(long.Engine.ID)].Pending).To(gomega.Equal(5000))
	wish.Class = ClassBatch
	batch, _ := balancer.Acquire(context.Background(), wish, 0, 0, nil)
	g.Expect(batch.Engine.ID).NotTo(gomega.Equal(long.Engine.ID))
	long.Read()
	long.Read()
	g.Expect(balancer.Own()[KeyOf(long.Engine.ID)].Pending).To(gomega.BeZero())
	long.Release()
	long.Release()
	g.Expect(balancer.Own()).To(gomega.HaveLen(1))
}

func TestAPrefixHasOneHome(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := engines(6, 10)
	homes := map[string]bool{}
	for _, zone := range []string{"near", "far"} {
		chosen, _ := table.Choose(snapshot, Wish{Service: "s", Zone: zone, Prefix: "p", PrefixTokens: prefixBonusTokens}, start, quiet)
		homes[chosen.ID] = true
	}
	g.Expect(homes).To(gomega.HaveLen(1))
}

func TestBackendsGetTheirShares(t *testing.T) {
	g := gomega.NewWithT(t)
	balancer := New(func() *catalog.Snapshot { return engines(1, 1) })
	route := &catalog.Route{Name: "r", Backends: []catalog.Backend{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}}
	count := map[string]int{}
	for range 200 {
		count[balancer.Service(route)]++
	}
	g.Expect(count).To(gomega.Equal(map[string]int{"x": 180, "y": 20}))
}

func TestTheMoreUrgentRequestGetsTheFreeSlot(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := engines(1, 1)
	balancer := New(func() *catalog.Snapshot { return snapshot })
	wish := Wish{Service: "s", Zone: "near"}
	var releases []func()
	for range 1 + queueDepth {
		lease, err := balancer.Acquire(context.Background(), wish, 0, 0, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		releases = append(releases, lease.Release)
	}
	_, err := balancer.Acquire(context.Background(), wish, 0, 0, nil)
	g.Expect(err).To(gomega.MatchError(ErrNoRoom))
	order := make(chan int, 2)
	wait := func(priority int) {
		if _, err := balancer.Acquire(context.Background(), wish, priority, 10*time.Second, nil); err == nil {
			order <- priority
		}
	}
	go wait(2)
	g.Eventually(balancer.Waiting).Should(gomega.Equal(1))
	go wait(0)
	g.Eventually(balancer.Waiting).Should(gomega.Equal(2))
	releases[0]()
	g.Eventually(order, 5*time.Second).Should(gomega.Receive(gomega.Equal(0)))
	releases[1]()
	g.Eventually(order, 5*time.Second).Should(gomega.Receive(gomega.Equal(2)))
}

// Who waits for an engine of one service holds nobody of another one up.
func TestAnUrgentRequestHoldsUpItsServiceOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{{ID: "a", Service: "full", Slots: 1}, {ID: "b", Service: "idle", Slots: 1}})
	balancer := New(func() *catalog.Snapshot { return snapshot })
	balancer.PeerLoad("others", Report{KeyOf("a"): {Counts: Counts{1 + queueDepth, 0}}})
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	go func() { _, _ = balancer.Acquire(ctx, Wish{Service: "full"}, 0, time.Minute, nil) }()
	g.Eventually(balancer.Waiting).Should(gomega.Equal(1))
	_, err := balancer.Acquire(context.Background(), Wish{Service: "full"}, 1, 0, nil)
	g.Expect(err).To(gomega.MatchError(ErrNoRoom))
	lease, err := balancer.Acquire(context.Background(), Wish{Service: "idle"}, 1, 0, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lease.Release()
}

func TestAServiceWithoutEnginesIsSaidSo(t *testing.T) {
	g := gomega.NewWithT(t)
	balancer := New(func() *catalog.Snapshot { return catalog.NewSnapshot(nil, nil) })
	_, err := balancer.Acquire(context.Background(), Wish{Service: "s"}, 0, 0, nil)
	g.Expect(err).To(gomega.MatchError(ErrNoEngine))
}

func TestReportsKeepTheirContent(t *testing.T) {
	g := gomega.NewWithT(t)
	report := Report{KeyOf("a"): {Counts{3, 4}, 9, 123456}, KeyOf("b"): {Counts{0, 255}, 0, 0}}
	got, err := UnmarshalReport(report.Marshal())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(report))
	long := Report{}
	for i := range 3 * reportMost {
		long[EngineKey(i)] = Load{Counts: Counts{i, 0}}
	}
	g.Expect(len(long.Marshal())).To(gomega.BeNumerically("<=", transport.MaxDatagram))
	got, err = UnmarshalReport(long.Marshal())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.HaveLen(reportMost))
	g.Expect(got).To(gomega.HaveKey(EngineKey(3*reportMost - 1)))
	// Tokens are rounded up, and what is larger than its field is at its most.
	got, err = UnmarshalReport(Report{1: {Counts{300, -1}, 70000, 17}}.Marshal())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(Report{1: {Counts{255, 0}, 255, 32}}))
	_, err = UnmarshalReport([]byte{1, 0, 0, 0, 1, 0})
	g.Expect(err).To(gomega.HaveOccurred())
}
