package balance

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
)

// coldService has warm engines of eight slots, and cold ones of one slot that are paced for
// an hour.
func coldService(warm, cold []string) *catalog.Snapshot {
	var list []catalog.Engine
	for _, id := range warm {
		list = append(list, catalog.Engine{ID: id, Service: "s", Slots: 8})
	}
	for _, id := range cold {
		until := time.Now().Add(time.Hour)
		list = append(list, catalog.Engine{ID: id, Service: "s", Slots: 1, ColdUntil: until, PacedUntil: until})
	}
	return catalog.NewSnapshot(nil, list)
}

// fakePermits returns its answers in turn and repeats the last one.
type fakePermits struct {
	answers []Permission
	engines []string
	failing bool // as of the last request for a permit
}

func (p *fakePermits) permit(_ context.Context, request PermitRequest) Permission {
	p.engines = append(p.engines, request.Engine.ID)
	p.failing = request.Failing
	next := p.answers[0]
	if len(p.answers) > 1 {
		p.answers = p.answers[1:]
	}
	return next
}

func fullEngineReport(id string) Report { return Report{KeyOf(id): {Counts: Counts{20, 0}}} }

func except(list, excluded []string) []string {
	return slices.DeleteFunc(list, func(id string) bool { return slices.Contains(excluded, id) })
}

func acquire(b *Balancer, wait time.Duration) (*Lease, error) {
	return b.Acquire(context.Background(), Wish{Service: "s"}, 0, wait, nil)
}

