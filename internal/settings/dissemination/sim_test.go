package dissemination

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/transport"
)

// This file simulates a fleet in virtual time: machines, a lossy network, a
// failing store, and disks. Runs are deterministic for a seed.

const (
	simTick        = TickInterval
	simViewTick    = 500 * time.Millisecond
	simViewLag     = time.Second
	simBookmark    = 2 * time.Second
	simCallTimeout = 2 * time.Second
	// simOverhead is what the transport and the network add to a message, in
	// bytes: frame header, authentication and IP headers, rounded up.
	simOverhead = 100
)

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type sim struct {
	now    time.Time
	seq    int
	queue  simQueue
	random *rand.Rand
	nodes  []*simNode
	byAddr map[transport.Address]*simNode
	store  *simStore
	loss   float64
	// isolatedRegion, if not empty, reaches the store but no other region.
	isolatedRegion string
	duplicate      bool
	violations     []string // violated invariants
	notices        map[Notice]int
	// maxWatchers is the most watchers that a region had at once.
	maxWatchers map[string]int
	onPublish   func(node *simNode, version settings.Version)
	snapshots   []membershipSnapshot
	// pausedUntil and badNetworkUntil are until when peers may not answer.
	pausedUntil, badNetworkUntil time.Time
}

// membershipSnapshot holds the nodes that were running at a time.
type membershipSnapshot struct {
	at      time.Time
	members []membership.Member
}

type simNode struct {
	sim         *sim
	member      membership.Member
	machine     *Machine
	incarnation int
	up          bool
	paused      bool
	backlog     []func()
	view        []membership.Member
	hasDisk     bool
	disk        map[string]Entry
	diskVersion settings.Version
	// maxPublished is the newest version that this node and its disk had in force.
	maxPublished settings.Version
	// published and content are what this incarnation has in force.
	published    settings.Version
	hasVersion   bool
	startTime    time.Time
	peersAtStart []peerVersion
	// crashAfter, if not zero, counts down the actions to a crash.
	crashAfter int
	content    map[string]Entry
	sentBytes, sentMessages,
	receivedBytes int
}

// newSim returns a fleet of equal zones and starts it.
func newSim(seed uint64, regions, zonesPerRegion, nodesPerZone int) *sim {
	s := emptySim(seed)
	for region := range regions {
		for zone := range zonesPerRegion {
			for number := range nodesPerZone {
				s.addNode(region, zone, number)
			}
		}
	}
	s.begin()
	return s
}

func emptySim(seed uint64) *sim {
	s := &sim{
		now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		byAddr: make(map[transport.Address]*simNode), notices: make(map[Notice]int), maxWatchers: make(map[string]int),
	}
	s.store = newSimStore(s)
	return s
}

// begin starts all nodes.
func (s *sim) begin() {
	for _, node := range s.nodes {
		node.start()
	}
	s.recordMembership()
}

func (s *sim) addNode(region, zone, number int) {
	index := len(s.nodes)
	member := membership.Member{
		Name:    fmt.Sprintf("node-%d-%d-%d", region, zone, number),
		Address: transport.Address(fmt.Sprintf("10.%d.%d.%d:7000", region, zone, number)),
		Region:  fmt.Sprintf("region-%d", region),
		Zone:    fmt.Sprintf("zone-%d-%d", region, zone),
	}
	node := &simNode{sim: s, member: member, hasDisk: index%2 == 0, disk: make(map[string]Entry)}
	s.nodes = append(s.nodes, node)
	s.byAddr[member.Address] = node
}

func (s *sim) at(delay time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now.Add(delay), seq: s.seq, run: run})
}

// run advances virtual time.
func (s *sim) run(duration time.Duration) {
	end := s.now.Add(duration)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(simEvent)
		s.now = next.at
		next.run()
	}
	s.now = end
}

func (s *sim) addViolation(format string, arguments ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, arguments...))
}

