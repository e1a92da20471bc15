package dissemination

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/settings/tree"
)

// simStore simulates the platform's store and is the test oracle: it records the
// content of each version.
type simStore struct {
	sim      *sim
	objects  map[string]Entry
	revision uint64
	purgedAt uint64 // revision of the newest purge
	epoch    uint16
	down     bool
	// unreachable, if not empty, is a region that can't reach the store.
	unreachable string
	frozen      bool // watches deliver nothing, not even their end
	// compacted is the oldest revision that a watch may start from.
	compacted uint64
	events    []Entry // all changes, in order
	watches   []*simWatch
	backups   []simBackup
	// accepted is the content digests of each version. Writes after a restore
	// may give a version a second content.
	accepted map[settings.Version]map[uint64]bool
	maxOpen  int
	requests int
	writes   int
}

type simBackup struct {
	objects  map[string]Entry
	revision uint64
	purgedAt uint64
	epoch    uint16
	events   []Entry
}

type simWatch struct {
	node        *simNode
	incarnation int
	ticket      uint64
	next        int // index into events
	closed      bool
	opened      bool // the store has taken the request
	silent      bool // delivers nothing any more, and does not end
}

func newSimStore(s *sim) *simStore {
	store := &simStore{sim: s, objects: make(map[string]Entry), accepted: make(map[settings.Version]map[uint64]bool)}
	store.record()
	store.bookmarks()
	return store
}

func (s *simStore) version() settings.Version {
	head := s.purgedAt
	for _, entry := range s.objects {
		head = max(head, entry.Revision)
	}
	return settings.MakeVersion(s.epoch, head)
}

func digestOf(objects map[string]Entry) uint64 {
	var sum uint64
	for _, entry := range objects {
		if !entry.Deleted {
			sum ^= entry.hash()
		}
	}
	return sum
}

func (s *simStore) record() {
	version := s.version()
	if s.accepted[version] == nil {
		s.accepted[version] = make(map[uint64]bool)
	}
	s.accepted[version][digestOf(s.objects)] = true
}

// checkContent checks that the store once had the node's content at its version.
func (s *simStore) checkContent(node *simNode) {
	if !s.accepted[node.published][digestOf(node.content)] {
		s.sim.addViolation("%s: content at %s was never in the store: %v, store has %v", node.member.Name, node.published, node.content, s.objects)
	}
}

// put writes an entry and notifies the watches.
func (s *simStore) put(name string, deleted bool, spec []byte) Entry {
	s.revision++
	entry := Entry{Name: name, Revision: s.revision, Deleted: deleted, Spec: spec}
	s.objects[name] = entry
	s.events = append(s.events, entry)
	if name == tree.EpochObject {
		s.epoch = epochOf(&entry)
	}
	s.record()
	s.deliverEvents()
	return entry
}

// knownToAll reports whether every node and disk has a change. Tombstones are kept
// for longer than any node may be down.
func (s *simStore) knownToAll(entry Entry) bool {
	version := settings.MakeVersion(s.epoch, entry.Revision)
	return !slices.ContainsFunc(s.sim.nodes, func(node *simNode) bool {
		return !node.up || !node.hasVersion || node.published < version || node.hasDisk && node.diskVersion < version
	})
}

// purgeOne purges one tombstone that is known to all, if any.
func (s *simStore) purgeOne() {
	for _, name := range slices.Sorted(maps.Keys(s.objects)) {
		if s.objects[name].Deleted && s.knownToAll(s.objects[name]) {
			delete(s.objects, name)
			s.revision++
			s.purgedAt = s.revision
			s.events = append(s.events, Entry{Name: name, Revision: s.revision, Deleted: true})
			s.record()
			s.deliverEvents()
			return
		}
	}
}

// deliverEvents delivers events to the open watches.
func (s *simStore) deliverEvents() {
	if s.down || s.frozen {
		return
	}
	for _, watch := range s.watches {
		for ; watch.opened && !watch.silent && watch.next < len(s.events); watch.next++ {
			s.deliver(watch, false, s.events[watch.next])
		}
	}
}

func (s *simStore) deliver(watch *simWatch, bookmark bool, entry Entry) {
	delay := 5*time.Millisecond + time.Duration(len(watch.node.member.Name)%3)*time.Millisecond
	s.sim.at(delay, func() {
		if watch.closed {
			return
		}
		watch.node.deliver(watch.incarnation, func() {
			if !watch.closed {
				watch.node.execute(watch.node.machine.HandleWatchEvent(s.sim.now, watch.ticket, bookmark, entry))
			}
		})
	})
}

func (s *simStore) bookmarks() {
	if !s.down && !s.frozen {
		for _, watch := range s.watches {
			if watch.opened && !watch.silent {
				s.deliver(watch, true, Entry{Revision: s.revision})
			}
		}
	}
	s.sim.at(simBookmark, s.bookmarks)
}

// setFrozen begins or ends a period in which watches deliver nothing.
func (s *simStore) setFrozen(frozen bool) {
	s.frozen = frozen
	s.deliverEvents()
}

// silenceWatches makes the open watches silent permanently.
func (s *simStore) silenceWatches() {
	for _, watch := range s.watches {
		watch.silent = true
	}
}

// answer runs a request at the store and hands its result to the node.
func (s *simStore) answer(node *simNode, request func(err error) func()) {
	s.requests++
	life := node.incarnation
	s.sim.at(5*time.Millisecond, func() {
		var err error
		if s.down || s.unreachable != "" && node.member.Region == s.unreachable {
			err = errStoreDown
		}
		respond := request(err)
		s.sim.at(5*time.Millisecond, func() { node.deliver(life, respond) })
	})
}

