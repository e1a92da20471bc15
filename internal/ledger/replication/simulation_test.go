package replication

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// simulation runs the replicas of one shard in virtual time over a network
// that loses, delays, reorders and duplicates, on disks that take their time,
// and checks every step against the oracle.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	nodes    []*simulatedNode
	events   eventQueue
	sequence int
	sent     struct{ messages, bytes int }
	cut      map[[2]int]bool // directed pairs of nodes
	transit  map[*delivery]bool
	drop     func(Message) bool // by the test's own choice
	noise    noise
	oracle   oracle
	proposed int
}

// noise says how the network treats each message, and the disks each write.
type noise struct {
	loss, duplicate    float64
	maxDelay, maxWrite time.Duration
}

func calm() noise { return noise{maxDelay: calmDelay, maxWrite: calmDelay} }

type simulatedNode struct {
	position    int
	incarnation uint64
	id          ReplicaID
	disk        *MemoryStorage
	state       []Entry // what the state machine was given, kept on the disk
	replica     *Replica
	paused      bool
	writing     *Ready
	staged      *delivery
	waiting     []*delivery // arrived during a pause
	acks        map[uint64]uint64
	reads       map[uint64]uint64 // token to what the oracle demands
	confirmed   []ReadState
	aborted     int // reads that were answered with an error
	generation  int // grows with each crash, so that old events are void
}

// delivery is a message on its way, with the data of a snapshot.
type delivery struct {
	message Message
	state   []Entry
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].sequence < q[j].sequence)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// oracle is the simplest statement of what a ledger is: one sequence.
type oracle struct {
	entries  map[uint64]Entry     // applied anywhere, by index
	leaders  map[uint64]ReplicaID // by term
	acked    map[uint64]bool      // indexes whose proposer was answered
	observed uint64               // newest index that any client has seen
	failure  string
}

func (o *oracle) failf(format string, arguments ...any) {
	if o.failure == "" {
		o.failure = fmt.Sprintf(format, arguments...)
	}
}

func (o *oracle) apply(node *simulatedNode, entry Entry) {
	if last := len(node.state); last > 0 && entry.Index != node.state[last-1].Index+1 {
		o.failf("node %d applied %d after %d", node.position, entry.Index, node.state[last-1].Index)
	}
	known, found := o.entries[entry.Index]
	if found && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
		o.failf("node %d applied at %d term %d %q, another had term %d %q", node.position, entry.Index, entry.Term, entry.Data, known.Term, known.Data)
	}
	o.entries[entry.Index] = entry
}

func (o *oracle) lead(id ReplicaID, term uint64) {
	if other, found := o.leaders[term]; found && other != id {
		o.failf("%s and %s both lead term %d", id, other, term)
	}
	o.leaders[term] = id
}

const (
	tickInterval = 30 * time.Millisecond
	calmDelay    = 3 * time.Millisecond
)

func newSimulation(seed uint64, voters, spares int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)),
		now:    time.Unix(1, 0),
		cut:    map[[2]int]bool{}, transit: map[*delivery]bool{},
		noise:  calm(),
		oracle: oracle{entries: map[uint64]Entry{}, leaders: map[uint64]ReplicaID{}, acked: map[uint64]bool{}},
	}
	var first []ReplicaID
	for position := range voters + spares {
		node := &simulatedNode{position: position}
		node.id = NewReplicaID(strconv.Itoa(position), 0)
		s.nodes = append(s.nodes, node)
		if position < voters {
			first = append(first, node.id)
		}
	}
	for position, node := range s.nodes {
		node.disk = NewMemoryStorage(SnapshotMarker{})
		if position < voters {
			node.disk = NewMemoryStorage(BootstrapMarker(first...))
		}
		s.start(node)
	}
	return s
}

func (s *simulation) after(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now.Add(delay), s.sequence, run})
}

// afterOn runs on a node unless it crashes before; a pause puts it off.
func (s *simulation) afterOn(node *simulatedNode, delay time.Duration, run func()) {
	generation := node.generation
	var attempt func()
	attempt = func() {
		switch {
		case node.generation != generation:
		case node.paused:
			s.after(tickInterval, attempt)
		default:
			run()
		}
	}
	s.after(delay, attempt)
}

