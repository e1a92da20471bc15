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

func zeroDraw() float64 { return 0 }

func newSnapshot(count, slots int) *catalog.Snapshot {
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

func TestChoosePrefersNearLeastLoadedEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := newSnapshot(3, 10) // a near, b far, c near
	wish := Wish{Service: "s", Zone: "near"}
	table.Begin("a", ClassOnline, 0, start)
	chosen, found := table.Choose(snapshot, wish, start, zeroDraw)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(chosen.ID).To(gomega.Equal("c"))
	for range 4 {
		table.Begin("a", ClassOnline, 0, start)
		table.Begin("c", ClassOnline, 0, start)
	}
	chosen, _ = table.Choose(snapshot, wish, start, zeroDraw)
	g.Expect(chosen.ID).To(gomega.Equal("b"), "another zone has much more room")
}

func TestChooseUsesAvoidedAndEjectedEnginesLast(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := newSnapshot(2, 4)
	table.RecordFailure("a", start)
	chosen, _ := table.Choose(snapshot, Wish{Service: "s", Zone: "near"}, start, zeroDraw)
	g.Expect(chosen.ID).To(gomega.Equal("b"))
	chosen, found := table.Choose(snapshot, Wish{Service: "s", Zone: "near", Avoid: []string{"b"}}, start, zeroDraw)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(chosen.ID).To(gomega.Equal("a"), "an ejected engine is used if there is no other")
	_, found = table.Choose(snapshot, Wish{Service: "s", Avoid: []string{"a", "b"}}, start, zeroDraw)
	g.Expect(found).To(gomega.BeTrue(), "an avoided engine is used if there is no other")
	_, found = table.Choose(snapshot, Wish{Service: "other"}, start, zeroDraw)
	g.Expect(found).To(gomega.BeFalse())
}

func TestEjectionDoublesUpToMaximum(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	g.Expect(table.RecordFailure("a", start)).To(gomega.Equal(minEjection))
	g.Expect(table.RecordFailure("a", start)).To(gomega.Equal(2 * minEjection))
	for range 70 {
		g.Expect(table.RecordFailure("a", start)).To(gomega.BeNumerically("<=", maxEjection))
	}
	table.RecordSuccess("a", start)
	g.Expect(table.healthy("a", start)).To(gomega.BeTrue())
	g.Expect(table.RecordFailure("a", start)).To(gomega.Equal(minEjection))
}

func TestChooseCountsPeerRequestsUntilExpiry(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := newSnapshot(1, 6)
	table.SetPeerLoad("peer", Report{KeyOf("a"): {Counts: Counts{6 + maxQueued, 0}}}, start)
	_, found := table.Choose(snapshot, Wish{Service: "s", Zone: "near"}, start, zeroDraw)
	g.Expect(found).To(gomega.BeFalse())
	_, found = table.Choose(snapshot, Wish{Service: "s", Zone: "near"}, start.Add(2*peerTTL), zeroDraw)
	g.Expect(found).To(gomega.BeTrue(), "the peer's report has expired")
}

func TestChooseCountsEngineReportUntilExpiry(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := newSnapshot(1, 6)
	table.RecordReport("a", upstream.Load{Running: 6, Waiting: maxQueued}, start)
	_, found := table.Choose(snapshot, Wish{Service: "s", Zone: "near"}, start, zeroDraw)
	g.Expect(found).To(gomega.BeFalse())
	_, found = table.Choose(snapshot, Wish{Service: "s", Zone: "near"}, start.Add(2*engineReportTTL), zeroDraw)
	g.Expect(found).To(gomega.BeTrue())
}

// fillWithBatch starts batch requests until no engine has room and returns their number.
func fillWithBatch(table *Table, snapshot *catalog.Snapshot, now time.Time) int {
	wish := Wish{Service: "s", Zone: "near", Class: ClassBatch}
	for count := 0; ; count++ {
		chosen, found := table.Choose(snapshot, wish, now, zeroDraw)
		if !found {
			return count
		}
		table.Begin(chosen.ID, ClassBatch, 0, now)
	}
}