// recordMembership records the running nodes, for delayed views.
func (s *sim) recordMembership() {
	var members []membership.Member
	for _, node := range s.nodes {
		if node.up && !node.paused {
			members = append(members, node.member)
		}
	}
	s.snapshots = append(s.snapshots, membershipSnapshot{at: s.now, members: members})
	if len(s.snapshots) > 20 {
		s.snapshots = s.snapshots[1:]
	}
	s.at(200*time.Millisecond, s.recordMembership)
}

// viewOf returns a node's membership view: the snapshot of simViewLag ago without
// unreachable nodes.
func (s *sim) viewOf(node *simNode) *membership.View {
	view := &membership.View{}
	for i := len(s.snapshots) - 1; i >= 0; i-- {
		if s.now.Sub(s.snapshots[i].at) < simViewLag {
			continue
		}
		for _, member := range s.snapshots[i].members {
			if !s.partitioned(node, s.byAddr[member.Address]) {
				view.Members = append(view.Members, member)
			}
		}
		break
	}
	return view
}

func (s *sim) partitioned(a, b *simNode) bool {
	return (a.member.Region == s.isolatedRegion) != (b.member.Region == s.isolatedRegion)
}

func (s *sim) latency(a, b *simNode) time.Duration {
	switch {
	case a.member.Zone == b.member.Zone:
		return 200*time.Microsecond + time.Duration(s.random.IntN(300))*time.Microsecond
	case a.member.Region == b.member.Region:
		return time.Millisecond + time.Duration(s.random.IntN(1000))*time.Microsecond
	default:
		return 60*time.Millisecond + time.Duration(s.random.IntN(60))*time.Millisecond
	}
}

func (s *sim) countWatchers() {
	counts := make(map[string]int)
	for _, node := range s.nodes {
		if node.up && !node.paused && node.machine.Watching() {
			counts[node.member.Region]++
		}
	}
	for region, count := range counts {
		s.maxWatchers[region] = max(s.maxWatchers[region], count)
	}
}

// start begins a new incarnation of the node, from its disk if it has one.
func (n *simNode) start() {
	n.incarnation++
	n.startTime, n.peersAtStart = n.sim.now, n.sim.peerVersions(n)
	n.up, n.paused, n.backlog, n.view = true, false, nil, nil
	n.hasVersion, n.published, n.content = false, 0, make(map[string]Entry)
	var restored *State
	if n.hasDisk && n.diskVersion > 0 {
		var entries []Entry
		for _, entry := range n.disk {
			entries = append(entries, entry)
		}
		restored = NewState(n.diskVersion, entries)
	}
	config := Config{Self: n.member, Seed: n.sim.random.Uint64()}
	n.machine = New(config, n.sim.now, restored)
	n.schedule(time.Duration(n.sim.random.Int64N(int64(simTick))), n.tick)
	n.schedule(time.Duration(n.sim.random.Int64N(int64(simViewTick))), n.refreshView)
}

// peerVersion is what another node had in force when this one started.
type peerVersion struct {
	node        *simNode
	incarnation int
	version     settings.Version
}

// peerVersions returns the versions of the nodes that a starting one could query.
func (s *sim) peerVersions(starting *simNode) []peerVersion {
	var versions []peerVersion
	for _, node := range s.nodes {
		if node != starting && node.up && node.hasVersion {
			versions = append(versions, peerVersion{node, node.incarnation, node.published})
		}
	}
	return versions
}

// minPeerVersion returns the lowest version of the peers at start that still
// run, or zero if none does.
func (n *simNode) minPeerVersion() settings.Version {
	var versions []settings.Version
	for _, peer := range n.peersAtStart {
		if peer.node.up && peer.node.incarnation == peer.incarnation {
			versions = append(versions, peer.version)
		}
	}
	if len(versions) == 0 {
		return 0
	}
	return slices.Min(versions)
}

// peersReachableSince reports whether peers could answer all the time since.
func (s *sim) peersReachableSince(since time.Time) bool {
	return s.pausedUntil.Before(since) && s.badNetworkUntil.Before(since)
}

