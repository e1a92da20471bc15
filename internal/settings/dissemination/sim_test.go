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

// This file is a fleet in virtual time: machines, a lossy network, a store
// that fails, and disks. One seed gives one run.

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
	// cutRegion, if not empty, is cut off from all others, but not the store.
	cutRegion string
	duplicate bool
	faults    []string // broken promises
	notices   map[Notice]int
	// maxWatchers is the most watchers that a region had at once.
	maxWatchers map[string]int
	onPublish   func(node *simNode, version settings.Version)
	truths      []simTruth
	// pausedUntil and badNetworkUntil are until when peers may not answer.
	pausedUntil, badNetworkUntil time.Time
}

// simTruth is which nodes were up and running at a time.
type simTruth struct {
	at      time.Time
	members []membership.Member
}

type simNode struct {
	sim     *sim
	member  membership.Member
	machine *Machine
	life    int
	up      bool
	paused  bool
	backlog []func()
	view    []membership.Member
	hasDisk bool
	disk    map[string]Entry
	diskAt  settings.Version
	// highest is the newest version that this node and its disk had in force.
	highest settings.Version
	// published and content are what this life has in force.
	published settings.Version
	hasAny    bool
	startedAt time.Time
	witnesses []witness
	// crashAfter, if not zero, counts down the actions to a crash.
	crashAfter int
	content    map[string]Entry
	sentBytes, sentMessages,
	receivedBytes int
}

// newSim makes a fleet of equal zones and starts it.
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
	s.trackTruth()
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

// run lets virtual time pass.
func (s *sim) run(duration time.Duration) {
	end := s.now.Add(duration)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(simEvent)
		s.now = next.at
		next.run()
	}
	s.now = end
}

func (s *sim) fault(format string, arguments ...any) {
	s.faults = append(s.faults, fmt.Sprintf(format, arguments...))
}

// trackTruth records who is up, for views that lag.
func (s *sim) trackTruth() {
	var members []membership.Member
	for _, node := range s.nodes {
		if node.up && !node.paused {
			members = append(members, node.member)
		}
	}
	s.truths = append(s.truths, simTruth{at: s.now, members: members})
	if len(s.truths) > 20 {
		s.truths = s.truths[1:]
	}
	s.at(200*time.Millisecond, s.trackTruth)
}

// viewOf is what a node knows of the others: the truth of a while ago, less
// those that it can't reach.
func (s *sim) viewOf(node *simNode) *membership.View {
	view := &membership.View{}
	for i := len(s.truths) - 1; i >= 0; i-- {
		if s.now.Sub(s.truths[i].at) < simViewLag {
			continue
		}
		for _, member := range s.truths[i].members {
			if !s.cutBetween(node, s.byAddr[member.Address]) {
				view.Members = append(view.Members, member)
			}
		}
		break
	}
	return view
}

