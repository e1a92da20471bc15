package replication

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// elect starts a shard and waits for its first leader.
func elect(g *gomega.WithT, seed uint64, voters, spares int) (*simulation, *simulatedNode) {
	s := newSimulation(seed, voters, spares)
	g.Expect(s.runUntil(5*time.Second, func() bool { return s.leader() != nil })).To(gomega.BeTrue(), s.oracle.failure)
	return s, s.leader()
}

// commits proposes at the present leader until something new is committed.
func (s *simulation) commits(limit time.Duration) bool {
	before := len(s.oracle.acked)
	return s.runUntil(limit, func() bool {
		if leader := s.leader(); leader != nil {
			s.propose(leader)
		}
		return len(s.oracle.acked) > before
	})
}

const seedsPerCase = 50

func TestLeaderLossIsRepairedWithinTwoSeconds(t *testing.T) {
	faults := map[string]func(*simulation, *simulatedNode){
		"crash":     (*simulation).crash,
		"disk loss": (*simulation).loseDisk,
		"pause":     func(_ *simulation, node *simulatedNode) { node.paused = true },
		"isolation": (*simulation).isolate,
	}
	for name, fault := range faults {
		for _, voters := range []int{3, 5} {
			t.Run(name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				worst := time.Duration(0)
				for seed := range uint64(seedsPerCase) {
					s, old := elect(g, seed, voters, 0)
					g.Expect(s.commits(time.Second)).To(gomega.BeTrue())
					from := s.now
					fault(s, old)
					elected := s.runUntil(2*time.Second, func() bool { return s.leader() != nil && s.leader() != old })
					g.Expect(elected).To(gomega.BeTrue(), "seed %d: %s", seed, s.oracle.failure)
					worst = max(worst, s.now.Sub(from))
					g.Expect(s.commits(time.Second)).To(gomega.BeTrue(), "seed %d: %s", seed, s.oracle.failure)
				}
				t.Logf("%d voters: slowest new leader after %v of virtual time", voters, worst)
			})
		}
	}
}
