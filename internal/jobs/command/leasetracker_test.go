package command

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/ledger"
)

// A leader must expire leases without renewal, but none before a full LeaseTTL
// in its own term.
func TestLeaseTrackerExpiresOnlyUnrenewedLeases(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(1_700_000_000, 0)
	held := []machine.HeldLease{
		{JobID: "j", Dispatcher: "silent", Epoch: 1}, {JobID: "k", Dispatcher: "silent", Epoch: 1},
		{JobID: "j", Dispatcher: "orphaning", Epoch: 2}, {JobID: "j", Dispatcher: "orphaning", Epoch: 3},
	}
	var tracker leaseTracker
	g.Expect(tracker.expired(start, 1, held)).To(gomega.BeEmpty(), "a lease counts from when it is first seen")
	almost := start.Add(LeaseTTL - time.Millisecond)
	tracker.renewed(almost, "orphaning", []uint64{3})
	g.Expect(tracker.expired(almost, 1, held)).To(gomega.BeEmpty())
	g.Expect(tracker.expired(start.Add(LeaseTTL), 1, held)).To(gomega.Equal([]machine.ExpireLeases{
		{Dispatcher: "orphaning", Epochs: []uint64{2}}, // granted, but its response was lost
		{Dispatcher: "silent", Epochs: []uint64{1}},
	}))
	g.Expect(tracker.expired(start.Add(LeaseTTL), 2, held)).To(gomega.BeEmpty(), "a new leader waits a full LeaseTTL")
}

func FuzzDecodeRenewRequest(f *testing.F) {
	good, _ := (&renewRequest{"d", []uint64{1}, []string{"j"}}).encode()
	f.Add(good)
	f.Fuzz(func(t *testing.T, message []byte) { _, _ = decodeRenewRequest(message) })
}

// Shards with urgent jobs must come first, the others in proportion to weight.
func TestLeaseOrderSortsByUrgencyThenWeight(t *testing.T) {
	g := gomega.NewWithT(t)
	hour := time.Hour.Milliseconds()
	offers := func() []shardOffer {
		return []shardOffer{
			{0, modelOffer{Items: 1, Slack: hour, Weight: 1000}}, {1, modelOffer{Items: 1, Slack: 20 * hour, Weight: 3000}},
			{2, modelOffer{Items: 1, Slack: 5000}}, {3, modelOffer{Items: 1, Slack: -1000}},
		}
	}
	random := rand.New(rand.NewPCG(1, 1))
	first := map[ledger.ShardID]int{}
	for range 4000 {
		order := leaseOrder(offers(), random.Float64)
		g.Expect(order[:2]).To(gomega.Equal([]ledger.ShardID{3, 2}))
		first[order[2]]++
	}
	g.Expect(first[1]).To(gomega.BeNumerically("~", 3000, 150), "the shard of weight 3000 precedes the one of 1000 in 3 of 4 draws")
}
