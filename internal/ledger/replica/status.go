package replica

import (
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/transport"
)

// Status is a node's view of the ledger, for operators.
type Status struct {
	// Incarnation identifies the disk; 0 on a node without a ledger folder.
	Incarnation uint64        `json:"incarnation,omitempty"`
	DiskFull    bool          `json:"diskFull,omitempty"`
	DiskFailure string        `json:"diskFailure,omitempty"`
	DiskBytes   uint64        `json:"diskBytes,omitempty"`
	Shards      []ShardStatus `json:"shards"`
}

// ShardStatus is a node's view of a shard. Replicas is set on nodes that hold a
// replica; Lag is set only at the leader.
type ShardStatus struct {
	Shard    ledger.ShardID    `json:"shard"`
	Region   string            `json:"region,omitempty"` // region that the replicas are restricted to
	Leader   transport.Address `json:"leader,omitempty"`
	Term     uint64            `json:"term,omitempty"`
	Local    string            `json:"local,omitempty"` // role of this node's replica, if any
	Commit   uint64            `json:"commit,omitempty"`
	Applied  uint64            `json:"applied,omitempty"`
	NoQuorum bool              `json:"noQuorum,omitempty"`
	Halted   string            `json:"halted,omitempty"`
	Replicas []ReplicaStatus   `json:"replicas,omitempty"`
	// ChangePending is set while the listed replica set is not committed: a later leader may
	// have the previous one.
	ChangePending bool `json:"changePending,omitempty"`
}

// ReplicaStatus is the state of one replica of a shard.
type ReplicaStatus struct {
	Replica string `json:"replica"`
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	// State is voter, learner, silent, snapshot or lost-disk.
	State string `json:"state"`
	// Lag is the number of entries by which the replica trails the leader's log.
	Lag uint64 `json:"lag"`
}

// stateVoter is the State of a healthy voter.
const stateVoter = "voter"

// Status returns this node's view of the ledger.
func (s *Service) Status() Status {
	var status Status
	if store := s.disk(); store != nil {
		status.Incarnation = store.Incarnation()
		status.DiskFull = store.Full()
		status.DiskBytes = store.DiskBytes()
	}
	if err := s.diskFailure(); err != nil {
		status.DiskFailure = err.Error()
	}
	for id := range ledger.ShardID(s.options.Shards) {
		status.Shards = append(status.Shards, s.shardStatus(id))
	}
	for _, id := range s.Regional() {
		status.Shards = append(status.Shards, s.shardStatus(id))
	}
	return status
}

func (s *Service) shardStatus(id ledger.ShardID) ShardStatus {
	described := ShardStatus{Shard: id, Region: s.Region(id)}
	described.Leader, _ = s.directory.leader(id)
	if shard, found := s.local(id); found {
		shard.describe(&described)
	}
	return described
}

func (s *Shard) describe(described *ShardStatus) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	status := s.core.Status()
	described.Term = status.Term
	described.Local = status.Role.String()
	described.Commit = status.Commit
	described.Applied = status.Applied
	described.NoQuorum = s.quorumLost
	described.ChangePending = status.ConfigurationPending
	if s.halted != nil {
		described.Halted = s.halted.Error()
	}
	for _, id := range status.Configuration.Members() {
		described.Replicas = append(described.Replicas, s.describeReplica(status, id))
	}
}

func (s *Shard) describeReplica(status replication.Status, id replication.ReplicaID) ReplicaStatus {
	entry := s.roster[id]
	replica := ReplicaStatus{Replica: id.String(), Node: entry.Node, Zone: entry.Zone, State: stateVoter}
	if status.Configuration.HasLearner(id) {
		replica.State = "learner"
	}
	follower, known := status.Followers[id]
	if !known {
		return replica
	}
	replica.Lag = status.LastIndex - min(follower.Match, status.LastIndex)
	switch {
	case s.repair.superseded[id]:
		replica.State = "lost-disk"
	case follower.Silent:
		replica.State = "silent"
	case follower.Snapshotting:
		replica.State = "snapshot"
	}
	return replica
}
