package replication

import "time"

// Role is the role of a replica in its current term.
type Role uint8

// Roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String implements fmt.Stringer.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// SoftState is the state that need not be persisted.
type SoftState struct {
	Role   Role
	Leader ReplicaID // zero when none is known
}

// ReadState is the result of a ReadIndex call. The read is linearizable once the
// applied index has reached Index. If Aborted is set, the caller must fail the
// read at once.
type ReadState struct {
	Token   uint64
	Index   uint64
	Aborted bool
}

// Ready is the work to do next, in the order given in the package documentation.
type Ready struct {
	// Immediate may be sent at once, before the rest is persisted.
	Immediate []Message
	// HardState is nil when unchanged.
	HardState *HardState
	// Entries replace the log from the index of the first one on.
	Entries []Entry
	// Snapshot is set if staged data must replace the log and the applied state.
	Snapshot *SnapshotMarker
	// MustSync is false if at most the commit index needs to be persisted.
	MustSync bool
	// Messages may be sent only after all of the above is persisted.
	Messages []Message
	// CommittedEntries must be applied after the above is persisted. Empty
	// normal entries and configurations are not passed to the state machine,
	// but advance the applied index as well.
	CommittedEntries []Entry
	ReadStates       []ReadState
	// SoftState is nil when unchanged.
	SoftState *SoftState
}

// pendingReady records the last Ready until Advance is called.
type pendingReady struct {
	hardState HardState
	lastIndex uint64 // of Entries; zero if there are none
	lastTerm  uint64
	snapshot  *SnapshotMarker
	applied   uint64
	since     time.Time
}

// HasReady reports whether there is work; it is false between Ready and Advance.
func (r *Replica) HasReady() bool {
	if r.Err() != nil || r.pending != nil {
		return false
	}
	r.queueMessages()
	return len(r.messages) > 0 || len(r.readStates) > 0 ||
		r.hardState() != r.persisted || r.softState() != r.reported ||
		r.log.snapshot != nil || r.log.stable < r.log.lastIndex() ||
		r.log.applied < r.log.committed
}

// Ready returns the work to do and must be followed by Advance. It panics if the
// previous Ready was not.
func (r *Replica) Ready() Ready {
	if r.pending != nil {
		panic("replication: Ready before Advance")
	}
	r.queueMessages()
	ready := Ready{
		Entries:          r.log.unstable(),
		Snapshot:         r.log.snapshot,
		CommittedEntries: r.log.nextToApply(r.config.MaxApplyBytes),
		ReadStates:       r.readStates,
	}
	r.reportStates(&ready)
	ready.Immediate = r.takeImmediate()
	ready.Messages = r.messages
	r.messages = nil
	r.readStates = nil
	r.trackReady(ready)
	return ready
}

// queueMessages queues a leader's messages for new reads and entries.
func (r *Replica) queueMessages() {
	if r.role != RoleLeader {
		return
	}
	r.advanceCommit() // a single voter commits without responses
	r.announceReads()
	r.broadcastAppends()
}

func (r *Replica) reportStates(ready *Ready) {
	if hard := r.hardState(); hard != r.persisted {
		ready.HardState = &hard
		ready.MustSync = hard.Term != r.persisted.Term || hard.Vote != r.persisted.Vote
	}
	ready.MustSync = ready.MustSync || len(ready.Entries) > 0 || ready.Snapshot != nil
	if soft := r.softState(); soft != r.reported {
		ready.SoftState = &soft
		r.reported = soft
	}
}

// Immediate returns the messages that may be sent at once, also between Ready
// and Advance: heartbeats, read rounds and appends need not wait for the disk.
// It returns none once a Ready has been pending for longer than
// Config.WriteTimeout, so that the other replicas detect the hung disk.
func (r *Replica) Immediate() []Message {
	if r.Err() != nil || (r.pending != nil && r.now.Sub(r.pending.since) > r.config.WriteTimeout) {
		return nil
	}
	r.queueMessages()
	return r.takeImmediate()
}

// takeImmediate dequeues the messages that do not depend on a pending write.
func (r *Replica) takeImmediate() []Message {
	var immediate []Message
	deferred := r.messages[:0]
	for _, message := range r.messages {
		if r.sendableBeforeSync(message) {
			immediate = append(immediate, message)
		} else {
			deferred = append(deferred, message)
		}
	}
	r.messages = deferred
	return immediate
}

// sendableBeforeSync reports whether a message does not depend on a pending
// write: a leader's message or a heartbeat response in an already persisted
// term.
func (r *Replica) sendableBeforeSync(message Message) bool {
	if message.Term != r.persisted.Term {
		return false
	}
	switch message.Type {
	case MessageAppend, MessageHeartbeat, MessageHeartbeatResponse, MessageSnapshot, MessageTimeoutNow:
		return true
	}
	return false
}

func (r *Replica) trackReady(ready Ready) {
	r.pending = &pendingReady{hardState: r.hardState(), snapshot: ready.Snapshot, applied: r.log.applied, since: r.now}
	if count := len(ready.Entries); count > 0 {
		r.pending.lastIndex = ready.Entries[count-1].Index
		r.pending.lastTerm = ready.Entries[count-1].Term
	}
	if ready.Snapshot != nil {
		r.pending.applied = ready.Snapshot.Index
	}
	if count := len(ready.CommittedEntries); count > 0 {
		r.pending.applied = ready.CommittedEntries[count-1].Index
	}
}

// Advance confirms the work of the last Ready. It panics if there is none.
func (r *Replica) Advance() {
	pending := r.pending
	if pending == nil {
		panic("replication: Advance before Ready")
	}
	r.pending = nil
	r.persisted = pending.hardState
	if pending.snapshot != nil && r.log.snapshot == pending.snapshot {
		r.log.snapshot = nil
	}
	if pending.lastIndex > 0 {
		r.log.markStable(pending.lastIndex, pending.lastTerm)
	}
	r.log.applied = max(r.log.applied, pending.applied)
	r.log.trimTail(r.config.CacheBytes)
	r.pruneConfigurations()
	if r.role == RoleLeader {
		r.updateOwnProgress()
		r.advanceCommit()
	}
}

func (r *Replica) hardState() HardState {
	return HardState{Term: r.term, Vote: r.vote, Commit: r.log.committed}
}

func (r *Replica) softState() SoftState { return SoftState{Role: r.role, Leader: r.leader} }
