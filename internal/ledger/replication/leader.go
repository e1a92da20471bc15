package replication

import (
	"slices"
	"time"
)

// leadership is what a replica keeps only while it leads.
type leadership struct {
	progress map[ReplicaID]*progress
	// termStart is the entry that opened the leader's term. Once it is
	// committed, so is everything that earlier leaders committed.
	termStart uint64
	// uncommitted counts the bytes of proposals that are not committed yet.
	uncommitted       window
	heartbeatDeadline time.Time

	// round is the newest read round that was announced to the followers.
	round uint64
	reads []pendingRead

	transferTo       ReplicaID
	transferDeadline time.Time
}

func (r *Replica) becomeLeader() {
	r.becomeFollower(r.term, r.config.ID)
	r.role = RoleLeader
	r.leading = leadership{
		progress:          map[ReplicaID]*progress{},
		termStart:         r.log.lastIndex() + 1,
		heartbeatDeadline: r.now.Add(r.config.HeartbeatInterval),
	}
	r.trackMembers()
	r.appendOwn(EntryNormal, nil)
}

// trackMembers keeps one progress for each member of the configuration.
func (r *Replica) trackMembers() {
	members := r.configuration().Members()
	for _, id := range members {
		if r.leading.progress[id] == nil {
			r.leading.progress[id] = &progress{next: r.log.lastIndex() + 1, lastHeard: r.now}
		}
	}
	for id := range r.leading.progress {
		if !slices.Contains(members, id) {
			delete(r.leading.progress, id)
		}
	}
	r.confirmOwn()
}

// confirmOwn counts this leader's own log as far as it is persisted.
func (r *Replica) confirmOwn() {
	if own := r.leading.progress[r.config.ID]; own != nil {
		own.confirm(r.log.stable, r.now)
	}
}

// Propose appends data to the log. It returns the entry's index and term: the
// proposal is committed once an entry with both is handed out to be applied,
// and lost once another term's entry is committed at that index.
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if err := r.mayPropose(); err != nil {
		return 0, 0, err
	}
	if len(data) > MaxEntryBytes {
		return 0, 0, ErrEntryTooLarge
	}
	if r.leading.uncommitted.bytes > r.config.MaxUncommittedBytes {
		return 0, 0, ErrTooManyPending
	}
	return r.appendOwn(EntryNormal, data), r.term, nil
}

func (r *Replica) mayPropose() error {
	switch {
	case r.Err() != nil:
		return r.Err()
	case r.role != RoleLeader:
		return ErrNotLeader
	case r.leading.transferTo != 0:
		return ErrTransferring
	}
	return nil
}

func (r *Replica) appendOwn(entryType EntryType, data []byte) uint64 {
	entry := Entry{Index: r.log.lastIndex() + 1, Term: r.term, Type: entryType, Data: data}
	r.log.append(entry)
	r.leading.uncommitted.add(entry.Index, entry.size())
	return entry.Index
}

func (r *Replica) tickLeader() {
	if !r.heardFromQuorum() {
		r.becomeFollower(r.term, 0)
		return
	}
	if r.leading.transferTo != 0 && !r.now.Before(r.leading.transferDeadline) {
		r.leading.transferTo = 0
	}
	if !r.now.Before(r.leading.heartbeatDeadline) {
		r.broadcastHeartbeat()
	}
}

// heardFromQuorum says whether a quorum answered within the election timeout.
func (r *Replica) heardFromQuorum() bool {
	heard := 0
	for _, voter := range r.configuration().Voters {
		recent := r.now.Sub(r.leading.progress[voter].lastHeard) <= r.config.ElectionTimeout
		if voter == r.config.ID || recent {
			heard++
		}
	}
	return heard >= r.configuration().Quorum()
}

func (r *Replica) broadcastHeartbeat() {
	r.leading.heartbeatDeadline = r.now.Add(r.config.HeartbeatInterval)
	for _, id := range r.followers() {
		r.send(Message{
			Type: MessageHeartbeat, To: id,
			Commit: min(r.log.committed, r.leading.progress[id].match),
			Round:  r.leading.round,
		})
	}
}

// followers lists the other members in rising order.
func (r *Replica) followers() []ReplicaID {
	members := r.configuration().Members()
	return slices.DeleteFunc(members, func(id ReplicaID) bool { return id == r.config.ID })
}

// broadcastAppends sends every follower what it lacks, as far as its window
// allows. It runs once for each Ready, so that proposals travel in batches.
func (r *Replica) broadcastAppends() {
	for _, id := range r.followers() {
		for r.sendAppend(id, r.leading.progress[id]) {
			continue
		}
	}
}

