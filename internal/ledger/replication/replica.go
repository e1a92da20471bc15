package replication

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Errors of the methods of Replica.
var (
	// ErrNotLeader says that nothing was taken, since this replica does not lead.
	ErrNotLeader = errors.New("replication: this replica does not lead")
	// ErrTransferring says that nothing was taken: leadership is being handed over.
	ErrTransferring = errors.New("replication: leadership is being transferred")
	// ErrTooManyPending says that nothing was taken: too much is uncommitted.
	ErrTooManyPending = errors.New("replication: too many uncommitted proposals")
	// ErrEntryTooLarge says that a proposal exceeds MaxEntryBytes.
	ErrEntryTooLarge = errors.New("replication: proposal too large")
	// ErrWrongAddressee says that a message was meant for another identity or shard.
	ErrWrongAddressee = errors.New("replication: message for another replica")
	// ErrChangePending says that a configuration change must wait for an earlier
	// one, or for the first commit of the leader's term.
	ErrChangePending = errors.New("replication: another configuration change is pending")
	// ErrChangeRefused says that a configuration change makes no sense now.
	ErrChangeRefused = errors.New("replication: configuration change refused")
)

// Replica is the state machine of one replica of one shard. It is not safe
// for concurrent use.
type Replica struct {
	config Config
	random *rand.Rand
	log    *log
	now    time.Time

	role   Role
	term   uint64
	vote   ReplicaID
	leader ReplicaID

	configurations configurationHistory

	electionDeadline time.Time
	leaderHeard      time.Time
	votes            map[ReplicaID]bool

	leading leadership

	messages   []Message
	readStates []ReadState

	// persisted and reported are what the shell was last told.
	persisted HardState
	reported  SoftState
	handed    *handedReady
}

// New continues from what the storage holds.
func New(config Config) (*Replica, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	entries, err := newLog(config.Storage)
	if err != nil {
		return nil, err
	}
	hard, err := config.Storage.HardState()
	if err != nil {
		return nil, fmt.Errorf("replication: read hard state: %w", err)
	}
	replica := &Replica{
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, uint64(config.ID))),
		log:       entries,
		term:      hard.Term,
		vote:      hard.Vote,
		persisted: hard,
	}
	return replica, replica.loadConfigurations()
}

// Tick tells the replica the time, which must never go back.
func (r *Replica) Tick(now time.Time) {
	first := r.now.IsZero()
	r.now = now
	if first {
		r.resetElectionDeadline()
	}
	if r.Err() != nil {
		return
	}
	if r.role == RoleLeader {
		r.tickLeader()
		return
	}
	if !now.Before(r.electionDeadline) {
		r.preCampaign()
	}
}

// Step takes a message from another replica. An error says that the message
// had no effect.
func (r *Replica) Step(message Message) error {
	if err := r.Err(); err != nil {
		return err
	}
	if message.To != r.config.ID || message.Shard != r.config.Shard {
		return fmt.Errorf("%w: %s at shard %d", ErrWrongAddressee, message.To, message.Shard)
	}
	if message.Term < r.term {
		r.answerStale(message)
		return r.Err()
	}
	if message.Term > r.term && !r.enterTerm(message) {
		return nil
	}
	r.dispatch(message)
	return r.Err()
}

// Err returns the storage's failure that stopped this replica, if any.
func (r *Replica) Err() error { return r.log.failure }

func (r *Replica) dispatch(message Message) {
	switch message.Type {
	case MessagePreVote, MessageVote:
		r.handleVoteRequest(message)
	case MessagePreVoteResponse, MessageVoteResponse:
		r.handleVoteResponse(message)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		r.handleFromLeader(message)
	case MessageAppendResponse:
		r.handleAppendResponse(message)
	case MessageHeartbeatResponse:
		r.handleHeartbeatResponse(message)
	case MessageTimeoutNow:
		r.handleTimeoutNow()
	}
}

// answerStale lets a sender of an older term know ours: a leader steps down,
// a candidate catches up.
func (r *Replica) answerStale(message Message) {
	switch message.Type {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		r.send(Message{Type: MessageAppendResponse, To: message.From, Reject: true})
	case MessagePreVote:
		r.send(Message{Type: MessagePreVoteResponse, To: message.From, Reject: true})
	case MessageVote:
		r.send(Message{Type: MessageVoteResponse, To: message.From, Reject: true})
	}
}

// enterTerm moves to the message's higher term where its type calls for that.
// It returns false when the message must be ignored.
func (r *Replica) enterTerm(message Message) bool {
	switch message.Type {
	case MessagePreVote:
		return !r.leaseHolds(message)
	case MessageVote:
		if r.leaseHolds(message) {
			return false
		}
	case MessagePreVoteResponse:
		if !message.Reject {
			return true
		}
	}
	r.becomeFollower(message.Term, 0)
	return true
}

// leaseHolds says that a leader was heard so recently that an election must
// not disturb it.
func (r *Replica) leaseHolds(message Message) bool {
	if message.Forced || r.leader == 0 {
		return false
	}
	return r.role == RoleLeader || r.now.Sub(r.leaderHeard) < r.config.ElectionTimeout
}

func (r *Replica) becomeFollower(term uint64, leader ReplicaID) {
	if term > r.term {
		r.term = term
		r.vote = 0
	}
	if r.role == RoleLeader {
		r.abortReads()
	}
	r.role = RoleFollower
	r.leader = leader
	r.votes = nil
	r.leading = leadership{}
	r.resetElectionDeadline()
}

// campaignRetryDivisor makes a candidate try again sooner than a follower
// gives its leader up: it is only waiting for answers.
const campaignRetryDivisor = 4

func (r *Replica) resetCampaignDeadline() {
	r.electionDeadline = r.now.Add(r.randomTimeout(r.config.ElectionTimeout / campaignRetryDivisor))
}

func (r *Replica) resetElectionDeadline() {
	r.electionDeadline = r.now.Add(r.randomTimeout(r.config.ElectionTimeout))
}

// randomTimeout draws at least the shortest and less than twice that.
func (r *Replica) randomTimeout(shortest time.Duration) time.Duration {
	return shortest + time.Duration(r.random.Int64N(int64(shortest)))
}

// send queues a message; its term is the present one unless it is set.
func (r *Replica) send(message Message) {
	message.Shard = r.config.Shard
	message.From = r.config.ID
	if message.Term == 0 {
		message.Term = r.term
	}
	r.messages = append(r.messages, message)
}
