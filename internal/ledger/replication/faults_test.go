package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// faultMachine applies random requests and faults drawn by rapid to a simulation.
type faultMachine struct {
	*simulation
	desired []int // positions of the nodes that should be voters
}

// pick draws an eligible node and skips the action if there is none.
func (m *faultMachine) pick(t *rapid.T, eligible func(*simulatedNode) bool) *simulatedNode {
	choices := slices.DeleteFunc(slices.Clone(m.nodes), func(node *simulatedNode) bool { return !eligible(node) })
	if len(choices) == 0 {
		t.Skip("no eligible node")
	}
	return rapid.SampledFrom(choices).Draw(t, "node")
}

func isRunning(node *simulatedNode) bool { return node.replica != nil && !node.paused }

// survivesLossOf reports whether every configuration known to a node or in
// flight keeps a quorum of intact disks if the given node loses its disk.
func (m *faultMachine) survivesLossOf(lost *simulatedNode) bool {
	return !slices.ContainsFunc(m.knownConfigurations(), func(known indexedConfiguration) bool {
		return len(known.configuration.Voters) > 0 && !m.hasQuorum(known.configuration, lost)
	})
}

// hasQuorum reports whether a quorum of voters has intact disks, not counting the
// lost node's.
func (m *faultMachine) hasQuorum(configuration Configuration, lost *simulatedNode) bool {
	intact := 0
	for _, voter := range configuration.Voters {
		if node := m.node(voter); node != nil && node != lost {
			intact++
		}
	}
	return intact >= configuration.Quorum()
}

func (m *faultMachine) knownConfigurations() configurationHistory {
	var known configurationHistory
	for _, node := range m.nodes {
		reader := node.replica
		if reader == nil {
			reader, _ = New(Config{ID: node.id, Storage: node.disk})
		}
		known = append(known, reader.configurations...)
	}
	for sent := range m.inFlight {
		receiver := &Replica{log: &log{}}
		receiver.recordConfigurations(0, sent.message.Entries)
		known = append(known, receiver.configurations...)
		known = append(known, indexedConfiguration{configuration: sent.message.Snapshot.Configuration})
	}
	return known
}

func (m *faultMachine) desiredIDs() []ReplicaID {
	ids := make([]ReplicaID, 0, len(m.desired))
	for _, position := range m.desired {
		ids = append(ids, m.nodes[position].id)
	}
	return ids
}

func (m *faultMachine) actions() map[string]func(*rapid.T) {
	running := func(t *rapid.T) *simulatedNode { return m.pick(t, isRunning) }
	return map[string]func(*rapid.T){
		"pass time":  func(t *rapid.T) { m.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
		"short time": func(t *rapid.T) { m.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "ms")) * time.Millisecond) },
		"propose": func(t *rapid.T) {
			node := running(t)
			for range rapid.IntRange(1, 5).Draw(t, "count") {
				m.propose(node)
			}
		},
		"propose at the leader": func(t *rapid.T) {
			if leader := m.leader(); leader != nil {
				m.propose(leader)
			}
		},
		"work": func(t *rapid.T) {
			for range rapid.IntRange(1, 12).Draw(t, "rounds") {
				if leader := m.leader(); leader != nil {
					m.propose(leader)
					m.read(leader)
				}
				m.run(40 * time.Millisecond)
			}
		},
		"read":     func(t *rapid.T) { m.read(running(t)) },
		"crash":    func(t *rapid.T) { m.crash(running(t)) },
		"restart":  func(t *rapid.T) { m.start(m.pick(t, func(node *simulatedNode) bool { return node.replica == nil })) },
		"pause":    func(t *rapid.T) { running(t).paused = true },
		"resume":   func(t *rapid.T) { m.resume(m.pick(t, func(node *simulatedNode) bool { return node.paused })) },
		"cut off":  func(t *rapid.T) { m.isolate(running(t)) },
		"cut pair": func(t *rapid.T) { m.blocked[[2]int{running(t).position, running(t).position}] = true },
		"mend":     func(t *rapid.T) { clear(m.blocked) },
		"lose disk": func(t *rapid.T) {
			m.loseDisk(m.pick(t, m.survivesLossOf))
		},
		"network and disks": func(t *rapid.T) {
			m.conditions = conditions{
				loss:      float64(rapid.IntRange(0, 30).Draw(t, "loss")) / 100,
				duplicate: float64(rapid.IntRange(0, 30).Draw(t, "duplicate")) / 100,
				maxDelay:  time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * time.Millisecond,
				maxWrite:  time.Duration(rapid.IntRange(1, 400).Draw(t, "write")) * time.Millisecond,
			}
		},
		"compact": func(t *rapid.T) { m.compact(running(t), rapid.IntRange(0, 4).Draw(t, "keep")) },
		"repair":  func(t *rapid.T) { m.repair(m.desiredIDs()) },
		"replace": func(t *rapid.T) { m.replaceDesired(rapid.IntRange(0, len(m.desired)-1).Draw(t, "place")) },
		"change": func(t *rapid.T) {
			change := Change{ChangeType(rapid.IntRange(1, 3).Draw(t, "change")), m.pick(t, isRunning).id}
			m.change(running(t), change)
		},
		"transfer": func(t *rapid.T) { m.transfer(running(t)) },
		"": func(t *rapid.T) {
			if m.oracle.failure != "" {
				t.Fatal(m.oracle.failure)
			}
		},
	}
}