// Batch work must leave the reserve free and be preempted when online requests need slots.
func TestBatchKeepsReserveAndIsPreempted(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := newSnapshot(4, 10)
	table.SetPeerLoad("front", Report{KeyOf("a"): {Counts: Counts{5, 0}}}, start)
	batch := fillWithBatch(table, snapshot, start)
	free := 4*10 - 5 - batch
	g.Expect(float64(free)).To(gomega.BeNumerically("~", batchReserve*4*10, 1), "the reserve stays free")
	g.Expect(table.Overfull(snapshot, start)).To(gomega.BeEmpty())
	counted := table.running("a", ClassBatch, start)
	table.SetPeerLoad("front", Report{KeyOf("a"): {Counts: Counts{9, 0}}}, start)
	g.Expect(table.Overfull(snapshot, start)).To(gomega.Equal([]Overfull{{Engine: "a", Excess: counted + 9 - 10}}))
	for range counted + 9 - 10 {
		table.End("a", ClassBatch, start)
	}
	g.Expect(table.Overfull(snapshot, start)).To(gomega.BeEmpty())
}

// The batch reserve applies to the whole service, not to each engine.
func TestBatchReserveIsPerService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		snapshot := newSnapshot(rapid.IntRange(1, 20).Draw(t, "engines"), rapid.IntRange(1, 40).Draw(t, "slots"))
		slots, online := 0, 0
		report := Report{}
		for _, engine := range snapshot.Serving("s") {
			count := rapid.IntRange(0, engine.Slots).Draw(t, "online")
			report[KeyOf(engine.ID)] = Load{Counts: Counts{count, 0}}
			slots += engine.Slots
			online += count
		}
		table.SetPeerLoad("fronts", report, start)
		free := slots - online - fillWithBatch(table, snapshot, start)
		least := batchReserve * float64(slots)
		if float64(free) < min(least-1, float64(slots-online)) || float64(free) > max(least, float64(0))+1 && free < slots-online {
			t.Fatalf("%d of %d slots are free, %d used by online requests", free, slots, online)
		}
	})
}

// Batch work must not take free slots while online requests queue at other engines, as it
// would be preempted at once.
func TestBatchStartsNothingWhileOnlineRequestsQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := newSnapshot(4, 10)
	report := func(a, b int) Report {
		return Report{KeyOf("a"): {Counts: Counts{a, 0}}, KeyOf("b"): {Counts: Counts{b, 0}}, KeyOf("c"): {Counts: Counts{8, 0}}, KeyOf("d"): {Counts: Counts{8, 0}}}
	}
	table.SetPeerLoad("fronts", report(12, 12), start)
	g.Expect(fillWithBatch(table, snapshot, start)).To(gomega.BeZero())
	table.SetPeerLoad("fronts", report(10, 12), start)
	g.Expect(fillWithBatch(table, snapshot, start)).To(gomega.Equal(2))
}

// Online requests may go to engines full of batch work, but not once the peers' reports
// have expired.
func TestOnlineTakesSlotsOfPreemptibleBatch(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := newSnapshot(1, 8)
	engine, _ := snapshot.Engine("a")
	table.SetPeerLoad("others", Report{KeyOf("a"): {Counts: Counts{4, 4 + maxQueued}}}, start)
	wish := Wish{Service: "s", Zone: "near"}
	_, found := table.Choose(snapshot, wish, start, zeroDraw)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(table.needsPreemption(engine, start)).To(gomega.BeTrue(), "batch work has to be preempted")
	_, found = table.Choose(snapshot, wish, start.Add(2*preemptTTL), zeroDraw)
	g.Expect(found).To(gomega.BeFalse(), "nothing preempts batch work")
	table.SetPeerLoad("others", Report{KeyOf("a"): {Counts: Counts{8 + maxQueued, 2}}}, start)
	_, found = table.Choose(snapshot, wish, start, zeroDraw)
	g.Expect(found).To(gomega.BeFalse(), "online requests fill the engine")
}