// markUnreachable records that queries may stay unanswered for a while.
func (s *sim) markUnreachable(duration time.Duration) {
	if until := s.now.Add(duration); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// schedule calls run in this incarnation only, and after any pause of the node.
func (n *simNode) schedule(delay time.Duration, run func()) {
	life := n.incarnation
	n.sim.at(delay, func() { n.deliver(life, run) })
}

func (n *simNode) deliver(life int, run func()) {
	switch {
	case life != n.incarnation || !n.up:
	case n.paused:
		n.backlog = append(n.backlog, run)
	default:
		run()
	}
}

func (n *simNode) tick() {
	n.execute(n.machine.Tick(n.sim.now))
	n.sim.countWatchers()
	n.schedule(simTick, n.tick)
}

func (n *simNode) refreshView() {
	view := n.sim.viewOf(n)
	if !slices.Equal(view.Members, n.view) {
		n.view = view.Members
		n.execute(n.machine.SetView(n.sim.now, view))
	}
	n.schedule(simViewTick, n.refreshView)
}

func (n *simNode) stop() {
	n.up = false
	n.sim.store.closeWatches(n)
}

func (n *simNode) pause(duration time.Duration) {
	if !n.up || n.paused {
		return
	}
	n.sim.markUnreachable(duration)
	n.paused = true
	life := n.incarnation
	n.sim.at(duration, func() {
		if n.incarnation != life || !n.up {
			return
		}
		n.paused = false
		backlog := n.backlog
		n.backlog = nil
		n.execute(n.machine.Tick(n.sim.now)) // timers fire before queued input
		for _, run := range backlog {
			run()
		}
	})
}

// execute executes actions in order.
func (n *simNode) execute(actions []Action) {
	for _, action := range actions {
		if n.crashIfDue(action) {
			return
		}
		switch action := action.(type) {
		case Persist:
			n.persist(action)
		case Publish:
			n.publish(action)
		case SendDelta:
			n.sendDelta(action)
		case SendDigest:
			data, _ := action.Digest.Marshal()
			n.send(action.To, data, func(to *simNode, data []byte) {
				digest, err := UnmarshalDigest(data)
				n.sim.checkDecode(err)
				to.execute(to.machine.HandleDigest(n.sim.now, n.member.Address, digest))
			})
		case SendReport:
			data, _ := action.Report.Marshal()
			n.send(action.To, data, func(to *simNode, data []byte) {
				report, err := UnmarshalReport(data)
				n.sim.checkDecode(err)
				to.execute(to.machine.HandleReport(n.sim.now, n.member.Address, report))
			})
		case SendZoneReport:
			data, _ := action.Report.Marshal()
			n.send(action.To, data, func(to *simNode, data []byte) {
				report, err := UnmarshalZoneReport(data)
				n.sim.checkDecode(err)
				to.execute(to.machine.HandleZoneReport(n.sim.now, report))
			})
		case CallPull:
			n.callPull(action)
		case ProbeStore:
			n.sim.store.probe(n, action)
		case ListStore:
			n.sim.store.list(n, action)
		case WatchStore:
			n.sim.store.watch(n, action)
		case StopWatch:
			n.sim.store.closeWatches(n)
		case Notify:
			n.sim.notices[action.Notice]++
		}
	}
}

// crashIfDue counts down crashAfter, stops the node at zero, and reports whether
// the node is down.
func (n *simNode) crashIfDue(action Action) bool {
	switch action.(type) {
	case Persist, Publish, SendDelta:
	default:
		return !n.up
	}
	if n.crashAfter == 0 {
		return !n.up
	}
	n.crashAfter--
	if n.crashAfter > 0 {
		return false
	}
	n.stop()
	return true
}

func (s *sim) checkDecode(err error) {
	if err != nil {
		s.addViolation("decode: %v", err)
	}
}

func (n *simNode) sendDelta(action SendDelta) {
	data, err := action.Delta.Marshal()
	n.sim.checkDecode(err)
	n.send(action.To, data, func(to *simNode, data []byte) {
		delta, err := UnmarshalDelta(data)
		n.sim.checkDecode(err)
		to.execute(to.machine.HandleDelta(n.sim.now, n.member.Address, delta))
	})
}

// send delivers a message, which the network may lose, duplicate or reorder.
func (n *simNode) send(to transport.Address, data []byte, handle func(to *simNode, data []byte)) {
	target := n.sim.byAddr[to]
	n.count(target, data)
	if n.sim.partitioned(n, target) || n.sim.random.Float64() < n.sim.loss {
		return
	}
	copies := 1
	if n.sim.duplicate && n.sim.random.IntN(4) == 0 {
		copies = 2
	}
	for range copies {
		delay := n.sim.latency(n, target)
		if n.sim.duplicate {
			delay += time.Duration(n.sim.random.IntN(300)) * time.Millisecond
		}
		target.schedule(delay, func() { handle(target, data) })
	}
}

func (n *simNode) count(target *simNode, data []byte) {
	n.sentBytes += len(data) + simOverhead
	n.sentMessages++
	target.receivedBytes += len(data) + simOverhead
}

func (n *simNode) callPull(action CallPull) {
	data, err := action.Pull.Marshal()
	n.sim.checkDecode(err)
	peer := n.sim.byAddr[action.To]
	answered := false
	finish := func(answer *PullAnswer) {
		if !answered {
			answered = true
			n.execute(n.machine.HandlePullAnswer(n.sim.now, action.To, answer))
		}
	}
	n.schedule(simCallTimeout, func() { finish(nil) })
	n.send(action.To, data, func(peer *simNode, data []byte) {
		pull, err := UnmarshalPull(data)
		n.sim.checkDecode(err)
		answer, err := peer.machine.HandlePull(n.sim.now, pull).Marshal()
		n.sim.checkDecode(err)
		peer.send(n.member.Address, answer, func(_ *simNode, data []byte) {
			decoded, err := UnmarshalPullAnswer(data)
			n.sim.checkDecode(err)
			finish(decoded)
		})
	})
	_ = peer
}

func (n *simNode) persist(action Persist) {
	if !n.hasDisk {
		return
	}
	if action.Version < n.diskVersion {
		n.sim.addViolation("%s: version on disk regresses from %s to %s", n.member.Name, n.diskVersion, action.Version)
	}
	merge(n.disk, action.Changes, (*Entry).Purged)
	n.diskVersion = action.Version
}

func isDeleted(entry *Entry) bool { return entry.Deleted }

func merge(into map[string]Entry, changes []Entry, drop func(*Entry) bool) {
	for _, entry := range changes {
		if drop(&entry) {
			delete(into, entry.Name)
			continue
		}
		into[entry.Name] = entry
	}
}

func (n *simNode) publish(action Publish) {
	if n.hasVersion && action.Version <= n.published {
		n.sim.addViolation("%s: version in force does not increase from %s to %s", n.member.Name, n.published, action.Version)
	}
	if n.hasDisk && action.Version < n.maxPublished {
		n.sim.addViolation("%s: version in force regresses from %s to %s after a restart", n.member.Name, n.maxPublished, action.Version)
	}
	if floor := n.minPeerVersion(); !n.hasVersion && n.sim.peersReachableSince(n.startTime) && action.Version < floor {
		n.sim.addViolation("%s: restarted with %s, older than the lowest peer version %s", n.member.Name, action.Version, floor)
	}
	n.maxPublished = action.Version
	if action.Replace {
		n.content = make(map[string]Entry)
	}
	n.checkEntries(action)
	merge(n.content, action.Changes, isDeleted)
	n.hasVersion, n.published = true, action.Version
	n.sim.store.checkContent(n)
	if n.sim.onPublish != nil {
		n.sim.onPublish(n, action.Version)
	}
}

// checkEntries checks that no entry regresses within an epoch.
func (n *simNode) checkEntries(action Publish) {
	if !n.hasVersion || action.Version.Epoch() != n.published.Epoch() {
		return
	}
	for _, entry := range action.Changes {
		if old, present := n.content[entry.Name]; present && old.Revision > entry.Revision {
			n.sim.addViolation("%s: %s regresses from revision %d to %d", n.member.Name, entry.Name, old.Revision, entry.Revision)
		}
	}
}

var (
	errStoreDown = errors.New("store is down")
	errFuture    = errors.New("revision is ahead of the store")
)
