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

var nodeFaults = map[string]func(*simulation, *simulatedNode){
	"crash":     (*simulation).crash,
	"disk loss": (*simulation).loseDisk,
	"pause":     func(_ *simulation, node *simulatedNode) { node.paused = true },
	"isolation": (*simulation).isolate,
}

func TestLeaderLossIsRepairedWithinTwoSeconds(t *testing.T) {
	for name, fault := range nodeFaults {
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

// repairUntilWhole replaces every lost replica, step by step.
func (s *simulation) repairUntilWhole(limit time.Duration) bool {
	m := &faultMachine{simulation: s}
	for position := range s.nodes {
		m.wanted = append(m.wanted, position)
	}
	return s.runUntil(limit, func() bool {
		s.repair(m.wantedIDs())
		return m.repaired()
	})
}

func TestAnyTwoDiskLossesAreRepaired(t *testing.T) {
	g := gomega.NewWithT(t)
	const voters = 5
	for first := range voters {
		for second := first + 1; second < voters; second++ {
			s, _ := elect(g, uint64(first*voters+second), voters, 0)
			for range 20 {
				g.Expect(s.commits(time.Second)).To(gomega.BeTrue())
			}
			for _, lost := range []int{first, second} { // at the very moment of the last acknowledgement
				s.loseDisk(s.nodes[lost])
				s.start(s.nodes[lost])
			}
			g.Expect(s.repairUntilWhole(10*time.Second)).To(gomega.BeTrue(), "%d and %d lost: %s", first, second, s.oracle.failure)
			g.Expect(s.commits(time.Second)).To(gomega.BeTrue())
			g.Expect(s.run(time.Second)).To(gomega.BeEmpty())
			for _, node := range s.nodes {
				g.Expect(node.disk.applied.Index).To(gomega.BeNumerically(">=", s.oracle.observed))
			}
		}
	}
}

func TestAnyTwoFaultsAtOnceAreOutlived(t *testing.T) {
	for first, firstFault := range nodeFaults {
		for second, secondFault := range nodeFaults {
			t.Run(first+" and "+second, func(t *testing.T) {
				g := gomega.NewWithT(t)
				for seed := range uint64(seedsPerCase) {
					s, leader := elect(g, seed, 5, 0)
					g.Expect(s.commits(time.Second)).To(gomega.BeTrue())
					victim := int(seed) % 2 // the leader and another, or two others
					firstFault(s, s.nodes[(leader.position+victim)%5])
					s.run(time.Duration(seed) * 10 * time.Millisecond)
					secondFault(s, s.nodes[(leader.position+victim+1)%5])
					g.Expect(s.commits(3*time.Second)).To(gomega.BeTrue(), "seed %d: %s", seed, s.oracle.failure)
					s.heal()
					g.Expect(s.repairUntilWhole(10*time.Second)).To(gomega.BeTrue(), "seed %d: %s", seed, s.oracle.failure)
					g.Expect(s.run(time.Second)).To(gomega.BeEmpty())
					for _, node := range s.nodes {
						g.Expect(node.disk.applied.Index).To(gomega.BeNumerically(">=", s.oracle.observed))
					}
				}
			})
		}
	}
}

func TestCutNodeCausesNoElection(t *testing.T) {
	cuts := map[string]func(s *simulation, leader, node *simulatedNode){
		"from all": func(s *simulation, _, node *simulatedNode) { s.isolate(node) },
		"from the leader": func(s *simulation, leader, node *simulatedNode) {
			s.cut[[2]int{leader.position, node.position}] = true
		},
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			for seed := range uint64(seedsPerCase) {
				s, leader := elect(g, seed, 5, 0)
				term := leader.replica.Status().Term
				node := s.nodes[(leader.position+1)%5]
				cut(s, leader, node)
				s.run(10 * time.Second)
				g.Expect(s.commits(time.Second)).To(gomega.BeTrue())
				s.heal()
				g.Expect(s.run(2 * time.Second)).To(gomega.BeEmpty())
				g.Expect(leader.replica.Status().Term).To(gomega.Equal(term), "seed %d", seed)
				g.Expect(node.disk.applied.Index).To(gomega.Equal(leader.disk.applied.Index), "seed %d", seed)
			}
		})
	}
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	g := gomega.NewWithT(t)
	s, leader := elect(g, 3, 5, 0)
	s.isolate(leader)
	s.run(DefaultElectionTimeout + DefaultHeartbeatInterval + tickInterval)
	g.Expect(leader.replica.Status().Role).NotTo(gomega.Equal(RoleLeader))
}

