package command

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/ledger"
)

func TestKeeperEndsOnlySilentLeases(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(1_700_000_000, 0)
	held := []machine.HeldLease{
		{JobID: "j", Dispatcher: "silent", Epoch: 1}, {JobID: "k", Dispatcher: "silent", Epoch: 1},
		{JobID: "j", Dispatcher: "orphaning", Epoch: 2}, {JobID: "j", Dispatcher: "orphaning", Epoch: 3},
	}
	var keeper keeperState
	g.Expect(keeper.expired(start, 1, held)).To(gomega.BeEmpty(), "seen for the first time")
	almost := start.Add(LeaseTTL - time.Millisecond)
	keeper.renewed(almost, "orphaning", []uint64{3})
	g.Expect(keeper.expired(almost, 1, held)).To(gomega.BeEmpty())
	g.Expect(keeper.expired(start.Add(LeaseTTL), 1, held)).To(gomega.Equal([]machine.ExpireLeases{
		{Dispatcher: "orphaning", Epochs: []uint64{2}}, // its answer was lost: the dispatcher doesn't know it
		{Dispatcher: "silent", Epochs: []uint64{1}},
	}))
	g.Expect(keeper.expired(start.Add(LeaseTTL), 2, held)).To(gomega.BeEmpty(), "a new leader waits a whole TTL")
}

func FuzzDecodeRenewRequest(f *testing.F) {
	good, _ := (&renewRequest{"d", []uint64{1}, []string{"j"}}).encode()
	f.Add(good)
	f.Fuzz(func(t *testing.T, message []byte) { _, _ = decodeRenewRequest(message) })
}

func TestShardsAreAskedByUrgencyThenByWeight(t *testing.T) {
	g := gomega.NewWithT(t)
	hour := time.Hour.Milliseconds()
	offers := func() []shardOffer {
		return []shardOffer{
			{0, offerNumbers{Items: 1, Slack: hour, Weight: 1000}}, {1, offerNumbers{Items: 1, Slack: 20 * hour, Weight: 3000}},
			{2, offerNumbers{Items: 1, Slack: 5000}}, {3, offerNumbers{Items: 1, Slack: -1000}},
		}
	}
	random := rand.New(rand.NewPCG(1, 1))
	first := map[ledger.ShardID]int{}
	for range 4000 {
		order := askingOrder(offers(), random.Float64)
		g.Expect(order[:2]).To(gomega.Equal([]ledger.ShardID{3, 2}))
		first[order[2]]++
	}
	g.Expect(first[1]).To(gomega.BeNumerically("~", 3000, 150), "the heavier shard goes first three times of four")
}
