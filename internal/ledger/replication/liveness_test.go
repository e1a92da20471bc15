package replication

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// newSimulationWithLeader starts a shard and waits until it has a leader.
func newSimulationWithLeader(g *gomega.WithT, seed uint64, voters, spares int) (*simulation, *simulatedNode) {
	s := newSimulation(seed, voters, spares)
	g.Expect(s.runUntil(5*time.Second, func() bool { return s.leader() != nil })).To(gomega.BeTrue(), s.oracle.failure)
	return s, s.leader()
}

// commitsWithin proposes to the current leader until a new entry is acknowledged
// and reports whether that happens within limit.
func (s *simulation) commitsWithin(limit time.Duration) bool {
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

// Guards against a shard without a leader for long after the leader's node fails.
func TestNewLeaderElectedWithinTwoSeconds(t *testing.T) {
	for name, fault := range nodeFaults {
		for _, voters := range []int{3, 5} {
			t.Run(name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				worst := time.Duration(0)
				for seed := range uint64(seedsPerCase) {
					s, old := newSimulationWithLeader(g, seed, voters, 0)
					g.Expect(s.commitsWithin(time.Second)).To(gomega.BeTrue())
					from := s.now
					fault(s, old)
					elected := s.runUntil(2*time.Second, func() bool { return s.leader() != nil && s.leader() != old })
					g.Expect(elected).To(gomega.BeTrue(), "seed %d: %s", seed, s.oracle.failure)
					worst = max(worst, s.now.Sub(from))
					g.Expect(s.commitsWithin(time.Second)).To(gomega.BeTrue(), "seed %d: %s", seed, s.oracle.failure)
				}
				t.Logf("%d voters: slowest election took %v of virtual time", voters, worst)
			})
		}
	}
}

// repairAll replaces all lost replicas and reports whether it is done within limit.
func (s *simulation) repairAll(limit time.Duration) bool {
	m := &faultMachine{simulation: s}
	for position := range s.nodes {
		m.desired = append(m.desired, position)
	}
	return s.runUntil(limit, func() bool {
		s.repair(m.desiredIDs())
		return m.repaired()
	})
}

// Guards against losing acknowledged entries when any two of five disks are lost.
func TestRepairAfterAnyTwoDiskLosses(t *testing.T) {
	g := gomega.NewWithT(t)
	const voters = 5
	for first := range voters {
		for second := first + 1; second < voters; second++ {
			s, _ := newSimulationWithLeader(g, uint64(first*voters+second), voters, 0)
			for range 20 {
				g.Expect(s.commitsWithin(time.Second)).To(gomega.BeTrue())
			}
			for _, lost := range []int{first, second} { // immediately after the last acknowledgement
				s.loseDisk(s.nodes[lost])
				s.start(s.nodes[lost])
			}
			g.Expect(s.repairAll(10*time.Second)).To(gomega.BeTrue(), "%d and %d lost: %s", first, second, s.oracle.failure)
			g.Expect(s.commitsWithin(time.Second)).To(gomega.BeTrue())
			g.Expect(s.run(time.Second)).To(gomega.BeEmpty())
			for _, node := range s.nodes {
				g.Expect(node.disk.applied.Index).To(gomega.BeNumerically(">=", s.oracle.observed))
			}
		}
	}
}

// Guards against lost entries or a permanently unavailable shard after two of
// five nodes fail.
func TestRecoveryFromAnyTwoConcurrentFaults(t *testing.T) {
	for first, firstFault := range nodeFaults {
		for second, secondFault := range nodeFaults {
			t.Run(first+" and "+second, func(t *testing.T) {
				g := gomega.NewWithT(t)
				for seed := range uint64(seedsPerCase) {
					s, leader := newSimulationWithLeader(g, seed, 5, 0)
					g.Expect(s.commitsWithin(time.Second)).To(gomega.BeTrue())
					offset := int(seed) % 2 // 0: the leader and a follower; 1: two followers
					firstFault(s, s.nodes[(leader.position+offset)%5])
					s.run(time.Duration(seed) * 10 * time.Millisecond)
					secondFault(s, s.nodes[(leader.position+offset+1)%5])
					g.Expect(s.commitsWithin(3*time.Second)).To(gomega.BeTrue(), "seed %d: %s", seed, s.oracle.failure)
					s.heal()
					g.Expect(s.repairAll(10*time.Second)).To(gomega.BeTrue(), "seed %d: %s", seed, s.oracle.failure)
					g.Expect(s.run(time.Second)).To(gomega.BeEmpty())
					for _, node := range s.nodes {
						g.Expect(node.disk.applied.Index).To(gomega.BeNumerically(">=", s.oracle.observed))
					}
				}
			})
		}
	}
}