func TestPausedLeaderServesNothingWhenItResumes(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(seedsPerCase) {
		s, old := elect(g, seed, 5, 0)
		old.paused = true
		g.Expect(s.commits(3*time.Second)).To(gomega.BeTrue(), "seed %d: %s", seed, s.oracle.failure)
		old.paused = false // and no message has reached it yet
		s.read(old)
		index, _, err := old.replica.Propose([]byte("too late"))
		g.Expect(err).NotTo(gomega.HaveOccurred(), "it still believes that it leads")
		old.acks[index] = old.replica.term
		g.Expect(s.run(3*time.Second)).To(gomega.BeEmpty(), "seed %d", seed)
		for _, entry := range s.oracle.entries {
			g.Expect(string(entry.Data)).NotTo(gomega.Equal("too late"))
		}
		g.Expect(old.aborted).To(gomega.Equal(1), "the read is answered with an error")
	}
}

func TestLeaderWithHangingDiskIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(seedsPerCase) {
		s, leader := elect(g, seed, 5, 0)
		term := leader.replica.Status().Term
		s.noise.maxWrite = DefaultWriteTimeout
		for range 100 {
			s.propose(leader)
			s.run(100 * time.Millisecond)
		}
		g.Expect(leader.replica.Status().Term).To(gomega.Equal(term), "slow disks cause no election (seed %d)", seed)
		s.noise.maxWrite = calmDelay
		s.run(time.Second)
		s.propose(leader)
		g.Expect(leader.writing).NotTo(gomega.BeNil())
		leader.generation++ // the write never ends, but everything else goes on
		s.tick(leader)
		replaced := s.runUntil(DefaultWriteTimeout+2*time.Second, func() bool {
			return s.leader() != nil && s.leader() != leader
		})
		g.Expect(replaced).To(gomega.BeTrue(), "seed %d: %s", seed, s.oracle.failure)
	}
}

func TestLeadershipIsTransferred(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(seedsPerCase) {
		s, leader := elect(g, seed, 5, 0)
		heir := s.nodes[(leader.position+1)%5]
		s.transfer(heir)
		moved := s.runUntil(200*time.Millisecond, func() bool { return s.leader() == heir })
		g.Expect(moved).To(gomega.BeTrue(), "seed %d: %s", seed, s.oracle.failure)
		g.Expect(s.commits(time.Second)).To(gomega.BeTrue())
	}
}

func TestLostSnapshotIsSentAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	s, leader := elect(g, 7, 3, 1)
	g.Expect(s.commits(time.Second)).To(gomega.BeTrue())
	s.compact(leader, 0)
	lost := 0
	s.drop = func(message Message) bool {
		if message.Type != MessageSnapshot || lost > 0 {
			return false
		}
		lost++
		return true
	}
	newcomer := s.nodes[3]
	_, _, err := leader.replica.ProposeConfig(Change{AddLearner, newcomer.id})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.proceed(leader)
	caughtUp := s.runUntil(5*time.Second, func() bool { return leader.replica.CaughtUp(newcomer.id) })
	g.Expect(caughtUp).To(gomega.BeTrue(), s.oracle.failure)
	g.Expect(lost).To(gomega.Equal(1))
}
