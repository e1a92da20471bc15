package replication

import "time"

// Role of a replica.
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

// SoftState is what need not be persisted.
type SoftState struct {
	Role   Role
	Leader ReplicaID // zero when none is known
}

// ReadState answers a ReadIndex. A read is linearizable once the applied
// index has reached Index; an aborted one must be answered with an error now.
type ReadState struct {
	Token   uint64
	Index   uint64
	Aborted bool
}

// Ready is what the shell has to do next; see the package's contract.
type Ready struct {
	// Immediate may be sent at once, before anything is persisted.
	Immediate []Message
	// HardState is nil when unchanged.
	HardState *HardState
	// Entries replace the log from the first one's index on.
	Entries []Entry
	// Snapshot is set when staged data must replace log and applied state.
	Snapshot *SnapshotMarker
	// MustSync is false when only the commit index changed.
	MustSync bool
	// Messages may be sent only once all of the above is on disk.
	Messages []Message
	// CommittedEntries are to be applied, after persisting. An empty normal
	// entry and a configuration are not for the state machine, but move the
	// applied index too.
	CommittedEntries []Entry
	ReadStates       []ReadState
	// SoftState is nil when unchanged.
	SoftState *SoftState
}

// handedReady remembers what the shell is working on until Advance.
type handedReady struct {
	hardState HardState
	lastIndex uint64 // of Entries, zero without any
	lastTerm  uint64
	snapshot  *SnapshotMarker
	applied   uint64
	since     time.Time
}

// HasReady says whether Ready would return anything to do.
func (r *Replica) HasReady() bool {
	if r.Err() != nil || r.handed != nil {
		return false
	}
	r.flush()
	return len(r.messages) > 0 || len(r.readStates) > 0 ||
		r.hardState() != r.persisted || r.softState() != r.reported ||
		r.log.snapshot != nil || r.log.stable < r.log.lastIndex() ||
		r.log.applied < r.log.committed
}

// Ready returns what is to be done, and must be followed by Advance. It
// panics if the last one was not.
func (r *Replica) Ready() Ready {
	if r.handed != nil {
		panic("replication: Ready before Advance")
	}
	r.flush()
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
	r.remember(ready)
	return ready
}

// flush turns what has gathered since the last Ready into messages.
func (r *Replica) flush() {
	if r.role != RoleLeader {
		return
	}
	r.advanceCommit() // a quorum of one needs no answer
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

// Immediate returns the messages that may be sent at once, also while the
// shell works on a Ready: heartbeats, read rounds and appends need not wait
// for the disk. Once a Ready takes longer than Config.WriteTimeout there are
// none, so that others notice.
func (r *Replica) Immediate() []Message {
	if r.Err() != nil || (r.handed != nil && r.now.Sub(r.handed.since) > r.config.WriteTimeout) {
		return nil
	}
	r.flush()
	return r.takeImmediate()
}

// takeImmediate takes the messages that promise nothing about any write: what
// a leader sends at a term that is persisted already, and a follower's sign of
// life at one.
func (r *Replica) takeImmediate() []Message {
	var immediate []Message
	kept := r.messages[:0]
	for _, message := range r.messages {
		if r.promisesNothing(message) {
			immediate = append(immediate, message)
		} else {
			kept = append(kept, message)
		}
	}
	r.messages = kept
	return immediate
}

func (r *Replica) promisesNothing(message Message) bool {
	if message.Term != r.persisted.Term {
		return false
	}
	switch message.Type {
	case MessageAppend, MessageHeartbeat, MessageHeartbeatResponse, MessageSnapshot, MessageTimeoutNow:
		return true
	}
	return false
}

func (r *Replica) remember(ready Ready) {
	r.handed = &handedReady{hardState: r.hardState(), snapshot: ready.Snapshot, applied: r.log.applied, since: r.now}
	if count := len(ready.Entries); count > 0 {
		r.handed.lastIndex = ready.Entries[count-1].Index
		r.handed.lastTerm = ready.Entries[count-1].Term
	}
	if ready.Snapshot != nil {
		r.handed.applied = ready.Snapshot.Index
	}
	if count := len(ready.CommittedEntries); count > 0 {
		r.handed.applied = ready.CommittedEntries[count-1].Index
	}
}

// Advance says that everything in the last Ready is done.
func (r *Replica) Advance() {
	handed := r.handed
	if handed == nil {
		panic("replication: Advance before Ready")
	}
	r.handed = nil
	r.persisted = handed.hardState
	if handed.snapshot != nil && r.log.snapshot == handed.snapshot {
		r.log.snapshot = nil
	}
	if handed.lastIndex > 0 {
		r.log.stabilized(handed.lastIndex, handed.lastTerm)
	}
	r.log.applied = max(r.log.applied, handed.applied)
	r.log.shrink(r.config.CacheBytes)
	r.forgetConfigurations()
	if r.role == RoleLeader {
		r.confirmOwn()
		r.advanceCommit()
	}
}

func (r *Replica) hardState() HardState {
	return HardState{Term: r.term, Vote: r.vote, Commit: r.log.committed}
}

func (r *Replica) softState() SoftState { return SoftState{Role: r.role, Leader: r.leader} }
