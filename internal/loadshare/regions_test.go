package loadshare

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/transport"
)

// A region's leader must receive shares though it takes no reports and has no load, or it
// would take busy engines for idle ones.
func TestRegionLeadersReceiveShares(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := []mirror.Node{
		{Name: "a", Address: "a", Zone: "z1"}, {Name: "b", Address: "b", Zone: "z2"}, {Name: "c", Address: "c", Zone: "z2"},
	}
	now := time.Unix(1000, 0)
	due := func(leaders ...transport.Address) []transport.Address {
		exchange := NewExchange(nodes[0])
		exchange.SetRegionLeaders(leaders)
		exchange.Report("front", balance.Report{balance.KeyOf("e"): {Counts: balance.Counts{1, 0}}}, now)
		exchange.OwnShare(nil, now)
		return exchange.Due(nodes, "a2", false, now)
	}
	without := due()
	g.Expect(without).To(gomega.ContainElement(transport.Address("a2")))
	for _, other := range []transport.Address{"b", "c"} {
		g.Expect(due(other)).To(gomega.ContainElement(other))
	}
	g.Expect(due("a")).To(gomega.Equal(without), "no share is sent to the node itself")
}
