package replication

// Status is a replica's state for operators, metrics and repair.
type Status struct {
	ID            ReplicaID
	Role          Role
	Leader        ReplicaID
	Term          uint64
	Commit        uint64
	Applied       uint64
	LastIndex     uint64
	Configuration Configuration
	// ConfigurationPending says that the newest change is uncommitted.
	ConfigurationPending bool
	TransferringTo       ReplicaID
	// Installing says that a snapshot was taken, but Advance has not yet
	// confirmed its installation. Commit includes it already.
	Installing bool
	// Followers is set at the leader only.
	Followers map[ReplicaID]FollowerStatus
}

// FollowerStatus is what the leader knows of a member.
type FollowerStatus struct {
	Match uint64
	// Silent says that it did not answer within the election timeout.
	Silent bool
	// Snapshotting says that it is being sent a snapshot.
	Snapshotting bool
}

// Leading says whether this replica leads, and its term. It costs nothing.
func (r *Replica) Leading() (bool, uint64) { return r.role == RoleLeader, r.term }

// Status describes the replica now.
func (r *Replica) Status() Status {
	newest := r.configurations[len(r.configurations)-1]
	status := Status{
		ID: r.config.ID, Role: r.role, Leader: r.leader, Term: r.term,
		Commit: r.log.committed, Applied: r.log.applied, LastIndex: r.log.lastIndex(),
		Configuration:        newest.configuration.clone(),
		ConfigurationPending: newest.index > r.log.committed,
		TransferringTo:       r.leading.transferTo,
		Installing:           r.log.snapshot != nil,
	}
	if r.role != RoleLeader {
		return status
	}
	status.Followers = make(map[ReplicaID]FollowerStatus, len(r.leading.progress))
	for id, p := range r.leading.progress {
		status.Followers[id] = FollowerStatus{
			Match:        p.match,
			Silent:       id != r.config.ID && r.now.Sub(p.lastHeard) > r.config.ElectionTimeout,
			Snapshotting: p.state == progressSnapshot,
		}
	}
	return status
}
