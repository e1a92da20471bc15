package replication

// preCampaign starts a pre-vote, which does not change the term of any replica.
func (r *Replica) preCampaign() {
	r.resetCampaignDeadline()
	if !r.canCampaign() {
		return
	}
	r.role = RolePreCandidate
	r.leader = 0
	r.votes = map[ReplicaID]bool{r.config.ID: true}
	if r.wonElection() {
		r.campaign(false)
		return
	}
	r.requestVotes(Message{Type: MessagePreVote, Term: r.term + 1})
}

// campaign starts an election in the next term.
func (r *Replica) campaign(forced bool) {
	r.becomeFollower(r.term+1, 0)
	r.resetCampaignDeadline()
	r.role = RoleCandidate
	r.vote = r.config.ID
	r.votes = map[ReplicaID]bool{r.config.ID: true}
	if r.wonElection() {
		r.becomeLeader()
		return
	}
	r.requestVotes(Message{Type: MessageVote, Term: r.term, Forced: forced})
}

// canCampaign reports whether this replica is a voter and not installing a snapshot.
func (r *Replica) canCampaign() bool {
	return r.configuration().HasVoter(r.config.ID) && r.log.snapshot == nil
}

func (r *Replica) requestVotes(request Message) {
	request.Index, request.LogTerm = r.log.lastIndex(), r.log.lastTerm()
	for _, voter := range r.configuration().Voters {
		if voter != r.config.ID {
			request.To = voter
			r.send(request)
		}
	}
}

// handleVoteRequest responds to a vote or pre-vote request. It does not check
// this replica's configuration, which may be stale: a candidate asks and counts
// only voters of its own configuration, and a promoted learner must vote even
// before it has received its promotion.
func (r *Replica) handleVoteRequest(request Message) {
	responseType := MessageVoteResponse
	if request.Type == MessagePreVote {
		responseType = MessagePreVoteResponse
	}
	if !r.canVoteFor(request) {
		r.send(Message{Type: responseType, To: request.From, Reject: true})
		return
	}
	if request.Type == MessageVote {
		r.vote = request.From
		r.resetElectionDeadline()
	}
	r.send(Message{Type: responseType, To: request.From, Term: request.Term})
}

func (r *Replica) canVoteFor(request Message) bool {
	if !r.log.upToDate(request.Index, request.LogTerm) {
		return false
	}
	if request.Term > r.term {
		return true // pre-vote: a vote request has already raised r.term
	}
	return r.vote == request.From || (r.vote == 0 && r.leader == 0)
}

func (r *Replica) handleVoteResponse(response Message) {
	expectedType, term := MessageVoteResponse, r.term
	if r.role == RolePreCandidate {
		expectedType, term = MessagePreVoteResponse, r.term+1
	} else if r.role != RoleCandidate {
		return
	}
	if response.Type != expectedType || (!response.Reject && response.Term != term) {
		return
	}
	r.votes[response.From] = !response.Reject
	if !r.wonElection() {
		return
	}
	if r.role == RolePreCandidate {
		r.campaign(false)
		return
	}
	r.becomeLeader()
}

// wonElection reports whether a quorum of the active configuration granted its vote.
func (r *Replica) wonElection() bool {
	granted := 0
	for _, voter := range r.configuration().Voters {
		if r.votes[voter] {
			granted++
		}
	}
	return granted >= r.configuration().Quorum()
}

// handleTimeoutNow starts the election that completes a leadership transfer.
func (r *Replica) handleTimeoutNow() {
	if r.role == RoleFollower && r.canCampaign() {
		r.campaign(true)
	}
}
