package swim

import (
	"math/rand/v2"
	"sort"
	"time"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// Output is a message to send: a datagram, or a sync call whose answer goes
// to HandleSyncAnswer.
type Output struct {
	To      transport.Address
	Call    bool
	Payload []byte
}

// Statistics counts what a node did.
type Statistics struct {
	Probes     uint64 // probes sent on the node's own behalf
	Indirect   uint64 // probes repeated through others
	Suspicions uint64 // members that this node suspected by its own probes
	Refuted    uint64 // suspicions or deaths of itself that it refuted
	Deaths     uint64 // members that this node declared dead
	Pauses     uint64 // gaps in its own time that it noticed
	Syncs      uint64 // exchanges of records that it asked for
}

// Node is one member's state of the protocol.
type Node struct {
	config Config
	random *rand.Rand
	self   membership.Member
	table  *table
	queue  broadcasts

	lastTick   time.Time
	health     int
	superseded bool

	sequence    uint32
	outstanding map[uint32]*probe
	relayed     map[uint32]relay
	round       []string // members still to probe in this shuffled round
	ringTurn    bool

	nextProbe  time.Time
	nextDigest time.Time
	nextRepair time.Time
	nextJoin   time.Time
	nextPush   time.Time
	nextSync   time.Time
	contacts   []transport.Address // hints of other members' addresses

	version    uint64
	statistics Statistics
	outputs    []Output
}

// New returns a node that knows only itself.
func New(config Config, now time.Time) *Node {
	config = config.withDefaults()
	node := &Node{
		config:      config,
		random:      rand.New(rand.NewPCG(config.Seed, nameHash(config.Self.Name))),
		self:        config.Self,
		table:       newTable(),
		queue:       broadcasts{updates: map[string]*update{}},
		lastTick:    now,
		outstanding: map[uint32]*probe{},
		relayed:     map[uint32]relay{},
		nextJoin:    now,
		version:     1,
	}
	node.nextProbe = now.Add(node.jitter(config.ProbeInterval))
	node.nextDigest = now.Add(node.jitter(config.DigestInterval))
	node.nextRepair = now.Add(node.jitter(config.RepairInterval))
	return node
}

// Self returns the node's own record.
func (n *Node) Self() membership.Member { return n.self }

// Version rises with every change of the members.
func (n *Node) Version() uint64 { return n.version }

// Superseded says that a later process took over this node's name.
func (n *Node) Superseded() bool { return n.superseded }

// Statistics returns the counts so far.
func (n *Node) Statistics() Statistics { return n.statistics }

// Members returns all known members with the node itself, ordered by name.
func (n *Node) Members() []membership.Member {
	members := make([]membership.Member, 0, len(n.table.entries)+1)
	members = append(members, n.self)
	for _, known := range n.table.entries {
		members = append(members, known.member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// SetContacts gives addresses at which members may be found, such as the
// platform's machine list has them. They are a hint: no member lives or dies by it.
func (n *Node) SetContacts(addresses []transport.Address) {
	n.contacts = append(n.contacts[:0], addresses...)
}

// Leave announces the node's planned stop.
func (n *Node) Leave(now time.Time) []Output {
	if n.self.State != membership.StateLeaving {
		n.self.State = membership.StateLeaving
		n.self.Incarnation++
		n.announceSelf(now)
	}
	return n.flush(now)
}

func (n *Node) jitter(interval time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(interval) + 1))
}

// emit queues a datagram with the changes that it can carry.
func (n *Node) emit(to transport.Address, head header, body []byte) {
	updates := n.queue.take(retransmits(n.config.RetransmitFactor, n.zoneSize()))
	n.outputs = append(n.outputs, Output{To: to, Payload: encodeDatagram(head, body, updates)})
}

// flush tells fresh changes to a few members and returns all queued outputs.
// Changes that come soon after others wait, so that many cost no more.
func (n *Node) flush(now time.Time) []Output {
	if n.queue.fresh && !now.Before(n.nextPush) {
		n.queue.fresh = false
		n.nextPush = now.Add(pushInterval)
		for _, peer := range n.sample(n.config.Fanout, "") {
			n.emit(peer.Address, header{Type: typeGossip}, nil)
		}
	}
	outputs := n.outputs
	n.outputs = nil
	return outputs
}

func (n *Node) zoneSize() int { return len(n.table.byZone[n.self.Zone]) }

// sample picks up to count members of the node's zone that are not dead.
func (n *Node) sample(count int, except string) []*membership.Member {
	names := n.table.byZone[n.self.Zone]
	picked := make([]*membership.Member, 0, count)
	for _, index := range n.random.Perm(len(names)) {
		if len(picked) >= count {
			break
		}
		if names[index] != except {
			picked = append(picked, &n.table.entries[names[index]].member)
		}
	}
	return picked
}

// apply takes a record in and reports whether it changed anything.
func (n *Node) apply(now time.Time, member membership.Member) bool {
	if member.Name == n.self.Name {
		return n.applySelf(now, &member)
	}
	if member.Zone != n.self.Zone && member.State == membership.StateSuspect {
		// A suspicion is its zone's own matter: no other zone could tell the
		// suspected member of it, nor would it hear that it was refuted.
		member.State = membership.StateAlive
	}
	known, exists := n.table.entries[member.Name]
	if !exists && member.State == membership.StateDead {
		return false
	}
	if exists && !overrides(&member, &known.member) {
		return false
	}
	known = n.table.put(member, now)
	if member.State == membership.StateSuspect {
		known.suspectUntil = now.Add(n.scaled(n.config.SuspicionTimeout))
	}
	n.changed(now, member)
	return true
}

// applySelf refutes what others wrongly believe of this node. A later process
// of the same name at another address is not fought over the name.
func (n *Node) applySelf(now time.Time, member *membership.Member) bool {
	if member.Incarnation < n.self.Incarnation {
		return false
	}
	if member.Address != n.self.Address && member.State == membership.StateAlive {
		n.superseded = member.Incarnation > n.self.Incarnation
		return false
	}
	if member.Incarnation == n.self.Incarnation && member.State == n.self.State {
		return false
	}
	n.self.Incarnation = member.Incarnation + 1
	n.statistics.Refuted++
	n.announceSelf(now)
	return true
}

func (n *Node) announceSelf(now time.Time) { n.changed(now, n.self) }

// changed makes a change known to the zone, and to others by their delegates.
func (n *Node) changed(now time.Time, member membership.Member) {
	n.version++
	n.queue.add(member)
	if soon := now.Add(announceDelay); member.Zone == n.self.Zone && soon.Before(n.nextDigest) {
		n.nextDigest = soon
	}
}

// scaled lengthens a timeout while this node's own health is in doubt.
func (n *Node) scaled(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+n.health)
}
