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
		n.digestToZones()
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

// digestToZones makes a delegate of this zone tell a random member of each
// other zone the hashes; one that differs asks for the records. The member is
// random because the delegates known of a zone may all be dead.
func (n *Node) digestToZones() {
	if !n.isDelegate() {
		return
	}
	for _, zone := range n.otherZones() {
		names := n.table.byZone[zone]
		name := names[n.random.IntN(len(names))]
		n.sendDigest(n.table.entries[name].member.Address)
	}
}

// isDelegate says whether this node speaks for its zone.
func (n *Node) isDelegate() bool {
	for _, delegate := range n.delegatesOf(n.self.Zone) {
		if delegate.Name == n.self.Name {
			return true
		}
	}
	return false
}

// delegatesOf elects a zone's delegates among its live members; where all that
// is left is leaving, those speak to the end.
func (n *Node) delegatesOf(zone string) []membership.Member {
	var live, leaving []membership.Member
	for _, member := range n.inZone(zone) {
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

// inZone lists a zone's members that are not dead, with the node itself.
func (n *Node) inZone(zone string) []membership.Member {
	members := make([]membership.Member, 0, len(n.table.byZone[zone])+1)
	for _, name := range n.table.byZone[zone] {
		members = append(members, n.table.entries[name].member)
	}
	if zone == n.self.Zone {
		members = append(members, n.self)
	}
	return members
}

// DelegateRole names the role for which a zone's delegates are elected.
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

// repair compares with one random member of the zone, and with one member
// believed dead or one hint: a cut half of the fleet is found again so.
func (n *Node) repair(now time.Time) {
	for _, peer := range n.sample(1, "") {
		n.sendDigest(peer.Address)
	}
	var lost []transport.Address
	for _, name := range n.deadNames() {
		known := n.table.entries[name]
		if now.Sub(known.changed) > n.config.ReapAfter {
			n.table.forget(name)
			n.version++
			continue
		}
		lost = append(lost, known.member.Address)
	}
	lost = append(lost, n.unknownContacts()...)
	if len(lost) > 0 {
		n.sendDigest(lost[n.random.IntN(len(lost))])
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

// unknownContacts lists seeds and hints that no known member answers to.
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

// join asks one seed or hint for all records while no member is known alive.
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
	n.emit(to, header{Type: typeDigest}, encodeHashes(n.zoneHashes()))
}

// zoneHashes lists the hashes of all zones with members, in order.
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

// compareDigest calls the sender for the zones in which the two differ.
func (n *Node) compareDigest(now time.Time, from transport.Address, body []byte) {
	theirs, err := decodeHashes(body)
	if err != nil || len(theirs) == 0 {
		return
	}
	own := map[uint64]uint64{}
	for _, hash := range n.zoneHashes() {
		own[hash.Zone] = hash.Table
	}
	var different []zoneHash
	for _, hash := range theirs {
		if own[hash.Zone] != hash.Table {
			different = append(different, hash)
		}
		delete(own, hash.Zone)
	}
	for zone, table := range own {
		different = append(different, zoneHash{Zone: zone, Table: table})
	}
	if len(different) > 0 && !now.Before(n.nextSync) {
		n.nextSync = now.Add(syncInterval)
		n.callSync(from, different)
	}
}

// callSync sends this node's records of some zones, or of all, and asks for
// the peer's.
func (n *Node) callSync(to transport.Address, zones []zoneHash) {
	n.statistics.Syncs++
	message := syncMessage{zones: zones, sender: n.self, members: n.recordsOf(zones)}
	n.outputs = append(n.outputs, Output{To: to, Call: true, Payload: encodeSync(false, message)})
}

// recordsOf lists the records of some zones, or of all, the node's own apart.
func (n *Node) recordsOf(zones []zoneHash) []membership.Member {
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

// HandleSync answers a peer's sync call.
func (n *Node) HandleSync(now time.Time, payload []byte) (answer []byte, outputs []Output, err error) {
	message, err := decodeSync(payload, false)
	if err != nil {
		return nil, nil, err
	}
	n.merge(now, message)
	answer = encodeSync(true, syncMessage{
		zones: message.zones, sender: n.self, members: n.recordsOf(message.zones),
	})
	return answer, n.flush(now), nil
}

// HandleSyncAnswer takes the answer of a sync call.
func (n *Node) HandleSyncAnswer(now time.Time, payload []byte) ([]Output, error) {
	message, err := decodeSync(payload, true)
	if err != nil {
		return nil, err
	}
	n.merge(now, message)
	return n.flush(now), nil
}

// merge takes in a peer's records. What a member says of its own zone is
// whole: whom it leaves out was forgotten there.
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
		if !listed[name] && now.Sub(known.changed) > omissionAge {
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
