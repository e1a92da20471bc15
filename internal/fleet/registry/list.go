package registry

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// Readers is the number of nodes of a region that read the store.
const Readers = 2

// ReaderRole names the role for which a region's readers of the store are elected.
func ReaderRole(region string) string { return "reader/" + region }

// zoneList is the list of a zone's engines at one revision of the store.
type zoneList struct {
	version listVersion
	specs   []fleet.Spec
}

func newZoneList(zone string, revision uint64, specs []fleet.Spec) zoneList {
	sort.Slice(specs, func(i, j int) bool { return specs[i].Name < specs[j].Name })
	var digest xxhash.Digest
	digest.Reset()
	for _, spec := range specs {
		for _, text := range append([]string{spec.Name, spec.Address, spec.Region}, spec.Models...) {
			_, _ = digest.WriteString(text)
			_, _ = digest.Write([]byte{0})
		}
		_, _ = digest.Write([]byte{1})
	}
	return zoneList{
		version: listVersion{Zone: zoneID(zone), Revision: revision, Hash: digest.Sum64()},
		specs:   specs,
	}
}

// HandleStore takes all engines of the store at a revision, at a reader. It
// keeps those of its region. A revision lower than one seen is refused: the
// store then holds an old copy.
func (r *Registry) HandleStore(now time.Time, revision uint64, specs []fleet.Spec) Output {
	if revision < r.revision || revision < r.version.Revision {
		r.decide(Decision{Kind: DecidedListRefused, Zone: r.self.Zone, Revision: revision})
		return r.take()
	}
	r.revision = revision
	byZone := map[string][]fleet.Spec{r.self.Zone: nil}
	for zone := range r.reader {
		byZone[zone] = nil
	}
	for _, spec := range specs {
		if spec.Region == r.self.Region {
			byZone[spec.Zone] = append(byZone[spec.Zone], spec)
		}
	}
	r.reader = make(map[string]zoneList, len(byZone))
	for zone, list := range byZone {
		r.reader[zone] = newZoneList(zone, revision, list)
	}
	r.nextList = now
	r.adoptList(now, r.reader[r.self.Zone], r.self.Name)
	if !r.ready {
		r.pullState(now)
	}
	return r.take()
}

// StopReading forgets the region's lists when this node is no longer a reader.
func (r *Registry) StopReading() { r.reader = nil }

func (r *Registry) becomeReady() {
	if !r.ready {
		r.ready = true
		r.dirty = true
		r.decide(Decision{Kind: DecidedReady, Zone: r.self.Zone, Revision: r.version.Revision})
	}
}

// adoptList puts a newer list of the own zone's engines in use.
func (r *Registry) adoptList(now time.Time, list zoneList, peer string) {
	if list.version.Revision < r.version.Revision {
		return
	}
	if list.version.Hash == r.version.Hash {
		r.version.Revision = list.version.Revision
		return
	}
	r.version = list.version
	if r.listSince.IsZero() {
		r.listSince = now
	}
	listed := make(map[uint64]bool, len(list.specs))
	r.names = r.names[:0]
	for _, spec := range list.specs {
		id := EngineID(spec.Name)
		listed[id] = true
		r.names = append(r.names, spec.Name)
		state, known := r.engines[id]
		if !known || state.spec.Address != spec.Address {
			state = &engineState{id: id}
			r.engines[id] = state
		}
		state.spec = spec
		r.touch(state)
	}
	for id, state := range r.engines {
		if listed[id] {
			continue
		}
		if r.isHome(state) {
			r.lose(state)
		}
		delete(r.engines, id)
	}
	r.dirty = true
	r.decide(Decision{Kind: DecidedList, Zone: r.self.Zone, Revision: list.version.Revision, Peer: peer})
	r.assignHomes(now)
}

// announceLists tells the delegates of the region's zones which lists this
// reader of the store has.
func (r *Registry) announceLists() {
	for _, zone := range r.readerZones() {
		list := r.reader[zone]
		if zone == r.self.Zone {
			continue
		}
		for _, delegate := range r.delegatesOf(zone) {
			r.datagram(delegate.Address, datagramHeader{Type: typeListAnnounce}, encodeVersions([]listVersion{list.version}))
		}
	}
}

// readerZones lists the zones of whose lists this reader of the store has, in order.
func (r *Registry) readerZones() []string {
	zones := make([]string, 0, len(r.reader))
	for zone := range r.reader {
		zones = append(zones, zone)
	}
	sort.Strings(zones)
	return zones
}

// compareList pulls the list from a peer that has a newer one.
func (r *Registry) compareList(now time.Time, from transport.Address, theirs listVersion) {
	if theirs.Zone != r.version.Zone || theirs.Revision <= r.version.Revision {
		return
	}
	if theirs.Hash == r.version.Hash {
		r.version.Revision = theirs.Revision
		return
	}
	if !due(now, &r.pulls.list) {
		return
	}
	r.output.Pulls = append(r.output.Pulls, Pull{To: from, Payload: encodePull(r.version.Zone, nil)})
}

// delegatesOf lists the members that speak for a zone.
func (r *Registry) delegatesOf(zone string) []membership.Member {
	return Delegates(zone, r.view.LiveInZone(zone))
}

// Delegates elects, among a zone's live members, those that send its summaries.
func Delegates(zone string, live []membership.Member) []membership.Member {
	return membership.Elect("fleet/"+zone, live, delegates)
}

// delegates is the number of members that speak for a zone.
const delegates = 2

// SetMachinesLeaving takes from the platform's machine list, at a reader, the
// names or addresses of engines that leave. It is repeated to their zones.
func (r *Registry) SetMachinesLeaving(now time.Time, machines []string) Output {
	leaving := make(map[string]bool, len(machines))
	for _, machine := range machines {
		leaving[machine] = true
	}
	for _, zone := range r.readerZones() {
		var ids []uint64
		for _, spec := range r.reader[zone].specs {
			if leaving[spec.Name] || leaving[spec.Address] {
				ids = append(ids, EngineID(spec.Name))
			}
		}
		if zone == r.self.Zone {
			r.applyListLeaving(now, ids, r.self.Name)
		}
		r.sendListLeaving(zone, ids)
	}
	return r.take()
}

// maxIDsPerDatagram keeps a list of ids within one datagram.
const maxIDsPerDatagram = 140

func (r *Registry) sendListLeaving(zone string, ids []uint64) {
	members := r.view.LiveInZone(zone)
	for len(ids) > 0 {
		batch := ids[:min(len(ids), maxIDsPerDatagram)]
		ids = ids[len(batch):]
		for _, member := range members {
			if member.Name != r.self.Name {
				r.datagram(member.Address, datagramHeader{Type: typeListLeaving, Zone: zoneID(zone)}, encodeIDs(batch))
			}
		}
	}
}

func (r *Registry) applyListLeaving(now time.Time, ids []uint64, peer string) {
	for _, id := range ids {
		state, known := r.engines[id]
		if !known {
			continue
		}
		state.listMark = now
		if r.setSources(state, state.sources|SourceList, peer) && r.isHome(state) {
			r.addMark(now, state)
		}
	}
}
