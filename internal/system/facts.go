package system

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/telemetry"
)

var (
	eventConfiguration = telemetry.Define(5201, "configuration-in-force", "A newer version of the configuration is in force on this node.")
	eventBadConfig     = telemetry.Define(5202, "configuration-unreadable", "The stored configuration can't be read; the one before stays in force.")
	eventZoneDrains    = telemetry.Define(7203, "zone-drains-changed", "Other zones than before are drained: their engines get nothing new, and those of zones that are drained no more do again.")
	eventEngines       = telemetry.Define(7201, "engines-changed", "The engines behind the services changed: how many there are, and how many of them are leaving, or drained with their zone; all are as long as drains aren't known.")
)

// learnTime is how long a configuration waits for what goes with it. A node that starts
// lists all kinds at once when no peer tells it of them, and a call that fails is made
// again within 0.6 s.
const learnTime = 2 * time.Second

const (
	// refreshPauseFactor is how many times longer than a refresh took the next one waits,
	// so that they take a tenth of a node's processor at most: with 10,000 engines some
	// change many times a second. refreshPauseMost bounds that, as each bound on how soon
	// a change holds is a second or more.
	refreshPauseFactor = 9
	refreshPauseMost   = 100 * time.Millisecond
)

// facts publishes the catalog that follows from the mirrored objects.
type facts struct {
	adapter  *Adapter
	settings *config.Node
	agent    mirrored
	snapshot atomic.Pointer[catalog.Snapshot]
	changes  chan struct{} // of capacity 1

	dirtyMutex sync.Mutex // guards dirty; a leaf
	// dirty are the kinds that changed since the last refresh. Only these are decoded
	// again: a configuration of many routes or tenants takes its time at nodes that have a
	// fifth of a core, at which a drain would hold requests up.
	dirty map[string]bool

	// What follows belongs to the goroutine that follows: the engines as they were
	// last read, at which revision, what keeps lapsed ones, and until when some are cold.
	roster   *catalog.Roster
	listed   []catalog.Engine
	listedAt uint64
	unusable unusableEntries
	lapses   *catalog.ExpiryTracker
	again    time.Time
	warmth   *catalog.ColdTracker
	// learnt says whether it is known which requests are held back; nil is yes.
	learnt func() bool
	// unlearntSince is when the configuration was first kept back for that.
	unlearntSince time.Time
	// drained are the zones whose engines get nothing new; nil while that isn't known.
	drained atomic.Pointer[[]string]
	// known says that the snapshot has the engines, and which of them are drained.
	known atomic.Bool

	warmNews warmNews
}

// mirrored is what is known of the platform's objects; see mirror.Agent.
type mirrored interface {
	Objects(kind string) (objects []mirror.Object, at uint64)
	// Since returns what changed in a kind after a revision; false if nothing is known.
	Since(kind string, revision uint64) (mirror.Delta, bool)
}

func newFacts(adapter *Adapter, settings *config.Node) *facts {
	f := &facts{adapter: adapter, settings: settings, changes: make(chan struct{}, 1),
		roster: catalog.NewRoster(), lapses: catalog.NewExpiryTracker(), warmth: catalog.NewColdTracker()}
	f.dirty = map[string]bool{adapter.ConfigurationKind: true, adapter.EnginesKind: true}
	f.snapshot.Store(catalog.NewSnapshot(nil, nil))
	return f
}

// Snapshot returns the newest catalog; never nil.
func (f *facts) Snapshot() *catalog.Snapshot { return f.snapshot.Load() }

// usable says whether an engine may get a new request of a service.
func (f *facts) usable(id, service string) bool { return f.Snapshot().Usable(id, service) }

// engineID finds the ID of the engine of an instance name; the name itself if there is none.
func (f *facts) engineID(instance string) string {
	if engine, found := f.Snapshot().Engine(instance); found {
		return engine.ID
	}
	return instance
}

// changed asks for a refresh, as objects of a kind changed; it doesn't block.
func (f *facts) changed(kind string) {
	f.markDirty(kind)
	select {
	case f.changes <- struct{}{}:
	default:
	}
}

// follow refreshes the catalog until stop closes.
func (f *facts) follow(stop <-chan struct{}) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case <-f.changes:
		case <-timer.C:
		}
		started := clock.Now()
		f.refresh()
		if !f.restAfter(clock.Since(started), stop) {
			return
		}
		timer.Stop()
		if !f.again.IsZero() {
			timer.Reset(max(0, clock.Until(f.again)))
		}
	}
}

// restAfter waits for a while that grows with what a refresh took; false if stop closes.
func (f *facts) restAfter(took time.Duration, stop <-chan struct{}) bool {
	timer := time.NewTimer(min(refreshPauseMost, refreshPauseFactor*took))
	defer timer.Stop()
	select {
	case <-stop:
		return false
	case <-timer.C:
		return true
	}
}

func (f *facts) markDirty(kind string) {
	f.dirtyMutex.Lock()
	defer f.dirtyMutex.Unlock()
	f.dirty[kind] = true
}

// takeDirty returns the kinds that changed since it was called last.
func (f *facts) takeDirty() map[string]bool {
	f.dirtyMutex.Lock()
	defer f.dirtyMutex.Unlock()
	dirty := f.dirty
	f.dirty = map[string]bool{}
	return dirty
}

