package replica

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/ledger/storage"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	// joinCandidates is the number of nodes that are asked for their load before one gets a
	// replica. While none answers, others are asked after each offerWait: twice as many each
	// time, up to maxJoinCandidates.
	joinCandidates    = 3
	maxJoinCandidates = 48
	offerWait         = 250 * time.Millisecond
	// changeTimeout limits one step of a replacement.
	changeTimeout = 5 * time.Second
	// presumedDeadFactor is the multiple of ReplaceAfter after which a silent voter
	// is replaced in any zone; most power losses and partitions end before.
	presumedDeadFactor = 10
	// maxLeaveAttempts limits the retries to notify a removed replica.
	maxLeaveAttempts = 30
)

// repairState is a leader's state for repair; it is reset at each election.
type repairState struct {
	silentSince map[replication.ReplicaID]time.Time
	superseded  map[replication.ReplicaID]bool
	querying    map[replication.ReplicaID]bool // queries in progress; see detectSuperseded
	removed     []removedReplica
	// exposed is set if the loss of one zone would leave no majority.
	exposed bool
}

// removedReplica is a removed replica that has yet to be notified.
type removedReplica struct {
	entry    storage.RosterEntry
	attempts int
}

// runRepair periodically repairs the replica sets of the shards that this node
// leads.
func (s *Service) runRepair() {
	ticker := time.NewTicker(s.options.RepairInterval)
	defer ticker.Stop()
	for {
		ticker.Reset(s.interval(s.options.RepairInterval))
		select {
		case <-s.running.Done():
			return
		case <-ticker.C:
		case <-s.repairTrigger:
		}
		for _, shard := range s.allShards() {
			s.metrics.updateRegionVoters(shard)
			if err := shard.repairStep(clock.Now()); err != nil && s.running.Err() == nil {
				eventRepairFailed.Error(err, "shard", shard.id)
			}
		}
	}
}

// triggerRepair starts the next repair step without waiting for the interval.
func (s *Service) triggerRepair() {
	select {
	case s.repairTrigger <- struct{}{}:
	default:
	}
}

// repairStep takes at most one step towards the planned replica set. A replica
// without a leader checks whether it is still a member.
func (s *Shard) repairStep(now time.Time) error {
	s.mutex.Lock()
	leads := s.softState.Role == replication.RoleLeader && !s.stopped && s.halted == nil
	leaderless := s.softState.Leader == 0 && now.Sub(s.leaderlessSince) > s.service.options.NoQuorumAfter
	s.mutex.Unlock()
	if !leads {
		if leaderless {
			s.checkMembership()
		}
		return nil
	}
	s.notifyRemoved()
	s.detectSuperseded(now)
	members, configuration, pending := s.members(now)
	s.updateZoneExposure(members)
	if pending {
		return nil
	}
	plan := planRepair(members, s.sites(now), s.service.options.placementPolicy())
	if len(plan.candidates) > 0 && !hasLearner(members) {
		return trace.Wrap(s.addReplica(plan.candidates), "add a replica")
	}
	return trace.Wrap(s.changeTowards(configuration, plan.wanted), "change the replica set")
}

// updateZoneExposure logs when the shard's healthy voters start or stop tolerating
// the loss of one zone.
func (s *Shard) updateZoneExposure(members []member) {
	if s.service.options.ZoneLosses == 0 {
		return
	}
	voters := slices.DeleteFunc(slices.Clone(members), func(m member) bool { return !m.voter })
	exposed := !survivesZoneLoss(voters)
	s.mutex.Lock()
	changed := exposed != s.repair.exposed
	s.repair.exposed = exposed
	s.mutex.Unlock()
	switch {
	case changed && exposed:
		eventZoneExposed.Info("shard", s.id, "voters_by_zone", zoneCounts(sitesOf(voters)))
	case changed:
		eventZoneTolerated.Info("shard", s.id, "voters_by_zone", zoneCounts(sitesOf(voters)))
	}
}

func hasLearner(members []member) bool {
	for _, m := range members {
		if !m.voter && !m.lost {
			return true
		}
	}
	return false
}