func TestPreemptionSignaledOnlyForFullEngineWithBatch(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := newSnapshot(1, 8)
	for _, test := range []struct {
		load Counts
		want bool
	}{{Counts{3, 4}, false}, {Counts{8, 0}, false}, {Counts{4, 4}, false}, {Counts{4, 5}, true}, {Counts{8, 1}, true}} {
		balancer := New(func() *catalog.Snapshot { return snapshot })
		test.load[ClassOnline]-- // Acquire adds the request itself.
		balancer.SetPeerLoad("others", Report{KeyOf("a"): {Counts: test.load}})
		lease, err := balancer.Acquire(context.Background(), Wish{Service: "s"}, 0, 0, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(balancer.Preemptions()).To(gomega.HaveLen(map[bool]int{true: 1}[test.want]), "%v", test.load)
		lease.Release()
	}
}

// Requests of a lost node may still run at an engine; peers learn of them from the engine's
// own report.
func TestPeersCountLoadReportedByEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := newSnapshot(1, 10)
	observer, leader := NewTable(), NewTable()
	observer.RecordReport("a", upstream.Load{Running: 9, Waiting: 3}, start)
	leader.Begin("a", ClassBatch, 0, start)
	leader.SetPeerLoad("observer", observer.OwnReport(start), start)
	_, found := leader.Choose(snapshot, Wish{Service: "s", Zone: "near", Class: ClassBatch}, start, zeroDraw)
	g.Expect(found).To(gomega.BeFalse())
	g.Expect(leader.Overfull(snapshot, start)).To(gomega.BeEmpty(), "a reported queue preempts nothing")
	g.Expect(leader.TotalReport(start)[KeyOf("a")].EngineReported).To(gomega.Equal(12))
	g.Expect(leader.TotalReport(start.Add(2 * relayedLoadTTL))[KeyOf("a")].EngineReported).To(gomega.BeZero())
	g.Expect(leader.TotalReport(start).Without(observer.OwnReport(start))[KeyOf("a")].Counts).To(gomega.Equal(Counts{0, 1}), "without the observer's own counts")
}

// Compares the incrementally updated sum with one computed from all peers' latest reports.
func TestAllEqualsSumOfLatestPeerReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		latest := map[string]peerLoad{}
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
			table.SetPeerLoad(peer, report, now)
			latest[peer] = peerLoad{receivedAt: now, report: report}
			table.nextExpiry = time.Time{}
			all := table.TotalReport(now)
			others := all.Without(latest["p"].report)
			for _, id := range []string{"a", "b"} {
				var want Load
				for _, load := range latest {
					if now.Sub(load.receivedAt) > peerTTL {
						continue
					}
					reported := load.report[KeyOf(id)]
					want.Counts[ClassOnline] += reported.Counts[ClassOnline]
					want.Counts[ClassBatch] += reported.Counts[ClassBatch]
					want.Pending += reported.Pending
				}
				if all[KeyOf(id)] != want {
					t.Fatalf("engine %s: %+v, want %+v", id, all[KeyOf(id)], want)
				}
				if p := latest["p"]; now.Sub(p.receivedAt) <= peerTTL {
					want.Counts[ClassOnline] -= p.report[KeyOf(id)].Counts[ClassOnline]
					want.Counts[ClassBatch] -= p.report[KeyOf(id)].Counts[ClassBatch]
					want.Pending -= p.report[KeyOf(id)].Pending
				} else {
					continue
				}
				if others[KeyOf(id)] != want {
					t.Fatalf("others at engine %s: %+v, want %+v", id, others[KeyOf(id)], want)
				}
			}
		}
	})
}