// change proposes an arbitrary configuration change, unless it would leave the
// shard without a quorum of intact disks.
func (m *faultMachine) change(node *simulatedNode, change Change) {
	next, err := node.replica.applyChange(node.replica.configuration(), change)
	if err != nil || !m.hasQuorum(next, nil) {
		return
	}
	if _, _, err := node.replica.ProposeConfig(change); err == nil {
		m.processReady(node)
	}
}

// compact removes all but the last keep applied entries from a node's log.
func (s *simulation) compact(node *simulatedNode, keep int) {
	if applied := node.disk.applied.Index; applied > uint64(keep) {
		node.disk.Compact(applied - uint64(keep))
	}
}

// replaceDesired replaces one of the desired voters with a node that is not one.
func (m *faultMachine) replaceDesired(slot int) {
	for position := range m.nodes {
		if !slices.Contains(m.desired, position) {
			m.desired[slot] = position
			return
		}
	}
}

func (s *simulation) transfer(to *simulatedNode) {
	if leader := s.leader(); leader != nil && leader.replica.TransferLeadership(to.id) == nil {
		s.processReady(leader)
	}
}

// converge ends all faults and checks that the shard then commits entries with
// the desired voters and that all of them hold every acknowledged entry. It
// returns the first violation, or "".
func (m *faultMachine) converge() string {
	m.heal()
	repaired := m.runUntil(time.Minute, func() bool {
		m.repair(m.desiredIDs())
		return m.repaired()
	})
	if !repaired {
		return fmt.Sprintf("configuration not repaired after all faults ended: %s", m.oracle.failure)
	}
	if !m.commitsWithin(10 * time.Second) {
		return fmt.Sprintf("no entry committed after all faults ended: %s", m.oracle.failure)
	}
	caughtUp := m.runUntil(10*time.Second, func() bool {
		return !slices.ContainsFunc(m.desired, func(position int) bool {
			return m.nodes[position].disk.applied.Index < m.oracle.observed
		})
	})
	if !caughtUp {
		return fmt.Sprintf("a voter lacks acknowledged entries: %s", m.oracle.failure)
	}
	return m.checkStates()
}

// repaired reports whether the members are exactly the desired replicas. If the
// leader is not one of them, it starts a leadership transfer.
func (m *faultMachine) repaired() bool {
	leader := m.leader()
	if leader == nil {
		return false
	}
	status := leader.replica.Status()
	desired := m.desiredIDs()
	if !slices.Contains(desired, leader.id) {
		if successor := m.node(desired[0]); status.Configuration.HasVoter(successor.id) {
			m.transfer(successor)
		}
		return false
	}
	slices.Sort(desired)
	return slices.Equal(desired, status.Configuration.Members()) && !status.ConfigurationPending
}

func (m *faultMachine) checkStates() string {
	for _, position := range m.desired {
		for _, entry := range m.nodes[position].state {
			known := m.oracle.entries[entry.Index]
			if known.Term != entry.Term || string(known.Data) != string(entry.Data) {
				return fmt.Sprintf("node %d has a different entry at index %d", position, entry.Index)
			}
		}
	}
	return m.oracle.failure
}

// Guards against any sequence of requests and faults that loses acknowledged
// entries, makes states diverge or leaves the shard unavailable.
func TestRandomFaultsLoseNoAcknowledgedEntry(t *testing.T) {
	for _, voters := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d voters", voters), func(t *testing.T) {
			totals := map[string]int{}
			rapid.Check(t, func(t *rapid.T) {
				m := &faultMachine{simulation: newSimulation(rapid.Uint64().Draw(t, "seed"), voters, 1)}
				for position := range voters {
					m.desired = append(m.desired, position)
				}
				m.run(1500 * time.Millisecond)
				t.Repeat(m.actions())
				if failure := m.converge(); failure != "" {
					t.Fatal(failure)
				}
				totals["sequences"]++
				totals["acknowledged"] += len(m.oracle.acked)
				totals["terms"] += len(m.oracle.leaders)
			})
			t.Logf("%v", totals)
		})
	}
}
