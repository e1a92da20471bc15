package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/ledger/storage"
	"chutelock.dev/chutelock/internal/membership"
)

const (
	// joinChoices is how many nodes of a zone are asked for their load before
	// one gets a replica.
	joinChoices = 3
	// changeTimeout bounds one step of a replacement.
	changeTimeout = 5 * time.Second
	// goneAfter is how many times ReplaceAfter a voter is waited for whose place no
	// other zone may take: most losses of power and cuts are over by then.
	goneAfter = 10
	// leaveTries bounds the tries to tell a removed replica.
	leaveTries = 30
)

// repairState is what a leader remembers for repair; it is new with each term.
type repairState struct {
	silentSince map[replication.ReplicaID]time.Time
	superseded  map[replication.ReplicaID]bool
	asked       map[replication.ReplicaID]bool // being asked; see lookForSuperseded
	removed     []removedReplica
	// exposed: the loss of one zone would leave no majority.
	exposed bool
}

// removedReplica is to be told that it left.
type removedReplica struct {
	entry storage.RosterEntry
	tries int
}

// runRepair looks after the replica sets of the shards that this node leads.
func (s *Service) runRepair() {
	ticker := time.NewTicker(s.options.RepairInterval)
	defer ticker.Stop()
	for {
		ticker.Reset(s.interval(s.options.RepairInterval))
		select {
		case <-s.running.Done():
			return
		case <-ticker.C:
		case <-s.changed:
		}
		for _, shard := range s.allShards() {
			s.metrics.noteRegional(shard)
			if err := shard.repairStep(clock.Now()); err != nil && s.running.Err() == nil {
				eventRepairFailed.Error(err, "shard", shard.id)
			}
		}
	}
}

// repairSoon asks for the next step without waiting for the interval.
func (s *Service) repairSoon() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// repairStep takes at most one step towards the planned replica set.
func (s *Shard) repairStep(now time.Time) error {
	s.mutex.Lock()
	leads := s.soft.Role == replication.RoleLeader && !s.stopped && s.halted == nil
	leaderless := s.soft.Leader == 0 && now.Sub(s.leaderlessSince) > s.service.options.NoQuorumAfter
	s.mutex.Unlock()
	if !leads {
		if leaderless {
			s.askWhetherMember()
		}
		return nil
	}
	s.tellRemoved()
	s.lookForSuperseded(now)
	members, configuration, pending := s.members(now)
	s.noteZones(members)
	if pending {
		return nil
	}
	plan := planRepair(members, s.sites(), s.service.options.aim())
	if len(plan.join) > 0 && !hasLearner(members) {
		return trace.Wrap(s.addReplica(plan.join), "add a replica")
	}
	return trace.Wrap(s.changeTowards(configuration, plan.wanted), "change the replica set")
}

