package registry

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// Readers is the number of nodes per region that read the store.
const Readers = 2

// ReaderRole returns the election role of a region's store readers.
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

// HandleStore adopts, on a reader, its region's engines at a revision of the
// store. A lower revision than one seen is refused: the store then serves an
// old copy.
func (r *Registry) HandleStore(now time.Time, revision uint64, specs []fleet.Spec) Output {
	if revision < r.revision || revision < r.version.Revision {
		r.decide(Decision{Kind: DecidedListRefused, Zone: r.self.Zone, Revision: revision})
		return r.takeOutput()
	}
	r.revision = revision
	byZone := map[string][]fleet.Spec{r.self.Zone: nil}
	for zone := range r.readerLists {
		byZone[zone] = nil
	}
	for _, spec := range specs {
		if spec.Region == r.self.Region {
			byZone[spec.Zone] = append(byZone[spec.Zone], spec)
		}
	}
	r.readerLists = make(map[string]zoneList, len(byZone))
	for zone, list := range byZone {
		r.readerLists[zone] = newZoneList(zone, revision, list)
	}
	r.nextList = now
	r.adoptList(now, r.readerLists[r.self.Zone], r.self.Name)
	if !r.ready {
		r.pullState(now)
	}
	return r.takeOutput()
}

// StopReading drops the region's lists when this node is no longer a reader.
func (r *Registry) StopReading() { r.readerLists = nil }

func (r *Registry) becomeReady() {
	if !r.ready {
		r.ready = true
		r.dirty = true
		r.decide(Decision{Kind: DecidedReady, Zone: r.self.Zone, Revision: r.version.Revision})
	}
}

// adoptList replaces the list of the own zone's engines by a newer one.
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
		r.invalidate(state)
	}
	for id, state := range r.engines {
		if listed[id] {
			continue
		}
		if r.isHome(state) {
			r.loseHome(state)
		}
		delete(r.engines, id)
	}
	r.dirty = true
	r.decide(Decision{Kind: DecidedList, Zone: r.self.Zone, Revision: list.version.Revision, Peer: peer})
	r.assignHomes(now)
}

// announceLists sends this reader's list versions to the region's other zones.
func (r *Registry) announceLists() {
	for _, zone := range r.readerZones() {
		list := r.readerLists[zone]
		if zone == r.self.Zone {
			continue
		}
		for _, delegate := range r.delegatesOf(zone) {
			r.datagram(delegate.Address, datagramHeader{Type: typeListAnnounce}, encodeVersions([]listVersion{list.version}))
		}
	}
}

// readerZones returns the zones whose lists this reader holds, in order.
func (r *Registry) readerZones() []string {
	zones := make([]string, 0, len(r.readerLists))
	for zone := range r.readerLists {
		zones = append(zones, zone)
	}
	sort.Strings(zones)
	return zones
}

// compareList pulls the list from a peer that has a newer revision.
func (r *Registry) compareList(now time.Time, from transport.Address, theirs listVersion) {
	if theirs.Zone != r.version.Zone || theirs.Revision <= r.version.Revision {
		return
	}
	if theirs.Hash == r.version.Hash {
		r.version.Revision = theirs.Revision
		return
	}
	if !reservePull(now, &r.pulls.list) {
		return
	}
	r.output.Pulls = append(r.output.Pulls, Pull{To: from, Payload: encodePull(r.version.Zone, nil)})
}

// delegatesOf returns a zone's delegates.
func (r *Registry) delegatesOf(zone string) []membership.Member {
	return Delegates(zone, r.view.LiveInZone(zone))
}

// Delegates elects the live members that exchange a zone's summaries.
func Delegates(zone string, live []membership.Member) []membership.Member {
	return membership.Elect("fleet/"+zone, live, delegates)
}

// delegates is the number of delegates per zone.
const delegates = 2

// SetMachinesLeaving takes, on a reader, the names or addresses of engines
// that the machine list has as leaving, and sends them to the engines' zones.
func (r *Registry) SetMachinesLeaving(now time.Time, machines []string) Output {
	leaving := make(map[string]bool, len(machines))
	for _, machine := range machines {
		leaving[machine] = true
	}
	for _, zone := range r.readerZones() {
		var ids []uint64
		for _, spec := range r.readerLists[zone].specs {
			if leaving[spec.Name] || leaving[spec.Address] {
				ids = append(ids, EngineID(spec.Name))
			}
		}
		if zone == r.self.Zone {
			r.applyListLeaving(now, ids, r.self.Name)
		}
		r.sendListLeaving(zone, ids)
	}
	return r.takeOutput()
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
		state.listedAt = now
		if r.setSources(state, state.sources|SourceList, peer) && r.isHome(state) {
			r.startUpdate(now, state)
		}
	}
}
