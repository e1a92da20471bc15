package balance

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
)

// twoZones has one engine in each of two zones; those of the given zones are drained.
func twoZones(drained ...string) *catalog.Snapshot {
	engines := []catalog.Engine{{ID: "a", Service: "s", Zone: "za", Slots: 1}, {ID: "b", Service: "s", Zone: "zb", Slots: 1}}
	for i := range engines {
		engines[i].Drained = contains(drained, engines[i].Zone)
	}
	return catalog.NewSnapshot(nil, engines)
}

// Waiting requests must fail at once when the last zone is drained.
func TestAcquireStopsWaitingWhenAllZonesDrain(t *testing.T) {
	g := gomega.NewWithT(t)
	var snapshot atomic.Pointer[catalog.Snapshot]
	snapshot.Store(twoZones("zb"))
	b := New(snapshot.Load)
	wish := Wish{Service: "s", Class: ClassOnline}
	for {
		if _, err := b.Acquire(context.Background(), wish, 0, 0, nil); err != nil {
			g.Expect(err).To(gomega.MatchError(ErrNoRoom))
			break
		}
	}
	ended := make(chan error)
	go func() {
		_, err := b.Acquire(context.Background(), wish, 0, time.Hour, nil)
		ended <- err
	}()
	g.Eventually(b.Waiting, 30*time.Second).Should(gomega.Equal(1))
	snapshot.Store(twoZones("za", "zb"))
	g.Eventually(ended, 30*time.Second).Should(gomega.Receive(gomega.MatchError(ErrNoEngine)))
	g.Expect(b.Waiting()).To(gomega.BeZero())
}

// Neither a shared prefix, the previous engine nor avoided engines may lead to a drained
// zone; requests in flight there stay counted.
func TestDrainedZoneGetsNoNewRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	var snapshot atomic.Pointer[catalog.Snapshot]
	snapshot.Store(twoZones())
	b := New(snapshot.Load)
	leases := b.AcquireMany([]Wish{{Service: "s", Class: ClassBatch}, {Service: "s", Class: ClassBatch}}, 0)
	g.Expect(leases).To(gomega.HaveLen(2), "one at each engine")
	snapshot.Store(twoZones("za"))
	g.Expect(b.OwnByZone([]string{"za"})).To(gomega.Equal(map[string]Counts{"za": {0, 1}}))
	for _, lease := range leases {
		if lease.Engine.ID == "b" {
			lease.Release()
		}
	}
	for _, prefix := range []string{"p", "q", "r", "s"} { // with either engine as home
		wish := Wish{Service: "s", Zone: "za", Class: ClassOnline, Prefix: prefix, PrefixTokens: 9000, PromptTokens: 9000, Avoid: []string{"b"}}
		lease, err := b.Acquire(context.Background(), wish, 0, 0, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(lease.Engine.ID).To(gomega.Equal("b"))
		lease.Release()
	}
	again := b.AcquireMany([]Wish{{Service: "s", Class: ClassBatch, PreviousEngine: "a"}}, 0)
	g.Expect(again).To(gomega.HaveLen(1))
	g.Expect(again[0].Engine.ID).To(gomega.Equal("b"))
}

// Online requests of a drained zone must preempt batch work in other zones, and no batch work
// may start there meanwhile.
func TestOnlineOfDrainedZonePreemptsBatchElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	var snapshot atomic.Pointer[catalog.Snapshot]
	snapshot.Store(twoZones("za"))
	b := New(snapshot.Load)
	running := b.AcquireMany([]Wish{{Service: "s", Class: ClassBatch}}, 0)
	g.Expect(running).To(gomega.HaveLen(1))
	b.SetPeerLoad("others", Report{})
	_, err := b.Acquire(context.Background(), Wish{Service: "s", Zone: "za", Class: ClassOnline, Wait: time.Second}, 0, 0, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the slot's batch request is preempted")
	g.Expect(b.Preemptions()).To(gomega.Receive())
	g.Expect(b.Overfull()).To(gomega.Equal([]Overfull{{Engine: "b", Excess: 1}}))
	g.Expect(b.AcquireMany([]Wish{{Service: "s", Class: ClassBatch}}, 0)).To(gomega.BeEmpty())
}