// Unread prompt tokens must make an engine less attractive until the prompt is read.
func TestChooseCountsPendingPromptTokens(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := newSnapshot(3, 10)
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
	g.Expect(balancer.OwnReport()[KeyOf(long.Engine.ID)].Pending).To(gomega.Equal(5000))
	wish.Class = ClassBatch
	batch, _ := balancer.Acquire(context.Background(), wish, 0, 0, nil)
	g.Expect(batch.Engine.ID).NotTo(gomega.Equal(long.Engine.ID))
	long.PrefillDone()
	long.PrefillDone()
	g.Expect(balancer.OwnReport()[KeyOf(long.Engine.ID)].Pending).To(gomega.BeZero())
	long.Release()
	long.Release()
	g.Expect(balancer.OwnReport()).To(gomega.HaveLen(1))
}

func TestPrefixHasOneHomeEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	snapshot := newSnapshot(6, 10)
	homes := map[string]bool{}
	for _, zone := range []string{"near", "far"} {
		chosen, _ := table.Choose(snapshot, Wish{Service: "s", Zone: zone, Prefix: "p", PrefixTokens: prefixBonusTokens}, start, zeroDraw)
		homes[chosen.ID] = true
	}
	g.Expect(homes).To(gomega.HaveLen(1))
}

func TestServiceFollowsBackendWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	balancer := New(func() *catalog.Snapshot { return newSnapshot(1, 1) })
	route := &catalog.Route{Name: "r", Backends: []catalog.Backend{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}}
	count := map[string]int{}
	for range 200 {
		count[balancer.Service(route)]++
	}
	g.Expect(count).To(gomega.Equal(map[string]int{"x": 180, "y": 20}))
}

func TestAcquireServesWaitersByPriority(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := newSnapshot(1, 1)
	balancer := New(func() *catalog.Snapshot { return snapshot })
	wish := Wish{Service: "s", Zone: "near"}
	var releases []func()
	for range 1 + maxQueued {
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

// A request waiting for one service must not block requests of another service.
func TestWaiterBlocksOnlyItsService(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{{ID: "a", Service: "full", Slots: 1}, {ID: "b", Service: "idle", Slots: 1}})
	balancer := New(func() *catalog.Snapshot { return snapshot })
	balancer.SetPeerLoad("others", Report{KeyOf("a"): {Counts: Counts{1 + maxQueued, 0}}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _, _ = balancer.Acquire(ctx, Wish{Service: "full"}, 0, time.Minute, nil) }()
	g.Eventually(balancer.Waiting).Should(gomega.Equal(1))
	_, err := balancer.Acquire(context.Background(), Wish{Service: "full"}, 1, 0, nil)
	g.Expect(err).To(gomega.MatchError(ErrNoRoom))
	lease, err := balancer.Acquire(context.Background(), Wish{Service: "idle"}, 1, 0, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lease.Release()
}

func TestAcquireReportsServiceWithoutEngines(t *testing.T) {
	g := gomega.NewWithT(t)
	balancer := New(func() *catalog.Snapshot { return catalog.NewSnapshot(nil, nil) })
	_, err := balancer.Acquire(context.Background(), Wish{Service: "s"}, 0, 0, nil)
	g.Expect(err).To(gomega.MatchError(ErrNoEngine))
}

func TestReportMarshalRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	report := Report{KeyOf("a"): {Counts{3, 4}, 9, 123456}, KeyOf("b"): {Counts{0, 255}, 0, 0}}
	got, err := UnmarshalReport(report.Marshal())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(report))
	long := Report{}
	for i := range 3 * maxReportEngines {
		long[EngineKey(i)] = Load{Counts: Counts{i, 0}}
	}
	g.Expect(len(long.Marshal())).To(gomega.BeNumerically("<=", transport.MaxDatagram))
	got, err = UnmarshalReport(long.Marshal())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.HaveLen(maxReportEngines))
	g.Expect(got).To(gomega.HaveKey(EngineKey(3*maxReportEngines - 1)))
	// Pending tokens are rounded up, and values beyond a field's range are clamped.
	got, err = UnmarshalReport(Report{1: {Counts{300, -1}, 70000, 17}}.Marshal())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(Report{1: {Counts{255, 0}, 255, 32}}))
	_, err = UnmarshalReport([]byte{1, 0, 0, 0, 1, 0})
	g.Expect(err).To(gomega.HaveOccurred())
}
