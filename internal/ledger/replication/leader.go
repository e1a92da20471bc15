package replication

import (
	"slices"
	"time"
)

// leaderState is the state that a replica keeps only while it is the leader.
type leaderState struct {
	progress map[ReplicaID]*progress
	// termStart is the index of the first entry of the leader's term. Once it
	// is committed, so is every entry that an earlier leader committed.
	termStart uint64
	// uncommitted counts the bytes of uncommitted proposals.
	uncommitted       window
	heartbeatDeadline time.Time

	// round is the latest read round sent to the followers.
	round uint64
	reads []pendingRead

	transferTo       ReplicaID
	transferDeadline time.Time
}

func (r *Replica) becomeLeader() {
	r.becomeFollower(r.term, r.config.ID)
	r.role = RoleLeader
	r.leaderState = leaderState{
		progress:          map[ReplicaID]*progress{},
		termStart:         r.log.lastIndex() + 1,
		heartbeatDeadline: r.now.Add(r.config.HeartbeatInterval),
	}
	r.trackMembers()
	r.appendEntry(EntryNormal, nil)
}

// trackMembers updates the progress map to the members of the active configuration.
func (r *Replica) trackMembers() {
	members := r.configuration().Members()
	for _, id := range members {
		if r.leaderState.progress[id] == nil {
			r.leaderState.progress[id] = &progress{next: r.log.lastIndex() + 1, lastHeard: r.now}
		}
	}
	for id := range r.leaderState.progress {
		if !slices.Contains(members, id) {
			delete(r.leaderState.progress, id)
		}
	}
	r.updateOwnProgress()
}

// updateOwnProgress sets the leader's own match index to its last persisted index.
func (r *Replica) updateOwnProgress() {
	if own := r.leaderState.progress[r.config.ID]; own != nil {
		own.confirm(r.log.stable, r.now)
	}
}

// Propose appends data to the log and returns the entry's index and term. The
// proposal is committed once Ready.CommittedEntries contains an entry with both,
// and lost once an entry of another term is committed at that index.
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if err := r.checkProposable(); err != nil {
		return 0, 0, err
	}
	if len(data) > MaxEntryBytes {
		return 0, 0, ErrEntryTooLarge
	}
	if r.leaderState.uncommitted.bytes > r.config.MaxUncommittedBytes {
		return 0, 0, ErrTooManyUncommitted
	}
	return r.appendEntry(EntryNormal, data), r.term, nil
}

func (r *Replica) checkProposable() error {
	switch {
	case r.Err() != nil:
		return r.Err()
	case r.role != RoleLeader:
		return ErrNotLeader
	case r.leaderState.transferTo != 0:
		return ErrTransferring
	}
	return nil
}

func (r *Replica) appendEntry(entryType EntryType, data []byte) uint64 {
	entry := Entry{Index: r.log.lastIndex() + 1, Term: r.term, Type: entryType, Data: data}
	r.log.append(entry)
	r.leaderState.uncommitted.add(entry.Index, entry.size())
	return entry.Index
}

func (r *Replica) tickLeader() {
	if !r.heardFromQuorum() {
		r.becomeFollower(r.term, 0)
		return
	}
	if r.leaderState.transferTo != 0 && !r.now.Before(r.leaderState.transferDeadline) {
		r.leaderState.transferTo = 0
	}
	if !r.now.Before(r.leaderState.heartbeatDeadline) {
		r.broadcastHeartbeat()
	}
}

// heardFromQuorum reports whether a quorum responded within the election timeout.
func (r *Replica) heardFromQuorum() bool {
	heard := 0
	for _, voter := range r.configuration().Voters {
		recent := r.now.Sub(r.leaderState.progress[voter].lastHeard) <= r.config.ElectionTimeout
		if voter == r.config.ID || recent {
			heard++
		}
	}
	return heard >= r.configuration().Quorum()
}

func (r *Replica) broadcastHeartbeat() {
	r.leaderState.heartbeatDeadline = r.now.Add(r.config.HeartbeatInterval)
	for _, id := range r.followers() {
		r.send(Message{
			Type: MessageHeartbeat, To: id,
			Commit: min(r.log.committed, r.leaderState.progress[id].match),
			Round:  r.leaderState.round,
		})
	}
}

// followers returns the other members in ascending order.
func (r *Replica) followers() []ReplicaID {
	members := r.configuration().Members()
	return slices.DeleteFunc(members, func(id ReplicaID) bool { return id == r.config.ID })
}

// broadcastAppends sends every follower the entries it lacks, within its window.
// It runs once per collection of messages, so that proposals are batched.
func (r *Replica) broadcastAppends() {
	for _, id := range r.followers() {
		for r.sendAppend(id, r.leaderState.progress[id]) {
			continue
		}
	}
}

// sendAppend sends one append or snapshot and reports whether more may follow now.
func (r *Replica) sendAppend(to ReplicaID, p *progress) bool {
	if !r.canSend(p) {
		return false
	}
	previous := p.next - 1
	term, ok := r.log.term(previous)
	entries := r.log.entries(p.next, r.log.lastIndex()+1, r.config.MaxMessageBytes)
	if !ok || (entries == nil && p.next <= r.log.lastIndex()) {
		r.sendSnapshot(to, p)
		return false
	}
	if p.match == previous {
		p.progressedAt = r.now
	}
	r.send(Message{
		Type: MessageAppend, To: to, Index: previous, LogTerm: term,
		Commit: r.log.committed, Entries: entries,
	})
	if p.state == progressProbe {
		p.probeSent = true
		return false
	}
	if len(entries) == 0 {
		return false
	}
	p.next = entries[len(entries)-1].Index + 1
	p.window.add(p.next-1, sizeOf(entries))
	return p.next <= r.log.lastIndex()
}

