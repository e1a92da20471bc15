package swim

import (
	"math/rand/v2"
	"sort"
	"time"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// Output is a message to send: a datagram, or a sync call whose answer must be
// passed to HandleSyncAnswer.
type Output struct {
	To      transport.Address
	Call    bool
	Payload []byte
}

// Statistics holds the counters of a node.
type Statistics struct {
	Probes     uint64 // probes started by this node
	Indirect   uint64 // probes retried through other members
	Suspicions uint64 // failed probes of members not yet suspected
	Refuted    uint64 // false records about itself that it refuted
	Deaths     uint64 // members that this node declared dead
	Pauses     uint64 // pauses of this process that it detected
	Syncs      uint64 // sync calls that it started
}

// Node is the protocol state of one member. It is not safe for concurrent use.
type Node struct {
	config     Config
	random     *rand.Rand
	self       membership.Member
	table      *table
	broadcasts broadcasts

	lastTick              time.Time
	localHealthMultiplier int // from 0, healthy, to maxLocalHealthMultiplier
	superseded            bool

	sequence       uint32
	outstanding    map[uint32]*probe
	relayed        map[uint32]relay
	shuffled       []string // members not yet probed in this shuffled round
	probeSuccessor bool     // whether the last probe was of the successor; alternates

	nextProbe  time.Time
	nextDigest time.Time           // sends digests to other zones, as a delegate
	nextRepair time.Time           // sends digests to a random member and to a dead or unknown one
	nextJoin   time.Time           // asks a contact for all records while all known members are dead
	nextPush   time.Time           // earliest time to push changes to a few members
	nextSync   time.Time           // earliest time of a sync call after different digests
	contacts   []transport.Address // addresses at which members may be found

	version    uint64
	statistics Statistics
	outputs    []Output
}

// New returns a node that knows no other members.
func New(config Config, now time.Time) *Node {
	config = config.withDefaults()
	node := &Node{
		config:      config,
		random:      rand.New(rand.NewPCG(config.Seed, nameHash(config.Self.Name))),
		self:        config.Self,
		table:       newTable(),
		broadcasts:  broadcasts{updates: map[string]*update{}},
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

// Version returns a number that increases with every change of the members.
func (n *Node) Version() uint64 { return n.version }

// Superseded reports whether a process with a higher incarnation uses this node's
// name at another address.
func (n *Node) Superseded() bool { return n.superseded }

// Statistics returns the current counters.
func (n *Node) Statistics() Statistics { return n.statistics }

// Members returns all known members and the node itself, ordered by name.
func (n *Node) Members() []membership.Member {
	members := make([]membership.Member, 0, len(n.table.entries)+1)
	members = append(members, n.self)
	for _, known := range n.table.entries {
		members = append(members, known.member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// SetContacts sets the addresses at which members may be found, such as those of
// the platform's machine list. They do not affect the state of any member.
func (n *Node) SetContacts(addresses []transport.Address) {
	n.contacts = append(n.contacts[:0], addresses...)
}

// Leave announces the node's planned stop and returns the messages to send.
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

// enqueue queues a datagram with as many piggybacked changes as fit.
func (n *Node) enqueue(to transport.Address, head header, body []byte) {
	updates := n.broadcasts.encodeNext(retransmits(n.config.RetransmitFactor, n.zoneSize()))
	n.outputs = append(n.outputs, Output{To: to, Payload: encodeDatagram(head, body, updates)})
}

// flush pushes new changes to a few members, at most once per pushInterval, and
// returns all queued outputs.
func (n *Node) flush(now time.Time) []Output {
	if n.broadcasts.unpushed && !now.Before(n.nextPush) {
		n.broadcasts.unpushed = false
		n.nextPush = now.Add(pushInterval)
		for _, peer := range n.sample(n.config.Fanout, "") {
			n.enqueue(peer.Address, header{Type: typeGossip}, nil)
		}
	}
	outputs := n.outputs
	n.outputs = nil
	return outputs
}

func (n *Node) zoneSize() int { return len(n.table.byZone[n.self.Zone]) }

// sample returns up to count random members of the node's zone that are not dead.
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

// apply merges a record and reports whether it changed anything.
func (n *Node) apply(now time.Time, member membership.Member) bool {
	if member.Name == n.self.Name {
		return n.applySelf(now, &member)
	}
	if member.Zone != n.self.Zone && member.State == membership.StateSuspect {
		// Suspicions are not shared between zones: the suspect might not learn of
		// this one, and this zone might not learn of its refutation.
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
		known.suspectUntil = now.Add(n.scaleTimeout(n.config.SuspicionTimeout))
	}
	n.announce(now, member)
	return true
}

// applySelf refutes false records about this node. It does not refute an alive
// process of the same name at another address, so that the two do not override
// each other forever.
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

func (n *Node) announceSelf(now time.Time) { n.announce(now, n.self) }

// announce gossips a change in the zone and schedules an early digest to other
// zones if the change concerns this zone.
func (n *Node) announce(now time.Time, member membership.Member) {
	n.version++
	n.broadcasts.add(member)
	if due := now.Add(announceDelay); member.Zone == n.self.Zone && due.Before(n.nextDigest) {
		n.nextDigest = due
	}
}

// scaleTimeout lengthens a timeout while this node may itself be faulty.
func (n *Node) scaleTimeout(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+n.localHealthMultiplier)
}
