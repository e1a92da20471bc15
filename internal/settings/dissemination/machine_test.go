package dissemination

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// expectConverged checks that all running nodes have the store's state in force
// and that no invariant was violated.
func expectConverged(g *gomega.WithT, s *sim) {
	g.Expect(s.violations).To(gomega.BeEmpty())
	for _, node := range s.nodes {
		if node.up {
			// A listing does not show the revision of a purge, so the version may
			// lag by one until the next change.
			g.Expect(node.published).To(gomega.Equal(s.store.version()), node.member.Name)
			g.Expect(digestOf(node.content)).To(gomega.Equal(digestOf(s.store.objects)), node.member.Name)
		}
	}
	for region, count := range s.maxWatchers {
		g.Expect(count).To(gomega.BeNumerically("<=", WatchersPerRegion), region)
	}
}

func (s *sim) mustWrite(g *gomega.WithT, names ...string) {
	for i, name := range names {
		g.Expect(s.store.write(s.nodes[i%len(s.nodes)], name, i, false)).To(gomega.BeTrue(), name)
		s.run(time.Second)
	}
}

func startedFleet(g *gomega.WithT, seed uint64) *sim {
	s := newSim(seed, 2, 2, 4)
	s.run(10 * time.Second)
	s.mustWrite(g, "a", "b", "c")
	expectConverged(g, s)
	return s
}

// Guards against nodes that miss changes and against excess watches.
func TestChangesReachAllNodesWithLimitedWatchers(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startedFleet(g, 1)
	g.Expect(s.store.maxOpen).To(gomega.Equal(4))
	g.Expect(s.store.write(s.nodes[0], "a", 9, true)).To(gomega.BeTrue())
	s.run(time.Second)
	expectConverged(g, s)
}
