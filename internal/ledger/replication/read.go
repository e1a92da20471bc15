package replication

// pendingRead waits until a quorum has confirmed its round.
type pendingRead struct {
	token uint64
	index uint64
	// round is zero until the read is announced to the followers.
	round uint64
}

// ReadIndex starts a linearizable read. Its answer comes as a ReadState with
// the token: after a quorum has confirmed that this replica still led when
// the read began, or aborted as soon as it no longer leads.
func (r *Replica) ReadIndex(token uint64) error {
	if r.Err() != nil {
		return r.Err()
	}
	if r.role != RoleLeader {
		return ErrNotLeader
	}
	// Until the term's first entry is committed, the leader may not know all
	// that is committed, but all of it precedes that entry.
	index := max(r.log.committed, r.leading.termStart)
	r.leading.reads = append(r.leading.reads, pendingRead{token: token, index: index})
	return nil
}

// announceReads puts the reads that came since the last Ready into one round.
func (r *Replica) announceReads() {
	reads := r.leading.reads
	if len(reads) == 0 || reads[len(reads)-1].round != 0 {
		return
	}
	r.leading.round++
	for i := range reads {
		if reads[i].round == 0 {
			reads[i].round = r.leading.round
		}
	}
	r.broadcastHeartbeat()
	r.confirmReads()
}

func (r *Replica) confirmReads() {
	if own := r.leading.progress[r.config.ID]; own != nil {
		own.round = r.leading.round
	}
	confirmed := r.quorumValue(func(p *progress) uint64 { return p.round })
	released := 0
	for _, read := range r.leading.reads {
		if read.round == 0 || read.round > confirmed {
			break
		}
		r.readStates = append(r.readStates, ReadState{Token: read.token, Index: read.index})
		released++
	}
	r.leading.reads = r.leading.reads[released:]
}

func (r *Replica) abortReads() {
	for _, read := range r.leading.reads {
		r.readStates = append(r.readStates, ReadState{Token: read.token, Aborted: true})
	}
	r.leading.reads = nil
}