// run lets virtual time pass, and returns the first violation found.
func (s *simulation) run(duration time.Duration) string {
	end := s.now.Add(duration)
	for len(s.events) > 0 && !s.events[0].at.After(end) && s.oracle.failure == "" {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
	return s.oracle.failure
}

func (s *simulation) runUntil(limit time.Duration, reached func() bool) bool {
	for deadline := s.now.Add(limit); !reached(); {
		if s.now.After(deadline) || s.run(10*time.Millisecond) != "" {
			return false
		}
	}
	return true
}

func (s *simulation) start(node *simulatedNode) {
	replica, err := New(Config{
		ID: node.id, Storage: node.disk, Seed: s.random.Uint64(),
		MaxMessageBytes: 200, MaxInflightBytes: 600, CacheBytes: 300, SnapshotRetry: time.Second,
	})
	if err != nil {
		s.oracle.failf("node %d does not start: %v", node.position, err)
		return
	}
	node.replica, node.staged = replica, nil
	node.acks, node.reads, node.confirmed = map[uint64]uint64{}, map[uint64]uint64{}, nil
	s.tick(node)
}

func (s *simulation) tick(node *simulatedNode) {
	node.replica.Tick(s.now)
	s.proceed(node)
	s.afterOn(node, tickInterval, func() { s.tick(node) })
}

// crash stops a node; what it was writing is on the disk or not.
func (s *simulation) crash(node *simulatedNode) {
	if node.writing != nil && s.random.IntN(2) == 0 {
		s.persist(node)
	}
	for _, arrived := range node.waiting {
		delete(s.transit, arrived)
	}
	node.generation++
	node.replica, node.writing, node.waiting, node.paused = nil, nil, nil, false
}

// loseDisk crashes a node and gives it an empty disk: a new identity.
func (s *simulation) loseDisk(node *simulatedNode) {
	s.crash(node)
	node.incarnation++
	node.id = NewReplicaID(strconv.Itoa(node.position), node.incarnation)
	node.disk, node.state = NewMemoryStorage(SnapshotMarker{}), nil
}

func (s *simulation) resume(node *simulatedNode) {
	node.paused = false
	if s.random.IntN(2) == 0 { // the contract asks for it, safety must not need it
		node.replica.Tick(s.now)
	}
	waiting := node.waiting
	node.waiting = nil
	for _, arrived := range waiting {
		s.deliver(node, arrived)
	}
}

func (s *simulation) transmit(from *simulatedNode, messages []Message) {
	for _, message := range messages {
		encoded, err := message.Marshal()
		if err != nil {
			s.oracle.failf("marshal: %v", err)
		}
		s.sent.messages++
		s.sent.bytes += len(encoded)
		copies := 1
		if s.random.Float64() < s.noise.duplicate {
			copies = 2
		}
		for range copies {
			if s.random.Float64() >= s.noise.loss {
				s.transmitOnce(from, encoded)
			}
		}
	}
}

func (s *simulation) transmitOnce(from *simulatedNode, encoded []byte) {
	message, err := UnmarshalMessage(slices.Clone(encoded))
	if err != nil {
		s.oracle.failf("unmarshal: %v", err)
	}
	to := s.node(message.To)
	if to == nil || (s.drop != nil && s.drop(message)) || s.cut[[2]int{from.position, to.position}] {
		return
	}
	sent := &delivery{message: message, state: from.state[:len(from.state):len(from.state)]}
	s.transit[sent] = true
	delay := time.Millisecond + time.Duration(s.random.Int64N(int64(s.noise.maxDelay)))
	s.after(delay, func() {
		if to.paused {
			to.waiting = append(to.waiting, sent)
		} else {
			s.deliver(to, sent)
		}
	})
}

func (s *simulation) deliver(to *simulatedNode, arrived *delivery) {
	delete(s.transit, arrived)
	if to.replica == nil || to.id != arrived.message.To {
		return
	}
	if arrived.message.Type == MessageSnapshot {
		if to.staged != nil {
			return
		}
		to.staged = arrived
	}
	if err := to.replica.Step(arrived.message); err != nil {
		s.oracle.failf("node %d: %v", to.position, err)
	}
	s.proceed(to)
}

func (s *simulation) node(id ReplicaID) *simulatedNode {
	at := slices.IndexFunc(s.nodes, func(node *simulatedNode) bool { return node.id == id })
	if at < 0 {
		return nil
	}
	return s.nodes[at]
}

// proceed is the shell: it takes a Ready and starts to write it.
func (s *simulation) proceed(node *simulatedNode) {
	if node.writing != nil {
		s.transmit(node, node.replica.Immediate())
		return
	}
	if !node.replica.HasReady() {
		return
	}
	ready := node.replica.Ready()
	node.writing = &ready
	if ready.Snapshot == nil {
		node.staged = nil
	}
	if ready.SoftState != nil && ready.SoftState.Role == RoleLeader {
		s.oracle.lead(node.id, node.replica.Status().Term)
	}
	s.transmit(node, ready.Immediate)
	delay := time.Duration(0)
	if ready.MustSync {
		delay = time.Duration(s.random.Int64N(int64(s.noise.maxWrite)))
	}
	s.afterOn(node, delay, func() { s.finish(node) })
}

func (s *simulation) persist(node *simulatedNode) {
	if node.writing.Snapshot != nil {
		node.state = node.staged.state
		node.staged = nil
	}
	node.disk.Persist(*node.writing)
}

func (s *simulation) finish(node *simulatedNode) {
	s.persist(node)
	ready := *node.writing
	s.transmit(node, ready.Messages)
	for _, entry := range ready.CommittedEntries {
		s.oracle.apply(node, entry)
		node.state = append(node.state, entry)
		if err := node.disk.Applied(entry); err != nil {
			s.oracle.failf("node %d: %v", node.position, err)
		}
		if term, mine := node.acks[entry.Index]; mine && term == entry.Term {
			s.oracle.acked[entry.Index] = true
			s.oracle.observed = max(s.oracle.observed, entry.Index)
		}
	}
	s.answerReads(node, ready.ReadStates)
	node.writing = nil
	node.replica.Advance()
	if err := node.replica.Err(); err != nil {
		s.oracle.failf("node %d: %v", node.position, err)
		return
	}
	s.proceed(node)
}

func (s *simulation) answerReads(node *simulatedNode, states []ReadState) {
	node.confirmed = append(node.confirmed, states...)
	node.confirmed = slices.DeleteFunc(node.confirmed, func(read ReadState) bool {
		applied := node.disk.applied.Index
		if read.Aborted {
			node.aborted++
			return true
		}
		if applied < read.Index {
			return false
		}
		if applied < node.reads[read.Token] {
			s.oracle.failf("node %d read at %d, after a client had seen %d", node.position, applied, node.reads[read.Token])
		}
		s.oracle.observed = max(s.oracle.observed, applied)
		return true
	})
}

// propose asks a node to commit one more value.
func (s *simulation) propose(node *simulatedNode) bool {
	s.proposed++
	index, term, err := node.replica.Propose([]byte(strconv.Itoa(s.proposed)))
	if err == nil {
		node.acks[index] = term
		s.proceed(node)
	}
	return err == nil
}

func (s *simulation) read(node *simulatedNode) {
	token := uint64(len(node.reads))
	if node.replica.ReadIndex(token) == nil {
		node.reads[token] = s.oracle.observed
		s.proceed(node)
	}
}

func (s *simulation) running() []*simulatedNode {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(node *simulatedNode) bool {
		return node.replica == nil || node.paused
	})
}

func (s *simulation) leader() *simulatedNode {
	var newest *simulatedNode
	for _, node := range s.running() {
		status := node.replica.Status()
		if status.Role == RoleLeader && (newest == nil || status.Term > newest.replica.Status().Term) {
			newest = node
		}
	}
	return newest
}

// repair lets the leader take one step towards voters that all exist.
func (s *simulation) repair(wanted []ReplicaID) {
	leader := s.leader()
	if leader == nil {
		return
	}
	status := leader.replica.Status()
	change, needed := NextChange(status.Configuration, leader.id, wanted, leader.replica.CaughtUp)
	if !needed {
		return
	}
	if _, _, err := leader.replica.ProposeConfig(change); err == nil {
		s.proceed(leader)
	}
}

func (s *simulation) isolate(node *simulatedNode) {
	for _, other := range s.nodes {
		s.cut[[2]int{node.position, other.position}] = true
		s.cut[[2]int{other.position, node.position}] = true
	}
}

// heal ends every fault.
func (s *simulation) heal() {
	clear(s.cut)
	s.noise = calm()
	for _, node := range s.nodes {
		if node.replica == nil {
			s.start(node)
		} else if node.paused {
			s.resume(node)
		}
	}
}