func TestColdEngineTakesOverflowOfWarmEngines(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService([]string{"w"}, []string{"c"})
	b := New(func() *catalog.Snapshot { return snapshot })
	permits := &fakePermits{answers: []Permission{{Until: time.Now().Add(time.Hour)}}}
	b.Permit = permits.permit
	first, err := acquire(b, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(first.Engine.ID).To(gomega.Equal("w"))
	g.Expect(permits.engines).To(gomega.BeEmpty(), "a warm engine needs no permit")
	b.SetPeerLoad("others", fullEngineReport("w"))
	second, err := acquire(b, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(second.Engine.ID).To(gomega.Equal("c"))
	g.Expect(permits.engines).To(gomega.Equal([]string{"c"}))
	g.Expect(second.MaySend()).To(gomega.Succeed())
}

// A request that is denied a permit must try other engines, up to maxPermitAttempts.
func TestAcquireTriesOtherEnginesWhenPermitDenied(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService(nil, []string{"a", "b", "c", "d", "e"})
	b := New(func() *catalog.Snapshot { return snapshot })
	permits := &fakePermits{answers: []Permission{{RetryAfter: time.Hour}, {RetryAfter: time.Hour}, {Until: time.Now().Add(time.Hour)}, {RetryAfter: time.Hour}}}
	b.Permit = permits.permit
	lease, err := acquire(b, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(permits.engines).To(gomega.HaveLen(maxPermitAttempts))
	g.Expect(lease.Engine.ID).To(gomega.Equal(permits.engines[2]))
	g.Expect(b.OwnReport()).To(gomega.HaveLen(1), "unused places are released")
	_, err = acquire(b, 0)
	g.Expect(err).To(gomega.MatchError(ErrNoRoom))
	g.Expect(permits.engines[3:]).To(gomega.ConsistOf(except([]string{"a", "b", "c", "d", "e"}, permits.engines[:2])), "engines that denied a permit are skipped")
}

// The error must tell when the first engine accepts requests again, if all engines are paced.
func TestPaceErrorReportsRetryTime(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService(nil, []string{"a", "b"})
	b := New(func() *catalog.Snapshot { return snapshot })
	b.Permit = (&fakePermits{answers: []Permission{{RetryAfter: 40 * time.Minute}, {RetryAfter: 30 * time.Minute}}}).permit
	_, err := acquire(b, 0)
	g.Expect(err).To(gomega.MatchError(ErrNoRoom))
	var paced *PaceError
	g.Expect(err).To(gomega.BeAssignableToTypeOf(paced))
	g.Expect(err.(*PaceError).RetryAfter).To(gomega.BeNumerically("~", 30*time.Minute, time.Minute))

	snapshot = coldService([]string{"w"}, []string{"a", "b"})
	lease, err := acquire(b, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lease.Release()
	b.SetPeerLoad("others", fullEngineReport("w"))
	_, err = acquire(b, 0)
	g.Expect(err).To(gomega.Equal(&PaceError{Exhausted: 2, Total: 3}), "the warm engine is full, but not paced")
	b.table.markFull("w", time.Hour, time.Now())
	_, err = acquire(b, 0)
	g.Expect(err).To(gomega.Equal(&PaceError{Exhausted: 2, Total: 3}), "the warm engine is marked full")
	g.Expect(err).To(gomega.MatchError(ErrNoRoom))
}

// The permit and the engine's state must be checked again at the send.
func TestMaySendRejectsPacedEngineWithoutValidPermit(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService(nil, []string{"c"})
	b := New(func() *catalog.Snapshot { return snapshot })
	b.Permit = (&fakePermits{answers: []Permission{{Until: time.Now().Add(-time.Nanosecond)}}}).permit
	lease, err := acquire(b, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lease.MaySend()).To(gomega.MatchError(ErrPermitVoid))
	lease.Release()

	snapshot = coldService([]string{"c"}, nil)
	lease, err = acquire(b, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lease.MaySend()).To(gomega.Succeed())
	snapshot = coldService(nil, []string{"c"})
	g.Expect(lease.MaySend()).To(gomega.MatchError(ErrPermitVoid))
}

func TestAcquireManySkipsPacedEngines(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService([]string{"w"}, []string{"a", "b"})
	b := New(func() *catalog.Snapshot { return snapshot })
	wish := Wish{Service: "s", Class: ClassBatch}
	leases := b.AcquireMany([]Wish{wish, wish, wish}, 0)
	g.Expect(leases).To(gomega.HaveLen(3))
	for _, lease := range leases {
		g.Expect(lease.Engine.ID).To(gomega.Equal("w"))
	}
	b.SetPeerLoad("others", fullEngineReport("w"))
	g.Expect(b.AcquireMany([]Wish{wish}, 0)).To(gomega.BeEmpty())
}

// A waiting request must ask for a permit again when its engine's pause ends.
func TestWaitingRequestRetriesPermit(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService(nil, []string{"c"})
	b := New(func() *catalog.Snapshot { return snapshot })
	permits := &fakePermits{answers: []Permission{{RetryAfter: 30 * time.Millisecond}, {Until: time.Now().Add(time.Hour)}}}
	b.Permit = permits.permit
	_, err := acquire(b, time.Minute)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(permits.engines).To(gomega.HaveLen(2))
}

// Each request for a permit must tell whether the engine fails requests.
func TestPermitRequestReportsFailingEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService(nil, []string{"c"})
	b := New(func() *catalog.Snapshot { return snapshot })
	permits := &fakePermits{answers: []Permission{{Until: time.Now().Add(time.Hour)}}}
	b.Permit = permits.permit
	for _, test := range []struct {
		note    func()
		failing bool
	}{
		{func() {}, false}, {func() { b.RecordFailure("c", context.Canceled) }, true}, {func() { b.RecordSuccess("c") }, false},
	} {
		test.note()
		lease, err := acquire(b, 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(permits.failing).To(gomega.Equal(test.failing))
		lease.Release()
	}
}

// A request must be rejected at once if all engines are paced for longer than it may wait.
func TestAcquireRejectsWaitShorterThanPace(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService(nil, []string{"a", "b"})
	b := New(func() *catalog.Snapshot { return snapshot })
	refreshes := 0
	refresh := func(context.Context) { refreshes++ }
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second) // reached only if the test fails
	defer cancel()
	b.Permit = (&fakePermits{answers: []Permission{{RetryAfter: time.Hour}}}).permit
	_, err := b.Acquire(ctx, Wish{Service: "s"}, 0, 30*time.Minute, refresh)
	g.Expect(err).To(gomega.BeAssignableToTypeOf(&PaceError{}))
	g.Expect(refreshes).To(gomega.BeZero())

	b = New(func() *catalog.Snapshot { return snapshot })
	b.Permit = (&fakePermits{answers: []Permission{{RetryAfter: time.Millisecond}, {RetryAfter: time.Millisecond}, {RetryAfter: time.Millisecond}, {RetryAfter: 2 * time.Hour}}}).permit
	_, err = b.Acquire(ctx, Wish{Service: "s"}, 0, time.Hour, refresh)
	g.Expect(err).To(gomega.BeAssignableToTypeOf(&PaceError{}))
	g.Expect(err.(*PaceError).RetryAfter).To(gomega.BeNumerically(">", time.Hour))
	g.Expect(refreshes).To(gomega.BeNumerically(">", 0), "it waited at first")
	g.Expect(b.Waiting()).To(gomega.BeZero())
}

// An engine that has left the catalog must still be treated as paced.
func TestMaySendRejectsRemovedEngineWithExpiredPermit(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService(nil, []string{"c"})
	b := New(func() *catalog.Snapshot { return snapshot })
	b.Permit = (&fakePermits{answers: []Permission{{Until: time.Now().Add(-time.Nanosecond)}}}).permit
	lease, err := acquire(b, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	snapshot = catalog.NewSnapshot(nil, nil)
	g.Expect(lease.MaySend()).To(gomega.MatchError(ErrPermitVoid))
}

// A shorter pause must not shorten a longer one.
func TestMarkFullKeepsLatestDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	table.markFull("e", time.Second, start)
	table.markFull("e", 10*time.Millisecond, start)
	table.RecordRefusal("e", start)
	g.Expect(table.isFull("e", start.Add(time.Second-1))).To(gomega.BeTrue())
	g.Expect(table.isFull("e", start.Add(time.Second))).To(gomega.BeFalse())
	table.RecordRefusal("e", start.Add(time.Second))
	g.Expect(table.isFull("e", start.Add(time.Second+refusalPause-1))).To(gomega.BeTrue())
}

// Batch work must not be preempted for a request that got no permit.
func TestPreemptionSignaledOnlyAfterPermit(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService(nil, []string{"c"})
	for _, test := range []struct {
		answer Permission
		want   int
	}{{Permission{RetryAfter: time.Hour}, 0}, {Permission{Until: time.Now().Add(time.Hour)}, 1}} {
		b := New(func() *catalog.Snapshot { return snapshot })
		b.Permit = (&fakePermits{answers: []Permission{test.answer}}).permit
		b.SetPeerLoad("others", Report{KeyOf("c"): {Counts: Counts{0, 1}}})
		_, _ = acquire(b, 0)
		g.Expect(b.Preemptions()).To(gomega.HaveLen(test.want), "%+v", test.answer)
	}
}