// sendAppend sends one append or a snapshot; it returns whether there may be
// more to send now.
func (r *Replica) sendAppend(to ReplicaID, p *progress) bool {
	if !r.maySend(p) {
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
		p.movedAt = r.now
	}
	r.send(Message{
		Type: MessageAppend, To: to, Index: previous, LogTerm: term,
		Commit: r.log.committed, Entries: entries,
	})
	if p.state == progressProbe {
		p.waiting = true
		return false
	}
	if len(entries) == 0 {
		return false
	}
	p.next = entries[len(entries)-1].Index + 1
	p.window.add(p.next-1, sizeOf(entries))
	return p.next <= r.log.lastIndex()
}

func (r *Replica) maySend(p *progress) bool {
	switch p.state {
	case progressProbe:
		return !p.waiting
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

// ReportSnapshot tells the leader that the transfer of a snapshot has ended;
// after a failure the follower is probed, and sent another, at once.
func (r *Replica) ReportSnapshot(to ReplicaID, installed bool) {
	p := r.leading.progress[to]
	if p == nil || p.state != progressSnapshot {
		return
	}
	if installed {
		p.probeFrom(p.snapshotIndex + 1)
		return
	}
	p.probeFrom(p.match + 1)
}

// hear returns the sender's progress, if this replica leads and tracks it.
func (r *Replica) hear(from ReplicaID) *progress {
	if r.role != RoleLeader {
		return nil
	}
	p := r.leading.progress[from]
	if p != nil {
		p.lastHeard = r.now
	}
	return p
}

func (r *Replica) handleAppendResponse(response Message) {
	p := r.hear(response.From)
	if p == nil {
		return
	}
	if response.Reject {
		r.handleRejection(response, p)
		return
	}
	before := p.match
	p.confirm(min(response.Index, r.log.lastIndex()), r.now)
	// A follower may install an older snapshot than the last one it was
	// offered; what it lacks after that may still be in the log.
	if p.state == progressProbe || (p.state == progressSnapshot && p.match > before) {
		p.replicate()
	}
	r.advanceCommit()
	r.continueTransfer(response.From, p)
}

// handleRejection moves the probe to the last position where the logs can
// agree: the follower's hint, or further back by this log's terms.
func (r *Replica) handleRejection(response Message, p *progress) {
	if response.Index <= p.match || p.state == progressSnapshot {
		return
	}
	if p.state == progressProbe && response.Index != p.next-1 {
		return
	}
	last := min(response.Hint, response.Index-1)
	index, _ := r.log.lastNotAbove(last, response.LogTerm, min(last, p.match))
	p.probeFrom(index + 1)
}

func (r *Replica) handleHeartbeatResponse(response Message) {
	p := r.hear(response.From)
	if p == nil {
		return
	}
	if r.stalled(p) {
		p.probeFrom(p.match + 1)
		p.movedAt = r.now
	}
	p.round = max(p.round, response.Round)
	r.confirmReads()
	r.continueTransfer(response.From, p)
}

// stalled says that an append or snapshot, or its answer, must be taken for lost.
func (r *Replica) stalled(p *progress) bool {
	if p.state == progressSnapshot {
		return r.now.Sub(p.snapshotSent) >= r.config.SnapshotRetry
	}
	return p.match < r.log.lastIndex() && r.now.Sub(p.movedAt) >= r.config.HeartbeatInterval
}

// advanceCommit commits what a quorum has persisted. Only entries of the
// leader's own term are counted; older ones are committed along with them.
func (r *Replica) advanceCommit() {
	index := r.quorumValue(func(p *progress) uint64 { return p.match })
	if index <= r.log.committed {
		return
	}
	if term, ok := r.log.term(index); !ok || term != r.term {
		return
	}
	r.log.commitTo(index)
	r.leading.uncommitted.release(index)
}

// quorumValue is the highest value that a quorum of voters has reached.
func (r *Replica) quorumValue(value func(*progress) uint64) uint64 {
	voters := r.configuration().Voters
	values := make([]uint64, 0, len(voters))
	for _, voter := range voters {
		values = append(values, value(r.leading.progress[voter]))
	}
	slices.Sort(values)
	return values[len(values)-r.configuration().Quorum()]
}

// TransferLeadership hands leadership to a voter: proposals are refused until
// it leads or the election timeout passes.
func (r *Replica) TransferLeadership(to ReplicaID) error {
	if err := r.mayPropose(); err != nil {
		return err
	}
	if to == r.config.ID || !r.configuration().HasVoter(to) {
		return ErrChangeRefused
	}
	r.leading.transferTo = to
	r.leading.transferDeadline = r.now.Add(r.config.ElectionTimeout)
	r.continueTransfer(to, r.leading.progress[to])
	return nil
}

func (r *Replica) continueTransfer(from ReplicaID, p *progress) {
	if from == r.leading.transferTo && p.match == r.log.lastIndex() {
		r.send(Message{Type: MessageTimeoutNow, To: from})
	}
}
