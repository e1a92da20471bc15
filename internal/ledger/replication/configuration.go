package replication

import (
	"fmt"
	"slices"
)

// ChangeType is the kind of a configuration change.
type ChangeType uint8

// Change types.
const (
	// AddLearner adds a replica that receives the log but does not vote.
	AddLearner ChangeType = iota + 1
	// PromoteLearner turns a learner that has caught up into a voter.
	PromoteLearner
	// RemoveReplica removes a learner or a voter other than the leader.
	RemoveReplica
)

// Change is a configuration change that affects a single replica.
type Change struct {
	Type    ChangeType
	Replica ReplicaID
}

// configurationHistory holds the last committed configuration and all later
// ones in the log, ordered by index.
type configurationHistory []indexedConfiguration

type indexedConfiguration struct {
	index         uint64
	configuration Configuration
}

// scanBytes limits each read while the log is scanned for configurations.
const scanBytes = 1 << 20

// loadConfigurations reads the applied configuration and all later ones in the log.
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
		r.recordConfigurations(0, entries)
		from = entries[len(entries)-1].Index + 1
	}
	return r.Err()
}

// configuration returns the active configuration: the latest in the log, committed or not.
func (r *Replica) configuration() Configuration {
	return r.configurations[len(r.configurations)-1].configuration
}

// recordConfigurations adds the configurations among entries to the history,
// after removing those at or above index from, which the entries replace. A
// from of zero removes none.
func (r *Replica) recordConfigurations(from uint64, entries []Entry) {
	if from > 0 {
		r.configurations = slices.DeleteFunc(r.configurations, func(c indexedConfiguration) bool { return c.index >= from })
	}
	for _, entry := range entries {
		if entry.Type != EntryConfiguration || entry.Index < from {
			continue
		}
		configuration, err := UnmarshalConfiguration(entry.Data)
		if err != nil {
			r.log.fail(fmt.Errorf("replication: decode configuration at index %d: %w", entry.Index, err))
			return
		}
		r.configurations = append(r.configurations, indexedConfiguration{entry.Index, configuration})
	}
}

// pruneConfigurations drops configurations superseded by a committed one.
func (r *Replica) pruneConfigurations() {
	for len(r.configurations) > 1 && r.configurations[1].index <= r.log.committed {
		r.configurations = r.configurations[1:]
	}
}

// ProposeConfig appends a configuration change to the log. It is accepted only
// if the leader has committed an entry of its own term and no other change is
// uncommitted, so that the quorums of any two concurrently active
// configurations overlap.
func (r *Replica) ProposeConfig(change Change) (index, term uint64, err error) {
	if err := r.checkProposable(); err != nil {
		return 0, 0, err
	}
	newest := r.configurations[len(r.configurations)-1]
	if r.log.committed < max(r.leaderState.termStart, newest.index) {
		return 0, 0, ErrChangePending
	}
	next, err := r.applyChange(newest.configuration, change)
	if err != nil {
		return 0, 0, err
	}
	index = r.appendEntry(EntryConfiguration, next.Marshal())
	r.configurations = append(r.configurations, indexedConfiguration{index, next})
	r.trackMembers()
	return index, r.term, nil
}

// applyChange returns the changed configuration, or an error if the change is invalid.
func (r *Replica) applyChange(from Configuration, change Change) (Configuration, error) {
	next := from.clone()
	switch change.Type {
	case AddLearner:
		if change.Replica == 0 || from.HasVoter(change.Replica) || from.HasLearner(change.Replica) {
			return next, fmt.Errorf("%w: %s is already a member", ErrChangeRejected, change.Replica)
		}
		next.Learners = insert(next.Learners, change.Replica)
	case PromoteLearner:
		if !from.HasLearner(change.Replica) || !r.CaughtUp(change.Replica) {
			return next, fmt.Errorf("%w: %s is not a caught-up learner", ErrChangeRejected, change.Replica)
		}
		next.Learners = remove(next.Learners, change.Replica)
		next.Voters = insert(next.Voters, change.Replica)
	case RemoveReplica:
		if change.Replica == r.config.ID || !slices.Contains(from.Members(), change.Replica) {
			return next, fmt.Errorf("%w: %s is the leader or not a member", ErrChangeRejected, change.Replica)
		}
		next.Learners = remove(next.Learners, change.Replica)
		next.Voters = remove(next.Voters, change.Replica)
	default:
		return next, fmt.Errorf("%w: unknown change type %d", ErrChangeRejected, change.Type)
	}
	return next, nil
}

// CaughtUp reports whether a follower is known to have persisted all committed entries.
func (r *Replica) CaughtUp(id ReplicaID) bool {
	p := r.leaderState.progress[id]
	return p != nil && p.match >= r.log.committed
}

func insert(ids []ReplicaID, id ReplicaID) []ReplicaID {
	i, found := slices.BinarySearch(ids, id)
	if found {
		return ids
	}
	return slices.Insert(ids, i, id)
}

func remove(ids []ReplicaID, id ReplicaID) []ReplicaID {
	return slices.DeleteFunc(ids, func(other ReplicaID) bool { return other == id })
}

// NextChange returns the next step from the current configuration to one whose
// voters are the desired ones, or false if there is no step to take now. New
// replicas are added as learners and then promoted. A voter that is no longer
// desired is removed once its replacement votes, so that there is at most one
// extra voter and never one too few. The leader is never removed: it must
// transfer its leadership first.
func NextChange(current Configuration, leader ReplicaID, desired []ReplicaID, caughtUp func(ReplicaID) bool) (Change, bool) {
	removable := func(id ReplicaID) bool { return id != leader && !slices.Contains(desired, id) }
	if i := slices.IndexFunc(current.Learners, removable); i >= 0 {
		return Change{RemoveReplica, current.Learners[i]}, true
	}
	if i := slices.IndexFunc(current.Voters, removable); i >= 0 && len(current.Voters) > len(desired) {
		return Change{RemoveReplica, current.Voters[i]}, true
	}
	if i := slices.IndexFunc(current.Learners, caughtUp); i >= 0 {
		return Change{PromoteLearner, current.Learners[i]}, true
	}
	for _, id := range desired {
		if !slices.Contains(current.Members(), id) {
			return Change{AddLearner, id}, true
		}
	}
	return Change{}, false
}
