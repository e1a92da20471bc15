package command

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/jobs/machine"
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