func (s *sim) cutBetween(a, b *simNode) bool {
	return (a.member.Region == s.cutRegion) != (b.member.Region == s.cutRegion)
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

// start begins a life of the node, from its disk if it has one.
func (n *simNode) start() {
	n.life++
	n.startedAt, n.witnesses = n.sim.now, n.sim.witnessesFor(n)
	n.up, n.paused, n.backlog, n.view = true, false, nil, nil
	n.hasAny, n.published, n.content = false, 0, make(map[string]Entry)
	var restored *State
	if n.hasDisk && n.diskAt > 0 {
		var entries []Entry
		for _, entry := range n.disk {
			entries = append(entries, entry)
		}
		restored = NewState(n.diskAt, entries)
	}
	config := Config{Self: n.member, Seed: n.sim.random.Uint64()}
	n.machine = New(config, n.sim.now, restored)
	n.later(time.Duration(n.sim.random.Int64N(int64(simTick))), n.tick)
	n.later(time.Duration(n.sim.random.Int64N(int64(simViewTick))), n.refreshView)
}

// witness is what another node had in force when this one started.
type witness struct {
	node    *simNode
	life    int
	version settings.Version
}

// witnessesFor are the nodes that a starting one could ask.
func (s *sim) witnessesFor(starting *simNode) []witness {
	var witnesses []witness
	for _, node := range s.nodes {
		if node != starting && node.up && node.hasAny {
			witnesses = append(witnesses, witness{node, node.life, node.published})
		}
	}
	return witnesses
}

// leastWitnessed is the lowest version of the witnesses that are still there,
// or zero if none is.
func (n *simNode) leastWitnessed() settings.Version {
	var versions []settings.Version
	for _, witness := range n.witnesses {
		if witness.node.up && witness.node.life == witness.life {
			versions = append(versions, witness.version)
		}
	}
	if len(versions) == 0 {
		return 0
	}
	return slices.Min(versions)
}

// wellSince says that peers could answer all the time since.
func (s *sim) wellSince(since time.Time) bool {
	return s.pausedUntil.Before(since) && s.badNetworkUntil.Before(since)
}

// trouble notes that questions may stay unanswered for a while.
func (s *sim) trouble(duration time.Duration) {
	if until := s.now.Add(duration); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// later runs in this life only, and waits while the node is paused.
func (n *simNode) later(delay time.Duration, run func()) {
	life := n.life
	n.sim.at(delay, func() { n.deliver(life, run) })
}

func (n *simNode) deliver(life int, run func()) {
	switch {
	case life != n.life || !n.up:
	case n.paused:
		n.backlog = append(n.backlog, run)
	default:
		run()
	}
}

func (n *simNode) tick() {
	n.do(n.machine.Tick(n.sim.now))
	n.sim.countWatchers()
	n.later(simTick, n.tick)
}

func (n *simNode) refreshView() {
	view := n.sim.viewOf(n)
	if !slices.Equal(view.Members, n.view) {
		n.view = view.Members
		n.do(n.machine.SetView(n.sim.now, view))
	}
	n.later(simViewTick, n.refreshView)
}

func (n *simNode) stop() {
	n.up = false
	n.sim.store.closeWatches(n)
}

func (n *simNode) pause(duration time.Duration) {
	if !n.up || n.paused {
		return
	}
	n.sim.trouble(duration)
	n.paused = true
	life := n.life
	n.sim.at(duration, func() {
		if n.life != life || !n.up {
			return
		}
		n.paused = false
		backlog := n.backlog
		n.backlog = nil
		n.do(n.machine.Tick(n.sim.now)) // timers fire before queued input
		for _, run := range backlog {
			run()
		}
	})
}

// do executes actions in order.
func (n *simNode) do(actions []Action) {
	for _, action := range actions {
		if n.crashes(action) {
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
				n.sim.must(err)
				to.do(to.machine.HandleDigest(n.sim.now, n.member.Address, digest))
			})
		case SendReport:
			data, _ := action.Report.Marshal()
			n.send(action.To, data, func(to *simNode, data []byte) {
				report, err := UnmarshalReport(data)
				n.sim.must(err)
				to.do(to.machine.HandleReport(n.sim.now, n.member.Address, report))
			})
		case SendZoneReport:
			data, _ := action.Report.Marshal()
			n.send(action.To, data, func(to *simNode, data []byte) {
				report, err := UnmarshalZoneReport(data)
				n.sim.must(err)
				to.do(to.machine.HandleZoneReport(n.sim.now, report))
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

// crashes counts the actions that matter, and stops the node at the last.
func (n *simNode) crashes(action Action) bool {
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

func (s *sim) must(err error) {
	if err != nil {
		s.fault("decode: %v", err)
	}
}

func (n *simNode) sendDelta(action SendDelta) {
	data, err := action.Delta.Marshal()
	n.sim.must(err)
	n.send(action.To, data, func(to *simNode, data []byte) {
		delta, err := UnmarshalDelta(data)
		n.sim.must(err)
		to.do(to.machine.HandleDelta(n.sim.now, n.member.Address, delta))
	})
}

// send delivers a message, unless the network loses it; it may come twice and
// out of order.
func (n *simNode) send(to transport.Address, data []byte, handle func(to *simNode, data []byte)) {
	target := n.sim.byAddr[to]
	n.count(target, data)
	if n.sim.cutBetween(n, target) || n.sim.random.Float64() < n.sim.loss {
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
		target.later(delay, func() { handle(target, data) })
	}
}

func (n *simNode) count(target *simNode, data []byte) {
	n.sentBytes += len(data) + simOverhead
	n.sentMessages++
	target.receivedBytes += len(data) + simOverhead
}

func (n *simNode) callPull(action CallPull) {
	data, err := action.Pull.Marshal()
	n.sim.must(err)
	peer := n.sim.byAddr[action.To]
	answered := false
	finish := func(answer *PullAnswer) {
		if !answered {
			answered = true
			n.do(n.machine.HandlePullAnswer(n.sim.now, action.To, answer))
		}
	}
	n.later(simCallTimeout, func() { finish(nil) })
	n.send(action.To, data, func(peer *simNode, data []byte) {
		pull, err := UnmarshalPull(data)
		n.sim.must(err)
		answer, err := peer.machine.HandlePull(n.sim.now, pull).Marshal()
		n.sim.must(err)
		peer.send(n.member.Address, answer, func(_ *simNode, data []byte) {
			decoded, err := UnmarshalPullAnswer(data)
			n.sim.must(err)
			finish(decoded)
		})
	})
	_ = peer
}

func (n *simNode) persist(action Persist) {
	if !n.hasDisk {
		return
	}
	if action.Version < n.diskAt {
		n.sim.fault("%s: disk goes back from %s to %s", n.member.Name, n.diskAt, action.Version)
	}
	merge(n.disk, action.Changes, (*Entry).Gone)
	n.diskAt = action.Version
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
	if n.hasAny && action.Version <= n.published {
		n.sim.fault("%s: in force goes from %s to %s", n.member.Name, n.published, action.Version)
	}
	if n.hasDisk && action.Version < n.highest {
		n.sim.fault("%s: in force goes from %s to %s over a restart", n.member.Name, n.highest, action.Version)
	}
	if floor := n.leastWitnessed(); !n.hasAny && n.sim.wellSince(n.startedAt) && action.Version < floor {
		n.sim.fault("%s: restarted with %s, below all others' %s", n.member.Name, action.Version, floor)
	}
	n.highest = action.Version
	if action.Replace {
		n.content = make(map[string]Entry)
	}
	n.checkEntries(action)
	merge(n.content, action.Changes, isDeleted)
	n.hasAny, n.published = true, action.Version
	n.sim.store.checkContent(n)
	if n.sim.onPublish != nil {
		n.sim.onPublish(n, action.Version)
	}
}

// checkEntries: within an epoch, no entry in force goes back.
func (n *simNode) checkEntries(action Publish) {
	if !n.hasAny || action.Version.Epoch() != n.published.Epoch() {
		return
	}
	for _, entry := range action.Changes {
		if old, present := n.content[entry.Name]; present && old.Revision > entry.Revision {
			n.sim.fault("%s: %s goes from revision %d to %d", n.member.Name, entry.Name, old.Revision, entry.Revision)
		}
	}
}

var (
	errStoreDown = errors.New("store is down")
	errFuture    = errors.New("revision is ahead of the store")
)