// members returns the shard's members, its configuration and whether a change or
// leadership transfer is pending. It updates the silence times.
func (s *Shard) members(now time.Time) (members []member, configuration replication.Configuration, pending bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	status := s.core.Status()
	s.updateSilent(status, now)
	for _, id := range status.Configuration.Members() {
		silence := time.Duration(0)
		if since, silent := s.repair.silentSince[id]; silent {
			silence = now.Sub(since)
		}
		superseded, replaceAfter := s.repair.superseded[id], s.service.options.ReplaceAfter
		leaving := s.service.options.ReplaceLeaving && s.leaving(id)
		misplaced := s.misplaced(s.roster[id].Node)
		members = append(members, member{
			replica:      id,
			site:         site{node: s.roster[id].Node, zone: s.roster[id].Zone},
			voter:        status.Configuration.HasVoter(id),
			leader:       id == s.replicaID,
			superseded:   superseded,
			lost:         superseded || silence >= replaceAfter || leaving || misplaced,
			presumedDead: silence >= presumedDeadFactor*replaceAfter || leaving || misplaced,
		})
	}
	return members, status.Configuration, status.ConfigurationPending || status.TransferringTo != 0
}

func (s *Shard) updateSilent(status replication.Status, now time.Time) {
	if s.repair.silentSince == nil {
		s.repair.silentSince = map[replication.ReplicaID]time.Time{}
		s.repair.superseded = map[replication.ReplicaID]bool{}
		s.repair.querying = map[replication.ReplicaID]bool{}
	}
	for id, follower := range status.Followers {
		_, silent := s.repair.silentSince[id]
		if !follower.Silent {
			delete(s.repair.silentSince, id)
		} else if !silent {
			s.repair.silentSince[id] = now
		}
	}
}

// sites returns the nodes that may hold a replica, without those that do not answer.
func (s *Shard) sites(now time.Time) []site {
	var sites []site
	members := dataMembers(s.service.options.Members.View(), s.service.self())
	for _, m := range s.service.eligibleMembers(s.id, members) {
		if m.State == membership.StateAlive && !s.service.responses.isSilent(m, now) {
			sites = append(sites, site{node: m.Name, zone: m.Zone})
		}
	}
	return sites
}

// detectSuperseded asks the nodes of silent replicas for their current replica IDs.
// It doesn't wait, so that an unreachable node doesn't delay its replacement.
func (s *Shard) detectSuperseded(now time.Time) {
	for id, entry := range s.silentMembers(now) {
		m, found := findMember(s.service.options.Members.View(), entry.Node)
		if !found || m.State > membership.StateSuspect || !s.beginQuery(id) {
			continue
		}
		s.service.run(func() { s.checkSuperseded(id, m) })
	}
}

// beginQuery marks a replica as being queried; it returns false if it already is.
func (s *Shard) beginQuery(id replication.ReplicaID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.repair.querying[id] {
		return false
	}
	s.repair.querying[id] = true
	return true
}

func (s *Shard) checkSuperseded(id replication.ReplicaID, m membership.Member) {
	answer, err := s.service.callDescribe(m, s.id)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.repair.querying, id)
	if err == nil && answer.Replica != id && s.repair.superseded != nil {
		s.repair.superseded[id] = true
		s.service.triggerRepair()
	}
}

func (s *Shard) silentMembers(now time.Time) map[replication.ReplicaID]storage.RosterEntry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.updateSilent(s.core.Status(), now)
	silent := map[replication.ReplicaID]storage.RosterEntry{}
	for id := range s.repair.silentSince {
		if entry, known := s.roster[id]; known && !s.repair.superseded[id] {
			silent[id] = entry
		}
	}
	return silent
}

// addReplica adds a learner on the least loaded of a few sites.
func (s *Shard) addReplica(sites []site) error {
	ctx, cancel := context.WithTimeout(s.service.running, changeTimeout)
	defer cancel()
	chosen, err := s.chooseSite(ctx, sites)
	if err != nil {
		return err
	}
	encoded, err := s.service.options.Sender.Call(ctx, chosen.Address, kindJoin, encode(joinRequest{Shard: s.id}))
	if err != nil {
		return trace.Wrap(err, "start a replica on peer %s", chosen.Name)
	}
	var answer describeResponse
	if _, err := decode(encoded, &answer, 0); err != nil {
		return trace.Wrap(err, "start a replica on peer %s", chosen.Name)
	}
	entry := storage.RosterEntry{Replica: answer.Replica, Node: chosen.Name, Zone: chosen.Zone, Address: chosen.Address}
	if _, err := s.propose(ctx, append([]byte{entryRoster}, entry.Marshal()...)); err != nil {
		return trace.Wrap(err, "add peer %s to the roster", chosen.Name)
	}
	return s.proposeChange(replication.Change{Type: replication.AddLearner, Replica: answer.Replica})
}

