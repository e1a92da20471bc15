package replication

import (
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// newTestReplica returns replica 1 of three voters, whose log has entries of the
// given terms after the bootstrap position.
func newTestReplica(g *gomega.WithT, terms ...uint64) (*Replica, *MemoryStorage) {
	disk := NewMemoryStorage(BootstrapMarker(1, 2, 3))
	ready := Ready{}
	for i, term := range terms {
		ready.Entries = append(ready.Entries, Entry{Index: uint64(i) + 2, Term: term})
		ready.HardState = &HardState{Term: term, Commit: bootstrapIndex}
	}
	disk.Persist(ready)
	replica, err := New(Config{ID: 1, Storage: disk, MaxMessageBytes: 100, MaxInflightBytes: 200, MaxUncommittedBytes: 400})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	replica.Tick(time.Unix(1, 0))
	return replica, disk
}

// processReady handles Readys until no work is left and returns the messages sent.
func processReady(g *gomega.WithT, replica *Replica, disk *MemoryStorage) []Message {
	var sent []Message
	for replica.HasReady() {
		ready := replica.Ready()
		disk.Persist(ready)
		sent = append(append(sent, ready.Immediate...), ready.Messages...)
		for _, entry := range ready.CommittedEntries {
			g.Expect(disk.Applied(entry)).To(gomega.Succeed())
		}
		replica.Advance()
	}
	return sent
}

// electLeader makes the replica the leader with the vote of replica 2.
func electLeader(g *gomega.WithT, replica *Replica, disk *MemoryStorage) {
	replica.Tick(replica.now.Add(2 * DefaultElectionTimeout))
	processReady(g, replica, disk)
	next := replica.term + 1
	for _, response := range []MessageType{MessagePreVoteResponse, MessageVoteResponse} {
		g.Expect(replica.Step(Message{Type: response, From: 2, To: 1, Term: next})).To(gomega.Succeed())
		processReady(g, replica, disk)
	}
	g.Expect(replica.Status().Role).To(gomega.Equal(RoleLeader))
}

func acknowledge(g *gomega.WithT, replica *Replica, from ReplicaID, index uint64) {
	g.Expect(replica.Step(Message{Type: MessageAppendResponse, From: from, To: 1, Term: replica.term, Index: index})).To(gomega.Succeed())
}

// Guards against committing an earlier term's entry by counting replicas.
func TestLeaderCommitsOlderTermsOnlyWithCurrentTerm(t *testing.T) {
	g := gomega.NewWithT(t)
	replica, disk := newTestReplica(g, 2, 2)
	electLeader(g, replica, disk)
	acknowledge(g, replica, 2, 3)
	g.Expect(replica.Status().Commit).To(gomega.BeEquivalentTo(bootstrapIndex))
	acknowledge(g, replica, 2, 4)
	g.Expect(replica.Status().Commit).To(gomega.BeEquivalentTo(4))
}

// Guards against a leader counting its own entry toward the quorum while the
// write is still pending.
func TestLeaderCountsOwnEntryOnlyAfterPersist(t *testing.T) {
	g := gomega.NewWithT(t)
	replica, disk := newTestReplica(g)
	electLeader(g, replica, disk)
	acknowledge(g, replica, 2, 2)
	processReady(g, replica, disk)
	index, _, err := replica.Propose([]byte("value"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ready := replica.Ready()
	g.Expect(ready.Immediate).NotTo(gomega.BeEmpty(), "the leader must send the entry before its own write completes")
	acknowledge(g, replica, 2, index)
	g.Expect(replica.Status().Commit).To(gomega.BeNumerically("<", index))
	later, _, err := replica.Propose([]byte("during the write"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(replica.Immediate()).To(gomega.ContainElement(gomega.HaveField("Type", MessageAppend)))
	disk.Persist(ready)
	replica.Advance()
	acknowledge(g, replica, 2, later)
	g.Expect(replica.Status().Commit).To(gomega.Equal(index))
	processReady(g, replica, disk)
	g.Expect(replica.Status().Commit).To(gomega.Equal(later))
}

// Guards against a stale read by a new leader that does not know the latest
// commit index yet.
func TestNewLeaderReadIndexIncludesFirstEntryOfTerm(t *testing.T) {
	g := gomega.NewWithT(t)
	replica, disk := newTestReplica(g, 2)
	electLeader(g, replica, disk)
	g.Expect(replica.ReadIndex(9)).To(gomega.Succeed())
	processReady(g, replica, disk)
	confirm := Message{Type: MessageHeartbeatResponse, From: 2, To: 1, Term: replica.term, Round: replica.leaderState.round}
	g.Expect(replica.Step(confirm)).To(gomega.Succeed())
	g.Expect(replica.Ready().ReadStates).To(gomega.Equal([]ReadState{{Token: 9, Index: 3}}))
}

// Guards against responses that are sent before the write they depend on. The
// follower starts at term 2 with a persisted entry of term 2 at index 2.
func TestFollowerRespondsOnlyAfterPersist(t *testing.T) {
	appendTo := func(index, logTerm uint64, entry Entry) Message {
		return Message{Type: MessageAppend, From: 2, To: 1, Term: entry.Term, Index: index, LogTerm: logTerm, Entries: []Entry{entry}}
	}
	vote := Message{Type: MessageVote, From: 3, To: 1, Term: 2, Index: 2, LogTerm: 2}
	for name, c := range map[string]struct {
		received  Message
		persisted []Entry
		answer    Message
	}{
		"appends new entry": {appendTo(2, 2, Entry{Index: 3, Term: 2}), []Entry{{Index: 3, Term: 2}},
			Message{Type: MessageAppendResponse, Term: 2, Index: 3}},
		"ignores known entry": {appendTo(1, 1, Entry{Index: 2, Term: 2}), nil,
			Message{Type: MessageAppendResponse, Term: 2, Index: 2}},
		"replaces conflicting entry": {appendTo(1, 1, Entry{Index: 2, Term: 3}), []Entry{{Index: 2, Term: 3}},
			Message{Type: MessageAppendResponse, Term: 3, Index: 2}},
		"rejects append after different term": {appendTo(2, 3, Entry{Index: 3, Term: 3}), nil,
			Message{Type: MessageAppendResponse, Term: 3, Reject: true, Index: 2, Hint: 2, LogTerm: 2}},
		"grants vote": {vote, nil, Message{Type: MessageVoteResponse, Term: 2}},
		"rejects vote for outdated log": {Message{Type: MessageVote, From: 2, To: 1, Term: 2, Index: 9, LogTerm: 1}, nil,
			Message{Type: MessageVoteResponse, Term: 2, Reject: true}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			replica, _ := newTestReplica(g, 2)
			g.Expect(replica.Step(c.received)).To(gomega.Succeed())
			ready := replica.Ready()
			g.Expect(ready.Entries).To(gomega.Equal(c.persisted))
			g.Expect(ready.Immediate).To(gomega.BeEmpty(), "the response must wait for the write")
			c.answer.From, c.answer.To = 1, c.received.From
			g.Expect(ready.Messages).To(gomega.Equal([]Message{c.answer}))
		})
	}
}

// Guards against acknowledging an entry whose write was of the entry it replaced.
func TestEntriesReplacedDuringWriteAreRewritten(t *testing.T) {
	g := gomega.NewWithT(t)
	replica, disk := newTestReplica(g)
	appendFrom := func(from ReplicaID, term uint64) Message {
		return Message{Type: MessageAppend, From: from, To: 1, Term: term, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: term}}}
	}
	g.Expect(replica.Step(appendFrom(2, 2))).To(gomega.Succeed())
	ready := replica.Ready()
	g.Expect(replica.Step(appendFrom(3, 3))).To(gomega.Succeed())
	disk.Persist(ready)
	replica.Advance()
	rewritten := replica.Ready()
	g.Expect(rewritten.Entries).To(gomega.Equal([]Entry{{Index: 2, Term: 3}}))
	g.Expect(rewritten.Messages).To(gomega.HaveLen(1), "the acknowledgement must wait for the second write")
}

// Guards against a second change while one is uncommitted, and against changes
// that are invalid for the current members.
func TestConfigurationChangesAreSerialized(t *testing.T) {
	g := gomega.NewWithT(t)
	replica, disk := newTestReplica(g)
	electLeader(g, replica, disk)
	propose := func(change Change) error {
		_, _, err := replica.ProposeConfig(change)
		processReady(g, replica, disk)
		return err
	}
	g.Expect(propose(Change{AddLearner, 4})).To(gomega.MatchError(ErrChangePending), "no entry of the term is committed")
	acknowledge(g, replica, 2, 2)
	g.Expect(propose(Change{AddLearner, 4})).To(gomega.Succeed())
	g.Expect(propose(Change{RemoveReplica, 3})).To(gomega.MatchError(ErrChangePending))
	acknowledge(g, replica, 2, 3)
	g.Expect(propose(Change{PromoteLearner, 4})).To(gomega.MatchError(ErrChangeRejected), "the learner has not caught up")
	g.Expect(propose(Change{RemoveReplica, 1})).To(gomega.MatchError(ErrChangeRejected), "the replica is the leader")
	acknowledge(g, replica, 4, 3)
	g.Expect(replica.Status().Commit).To(gomega.BeEquivalentTo(3))
	_, _, err := replica.Propose(nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	acknowledge(g, replica, 4, 4)
	processReady(g, replica, disk)
	g.Expect(replica.Status().Commit).To(gomega.BeEquivalentTo(3), "a learner must not count toward the quorum")
	g.Expect(propose(Change{PromoteLearner, 4})).To(gomega.Succeed())
}

// Guards against unbounded unacknowledged appends and uncommitted proposals.
func TestAppendsRespectInflightLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	replica, disk := newTestReplica(g)
	electLeader(g, replica, disk)
	acknowledge(g, replica, 2, 2)
	acknowledge(g, replica, 3, 2)
	processReady(g, replica, disk)
	var rejected error
	sent := 0
	for range 20 {
		if _, _, err := replica.Propose(make([]byte, 40)); err != nil {
			rejected = err
		}
		for _, message := range processReady(g, replica, disk) {
			if message.Type == MessageAppend && message.To == 2 {
				sent += sizeOf(message.Entries)
			}
		}
	}
	g.Expect(rejected).To(gomega.MatchError(ErrTooManyUncommitted))
	g.Expect(sent).To(gomega.And(gomega.BeNumerically(">=", 200), gomega.BeNumerically("<=", 300)))
	acknowledge(g, replica, 2, 4)
	g.Expect(processReady(g, replica, disk)).To(gomega.ContainElement(gomega.HaveField("Type", MessageAppend)))
}

// Guards against a follower that stays in snapshot state after it installed an
// older snapshot than the last one sent.
func TestFollowerResumesFromOlderSnapshot(t *testing.T) {
	g := gomega.NewWithT(t)
	replica, disk := newTestReplica(g, 2, 2, 2)
	electLeader(g, replica, disk)
	acknowledge(g, replica, 2, 5)
	processReady(g, replica, disk)
	disk.Compact(2)
	replica.log.trimTail(1)
	reject := Message{Type: MessageAppendResponse, From: 3, To: 1, Term: replica.term, Reject: true, Index: 4}
	g.Expect(replica.Step(reject)).To(gomega.Succeed())
	g.Expect(processReady(g, replica, disk)).To(gomega.ConsistOf(gomega.And(
		gomega.HaveField("Type", MessageSnapshot), gomega.HaveField("Snapshot.Index", uint64(5)))))
	acknowledge(g, replica, 3, 3)
	g.Expect(processReady(g, replica, disk)).To(gomega.ConsistOf(gomega.And(
		gomega.HaveField("Type", MessageAppend), gomega.HaveField("Index", uint64(3)))))
}

// Guards against accepting requests in the wrong role, state or shard.
func TestInvalidRequestsAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	replica, disk := newTestReplica(g)
	_, _, err := replica.Propose(nil)
	g.Expect(err).To(gomega.MatchError(ErrNotLeader))
	g.Expect(replica.ReadIndex(1)).To(gomega.MatchError(ErrNotLeader))
	g.Expect(replica.TransferLeadership(2)).To(gomega.MatchError(ErrNotLeader))
	g.Expect(replica.Step(Message{Type: MessageHeartbeat, To: 9})).To(gomega.MatchError(ErrWrongRecipient))
	g.Expect(replica.Step(Message{Type: MessageHeartbeat, To: 1, Shard: 5})).To(gomega.MatchError(ErrWrongRecipient))
	electLeader(g, replica, disk)
	g.Expect(replica.TransferLeadership(7)).To(gomega.MatchError(ErrChangeRejected))
	_, _, err = replica.Propose(make([]byte, MaxEntryBytes+1))
	g.Expect(err).To(gomega.MatchError(ErrEntryTooLarge))
	g.Expect(replica.TransferLeadership(2)).To(gomega.Succeed())
	_, _, err = replica.Propose(nil)
	g.Expect(err).To(gomega.MatchError(ErrTransferring))
}

// failingStorage returns errDisk for all reads of entries and terms.
type failingStorage struct{ *MemoryStorage }

var errDisk = errors.New("input/output error")

func (failingStorage) Term(uint64) (uint64, error)                 { return 0, errDisk }
func (failingStorage) Entries(_, _ uint64, _ int) ([]Entry, error) { return nil, errDisk }

// Guards against a replica that continues after a read error.
func TestStorageErrorStopsReplica(t *testing.T) {
	g := gomega.NewWithT(t)
	replica, err := New(Config{ID: 1, Storage: failingStorage{NewMemoryStorage(BootstrapMarker(1, 2, 3))}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	replica.Tick(time.Unix(1, 0))
	request := Message{Type: MessageVote, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1}
	g.Expect(replica.Step(request)).To(gomega.MatchError(errDisk))
	g.Expect(replica.HasReady()).To(gomega.BeFalse(), "a stopped replica must not send messages")
	g.Expect(replica.Err()).To(gomega.MatchError(errDisk))
}
