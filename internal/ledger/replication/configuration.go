package replication

import (
	"fmt"
	"slices"
)

// ChangeType says what a configuration change does.
type ChangeType uint8

// Change types.
const (
	// AddLearner adds a replica that receives the log, but does not count.
	AddLearner ChangeType = iota + 1
	// PromoteLearner makes a learner that has caught up a voter.
	PromoteLearner
	// RemoveReplica removes a learner or a voter, but not the leader.
	RemoveReplica
)

// Change is a single step of a configuration change.
type Change struct {
	Type    ChangeType
	Replica ReplicaID
}

// configurationHistory holds the configurations in the log from the last
// committed one on, in the order of their index.
type configurationHistory []indexedConfiguration

type indexedConfiguration struct {
	index         uint64
	configuration Configuration
}

// scanBytes bounds one read while the log is scanned for configurations.
const scanBytes = 1 << 20

// loadConfigurations finds the configurations after the applied index.
func (r *Replica) loadConfigurations() error {
	marker, err := r.config.Storage.Snapshot()
	if err != nil {
		return fmt.Errorf("replication: read snapshot marker: %w", err)
	}
	r.configurations = configurationHistory{{marker.Index, marker.Configuration}}
	for from := marker.Index + 1; from <= r.log.lastIndex(); {
		entries := r.log.entries(from, r.log.lastIndex()+1, scanBytes)
		if len(entries) == 0 {
			break
		}
		r.noteConfigurations(0, entries)
		from = entries[len(entries)-1].Index + 1
	}
	return r.Err()
}

// configuration returns the one in force: the newest in the log.
func (r *Replica) configuration() Configuration {
	return r.configurations[len(r.configurations)-1].configuration
}

// noteConfigurations takes the configurations among the entries from index
// on, in place of any that the log held there.
func (r *Replica) noteConfigurations(from uint64, entries []Entry) {
	if from > 0 {
		r.configurations = slices.DeleteFunc(r.configurations, func(c indexedConfiguration) bool { return c.index >= from })
	}
	for _, entry := range entries {
		if entry.Type != EntryConfiguration || entry.Index < from {
			continue
		}
		configuration, err := UnmarshalConfiguration(entry.Data)
		if err != nil {
			r.log.fail(fmt.Errorf("replication: configuration at %d: %w", entry.Index, err))
			return
		}
		r.configurations = append(r.configurations, indexedConfiguration{entry.Index, configuration})
	}
}

// forgetConfigurations drops those that were replaced by committed ones.
func (r *Replica) forgetConfigurations() {
	for len(r.configurations) > 1 && r.configurations[1].index <= r.log.committed {
		r.configurations = r.configurations[1:]
	}
}

// ProposeConfig appends a configuration change to the log. One is accepted
// only when the leader has committed an entry of its own term and no other
// change is uncommitted: then any two quorums that can exist side by side
// overlap.
func (r *Replica) ProposeConfig(change Change) (index, term uint64, err error) {
	if err := r.mayPropose(); err != nil {
		return 0, 0, err
	}
	newest := r.configurations[len(r.configurations)-1]
	if r.log.committed < max(r.leading.termStart, newest.index) {
		return 0, 0, ErrChangePending
	}
	next, err := r.changed(newest.configuration, change)
	if err != nil {
		return 0, 0, err
	}
	index = r.appendOwn(EntryConfiguration, next.Marshal())
	r.configurations = append(r.configurations, indexedConfiguration{index, next})
	r.trackMembers()
	return index, r.term, nil
}

func (r *Replica) changed(from Configuration, change Change) (Configuration, error) {
	next := from.clone()
	switch change.Type {
	case AddLearner:
		if change.Replica == 0 || from.HasVoter(change.Replica) || from.HasLearner(change.Replica) {
			return next, fmt.Errorf("%w: %s is a member", ErrChangeRefused, change.Replica)
		}
		next.Learners = insert(next.Learners, change.Replica)
	case PromoteLearner:
		if !from.HasLearner(change.Replica) || !r.CaughtUp(change.Replica) {
			return next, fmt.Errorf("%w: %s is not a learner that has caught up", ErrChangeRefused, change.Replica)
		}
		next.Learners = remove(next.Learners, change.Replica)
		next.Voters = insert(next.Voters, change.Replica)
	case RemoveReplica:
		if change.Replica == r.config.ID || !slices.Contains(from.Members(), change.Replica) {
			return next, fmt.Errorf("%w: %s leads or is no member", ErrChangeRefused, change.Replica)
		}
		next.Learners = remove(next.Learners, change.Replica)
		next.Voters = remove(next.Voters, change.Replica)
	default:
		return next, fmt.Errorf("%w: change type %d", ErrChangeRefused, change.Type)
	}
	return next, nil
}

// CaughtUp says whether a follower has persisted everything that is committed.
func (r *Replica) CaughtUp(id ReplicaID) bool {
	p := r.leading.progress[id]
	return p != nil && p.match >= r.log.committed
}

func insert(ids []ReplicaID, id ReplicaID) []ReplicaID {
	at, found := slices.BinarySearch(ids, id)
	if found {
		return ids
	}
	return slices.Insert(ids, at, id)
}

func remove(ids []ReplicaID, id ReplicaID) []ReplicaID {
	return slices.DeleteFunc(ids, func(other ReplicaID) bool { return other == id })
}

// NextChange plans the next step from a configuration to one whose voters are
// the wanted ones. Newcomers become learners, then voters; a replica that is
// no longer wanted is removed as soon as another has taken its place, and
// never the leader, which must transfer its leadership first. So there is at
// most one voter too many, and never one too few. The result is false when
// nothing is to be done now.
func NextChange(current Configuration, leader ReplicaID, wanted []ReplicaID, caughtUp func(ReplicaID) bool) (Change, bool) {
	unwanted := func(id ReplicaID) bool { return id != leader && !slices.Contains(wanted, id) }
	if at := slices.IndexFunc(current.Learners, unwanted); at >= 0 {
		return Change{RemoveReplica, current.Learners[at]}, true
	}
	if at := slices.IndexFunc(current.Voters, unwanted); at >= 0 && len(current.Voters) > len(wanted) {
		return Change{RemoveReplica, current.Voters[at]}, true
	}
	if at := slices.IndexFunc(current.Learners, caughtUp); at >= 0 {
		return Change{PromoteLearner, current.Learners[at]}, true
	}
	for _, id := range wanted {
		if !slices.Contains(current.Members(), id) {
			return Change{AddLearner, id}, true
		}
	}
	return Change{}, false
}