// offerGracePeriod is how long to wait for better offers after the first one.
const offerGracePeriod = 200 * time.Millisecond

// chooseSite asks nodes for their load, those most likely to answer first, and returns the
// least loaded one of the first that answer.
func (s *Shard) chooseSite(ctx context.Context, sites []site) (membership.Member, error) {
	candidates := s.knownMembers(sites)
	s.service.responses.order(candidates, clock.Now())
	offers := make(chan offer, len(candidates))
	return bestOffer(ctx, candidates, offers, func(m membership.Member) {
		s.service.run(func() {
			answer, err := s.service.callDescribe(m, s.id)
			offers <- offer{m, answer.Replicas, err}
		})
	})
}

// offer is a candidate node's response.
type offer struct {
	member   membership.Member
	replicas uint32
	err      error
}

func (s *Shard) knownMembers(sites []site) []membership.Member {
	var known []membership.Member
	for _, candidate := range sites {
		if m, found := findMember(s.service.options.Members.View(), candidate.node); found {
			known = append(known, m)
		}
	}
	return known
}

// bestOffer asks joinCandidates candidates, and others while none answers. It returns the least
// loaded one. After the first answer it waits for offerGracePeriod for others.
func bestOffer(ctx context.Context, candidates []membership.Member, offers <-chan offer, ask func(membership.Member)) (membership.Member, error) {
	var best offer
	asked, received, found, count := 0, 0, false, joinCandidates
	failure := error(trace.NotFound("no node can hold a replica"))
	wait := time.NewTimer(0)
	defer wait.Stop()
	for received < len(candidates) {
		select {
		case one := <-offers:
			received++
			switch {
			case one.err != nil:
				failure = trace.Wrap(one.err, "request the load of peer %s", one.member.Name)
			case !found:
				best, found = one, true
				wait.Reset(offerGracePeriod)
			case one.replicas < best.replicas:
				best = one
			}
			if found && received == asked {
				return best.member, nil
			}
		case <-wait.C:
			if found {
				return best.member, nil
			}
			next := candidates[asked:min(asked+count, len(candidates))]
			asked += len(next)
			count = min(2*count, maxJoinCandidates)
			for _, m := range next {
				ask(m)
			}
			wait.Reset(offerWait)
		case <-ctx.Done():
			return membership.Member{}, failure
		}
	}
	if found {
		return best.member, nil
	}
	return membership.Member{}, failure
}

func (s *Service) callDescribe(m membership.Member, id ledger.ShardID) (describeResponse, error) {
	ctx, cancel := context.WithTimeout(s.running, callTimeout)
	defer cancel()
	var answer describeResponse
	encoded, err := s.options.Sender.Call(ctx, m.Address, kindDescribe, encode(describeRequest{Shard: id}))
	s.recordResponse(s.responses, m, err)
	if err != nil {
		return answer, err
	}
	_, err = decode(encoded, &answer, 0)
	return answer, err
}

// recordResponse notes whether a node answered a call. An error that it returned is an answer.
func (s *Service) recordResponse(to *responses, m membership.Member, err error) {
	var remote *transport.RemoteError
	if s.running.Err() == nil {
		to.record(m, err == nil || errors.As(err, &remote), clock.Now())
	}
}

// changeTowards proposes the next change towards the wanted voters.
func (s *Shard) changeTowards(configuration replication.Configuration, wanted []replication.ReplicaID) error {
	s.mutex.Lock()
	change, needed := replication.NextChange(configuration, s.replicaID, wanted, s.core.CaughtUp)
	s.mutex.Unlock()
	if !needed || change.Type == replication.AddLearner {
		return nil
	}
	return s.proposeChange(change)
}