func (r *Replica) canSend(p *progress) bool {
	switch p.state {
	case progressProbe:
		return !p.probeSent
	case progressReplicate:
		return p.next <= r.log.lastIndex() && p.window.bytes < r.config.MaxInflightBytes
	default:
		return false
	}
}

func sizeOf(entries []Entry) int {
	size := 0
	for _, entry := range entries {
		size += entry.size()
	}
	return size
}

func (r *Replica) sendSnapshot(to ReplicaID, p *progress) {
	marker, err := r.config.Storage.Snapshot()
	if err != nil {
		r.log.fail(err)
	}
	if err != nil || marker.Index == 0 {
		return
	}
	p.awaitSnapshot(marker.Index, r.now)
	r.send(Message{Type: MessageSnapshot, To: to, Snapshot: marker})
}

// ReportSnapshot tells the leader that a snapshot transfer has ended. After a
// failure, it probes the follower at once and may send another snapshot.
func (r *Replica) ReportSnapshot(to ReplicaID, installed bool) {
	p := r.leaderState.progress[to]
	if p == nil || p.state != progressSnapshot {
		return
	}
	if installed {
		p.probeFrom(p.snapshotIndex + 1)
		return
	}
	p.probeFrom(p.match + 1)
}

// recordResponse updates and returns the sender's progress, or nil if not tracked.
func (r *Replica) recordResponse(from ReplicaID) *progress {
	if r.role != RoleLeader {
		return nil
	}
	p := r.leaderState.progress[from]
	if p != nil {
		p.lastHeard = r.now
	}
	return p
}

func (r *Replica) handleAppendResponse(response Message) {
	p := r.recordResponse(response.From)
	if p == nil {
		return
	}
	if response.Reject {
		r.handleRejection(response, p)
		return
	}
	before := p.match
	p.confirm(min(response.Index, r.log.lastIndex()), r.now)
	// A follower may install an older snapshot than the last one sent to it;
	// the entries after that may still be in the log.
	if p.state == progressProbe || (p.state == progressSnapshot && p.match > before) {
		p.replicate()
	}
	r.advanceCommit()
	r.continueTransfer(response.From, p)
}

// handleRejection moves the probe to the last position where the logs can
// match: the follower's hint, or earlier if the terms in this log rule it out.
func (r *Replica) handleRejection(response Message, p *progress) {
	if response.Index <= p.match || p.state == progressSnapshot {
		return
	}
	if p.state == progressProbe && response.Index != p.next-1 {
		return
	}
	last := min(response.Hint, response.Index-1)
	index, _ := r.log.lastWithTermAtMost(last, response.LogTerm, min(last, p.match))
	p.probeFrom(index + 1)
}

func (r *Replica) handleHeartbeatResponse(response Message) {
	p := r.recordResponse(response.From)
	if p == nil {
		return
	}
	if r.stalled(p) {
		p.probeFrom(p.match + 1)
		p.progressedAt = r.now
	}
	p.round = max(p.round, response.Round)
	r.confirmReads()
	r.continueTransfer(response.From, p)
}

// stalled reports whether an append, a snapshot or its response is presumed lost.
func (r *Replica) stalled(p *progress) bool {
	if p.state == progressSnapshot {
		return r.now.Sub(p.snapshotSent) >= r.config.SnapshotRetry
	}
	return p.match < r.log.lastIndex() && r.now.Sub(p.progressedAt) >= r.config.HeartbeatInterval
}

// advanceCommit commits the entries that a quorum has persisted. Entries of
// earlier terms are committed only together with one of the current term.
func (r *Replica) advanceCommit() {
	index := r.quorumValue(func(p *progress) uint64 { return p.match })
	if index <= r.log.committed {
		return
	}
	if term, ok := r.log.term(index); !ok || term != r.term {
		return
	}
	r.log.commitTo(index)
	r.leaderState.uncommitted.release(index)
}

// quorumValue returns the highest value that a quorum of voters has reached.
func (r *Replica) quorumValue(value func(*progress) uint64) uint64 {
	voters := r.configuration().Voters
	values := make([]uint64, 0, len(voters))
	for _, voter := range voters {
		values = append(values, value(r.leaderState.progress[voter]))
	}
	slices.Sort(values)
	return values[len(values)-r.configuration().Quorum()]
}

// TransferLeadership starts a transfer of leadership to a voter. Proposals are
// rejected until that voter is the leader or the election timeout has passed.
func (r *Replica) TransferLeadership(to ReplicaID) error {
	if err := r.checkProposable(); err != nil {
		return err
	}
	if to == r.config.ID || !r.configuration().HasVoter(to) {
		return ErrChangeRejected
	}
	r.leaderState.transferTo = to
	r.leaderState.transferDeadline = r.now.Add(r.config.ElectionTimeout)
	r.continueTransfer(to, r.leaderState.progress[to])
	return nil
}

func (r *Replica) continueTransfer(from ReplicaID, p *progress) {
	if from == r.leaderState.transferTo && p.match == r.log.lastIndex() {
		r.send(Message{Type: MessageTimeoutNow, To: from})
	}
}
