package replication

// preCampaign asks whether an election could be won, without disturbing anyone.
func (r *Replica) preCampaign() {
	r.resetCampaignDeadline()
	if !r.mayCampaign() {
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

// campaign stands for election at the next term.
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

// mayCampaign holds for voters whose log is whole.
func (r *Replica) mayCampaign() bool {
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

// handleVoteRequest answers a candidate. The replica does not consult its own
// configuration, which may lag: a candidate asks and counts only voters of
// its own, and a learner that was promoted without knowing it must vote.
func (r *Replica) handleVoteRequest(request Message) {
	responseType := MessageVoteResponse
	if request.Type == MessagePreVote {
		responseType = MessagePreVoteResponse
	}
	if !r.mayVoteFor(request) {
		r.send(Message{Type: responseType, To: request.From, Reject: true})
		return
	}
	if request.Type == MessageVote {
		r.vote = request.From
		r.resetElectionDeadline()
	}
	r.send(Message{Type: responseType, To: request.From, Term: request.Term})
}

func (r *Replica) mayVoteFor(request Message) bool {
	if !r.log.upToDate(request.Index, request.LogTerm) {
		return false
	}
	if request.Term > r.term {
		return true // only a pre-vote gets here without having raised the term
	}
	return r.vote == request.From || (r.vote == 0 && r.leader == 0)
}

func (r *Replica) handleVoteResponse(response Message) {
	wanted, term := MessageVoteResponse, r.term
	if r.role == RolePreCandidate {
		wanted, term = MessagePreVoteResponse, r.term+1
	} else if r.role != RoleCandidate {
		return
	}
	if response.Type != wanted || (!response.Reject && response.Term != term) {
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

// wonElection counts the voters of the configuration in force here.
func (r *Replica) wonElection() bool {
	granted := 0
	for _, voter := range r.configuration().Voters {
		if r.votes[voter] {
			granted++
		}
	}
	return granted >= r.configuration().Quorum()
}

// handleTimeoutNow starts the election that ends a leadership transfer.
func (r *Replica) handleTimeoutNow() {
	if r.role == RoleFollower && r.mayCampaign() {
		r.campaign(true)
	}
}
