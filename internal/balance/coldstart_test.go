package balance

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
)

// coldService has engines of eight slots, the cold ones of one; these are paced for an hour.
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

// permitter answers each ask with the next of its permissions, and the last from then on.
type permitter struct {
	answers []Permission
	asked   []string
	failing bool // as of the last ask
}

func (p *permitter) permit(_ context.Context, wanted Wanted) Permission {
	p.asked = append(p.asked, wanted.Engine.ID)
	p.failing = wanted.Failing
	next := p.answers[0]
	if len(p.answers) > 1 {
		p.answers = p.answers[1:]
	}
	return next
}

func fullEngine(id string) Report { return Report{KeyOf(id): {Counts: Counts{20, 0}}} }

func without(list, left []string) []string {
	return slices.DeleteFunc(list, func(id string) bool { return slices.Contains(left, id) })
}

func acquire(b *Balancer, wait time.Duration) (*Lease, error) {
	return b.Acquire(context.Background(), Wish{Service: "s"}, 0, wait, nil)
}

func TestAColdEngineTakesWhatWarmOnesHaveNoRoomFor(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService([]string{"w"}, []string{"c"})
	b := New(func() *catalog.Snapshot { return snapshot })
	permits := &permitter{answers: []Permission{{Until: time.Now().Add(time.Hour)}}}
	b.Permit = permits.permit
	first, err := acquire(b, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(first.Engine.ID).To(gomega.Equal("w"))
	g.Expect(permits.asked).To(gomega.BeEmpty(), "a warm engine needs none")
	b.PeerLoad("others", fullEngine("w"))
	second, err := acquire(b, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(second.Engine.ID).To(gomega.Equal("c"))
	g.Expect(permits.asked).To(gomega.Equal([]string{"c"}))
	g.Expect(second.MaySend()).To(gomega.Succeed())
}

// Denied at one engine, a request tries others, and few of them.
func TestARequestWithoutAPermitPicksAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService(nil, []string{"a", "b", "c", "d", "e"})
	b := New(func() *catalog.Snapshot { return snapshot })
	permits := &permitter{answers: []Permission{{After: time.Hour}, {After: time.Hour}, {Until: time.Now().Add(time.Hour)}, {After: time.Hour}}}
	b.Permit = permits.permit
	lease, err := acquire(b, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(permits.asked).To(gomega.HaveLen(permitTries))
	g.Expect(lease.Engine.ID).To(gomega.Equal(permits.asked[2]))
	g.Expect(b.Own()).To(gomega.HaveLen(1), "the places that weren't used are given up")
	_, err = acquire(b, 0)
	g.Expect(err).To(gomega.MatchError(ErrNoRoom))
	g.Expect(permits.asked[3:]).To(gomega.ConsistOf(without([]string{"a", "b", "c", "d", "e"}, permits.asked[:2])), "those denied before are left out")
}

// With all engines cold and nothing left of their pace, the refusal tells when there is.
func TestARefusalTellsWhenThePaceAllowsMore(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService(nil, []string{"a", "b"})
	b := New(func() *catalog.Snapshot { return snapshot })
	b.Permit = (&permitter{answers: []Permission{{After: 40 * time.Minute}, {After: 30 * time.Minute}}}).permit
	_, err := acquire(b, 0)
	g.Expect(err).To(gomega.MatchError(ErrNoRoom))
	var paced *PaceError
	g.Expect(err).To(gomega.BeAssignableToTypeOf(paced))
	g.Expect(err.(*PaceError).After).To(gomega.BeNumerically("~", 30*time.Minute, time.Minute))

	snapshot = coldService([]string{"w"}, []string{"a", "b"})
	lease, err := acquire(b, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lease.Release()
	b.PeerLoad("others", fullEngine("w"))
	_, err = acquire(b, 0)
	g.Expect(err).To(gomega.Equal(&PaceError{Paced: 2, Of: 3}), "a warm engine is full, and the pace not the only reason")
	b.table.fullFor("w", time.Hour, time.Now())
	_, err = acquire(b, 0)
	g.Expect(err).To(gomega.Equal(&PaceError{Paced: 2, Of: 3}), "the same, as it said itself")
	g.Expect(err).To(gomega.MatchError(ErrNoRoom))
}

// What is known at the send decides: permits grow old, and engines turn cold.
func TestNothingIsSentToAPacedEngineWithoutAValidPermit(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService(nil, []string{"c"})
	b := New(func() *catalog.Snapshot { return snapshot })
	b.Permit = (&permitter{answers: []Permission{{Until: time.Now().Add(-time.Nanosecond)}}}).permit
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

func TestBatchWorkStartsNothingAtPacedEngines(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService([]string{"w"}, []string{"a", "b"})
	b := New(func() *catalog.Snapshot { return snapshot })
	wish := Wish{Service: "s", Class: ClassBatch}
	leases := b.AcquireMany([]Wish{wish, wish, wish}, 0)
	g.Expect(leases).To(gomega.HaveLen(3))
	for _, lease := range leases {
		g.Expect(lease.Engine.ID).To(gomega.Equal("w"))
	}
	b.PeerLoad("others", fullEngine("w"))
	g.Expect(b.AcquireMany([]Wish{wish}, 0)).To(gomega.BeEmpty())
}

// A waiting request gets its permit as soon as its engine may be asked again.
func TestAWaitingRequestAsksAgainWhenItMay(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService(nil, []string{"c"})
	b := New(func() *catalog.Snapshot { return snapshot })
	permits := &permitter{answers: []Permission{{After: 30 * time.Millisecond}, {Until: time.Now().Add(time.Hour)}}}
	b.Permit = permits.permit
	_, err := acquire(b, time.Minute)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(permits.asked).To(gomega.HaveLen(2))
}

// Whether the rising pace of an engine holds is told with each ask.
func TestAnAskTellsOfFailures(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService(nil, []string{"c"})
	b := New(func() *catalog.Snapshot { return snapshot })
	permits := &permitter{answers: []Permission{{Until: time.Now().Add(time.Hour)}}}
	b.Permit = permits.permit
	for _, step := range []struct {
		note    func()
		failing bool
	}{
		{func() {}, false}, {func() { b.Failed("c", context.Canceled) }, true}, {func() { b.Succeeded("c") }, false},
	} {
		step.note()
		lease, err := acquire(b, 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(permits.failing).To(gomega.Equal(step.failing))
		lease.Release()
	}
}

// A request whose engines are all out by their pace for longer than it may wait is told at
// once, with when to come back; one that may wait for that long does.
func TestNobodyWaitsInVainForThePace(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService(nil, []string{"a", "b"})
	b := New(func() *catalog.Snapshot { return snapshot })
	looks := 0
	look := func(context.Context) { looks++ }
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second) // it ends only a test that fails
	defer cancel()
	b.Permit = (&permitter{answers: []Permission{{After: time.Hour}}}).permit
	_, err := b.Acquire(ctx, Wish{Service: "s"}, 0, 30*time.Minute, look)
	g.Expect(err).To(gomega.BeAssignableToTypeOf(&PaceError{}))
	g.Expect(looks).To(gomega.BeZero())

	b = New(func() *catalog.Snapshot { return snapshot })
	b.Permit = (&permitter{answers: []Permission{{After: time.Millisecond}, {After: time.Millisecond}, {After: time.Millisecond}, {After: 2 * time.Hour}}}).permit
	_, err = b.Acquire(ctx, Wish{Service: "s"}, 0, time.Hour, look)
	g.Expect(err).To(gomega.BeAssignableToTypeOf(&PaceError{}))
	g.Expect(err.(*PaceError).After).To(gomega.BeNumerically(">", time.Hour))
	g.Expect(looks).To(gomega.BeNumerically(">", 0), "it began to wait, and left off")
	g.Expect(b.Waiting()).To(gomega.BeZero())
}

// An engine that left the catalog gets nothing that it might not bear.
func TestAnEngineThatIsGoneGetsNothingWithoutAValidPermit(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService(nil, []string{"c"})
	b := New(func() *catalog.Snapshot { return snapshot })
	b.Permit = (&permitter{answers: []Permission{{Until: time.Now().Add(-time.Nanosecond)}}}).permit
	lease, err := acquire(b, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	snapshot = catalog.NewSnapshot(nil, nil)
	g.Expect(lease.MaySend()).To(gomega.MatchError(ErrPermitVoid))
}

// What is told last shortens no pause that is longer.
func TestAnEngineIsFullForTheLongestTimeTold(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	table.fullFor("e", time.Second, start)
	table.fullFor("e", 10*time.Millisecond, start)
	table.Refused("e", start)
	g.Expect(table.fullNow("e", start.Add(time.Second-1))).To(gomega.BeTrue())
	g.Expect(table.fullNow("e", start.Add(time.Second))).To(gomega.BeFalse())
	table.Refused("e", start.Add(time.Second))
	g.Expect(table.fullNow("e", start.Add(time.Second+fullPause-1))).To(gomega.BeTrue())
}

// Batch work makes way for a request that goes to a cold engine, not for one that doesn't.
func TestBatchWorkMakesWayOnlyOnceThereIsAPermit(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := coldService(nil, []string{"c"})
	for _, one := range []struct {
		answer Permission
		wanted int
	}{{Permission{After: time.Hour}, 0}, {Permission{Until: time.Now().Add(time.Hour)}, 1}} {
		b := New(func() *catalog.Snapshot { return snapshot })
		b.Permit = (&permitter{answers: []Permission{one.answer}}).permit
		b.PeerLoad("others", Report{KeyOf("c"): {Counts: Counts{0, 1}}})
		_, _ = acquire(b, 0)
		g.Expect(b.Pressed()).To(gomega.HaveLen(one.wanted), "%+v", one.answer)
	}
}
