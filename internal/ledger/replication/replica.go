package replication

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Errors returned by the methods of Replica. The failed call had no effect.
var (
	// ErrNotLeader is returned for requests to a replica that is not the leader.
	ErrNotLeader = errors.New("replication: this replica is not the leader")
	// ErrTransferring is returned for proposals during a leadership transfer.
	ErrTransferring = errors.New("replication: leadership is being transferred")
	// ErrTooManyUncommitted is returned while Config.MaxUncommittedBytes is exceeded.
	ErrTooManyUncommitted = errors.New("replication: too many uncommitted proposals")
	// ErrEntryTooLarge is returned for a proposal larger than MaxEntryBytes.
	ErrEntryTooLarge = errors.New("replication: proposal too large")
	// ErrWrongRecipient is returned for a message to another replica ID or shard.
	ErrWrongRecipient = errors.New("replication: message is for another replica")
	// ErrChangePending is returned for a configuration change while an earlier one
	// or the first entry of the leader's term is uncommitted.
	ErrChangePending = errors.New("replication: another configuration change is pending")
	// ErrChangeRejected is returned for a change or transfer invalid for the members.
	ErrChangeRejected = errors.New("replication: configuration change rejected")
)

// Replica implements the Raft-like protocol for one replica of one shard. It is not safe
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

	configurations configurationHistory // of the shard's members

	electionDeadline  time.Time
	lastLeaderContact time.Time
	votes             map[ReplicaID]bool

	leaderState leaderState

	messages   []Message
	readStates []ReadState

	// persisted is as of the last Advance, reported as of the last Ready.
	persisted HardState
	reported  SoftState
	pending   *pendingReady
}

// New returns a replica that resumes from the state in config.Storage.
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

// Tick sets the time, which must not go backwards, and handles expired timeouts.
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

// Step handles a message from another replica. If it returns an error, the
// message had no effect.
func (r *Replica) Step(message Message) error {
	if err := r.Err(); err != nil {
		return err
	}
	if message.To != r.config.ID || message.Shard != r.config.Shard {
		return fmt.Errorf("%w: replica %s of shard %d", ErrWrongRecipient, message.To, message.Shard)
	}
	if message.Term < r.term {
		r.rejectStale(message)
		return r.Err()
	}
	if message.Term > r.term && !r.advanceTerm(message) {
		return nil
	}
	r.dispatch(message)
	return r.Err()
}

// Err returns the error that stopped this replica, or nil if it is running.
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

// rejectStale tells the sender of a message with an older term the current one,
// so that a leader steps down and a candidate adopts the term.
func (r *Replica) rejectStale(message Message) {
	switch message.Type {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		r.send(Message{Type: MessageAppendResponse, To: message.From, Reject: true})
	case MessagePreVote:
		r.send(Message{Type: MessagePreVoteResponse, To: message.From, Reject: true})
	case MessageVote:
		r.send(Message{Type: MessageVoteResponse, To: message.From, Reject: true})
	}
}

// advanceTerm adopts the message's higher term, except for pre-vote requests and
// granted pre-votes. It returns false if the message must be ignored.
func (r *Replica) advanceTerm(message Message) bool {
	switch message.Type {
	case MessagePreVote:
		return !r.heardFromLeaderRecently(message)
	case MessageVote:
		if r.heardFromLeaderRecently(message) {
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

// heardFromLeaderRecently reports whether the leader was heard from within the election timeout,
// in which case vote requests are ignored unless forced.
func (r *Replica) heardFromLeaderRecently(message Message) bool {
	if message.Forced || r.leader == 0 {
		return false
	}
	return r.role == RoleLeader || r.now.Sub(r.lastLeaderContact) < r.config.ElectionTimeout
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
	r.leaderState = leaderState{}
	r.resetElectionDeadline()
}

// campaignRetryDivisor divides the election timeout for candidates, which retry
// sooner than a follower times out because they wait only for vote responses.
const campaignRetryDivisor = 4

func (r *Replica) resetCampaignDeadline() {
	r.electionDeadline = r.now.Add(r.randomTimeout(r.config.ElectionTimeout / campaignRetryDivisor))
}

func (r *Replica) resetElectionDeadline() {
	r.electionDeadline = r.now.Add(r.randomTimeout(r.config.ElectionTimeout))
}

// randomTimeout returns a random duration in [minTimeout, 2*minTimeout).
func (r *Replica) randomTimeout(minTimeout time.Duration) time.Duration {
	return minTimeout + time.Duration(r.random.Int64N(int64(minTimeout)))
}

// send queues a message, with the current term unless its term is set.
func (r *Replica) send(message Message) {
	message.Shard = r.config.Shard
	message.From = r.config.ID
	if message.Term == 0 {
		message.Term = r.term
	}
	r.messages = append(r.messages, message)
}
