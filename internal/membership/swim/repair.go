package swim

import (
	"sort"
	"time"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// exchangeDigests sends the digests and join calls that are due.
func (n *Node) exchangeDigests(now time.Time) {
	if !now.Before(n.nextDigest) {
		n.nextDigest = now.Add(n.config.DigestInterval)
		n.sendZoneDigests()
	}
	if !now.Before(n.nextRepair) {
		n.nextRepair = now.Add(n.config.RepairInterval/2 + n.jitter(n.config.RepairInterval))
		n.repair(now)
	}
	if !now.Before(n.nextJoin) {
		n.nextJoin = now.Add(n.config.JoinInterval)
		n.join()
	}
}

// sendZoneDigests sends a digest to a random member of each other zone if this node
// is a delegate. It does not choose the zone's delegates, which may all be dead.
func (n *Node) sendZoneDigests() {
	if !n.isDelegate() {
		return
	}
	for _, zone := range n.otherZones() {
		names := n.table.byZone[zone]
		name := names[n.random.IntN(len(names))]
		n.sendDigest(n.table.entries[name].member.Address)
	}
}

// isDelegate reports whether this node is a delegate of its zone.
func (n *Node) isDelegate() bool {
	for _, delegate := range n.zoneDelegates(n.self.Zone) {
		if delegate.Name == n.self.Name {
			return true
		}
	}
	return false
}

// zoneDelegates elects a zone's delegates among its live members, or among its
// leaving members if none is live.
func (n *Node) zoneDelegates(zone string) []membership.Member {
	var live, leaving []membership.Member
	for _, member := range n.zoneMembers(zone) {
		switch {
		case member.Live():
			live = append(live, member)
		case member.State == membership.StateLeaving:
			leaving = append(leaving, member)
		}
	}
	if len(live) == 0 {
		live = leaving
	}
	return membership.Elect(DelegateRole(zone), live, Delegates)
}

// zoneMembers returns a zone's members that are not dead, including the node itself.
func (n *Node) zoneMembers(zone string) []membership.Member {
	members := make([]membership.Member, 0, len(n.table.byZone[zone])+1)
	for _, name := range n.table.byZone[zone] {
		members = append(members, n.table.entries[name].member)
	}
	if zone == n.self.Zone {
		members = append(members, n.self)
	}
	return members
}

// DelegateRole returns the role name used to elect a zone's delegates.
func DelegateRole(zone string) string { return "delegate/" + zone }

func (n *Node) otherZones() []string {
	var zones []string
	for zone, names := range n.table.byZone {
		if zone != n.self.Zone && len(names) > 0 {
			zones = append(zones, zone)
		}
	}
	sort.Strings(zones)
	return zones
}

// repair sends digests to a random member of the zone and to a dead member or
// unknown contact, which merges the sides of a healed partition. It also removes
// members that have been dead for longer than ReapAfter.
func (n *Node) repair(now time.Time) {
	for _, peer := range n.sample(1, "") {
		n.sendDigest(peer.Address)
	}
	var targets []transport.Address
	for _, name := range n.deadNames() {
		known := n.table.entries[name]
		if now.Sub(known.changedAt) > n.config.ReapAfter {
			n.table.remove(name)
			n.version++
			continue
		}
		targets = append(targets, known.member.Address)
	}
	targets = append(targets, n.unknownContacts()...)
	if len(targets) > 0 {
		n.sendDigest(targets[n.random.IntN(len(targets))])
	}
}

func (n *Node) deadNames() []string {
	var names []string
	for name, known := range n.table.entries {
		if known.member.State == membership.StateDead {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// unknownContacts returns the seeds and contacts that are no known member's address.
func (n *Node) unknownContacts() []transport.Address {
	known := map[transport.Address]bool{n.self.Address: true}
	for _, other := range n.table.entries {
		known[other.member.Address] = true
	}
	var unknown []transport.Address
	for _, list := range [][]transport.Address{n.config.Seeds, n.contacts} {
		for _, address := range list {
			if !known[address] {
				unknown = append(unknown, address)
			}
		}
	}
	return unknown
}

// join asks a random unknown contact for all records if every known member is dead.
func (n *Node) join() {
	for _, names := range n.table.byZone {
		if len(names) > 0 {
			return
		}
	}
	contacts := n.unknownContacts()
	if len(contacts) > 0 {
		n.callSync(contacts[n.random.IntN(len(contacts))], nil)
	}
}

func (n *Node) sendDigest(to transport.Address) {
	n.enqueue(to, header{Type: typeDigest}, encodeHashes(n.zoneHashes()))
}

// zoneHashes returns the hashes of this zone and of all other zones with members.
func (n *Node) zoneHashes() []zoneHash {
	hashes := []zoneHash{{Zone: nameHash(n.self.Zone), Table: n.tableHash(n.self.Zone)}}
	for _, zone := range n.otherZones() {
		hashes = append(hashes, zoneHash{Zone: nameHash(zone), Table: n.tableHash(zone)})
	}
	return hashes
}

func (n *Node) tableHash(zone string) uint64 {
	hash := n.table.hashes[zone]
	if zone == n.self.Zone {
		hash ^= recordHash(&n.self)
	}
	return hash
}

// handleDigest starts a sync with the sender for the zones whose hashes differ.
func (n *Node) handleDigest(now time.Time, from transport.Address, body []byte) {
	remote, err := decodeHashes(body)
	if err != nil || len(remote) == 0 {
		return
	}
	local := map[uint64]uint64{}
	for _, hash := range n.zoneHashes() {
		local[hash.Zone] = hash.Table
	}
	var different []zoneHash
	for _, hash := range remote {
		if local[hash.Zone] != hash.Table {
			different = append(different, hash)
		}
		delete(local, hash.Zone)
	}
	for zone, table := range local {
		different = append(different, zoneHash{Zone: zone, Table: table})
	}
	if len(different) > 0 && !now.Before(n.nextSync) {
		n.nextSync = now.Add(syncInterval)
		n.callSync(from, different)
	}
}

// callSync sends this node's records of the given zones, or of all zones if none
// are given, and requests the peer's.
func (n *Node) callSync(to transport.Address, zones []zoneHash) {
	n.statistics.Syncs++
	message := syncMessage{zones: zones, sender: n.self, members: n.zoneRecords(zones)}
	n.outputs = append(n.outputs, Output{To: to, Call: true, Payload: encodeSync(false, message)})
}

// zoneRecords returns the records of the given zones, or of all zones if none are
// given, without the node's own.
func (n *Node) zoneRecords(zones []zoneHash) []membership.Member {
	wanted := map[uint64]bool{}
	for _, zone := range zones {
		wanted[zone.Zone] = true
	}
	var members []membership.Member
	for _, known := range n.table.entries {
		if len(zones) == 0 || wanted[nameHash(known.member.Zone)] {
			members = append(members, known.member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// HandleSync processes a peer's sync call and returns its answer and the messages
// to send.
func (n *Node) HandleSync(now time.Time, payload []byte) (answer []byte, outputs []Output, err error) {
	message, err := decodeSync(payload, false)
	if err != nil {
		return nil, nil, err
	}
	n.merge(now, message)
	answer = encodeSync(true, syncMessage{
		zones: message.zones, sender: n.self, members: n.zoneRecords(message.zones),
	})
	return answer, n.flush(now), nil
}

// HandleSyncAnswer processes the answer of a sync call and returns the messages to
// send.
func (n *Node) HandleSyncAnswer(now time.Time, payload []byte) ([]Output, error) {
	message, err := decodeSync(payload, true)
	if err != nil {
		return nil, err
	}
	n.merge(now, message)
	return n.flush(now), nil
}

// merge applies a peer's records. Members of the peer's own zone that it does not
// list were removed there and become dead here.
func (n *Node) merge(now time.Time, message syncMessage) {
	n.apply(now, message.sender)
	listed := map[string]bool{message.sender.Name: true}
	for _, member := range message.members {
		listed[member.Name] = true
		n.apply(now, member)
	}
	if message.sender.Zone == n.self.Zone || !coversZone(message.zones, message.sender.Zone) {
		return
	}
	for _, name := range append([]string(nil), n.table.byZone[message.sender.Zone]...) {
		known := n.table.entries[name]
		if !listed[name] && now.Sub(known.changedAt) > omissionAge {
			dead := known.member
			dead.State = membership.StateDead
			n.apply(now, dead)
		}
	}
}

func coversZone(zones []zoneHash, zone string) bool {
	if len(zones) == 0 {
		return true
	}
	for _, covered := range zones {
		if covered.Zone == nameHash(zone) {
			return true
		}
	}
	return false
}