func (s *Shard) proposeChange(change replication.Change) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.halted != nil {
		return nil
	}
	entry := s.roster[change.Replica]
	_, _, err := s.core.ProposeConfig(change)
	if errors.Is(err, replication.ErrChangePending) || errors.Is(err, replication.ErrNotLeader) {
		return nil // retried at the next step
	}
	if err != nil {
		return trace.Wrap(err)
	}
	if change.Type == replication.RemoveReplica {
		s.repair.removed = append(s.repair.removed, removedReplica{entry: entry})
	}
	eventReplacing.Info("shard", s.id, "change", changeName(change.Type), "replica", change.Replica, "node", entry.Node, "zone", entry.Zone)
	s.schedule()
	return nil
}

func changeName(change replication.ChangeType) string {
	switch change {
	case replication.AddLearner:
		return "add learner"
	case replication.PromoteLearner:
		return "promote learner"
	case replication.RemoveReplica:
		return "remove replica"
	}
	return "unknown"
}

// notifyRemoved notifies removed replicas in the background so that they delete
// their data.
func (s *Shard) notifyRemoved() {
	s.mutex.Lock()
	if s.core.Status().ConfigurationPending {
		s.mutex.Unlock()
		return
	}
	removed := s.repair.removed
	s.repair.removed = nil
	s.mutex.Unlock()
	for _, r := range removed {
		s.service.run(func() { s.notifyOrRequeue(r) })
	}
}

// notifyOrRequeue notifies a removed replica; on failure the next repair step
// retries, up to maxLeaveAttempts.
func (s *Shard) notifyOrRequeue(r removedReplica) {
	if s.isMember(r.entry.Replica) { // added again
		return
	}
	if s.sendLeave(r.entry) == nil || r.attempts >= maxLeaveAttempts {
		return
	}
	r.attempts++
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.repair.removed = append(s.repair.removed, r)
}

func (s *Shard) isMember(id replication.ReplicaID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	configuration := s.core.Status().Configuration
	return configuration.HasVoter(id) || configuration.HasLearner(id)
}

func (s *Shard) sendLeave(entry storage.RosterEntry) error {
	m, found := findMember(s.service.options.Members.View(), entry.Node)
	if !found || m.State > membership.StateSuspect {
		return trace.NotFound("node %s is not a live member", entry.Node)
	}
	ctx, cancel := context.WithTimeout(s.service.running, callTimeout)
	defer cancel()
	request := encode(memberRequest{Shard: s.id, Replica: entry.Replica})
	_, err := s.service.options.Sender.Call(ctx, m.Address, kindLeave, request)
	return err
}

// checkMembership destroys this replica if the shard's leader reports that it was
// removed.
func (s *Shard) checkMembership() {
	leader, known := s.service.Leader(s.id)
	if !known || leader == s.service.self().Address {
		return
	}
	ctx, cancel := context.WithTimeout(s.service.running, callTimeout)
	defer cancel()
	s.mutex.Lock()
	replica := s.replicaID
	s.mutex.Unlock()
	request := encode(memberRequest{Shard: s.id, Replica: replica})
	encoded, err := s.service.options.Sender.Call(ctx, leader, kindMember, request)
	if err != nil {
		return
	}
	var answer memberResponse
	if _, err := decode(encoded, &answer, 0); err != nil || answer.Member {
		return
	}
	_ = s.service.destroy(s, replica, leader)
}

// resign transfers the leadership to the most up-to-date eligible voter. It reports
// whether this replica still leads a shard with other voters.
func (s *Shard) resign() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.halted != nil {
		return false
	}
	status := s.core.Status()
	if status.Role != replication.RoleLeader || len(status.Configuration.Voters) < 2 {
		return false
	}
	if status.TransferringTo != 0 {
		return true
	}
	var best replication.ReplicaID
	for _, id := range status.Configuration.Voters {
		follower := status.Followers[id]
		if id == s.replicaID || follower.Silent || s.leaving(id) || s.misplaced(s.roster[id].Node) {
			continue
		}
		if best == 0 || follower.Match > status.Followers[best].Match {
			best = id
		}
	}
	if best != 0 && s.core.TransferLeadership(best) == nil {
		s.schedule()
	}
	return true
}

// leaving reports whether a replica's node is leaving the membership or has left.
func (s *Shard) leaving(id replication.ReplicaID) bool {
	m, found := findMember(s.service.options.Members.View(), s.roster[id].Node)
	return found && m.State >= membership.StateLeaving
}