// noteZones tells when the loss of one zone begins or ceases to be more than the
// shard can bear, counting who is there.
func (s *Shard) noteZones(members []member) {
	if s.service.options.ZoneLosses == 0 {
		return
	}
	voters := slices.DeleteFunc(slices.Clone(members), func(m member) bool { return !m.voter })
	exposed := !outlivesAZone(voters)
	s.mutex.Lock()
	changed := exposed != s.repair.exposed
	s.repair.exposed = exposed
	s.mutex.Unlock()
	switch {
	case changed && exposed:
		eventZoneExposed.Info("shard", s.id, "voters_by_zone", zoneCounts(sitesOf(voters)))
	case changed:
		eventZoneBorne.Info("shard", s.id, "voters_by_zone", zoneCounts(sitesOf(voters)))
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

// members describes the shard's members and notes who is silent.
func (s *Shard) members(now time.Time) (members []member, configuration replication.Configuration, pending bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	status := s.core.Status()
	s.noteSilent(status, now)
	for _, id := range status.Configuration.Members() {
		silence := time.Duration(0)
		if since, silent := s.repair.silentSince[id]; silent {
			silence = now.Sub(since)
		}
		superseded, wait := s.repair.superseded[id], s.service.options.ReplaceAfter
		leaves := s.service.options.ReplaceLeaving && s.leaving(id)
		misplaced := s.misplaced(s.roster[id].Node)
		members = append(members, member{
			replica:    id,
			site:       site{node: s.roster[id].Node, zone: s.roster[id].Zone},
			voter:      status.Configuration.HasVoter(id),
			leader:     id == s.replica,
			superseded: superseded,
			lost:       superseded || silence >= wait || leaves || misplaced,
			gone:       silence >= goneAfter*wait || leaves || misplaced,
		})
	}
	return members, status.Configuration, status.ConfigurationPending || status.TransferringTo != 0
}

func (s *Shard) noteSilent(status replication.Status, now time.Time) {
	if s.repair.silentSince == nil {
		s.repair.silentSince = map[replication.ReplicaID]time.Time{}
		s.repair.superseded = map[replication.ReplicaID]bool{}
		s.repair.asked = map[replication.ReplicaID]bool{}
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

// sites lists the living nodes that could hold a replica.
func (s *Shard) sites() []site {
	var sites []site
	members := dataMembers(s.service.options.Members.View(), s.service.self())
	for _, m := range s.service.within(s.id, members) {
		if m.State == membership.StateAlive {
			sites = append(sites, site{node: m.Name, zone: m.Zone})
		}
	}
	return sites
}

// lookForSuperseded asks the nodes of silent replicas whether they came back
// with another identity. It doesn't wait for them: a node that is gone for good
// never answers, and must not hold its replacement up.
func (s *Shard) lookForSuperseded(now time.Time) {
	for id, entry := range s.silentMembers(now) {
		m, found := findMember(s.service.options.Members.View(), entry.Node)
		if !found || m.State > membership.StateSuspect || !s.beginAsking(id) {
			continue
		}
		s.service.run(func() { s.askWhetherSuperseded(id, m) })
	}
}

// beginAsking says that nobody else is asking about the replica.
func (s *Shard) beginAsking(id replication.ReplicaID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.repair.asked[id] {
		return false
	}
	s.repair.asked[id] = true
	return true
}

func (s *Shard) askWhetherSuperseded(id replication.ReplicaID, m membership.Member) {
	answer, err := s.service.callDescribe(m, s.id)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.repair.asked, id)
	if err == nil && answer.Replica != id && s.repair.superseded != nil {
		s.repair.superseded[id] = true
		s.service.repairSoon()
	}
}

func (s *Shard) silentMembers(now time.Time) map[replication.ReplicaID]storage.RosterEntry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.noteSilent(s.core.Status(), now)
	silent := map[replication.ReplicaID]storage.RosterEntry{}
	for id := range s.repair.silentSince {
		if entry, known := s.roster[id]; known && !s.repair.superseded[id] {
			silent[id] = entry
		}
	}
	return silent
}

// addReplica lets the least loaded of a few sites hold a learner.
func (s *Shard) addReplica(sites []site) error {
	ctx, cancel := context.WithTimeout(s.service.running, changeTimeout)
	defer cancel()
	chosen, err := s.chooseSite(sites)
	if err != nil {
		return err
	}
	encoded, err := s.service.options.Sender.Call(ctx, chosen.Address, kindJoin, encode(joinRequest{Shard: s.id}))
	if err != nil {
		return trace.Wrap(err, "let peer %s hold a replica", chosen.Name)
	}
	var answer describeAnswer
	if _, err := decode(encoded, &answer, 0); err != nil {
		return trace.Wrap(err, "let peer %s hold a replica", chosen.Name)
	}
	entry := storage.RosterEntry{Replica: answer.Replica, Node: chosen.Name, Zone: chosen.Zone, Address: chosen.Address}
	if _, err := s.propose(ctx, append([]byte{entryRoster}, entry.Marshal()...)); err != nil {
		return trace.Wrap(err, "enter peer %s into the roster", chosen.Name)
	}
	return s.proposeChange(replication.Change{Type: replication.AddLearner, Replica: answer.Replica})
}

// choiceGrace is how long other candidates may answer after the first did.
const choiceGrace = 200 * time.Millisecond

// chooseSite asks a few nodes at a time for their load; those that don't answer
// hold nobody up.
func (s *Shard) chooseSite(sites []site) (membership.Member, error) {
	rand.Shuffle(len(sites), func(i, j int) { sites[i], sites[j] = sites[j], sites[i] })
	candidates := s.knownMembers(sites)
	if len(candidates) == 0 {
		return membership.Member{}, trace.NotFound("no node can hold a replica")
	}
	offers := make(chan offer, len(candidates))
	for _, m := range candidates {
		s.service.run(func() {
			answer, err := s.service.callDescribe(m, s.id)
			offers <- offer{m, answer.Replicas, err}
		})
	}
	return bestOffer(offers, len(candidates))
}

// offer is what a node answered.
type offer struct {
	member   membership.Member
	replicas uint32
	err      error
}

func (s *Shard) knownMembers(sites []site) []membership.Member {
	var known []membership.Member
	for _, candidate := range sites[:min(len(sites), joinChoices)] {
		if m, found := findMember(s.service.options.Members.View(), candidate.node); found {
			known = append(known, m)
		}
	}
	return known
}

// bestOffer waits for all offers, or for choiceGrace after the first good one.
func bestOffer(offers <-chan offer, count int) (membership.Member, error) {
	var best offer
	found := false
	failure := error(trace.NotFound("no node can hold a replica"))
	var grace <-chan time.Time
	for range count {
		select {
		case one := <-offers:
			switch {
			case one.err != nil:
				failure = trace.Wrap(one.err, "ask peer %s for its load", one.member.Name)
			case !found || one.replicas < best.replicas:
				best, found = one, true
			}
			if found && grace == nil {
				grace = time.After(choiceGrace)
			}
		case <-grace:
			return best.member, nil
		}
	}
	if !found {
		return membership.Member{}, failure
	}
	return best.member, nil
}

func (s *Service) callDescribe(m membership.Member, id ledger.ShardID) (describeAnswer, error) {
	ctx, cancel := context.WithTimeout(s.running, callTimeout)
	defer cancel()
	var answer describeAnswer
	encoded, err := s.options.Sender.Call(ctx, m.Address, kindDescribe, encode(describeRequest{Shard: id}))
	if err != nil {
		return answer, err
	}
	_, err = decode(encoded, &answer, 0)
	return answer, err
}

// changeTowards proposes the next step to the wanted voters.
func (s *Shard) changeTowards(configuration replication.Configuration, wanted []replication.ReplicaID) error {
	s.mutex.Lock()
	change, needed := replication.NextChange(configuration, s.replica, wanted, s.core.CaughtUp)
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
		return nil // another time
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

// tellRemoved lets removed replicas know, so that they free their disk. Those
// whose node has another disk, or is gone, need not know.
func (s *Shard) tellRemoved() {
	s.mutex.Lock()
	if s.core.Status().ConfigurationPending {
		s.mutex.Unlock()
		return
	}
	removed := s.repair.removed
	s.repair.removed = nil
	s.mutex.Unlock()
	for _, r := range removed {
		s.service.run(func() { s.tellAgainLater(r) })
	}
}

// tellAgainLater tells one removed replica; if it can't be told, the next step
// of repair tries again. Nothing waits for it.
func (s *Shard) tellAgainLater(r removedReplica) {
	if s.tellOne(r.entry) == nil || r.tries >= leaveTries {
		return
	}
	r.tries++
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.repair.removed = append(s.repair.removed, r)
}

func (s *Shard) tellOne(entry storage.RosterEntry) error {
	m, found := findMember(s.service.options.Members.View(), entry.Node)
	if !found || m.State > membership.StateSuspect {
		return trace.NotFound("node %s is not a living member", entry.Node)
	}
	ctx, cancel := context.WithTimeout(s.service.running, callTimeout)
	defer cancel()
	request := encode(memberRequest{Shard: s.id, Replica: entry.Replica})
	_, err := s.service.options.Sender.Call(ctx, m.Address, kindLeave, request)
	return err
}

// askWhetherMember destroys this replica if the shard's leader says that it
// was removed.
func (s *Shard) askWhetherMember() {
	leader, known := s.service.Leader(s.id)
	if !known || leader == s.service.self().Address {
		return
	}
	ctx, cancel := context.WithTimeout(s.service.running, callTimeout)
	defer cancel()
	s.mutex.Lock()
	replica := s.replica
	s.mutex.Unlock()
	request := encode(memberRequest{Shard: s.id, Replica: replica})
	encoded, err := s.service.options.Sender.Call(ctx, leader, kindMember, request)
	if err != nil {
		return
	}
	var answer memberAnswer
	if _, err := decode(encoded, &answer, 0); err != nil || answer.Member {
		return
	}
	_ = s.service.destroy(s, replica, leader)
}

// resign hands the leadership to the voter that has most of the log. It
// returns whether this replica still leads and another could.
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
		if id == s.replica || follower.Silent || s.leaving(id) || s.misplaced(s.roster[id].Node) {
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

// leaving says whether a replica's node has announced its stop.
func (s *Shard) leaving(id replication.ReplicaID) bool {
	m, found := findMember(s.service.options.Members.View(), s.roster[id].Node)
	return found && m.State >= membership.StateLeaving
}
