package hollow

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestSmallFleet runs the real shells over loopback sockets: whole views, few
// readers of the store, and both faults known.
func TestSmallFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	result, err := Run(context.Background(), Config{
		Nodes: 8, NodesPerZone: 4, ZonesPerRegion: 2, EnginesPerNode: 3, RequestsPerNode: 20,
		WarmUp: 30 * time.Second, Measured: time.Second,
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Logf("%+v", result)
	g.Expect(result.StoreReaders).To(gomega.BeNumerically("<=", 2))
	g.Expect(result.PollsPerSecond).To(gomega.BeNumerically(">", 0))
	g.Expect(result.FleetBytes).To(gomega.BeNumerically(">", 0))
}
