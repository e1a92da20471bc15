package replication

// Status is a snapshot of a replica's state for operators, metrics and repair.
type Status struct {
	ID            ReplicaID
	Role          Role
	Leader        ReplicaID
	Term          uint64
	Commit        uint64
	Applied       uint64
	LastIndex     uint64
	Configuration Configuration
	// ConfigurationPending is set while the latest configuration is uncommitted.
	ConfigurationPending bool
	TransferringTo       ReplicaID
	// Installing is set from the acceptance of a snapshot until Advance confirms
	// its installation. Commit already includes the snapshot.
	Installing bool
	// Followers has all members, itself included, on the leader; nil elsewhere.
	Followers map[ReplicaID]FollowerStatus
}

// FollowerStatus is the leader's view of one member.
type FollowerStatus struct {
	Match uint64
	// Silent is set if the member did not respond within the election timeout.
	Silent bool
	// Snapshotting is set while the member has a snapshot to install.
	Snapshotting bool
}

// Leading reports whether this replica is the leader, and its current term.
func (r *Replica) Leading() (bool, uint64) { return r.role == RoleLeader, r.term }

// Status returns the current status.
func (r *Replica) Status() Status {
	newest := r.configurations[len(r.configurations)-1]
	status := Status{
		ID: r.config.ID, Role: r.role, Leader: r.leader, Term: r.term,
		Commit: r.log.committed, Applied: r.log.applied, LastIndex: r.log.lastIndex(),
		Configuration:        newest.configuration.clone(),
		ConfigurationPending: newest.index > r.log.committed,
		TransferringTo:       r.leaderState.transferTo,
		Installing:           r.log.snapshot != nil,
	}
	if r.role != RoleLeader {
		return status
	}
	status.Followers = make(map[ReplicaID]FollowerStatus, len(r.leaderState.progress))
	for id, p := range r.leaderState.progress {
		status.Followers[id] = FollowerStatus{
			Match:        p.match,
			Silent:       id != r.config.ID && r.now.Sub(p.lastHeard) > r.config.ElectionTimeout,
			Snapshotting: p.state == progressSnapshot,
		}
	}
	return status
}
