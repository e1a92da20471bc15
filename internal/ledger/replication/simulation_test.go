package replication

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// simulation runs the replicas of one shard in virtual time, on a network that
// loses, delays, reorders and duplicates messages and on slow disks, and checks
// every step against the oracle.
type simulation struct {
	random     *rand.Rand
	now        time.Time
	nodes      []*simulatedNode
	events     eventQueue
	sequence   int
	sent       struct{ messages, bytes int }
	blocked    map[[2]int]bool // directed pairs of node positions
	inFlight   map[*delivery]bool
	drop       func(Message) bool // if set, selects messages to drop
	conditions conditions
	oracle     oracle
	proposed   int
}

// conditions are the probabilities of loss and duplication of a message and the
// maximum delays of a message and a write.
type conditions struct {
	loss, duplicate    float64
	maxDelay, maxWrite time.Duration
}

func normalConditions() conditions { return conditions{maxDelay: normalDelay, maxWrite: normalDelay} }

type simulatedNode struct {
	position     int
	incarnation  uint64
	id           ReplicaID
	disk         *MemoryStorage
	state        []Entry // applied entries; persisted with the disk
	replica      *Replica
	paused       bool
	pendingReady *Ready
	staged       *delivery
	deferred     []*delivery       // received during a pause
	proposals    map[uint64]uint64 // term by index, of proposals accepted since the last start
	minReadIndex map[uint64]uint64 // by token: the minimum index the read must observe
	pendingReads []ReadState
	abortedReads int // number of aborted reads
	generation   int // incremented on each crash to cancel earlier events
}

// delivery is a message in flight, with the sender's state as snapshot data.
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

// oracle models the ledger as a single sequence of entries and records the first
// violation.
type oracle struct {
	entries  map[uint64]Entry     // applied anywhere, by index
	leaders  map[uint64]ReplicaID // by term
	acked    map[uint64]bool      // indexes acknowledged to their proposer
	observed uint64               // highest index that any client has seen
	failure  string
}

func (o *oracle) failf(format string, arguments ...any) {
	if o.failure == "" {
		o.failure = fmt.Sprintf(format, arguments...)
	}
}

func (o *oracle) recordApplied(node *simulatedNode, entry Entry) {
	if last := len(node.state); last > 0 && entry.Index != node.state[last-1].Index+1 {
		o.failf("node %d applied index %d after %d", node.position, entry.Index, node.state[last-1].Index)
	}
	known, found := o.entries[entry.Index]
	if found && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
		o.failf("node %d applied at index %d term %d %q, another node applied term %d %q", node.position, entry.Index, entry.Term, entry.Data, known.Term, known.Data)
	}
	o.entries[entry.Index] = entry
}

func (o *oracle) recordLeader(id ReplicaID, term uint64) {
	if other, found := o.leaders[term]; found && other != id {
		o.failf("%s and %s are both leader of term %d", id, other, term)
	}
	o.leaders[term] = id
}

const (
	tickInterval = 30 * time.Millisecond
	normalDelay  = 3 * time.Millisecond
)

func newSimulation(seed uint64, voters, spares int) *simulation {
	s := &simulation{
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     time.Unix(1, 0),
		blocked: map[[2]int]bool{}, inFlight: map[*delivery]bool{},
		conditions: normalConditions(),
		oracle:     oracle{entries: map[uint64]Entry{}, leaders: map[uint64]ReplicaID{}, acked: map[uint64]bool{}},
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

func (s *simulation) schedule(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now.Add(delay), s.sequence, run})
}

// scheduleOn schedules run on a node. A crash of the node cancels it and a pause
// delays it.
func (s *simulation) scheduleOn(node *simulatedNode, delay time.Duration, run func()) {
	generation := node.generation
	var attempt func()
	attempt = func() {
		switch {
		case node.generation != generation:
		case node.paused:
			s.schedule(tickInterval, attempt)
		default:
			run()
		}
	}
	s.schedule(delay, attempt)
}

// run advances virtual time by duration and returns the first violation, or "".
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
		s.oracle.failf("node %d failed to start: %v", node.position, err)
		return
	}
	node.replica, node.staged = replica, nil
	node.proposals, node.minReadIndex, node.pendingReads = map[uint64]uint64{}, map[uint64]uint64{}, nil
	s.tick(node)
}

func (s *simulation) tick(node *simulatedNode) {
	node.replica.Tick(s.now)
	s.processReady(node)
	s.scheduleOn(node, tickInterval, func() { s.tick(node) })
}

// crash stops a node. A pending write is persisted or lost at random.
func (s *simulation) crash(node *simulatedNode) {
	if node.pendingReady != nil && s.random.IntN(2) == 0 {
		s.persist(node)
	}
	for _, arrived := range node.deferred {
		delete(s.inFlight, arrived)
	}
	node.generation++
	node.replica, node.pendingReady, node.deferred, node.paused = nil, nil, nil, false
}

// loseDisk crashes a node and gives it an empty disk and a new replica ID.
func (s *simulation) loseDisk(node *simulatedNode) {
	s.crash(node)
	node.incarnation++
	node.id = NewReplicaID(strconv.Itoa(node.position), node.incarnation)
	node.disk, node.state = NewMemoryStorage(SnapshotMarker{}), nil
}