// Guards against a reconnected follower that disrupts the leader's term.
func TestPartitionedFollowerCausesNoElection(t *testing.T) {
	cuts := map[string]func(s *simulation, leader, node *simulatedNode){
		"from all": func(s *simulation, _, node *simulatedNode) { s.isolate(node) },
		"from the leader": func(s *simulation, leader, node *simulatedNode) {
			s.blocked[[2]int{leader.position, node.position}] = true
		},
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			for seed := range uint64(seedsPerCase) {
				s, leader := newSimulationWithLeader(g, seed, 5, 0)
				term := leader.replica.Status().Term
				node := s.nodes[(leader.position+1)%5]
				cut(s, leader, node)
				s.run(10 * time.Second)
				g.Expect(s.commitsWithin(time.Second)).To(gomega.BeTrue())
				s.heal()
				g.Expect(s.run(2 * time.Second)).To(gomega.BeEmpty())
				g.Expect(leader.replica.Status().Term).To(gomega.Equal(term), "seed %d", seed)
				g.Expect(node.disk.applied.Index).To(gomega.Equal(leader.disk.applied.Index), "seed %d", seed)
			}
		})
	}
}

// Guards against an isolated leader that keeps its role.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	g := gomega.NewWithT(t)
	s, leader := newSimulationWithLeader(g, 3, 5, 0)
	s.isolate(leader)
	s.run(DefaultElectionTimeout + DefaultHeartbeatInterval + tickInterval)
	g.Expect(leader.replica.Status().Role).NotTo(gomega.Equal(RoleLeader))
}

// Guards against a leader that serves reads or commits entries on resuming from
// a pause during which it was replaced.
func TestResumedLeaderServesNoStaleRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(seedsPerCase) {
		s, old := newSimulationWithLeader(g, seed, 5, 0)
		old.paused = true
		g.Expect(s.commitsWithin(3*time.Second)).To(gomega.BeTrue(), "seed %d: %s", seed, s.oracle.failure)
		old.paused = false // before any message reaches it
		s.read(old)
		index, _, err := old.replica.Propose([]byte("too late"))
		g.Expect(err).NotTo(gomega.HaveOccurred(), "the resumed replica must still be in the leader role")
		old.proposals[index] = old.replica.term
		g.Expect(s.run(3*time.Second)).To(gomega.BeEmpty(), "seed %d", seed)
		for _, entry := range s.oracle.entries {
			g.Expect(string(entry.Data)).NotTo(gomega.Equal("too late"))
		}
		g.Expect(old.abortedReads).To(gomega.Equal(1), "the read must be aborted")
	}
}

// Guards against a leader that keeps its role without being able to persist, and
// against needless elections when disks are only slow.
func TestLeaderWithHangingDiskIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(seedsPerCase) {
		s, leader := newSimulationWithLeader(g, seed, 5, 0)
		term := leader.replica.Status().Term
		s.conditions.maxWrite = DefaultWriteTimeout
		for range 100 {
			s.propose(leader)
			s.run(100 * time.Millisecond)
		}
		g.Expect(leader.replica.Status().Term).To(gomega.Equal(term), "slow disks must not cause an election (seed %d)", seed)
		s.conditions.maxWrite = normalDelay
		s.run(time.Second)
		s.propose(leader)
		g.Expect(leader.pendingReady).NotTo(gomega.BeNil())
		leader.generation++ // the write never completes; the tick below restarts the timer
		s.tick(leader)
		replaced := s.runUntil(DefaultWriteTimeout+2*time.Second, func() bool {
			return s.leader() != nil && s.leader() != leader
		})
		g.Expect(replaced).To(gomega.BeTrue(), "seed %d: %s", seed, s.oracle.failure)
	}
}

// Guards against a transfer that only takes effect after an election timeout.
func TestLeadershipTransfersToVoter(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(seedsPerCase) {
		s, leader := newSimulationWithLeader(g, seed, 5, 0)
		successor := s.nodes[(leader.position+1)%5]
		s.transfer(successor)
		moved := s.runUntil(200*time.Millisecond, func() bool { return s.leader() == successor })
		g.Expect(moved).To(gomega.BeTrue(), "seed %d: %s", seed, s.oracle.failure)
		g.Expect(s.commitsWithin(time.Second)).To(gomega.BeTrue())
	}
}

// Guards against a learner that waits forever after a MessageSnapshot is lost.
func TestLostSnapshotIsResent(t *testing.T) {
	g := gomega.NewWithT(t)
	s, leader := newSimulationWithLeader(g, 7, 3, 1)
	g.Expect(s.commitsWithin(time.Second)).To(gomega.BeTrue())
	s.compact(leader, 0)
	lost := 0
	s.drop = func(message Message) bool {
		if message.Type != MessageSnapshot || lost > 0 {
			return false
		}
		lost++
		return true
	}
	learner := s.nodes[3]
	_, _, err := leader.replica.ProposeConfig(Change{AddLearner, learner.id})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.processReady(leader)
	caughtUp := s.runUntil(5*time.Second, func() bool { return leader.replica.CaughtUp(learner.id) })
	g.Expect(caughtUp).To(gomega.BeTrue(), s.oracle.failure)
	g.Expect(lost).To(gomega.Equal(1))
}
