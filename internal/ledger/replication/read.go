package replication

// pendingRead is a read that waits for a quorum to confirm its round.
type pendingRead struct {
	token uint64
	index uint64
	// round is zero until the read is assigned to a heartbeat round.
	round uint64
}

// ReadIndex starts a linearizable read. Ready.ReadStates returns its result with
// the token once a quorum has confirmed that this replica was still the leader
// when the read began, or with Aborted set once it is no longer the leader.
func (r *Replica) ReadIndex(token uint64) error {
	if r.Err() != nil {
		return r.Err()
	}
	if r.role != RoleLeader {
		return ErrNotLeader
	}
	// Until the first entry of its term is committed, the leader may not know
	// the latest commit index, but that index is below this entry's.
	index := max(r.log.committed, r.leaderState.termStart)
	r.leaderState.reads = append(r.leaderState.reads, pendingRead{token: token, index: index})
	return nil
}

// announceReads assigns all new reads to one round and broadcasts a heartbeat.
func (r *Replica) announceReads() {
	reads := r.leaderState.reads
	if len(reads) == 0 || reads[len(reads)-1].round != 0 {
		return
	}
	r.leaderState.round++
	for i := range reads {
		if reads[i].round == 0 {
			reads[i].round = r.leaderState.round
		}
	}
	r.broadcastHeartbeat()
	r.confirmReads()
}

func (r *Replica) confirmReads() {
	if own := r.leaderState.progress[r.config.ID]; own != nil {
		own.round = r.leaderState.round
	}
	confirmed := r.quorumValue(func(p *progress) uint64 { return p.round })
	released := 0
	for _, read := range r.leaderState.reads {
		if read.round == 0 || read.round > confirmed {
			break
		}
		r.readStates = append(r.readStates, ReadState{Token: read.token, Index: read.index})
		released++
	}
	r.leaderState.reads = r.leaderState.reads[released:]
}

func (r *Replica) abortReads() {
	for _, read := range r.leaderState.reads {
		r.readStates = append(r.readStates, ReadState{Token: read.token, Aborted: true})
	}
	r.leaderState.reads = nil
}