// refresh reads the mirrored objects that changed. A configuration of a lower
// version than the one in force is ignored.
func (f *facts) refresh() {
	before := f.Snapshot()
	dirty := f.takeDirty()
	if dirty[f.adapter.EnginesKind] {
		f.readEngines()
	}
	configuration := before.Configuration
	switch {
	case !dirty[f.adapter.ConfigurationKind]:
	case f.listedAt == 0 || f.unlearnt(): // it comes into force with the engines, not before them
		f.markDirty(f.adapter.ConfigurationKind)
	default:
		configuration = f.newest(configuration)
	}
	drained := f.readDrains()
	var engines []catalog.Engine
	engines, f.again = f.lapses.Update(f.listed, drained, clock.Now())
	if !f.unlearntSince.IsZero() && configuration == nil {
		f.lookAgainAt(f.unlearntSince.Add(learnTime))
	}
	f.place(engines, drained)
	f.markCold(engines, configuration, clock.Now())
	f.snapshot.Store(catalog.NewSnapshot(configuration, engines))
	f.known.Store(f.listedAt > 0 && f.drainsKnown() && !f.unlearnt())
	leaving, out := 0, 0
	for _, engine := range engines {
		if engine.Leaving {
			leaving++
		}
		if engine.Drained {
			out++
		}
	}
	eventEngines.Info("engines", len(engines), "lapsed", len(engines)-len(f.listed), "leaving", leaving,
		"drained", out, "drains_known", f.drainsKnown(), "revision", f.listedAt)
}

// unlearnt says that a first configuration has to wait until it is known which requests
// are held back: a node that starts would send them to engines. Of six nodes that were
// killed together two sent one four times so. It waits for learnTime at most, as peers of
// an earlier version don't tell, and the store may be away.
func (f *facts) unlearnt() bool {
	if f.Snapshot().Configuration != nil || f.learnt == nil || f.learnt() {
		return false
	}
	now := clock.Now()
	if f.unlearntSince.IsZero() {
		f.unlearntSince = now
	}
	return now.Sub(f.unlearntSince) < learnTime
}

// lookAgainAt has the facts read again at a time, or before.
func (f *facts) lookAgainAt(at time.Time) {
	if f.again.IsZero() || at.Before(f.again) {
		f.again = at
	}
}

// readEngines reads the entries that changed since it was called last.
func (f *facts) readEngines() {
	delta, known := f.agent.Since(f.adapter.EnginesKind, f.listedAt)
	if !known {
		return
	}
	present := make(map[string]bool, len(delta.Objects))
	for _, object := range delta.Objects {
		if object.Gone {
			f.roster.Remove(object.Name)
			continue
		}
		present[object.Name] = true
		engine, err := f.adapter.Engine(object)
		if err != nil {
			f.unusable.note(object, err, clock.Now())
		}
		f.roster.Put(catalog.Entry{Instance: object.Name, Engine: engine})
	}
	if delta.IsSnapshot {
		f.roster.KeepOnly(present)
	}
	f.listed, f.listedAt = f.roster.Engines(), delta.Revision
}

// place tells each engine its region, and whether its zone is drained.
func (f *facts) place(engines []catalog.Engine, drained func(zone string) bool) {
	for i := range engines {
		engine := &engines[i]
		engine.Region = f.settings.Zones[engine.Zone]
		engine.Drained = drained(engine.Zone)
	}
}

// readDrains says which zones are drained: all of them while that isn't known, so that
// a node that starts sends nothing, whatever its part, before it has heard.
func (f *facts) readDrains() (drained func(zone string) bool) {
	if f.settings.Platform.Drain <= 0 {
		return func(string) bool { return false }
	}
	objects, at := f.agent.Objects(f.adapter.ZoneDrainsKind)
	if at == 0 {
		return func(string) bool { return true }
	}
	zones, before := f.adapter.ZoneDrains(objects), f.drainedZones()
	// A node that starts tells, also of none: its former life may have told of some.
	if f.drained.Load() == nil || !slices.Equal(zones, before) {
		eventZoneDrains.Info("zones", zones, "before", before, "revision", at)
	}
	f.drained.Store(&zones)
	return func(zone string) bool { return slices.Contains(zones, zone) }
}

// drainedZones lists the zones whose engines get nothing new, as far as known.
func (f *facts) drainedZones() []string {
	if zones := f.drained.Load(); zones != nil {
		return *zones
	}
	return nil
}

// drainsKnown says whether it is known which zones are drained: a node that just
// started may not have heard yet.
func (f *facts) drainsKnown() bool {
	return f.settings.Platform.Drain <= 0 || f.drained.Load() != nil
}

// enginesKnown says whether the snapshot tells which engines may get requests.
func (f *facts) enginesKnown() bool { return f.known.Load() }

func (f *facts) newest(inForce *catalog.Configuration) *catalog.Configuration {
	objects, at := f.agent.Objects(f.adapter.ConfigurationKind)
	for _, object := range objects {
		if object.Name != f.adapter.ConfigurationName {
			continue
		}
		read, err := f.adapter.Configuration(object.Content)
		if err != nil {
			eventBadConfig.Error(err, "revision", object.Revision)
			return inForce
		}
		if inForce != nil && read.Version <= inForce.Version {
			return inForce
		}
		eventConfiguration.Info("version", read.Version, "revision", object.Revision, "at", at, "routes", len(read.Routes))
		return read
	}
	return inForce
}