func (s *simStore) probe(node *simNode, action ProbeStore) {
	s.answer(node, func(err error) func() {
		found, ok := s.objects[action.Name]
		probe := Probe{Found: ok, Newest: found, Epoch: s.epoch}
		return func() { node.execute(node.machine.HandleProbed(s.sim.now, action.Ticket, probe, err)) }
	})
}

func (s *simStore) list(node *simNode, action ListStore) {
	s.answer(node, func(err error) func() {
		var listed []Entry
		for _, name := range slices.Sorted(maps.Keys(s.objects)) {
			listed = append(listed, s.objects[name])
		}
		revision := s.revision
		return func() { node.execute(node.machine.HandleListed(s.sim.now, action.Ticket, listed, revision, err)) }
	})
}

func (s *simStore) watch(node *simNode, action WatchStore) {
	s.closeWatches(node)
	opened := &simWatch{node: node, incarnation: node.incarnation, ticket: action.Ticket}
	s.watches = append(s.watches, opened)
	s.maxOpen = max(s.maxOpen, len(s.watches))
	s.answer(node, func(err error) func() {
		if err == nil && action.After < s.compacted {
			err = platform.ErrCompacted
		}
		if err == nil && action.After > s.revision {
			err = errFuture
		}
		opened.next = len(s.events)
		for i, entry := range s.events {
			if entry.Revision > action.After {
				opened.next = i
				break
			}
		}
		if err == nil {
			opened.opened = true
			s.deliverEvents()
			return func() {}
		}
		s.drop(opened)
		return func() { node.execute(node.machine.HandleWatchEnded(s.sim.now, action.Ticket, err)) }
	})
}

func (s *simStore) drop(watch *simWatch) {
	watch.closed = true
	s.watches = slices.DeleteFunc(s.watches, func(w *simWatch) bool { return w == watch })
}

func (s *simStore) closeWatches(node *simNode) {
	for _, watch := range slices.Clone(s.watches) {
		if watch.node == node {
			s.drop(watch)
		}
	}
}

// setDown begins or ends an outage, which breaks all watches.
func (s *simStore) setDown(down bool) {
	s.down = down
	if !down {
		return
	}
	for _, watch := range slices.Clone(s.watches) {
		s.drop(watch)
		watch.node.deliver(watch.incarnation, func() {
			watch.node.execute(watch.node.machine.HandleWatchEnded(s.sim.now, watch.ticket, errStoreDown))
		})
	}
}

// backUp makes a backup; restoreBackup restores it, which breaks watches.
func (s *simStore) backUp() {
	s.backups = append(s.backups, simBackup{maps.Clone(s.objects), s.revision, s.purgedAt, s.epoch, slices.Clone(s.events)})
}

func (s *simStore) restoreBackup(number int) {
	wasDown := s.down
	s.setDown(true)
	backup := s.backups[number]
	s.objects, s.revision, s.epoch, s.events = maps.Clone(backup.objects), backup.revision, backup.epoch, slices.Clone(backup.events)
	s.purgedAt = backup.purgedAt
	s.compacted = 0
	s.down = wasDown
}

// write is an operator's change through a node, with the checks of package
// command: the store must hold the newest change that the node knows.
func (s *simStore) write(node *simNode, name string, value int, remove bool) bool {
	if s.down || !node.up || node.paused || !node.machine.published || s.behind(node) {
		return false
	}
	s.writes++ // makes each write unique, like a change's id
	s.put(name, remove, fmt.Appendf(nil, "%d %v write %d", value, remove, s.writes))
	return true
}

func (s *simStore) behind(node *simNode) bool {
	machine := node.machine
	if machine.StoreRefused() || machine.HighestKnownVersion() > machine.state.version || machine.state.version.Epoch() != s.epoch {
		return true
	}
	newest := machine.Newest()
	return newest.Name != "" && s.objects[newest.Name].Revision < newest.Revision && !s.hasPurged(newest) || machine.state.version.Revision() > s.revision
}

// hasPurged reports whether the store purged a tombstone.
func (s *simStore) hasPurged(tombstone Entry) bool {
	return tombstone.Deleted && slices.ContainsFunc(s.events, func(event Entry) bool {
		return event.Name == tombstone.Name && event.Purged() && event.Revision > tombstone.Revision
	})
}

// recover writes what a node has in force to the store and raises the epoch.
func (s *simStore) recover(node *simNode) bool {
	if s.down || !node.up || node.paused || !node.hasVersion || node.machine.HighestKnownVersion() > node.published {
		return false
	}
	for _, name := range slices.Sorted(maps.Keys(node.content)) {
		entry := node.content[name]
		if old := s.objects[name]; name != tree.EpochObject && (old.Deleted || string(old.Spec) != string(entry.Spec)) {
			s.put(name, false, entry.Spec)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.objects)) {
		_, kept := node.content[name]
		if !kept && name != tree.EpochObject && !s.objects[name].Deleted {
			s.put(name, true, []byte("recovered"))
		}
	}
	spec, _ := json.Marshal(tree.Epoch{Epoch: max(s.epoch, node.published.Epoch()) + 1})
	s.put(tree.EpochObject, false, spec)
	return true
}

// closeRegion breaks the watches of a region.
func (s *simStore) closeRegion(region string) {
	for _, watch := range slices.Clone(s.watches) {
		if watch.node.member.Region != region {
			continue
		}
		s.drop(watch)
		watch.node.deliver(watch.incarnation, func() {
			watch.node.execute(watch.node.machine.HandleWatchEnded(s.sim.now, watch.ticket, errStoreDown))
		})
	}
}
