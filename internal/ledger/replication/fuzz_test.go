package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// faultMachine drives a simulation by rapid's choices.
type faultMachine struct {
	*simulation
	wanted []int // positions of the nodes that shall vote
}

func (m *faultMachine) pick(t *rapid.T, eligible func(*simulatedNode) bool) *simulatedNode {
	choices := slices.DeleteFunc(slices.Clone(m.nodes), func(node *simulatedNode) bool { return !eligible(node) })
	if len(choices) == 0 {
		t.Skip("no such node")
	}
	return rapid.SampledFrom(choices).Draw(t, "node")
}

func isRunning(node *simulatedNode) bool { return node.replica != nil && !node.paused }

// survives says whether every configuration that any node knows of, or may
// yet hear of, keeps a quorum of intact disks when the node loses its own.
func (m *faultMachine) survives(loser *simulatedNode) bool {
	return !slices.ContainsFunc(m.knownConfigurations(), func(known indexedConfiguration) bool {
		return len(known.configuration.Voters) > 0 && !m.hasQuorum(known.configuration, loser)
	})
}

// hasQuorum says whether a quorum of voters has its disk, but for the loser's.
func (m *faultMachine) hasQuorum(configuration Configuration, loser *simulatedNode) bool {
	intact := 0
	for _, voter := range configuration.Voters {
		if holder := m.node(voter); holder != nil && holder != loser {
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
	for sent := range m.transit {
		carrier := &Replica{log: &log{}}
		carrier.noteConfigurations(0, sent.message.Entries)
		known = append(known, carrier.configurations...)
		known = append(known, indexedConfiguration{configuration: sent.message.Snapshot.Configuration})
	}
	return known
}

func (m *faultMachine) wantedIDs() []ReplicaID {
	ids := make([]ReplicaID, 0, len(m.wanted))
	for _, position := range m.wanted {
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
		"cut pair": func(t *rapid.T) { m.cut[[2]int{running(t).position, running(t).position}] = true },
		"mend":     func(t *rapid.T) { clear(m.cut) },
		"lose disk": func(t *rapid.T) {
			m.loseDisk(m.pick(t, m.survives))
		},
		"network and disks": func(t *rapid.T) {
			m.noise = noise{
				loss:      float64(rapid.IntRange(0, 30).Draw(t, "loss")) / 100,
				duplicate: float64(rapid.IntRange(0, 30).Draw(t, "duplicate")) / 100,
				maxDelay:  time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * time.Millisecond,
				maxWrite:  time.Duration(rapid.IntRange(1, 400).Draw(t, "write")) * time.Millisecond,
			}
		},
		"compact": func(t *rapid.T) { m.compact(running(t), rapid.IntRange(0, 4).Draw(t, "keep")) },
		"repair":  func(t *rapid.T) { m.repair(m.wantedIDs()) },
		"replace": func(t *rapid.T) { m.replaceWanted(rapid.IntRange(0, len(m.wanted)-1).Draw(t, "place")) },
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

// change proposes a change that nothing calls for, unless it would leave the
// shard without a quorum of intact disks.
func (m *faultMachine) change(at *simulatedNode, change Change) {
	next, err := at.replica.changed(at.replica.configuration(), change)
	if err != nil || !m.hasQuorum(next, nil) {
		return
	}
	if _, _, err := at.replica.ProposeConfig(change); err == nil {
		m.proceed(at)
	}
}

func (s *simulation) compact(node *simulatedNode, keep int) {
	if applied := node.disk.applied.Index; applied > uint64(keep) {
		node.disk.Compact(applied - uint64(keep))
	}
}

// replaceWanted puts a node that shall not vote in the place of one that shall.
func (m *faultMachine) replaceWanted(place int) {
	for position := range m.nodes {
		if !slices.Contains(m.wanted, position) {
			m.wanted[place] = position
			return
		}
	}
}

func (s *simulation) transfer(to *simulatedNode) {
	if leader := s.leader(); leader != nil && leader.replica.TransferLeadership(to.id) == nil {
		s.proceed(leader)
	}
}

// converge heals everything and demands that the shard works, with the wanted
// voters, and that they all hold everything that was ever acknowledged.
func (m *faultMachine) converge() string {
	m.heal()
	repaired := m.runUntil(time.Minute, func() bool {
		m.repair(m.wantedIDs())
		return m.repaired()
	})
	if !repaired {
		return fmt.Sprintf("not repaired after every fault ended: %s", m.oracle.failure)
	}
	if !m.commits(10 * time.Second) {
		return fmt.Sprintf("nothing commits after every fault ended: %s", m.oracle.failure)
	}
	level := m.runUntil(10*time.Second, func() bool {
		return !slices.ContainsFunc(m.wanted, func(position int) bool {
			return m.nodes[position].disk.applied.Index < m.oracle.observed
		})
	})
	if !level {
		return fmt.Sprintf("a voter lacks what was acknowledged: %s", m.oracle.failure)
	}
	return m.checkStates()
}

// repaired says whether the wanted replicas, and only they, vote. A leader that
// is not wanted hands over first.
func (m *faultMachine) repaired() bool {
	leader := m.leader()
	if leader == nil {
		return false
	}
	status := leader.replica.Status()
	wanted := m.wantedIDs()
	if !slices.Contains(wanted, leader.id) {
		if heir := m.node(wanted[0]); status.Configuration.HasVoter(heir.id) {
			m.transfer(heir)
		}
		return false
	}
	slices.Sort(wanted)
	return slices.Equal(wanted, status.Configuration.Members()) && !status.ConfigurationPending
}

func (m *faultMachine) checkStates() string {
	for _, position := range m.wanted {
		for _, entry := range m.nodes[position].state {
			known := m.oracle.entries[entry.Index]
			if known.Term != entry.Term || string(known.Data) != string(entry.Data) {
				return fmt.Sprintf("node %d holds another entry at %d", position, entry.Index)
			}
		}
	}
	return m.oracle.failure
}

func TestFaultsInAnyOrderLoseNothing(t *testing.T) {
	for _, voters := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d voters", voters), func(t *testing.T) {
			totals := map[string]int{}
			rapid.Check(t, func(t *rapid.T) {
				m := &faultMachine{simulation: newSimulation(rapid.Uint64().Draw(t, "seed"), voters, 1)}
				for position := range voters {
					m.wanted = append(m.wanted, position)
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