func (s *simulation) resume(node *simulatedNode) {
	node.paused = false
	if s.random.IntN(2) == 0 { // callers must do this, but safety must not depend on it
		node.replica.Tick(s.now)
	}
	deferred := node.deferred
	node.deferred = nil
	for _, arrived := range deferred {
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
		if s.random.Float64() < s.conditions.duplicate {
			copies = 2
		}
		for range copies {
			if s.random.Float64() >= s.conditions.loss {
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
	if to == nil || (s.drop != nil && s.drop(message)) || s.blocked[[2]int{from.position, to.position}] {
		return
	}
	sent := &delivery{message: message, state: from.state[:len(from.state):len(from.state)]}
	s.inFlight[sent] = true
	delay := time.Millisecond + time.Duration(s.random.Int64N(int64(s.conditions.maxDelay)))
	s.schedule(delay, func() {
		if to.paused {
			to.deferred = append(to.deferred, sent)
		} else {
			s.deliver(to, sent)
		}
	})
}

func (s *simulation) deliver(to *simulatedNode, arrived *delivery) {
	delete(s.inFlight, arrived)
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
	s.processReady(to)
}

func (s *simulation) node(id ReplicaID) *simulatedNode {
	i := slices.IndexFunc(s.nodes, func(node *simulatedNode) bool { return node.id == id })
	if i < 0 {
		return nil
	}
	return s.nodes[i]
}

// processReady acts as the replica's caller: it takes a Ready and starts its
// write, or sends immediate messages if a write is pending.
func (s *simulation) processReady(node *simulatedNode) {
	if node.pendingReady != nil {
		s.transmit(node, node.replica.Immediate())
		return
	}
	if !node.replica.HasReady() {
		return
	}
	ready := node.replica.Ready()
	node.pendingReady = &ready
	if ready.Snapshot == nil {
		node.staged = nil
	}
	if ready.SoftState != nil && ready.SoftState.Role == RoleLeader {
		s.oracle.recordLeader(node.id, node.replica.Status().Term)
	}
	s.transmit(node, ready.Immediate)
	delay := time.Duration(0)
	if ready.MustSync {
		delay = time.Duration(s.random.Int64N(int64(s.conditions.maxWrite)))
	}
	s.scheduleOn(node, delay, func() { s.completeReady(node) })
}

func (s *simulation) persist(node *simulatedNode) {
	if node.pendingReady.Snapshot != nil {
		node.state = node.staged.state
		node.staged = nil
	}
	node.disk.Persist(*node.pendingReady)
}

func (s *simulation) completeReady(node *simulatedNode) {
	s.persist(node)
	ready := *node.pendingReady
	s.transmit(node, ready.Messages)
	for _, entry := range ready.CommittedEntries {
		s.oracle.recordApplied(node, entry)
		node.state = append(node.state, entry)
		if err := node.disk.Applied(entry); err != nil {
			s.oracle.failf("node %d: %v", node.position, err)
		}
		if term, mine := node.proposals[entry.Index]; mine && term == entry.Term {
			s.oracle.acked[entry.Index] = true
			s.oracle.observed = max(s.oracle.observed, entry.Index)
		}
	}
	s.answerReads(node, ready.ReadStates)
	node.pendingReady = nil
	node.replica.Advance()
	if err := node.replica.Err(); err != nil {
		s.oracle.failf("node %d: %v", node.position, err)
		return
	}
	s.processReady(node)
}

func (s *simulation) answerReads(node *simulatedNode, states []ReadState) {
	node.pendingReads = append(node.pendingReads, states...)
	node.pendingReads = slices.DeleteFunc(node.pendingReads, func(read ReadState) bool {
		applied := node.disk.applied.Index
		if read.Aborted {
			node.abortedReads++
			return true
		}
		if applied < read.Index {
			return false
		}
		if applied < node.minReadIndex[read.Token] {
			s.oracle.failf("node %d served a read at index %d after a client had seen %d", node.position, applied, node.minReadIndex[read.Token])
		}
		s.oracle.observed = max(s.oracle.observed, applied)
		return true
	})
}

// propose proposes a new value to a node and reports whether it was accepted.
func (s *simulation) propose(node *simulatedNode) bool {
	s.proposed++
	index, term, err := node.replica.Propose([]byte(strconv.Itoa(s.proposed)))
	if err == nil {
		node.proposals[index] = term
		s.processReady(node)
	}
	return err == nil
}

func (s *simulation) read(node *simulatedNode) {
	token := uint64(len(node.minReadIndex))
	if node.replica.ReadIndex(token) == nil {
		node.minReadIndex[token] = s.oracle.observed
		s.processReady(node)
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

// repair makes the leader propose the next change toward the desired voters.
func (s *simulation) repair(desired []ReplicaID) {
	leader := s.leader()
	if leader == nil {
		return
	}
	status := leader.replica.Status()
	change, needed := NextChange(status.Configuration, leader.id, desired, leader.replica.CaughtUp)
	if !needed {
		return
	}
	if _, _, err := leader.replica.ProposeConfig(change); err == nil {
		s.processReady(leader)
	}
}

func (s *simulation) isolate(node *simulatedNode) {
	for _, other := range s.nodes {
		s.blocked[[2]int{node.position, other.position}] = true
		s.blocked[[2]int{other.position, node.position}] = true
	}
}

// heal ends all faults.
func (s *simulation) heal() {
	clear(s.blocked)
	s.conditions = normalConditions()
	for _, node := range s.nodes {
		if node.replica == nil {
			s.start(node)
		} else if node.paused {
			s.resume(node)
		}
	}
}
