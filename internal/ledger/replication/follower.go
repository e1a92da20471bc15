package replication

import "fmt"

// handleFromLeader handles messages that only the leader of the current term sends.
func (r *Replica) handleFromLeader(message Message) {
	if r.role == RoleLeader {
		r.log.fail(fmt.Errorf("replication: %s also claims to be the leader of term %d", message.From, r.term))
		return
	}
	if r.role != RoleFollower || r.leader != message.From {
		r.becomeFollower(message.Term, message.From)
	}
	r.lastLeaderContact = r.now
	r.resetElectionDeadline()
	switch message.Type {
	case MessageAppend:
		r.handleAppend(message)
	case MessageHeartbeat:
		r.log.commitTo(message.Commit)
		r.send(Message{Type: MessageHeartbeatResponse, To: message.From, Round: message.Round})
	case MessageSnapshot:
		r.handleSnapshot(message)
	}
}

func (r *Replica) handleAppend(message Message) {
	if message.Index < r.log.committed {
		r.send(Message{Type: MessageAppendResponse, To: message.From, Index: r.log.committed})
		return
	}
	if !r.log.matches(message.Index, message.LogTerm) {
		r.rejectAppend(message)
		return
	}
	if from := r.log.merge(message.Entries); from > 0 {
		r.recordConfigurations(from, message.Entries)
	}
	last := message.Index + uint64(len(message.Entries))
	r.log.commitTo(min(message.Commit, last))
	r.send(Message{Type: MessageAppendResponse, To: message.From, Index: last})
}

// rejectAppend responds with the last position that can match as a hint. Terms
// never decrease along the leader's log, so up to message.Index it has no term
// above message.LogTerm.
func (r *Replica) rejectAppend(message Message) {
	last := min(message.Index, r.log.lastIndex())
	hint, term := r.log.lastWithTermAtMost(last, message.LogTerm, r.log.committed)
	r.send(Message{
		Type: MessageAppendResponse, To: message.From, Reject: true,
		Index: message.Index, Hint: hint, LogTerm: term,
	})
}

func (r *Replica) handleSnapshot(message Message) {
	marker := message.Snapshot
	if marker.Index > r.log.committed && r.log.matches(marker.Index, marker.Term) {
		r.log.commitTo(marker.Index) // the log already contains the snapshot
	}
	if marker.Index > r.log.committed {
		r.log.restore(marker)
		r.configurations = configurationHistory{{marker.Index, marker.Configuration}}
	}
	r.send(Message{Type: MessageAppendResponse, To: message.From, Index: r.log.committed})
}
