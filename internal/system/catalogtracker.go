package system

import (
	"maps"
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
	eventConfigurationApplied = telemetry.Define(5201, "configuration-in-force", "A newer version of the configuration came into force on this node.")
	eventConfigurationInvalid = telemetry.Define(5202, "configuration-unreadable", "The stored configuration could not be decoded; the previous one stays in force.")
	eventZoneDrainsChanged    = telemetry.Define(7203, "zone-drains-changed", "The set of drained zones changed; engines in drained zones get no new requests.")
	eventEnginesChanged       = telemetry.Define(7201, "engines-changed", "The engines of the services changed; gives their number, and how many are leaving or in a drained zone. All engines count as drained until the drained zones are known.")
)

// maxPoisonWait bounds how long the first configuration waits for the poison records.
// It leaves time for retries: a failed call to the store is repeated within 0.6 s.
const maxPoisonWait = 2 * time.Second

const (
	// refreshPauseFactor is the ratio of the pause after a refresh to its duration, so
	// that refreshes take at most a tenth of a processor. maxRefreshPause bounds the
	// pause; it is small against the permitted staleness of a second or more.
	refreshPauseFactor = 9
	maxRefreshPause    = 100 * time.Millisecond
)

// removalMemory is how long a removal of an engine's entry is remembered, as several watchers tell of it, each with the
// revision by which it read.
const removalMemory = time.Minute

// catalogTracker publishes catalog snapshots made from the mirrored objects.
type catalogTracker struct {
	adapter  *Adapter
	settings *config.Node
	agent    objectSource
	snapshot atomic.Pointer[catalog.Snapshot]
	// appliedAt is when the configuration in force was applied; nil if there is none.
	appliedAt atomic.Pointer[time.Time]
	changes   chan struct{} // of capacity 1

	dirtyMutex sync.Mutex // guards dirty; a leaf
	// dirty has the kinds that changed since the last refresh. Only these are decoded
	// again, as decoding a large configuration would delay requests on small nodes.
	dirty map[string]bool

	// The fields up to awaitingPoisonSince belong to the goroutine of followChanges.
	// listedEngines are the engines at enginesRevision, without the expired ones.
	roster          *catalog.Roster
	listedEngines   []catalog.Engine
	enginesRevision uint64
	// configurationRevision is the revision up to which the configuration was read.
	configurationRevision uint64
	invalidEntries        invalidEntryLog
	expiryTracker         *catalog.ExpiryTracker
	nextRefresh           time.Time
	coldTracker           *catalog.ColdTracker
	// poisonLoaded reports whether the poison records are known; nil if they need not be.
	poisonLoaded func() bool
	// awaitingPoisonSince is when a configuration first waited for the poison records.
	awaitingPoisonSince time.Time
	// drained has the zones whose engines get no new requests; nil while unknown.
	drained atomic.Pointer[[]string]
	// complete is whether the snapshot has the engines and which of them are drained.
	complete atomic.Bool

	warmReports warmReports

	history *releaseHistory
	// missedEngines: engines may have come and gone since the last refresh. removedEngines are the entries
	// that were removed lately, and when that was last told.
	missedEngines  bool
	removedEngines map[string]time.Time
}

// objectSource provides the mirrored objects of the platform; see mirror.Agent.
type objectSource interface {
	Objects(kind string) (objects []mirror.Object, at uint64)
	// Since returns the changes of a kind after a revision; false if the kind is unknown.
	Since(kind string, revision uint64) (mirror.Delta, bool)
	// StoreReturned returns when the store was back after its last outage, or zero.
	StoreReturned() time.Time
	// TakeUnwatched returns the longest time since the last call in which objects of a kind may have come and
	// gone without a trace.
	TakeUnwatched(kind string) time.Duration
}

func newCatalogTracker(adapter *Adapter, settings *config.Node) *catalogTracker {
	t := &catalogTracker{adapter: adapter, settings: settings, changes: make(chan struct{}, 1),
		roster: catalog.NewRoster(), expiryTracker: catalog.NewExpiryTracker(), coldTracker: catalog.NewColdTracker(), history: newReleaseHistory(), removedEngines: map[string]time.Time{}}
	t.dirty = map[string]bool{adapter.ConfigurationKind: true, adapter.EnginesKind: true}
	t.snapshot.Store(catalog.NewSnapshot(nil, nil))
	return t
}

// Snapshot returns the current catalog; it is never nil.
func (t *catalogTracker) Snapshot() *catalog.Snapshot { return t.snapshot.Load() }

// inForce returns the version of the configuration in force and the time since it was applied; zeros
// if there is none.
func (t *catalogTracker) inForce() (version uint64, age time.Duration) {
	configuration, appliedAt := t.Snapshot().Configuration, t.appliedAt.Load()
	if configuration == nil || appliedAt == nil {
		return 0, 0
	}
	return configuration.Version, clock.Since(*appliedAt)
}

// usable reports whether an engine may get a new request of a service.
func (t *catalogTracker) usable(id, service string) bool { return t.Snapshot().Usable(id, service) }

// engineID returns the ID of the engine with an instance name, or the name if there is none.
func (t *catalogTracker) engineID(instance string) string {
	if engine, found := t.Snapshot().Engine(instance); found {
		return engine.ID
	}
	return instance
}

// changed requests a refresh after objects of a kind changed; it does not block.
func (t *catalogTracker) changed(kind string) {
	t.markDirty(kind)
	select {
	case t.changes <- struct{}{}:
	default:
	}
}

// followChanges refreshes the catalog on changes and when due, until stop is closed.
func (t *catalogTracker) followChanges(stop <-chan struct{}) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.changes:
		case <-timer.C:
		}
		started := clock.Now()
		t.refresh()
		if !t.pauseAfter(clock.Since(started), stop) {
			return
		}
		timer.Stop()
		if !t.nextRefresh.IsZero() {
			timer.Reset(max(0, clock.Until(t.nextRefresh)))
		}
	}
}

// pauseAfter waits in proportion to the duration of a refresh; false if stop is closed.
func (t *catalogTracker) pauseAfter(refreshTime time.Duration, stop <-chan struct{}) bool {
	timer := time.NewTimer(min(maxRefreshPause, refreshPauseFactor*refreshTime))
	defer timer.Stop()
	select {
	case <-stop:
		return false
	case <-timer.C:
		return true
	}
}

func (t *catalogTracker) markDirty(kind string) {
	t.dirtyMutex.Lock()
	defer t.dirtyMutex.Unlock()
	t.dirty[kind] = true
}

// takeDirty returns and resets the kinds that changed.
func (t *catalogTracker) takeDirty() map[string]bool {
	t.dirtyMutex.Lock()
	defer t.dirtyMutex.Unlock()
	dirty := t.dirty
	t.dirty = map[string]bool{}
	return dirty
}

// refresh decodes the kinds that changed and publishes a new snapshot. A configuration
// is ignored unless its version is higher than that in force.
func (t *catalogTracker) refresh() {
	previous := t.Snapshot()
	dirty := t.takeDirty()
	if dirty[t.adapter.EnginesKind] {
		t.readEngines()
	}
	configuration := previous.Configuration
	switch {
	case !dirty[t.adapter.ConfigurationKind]:
	case t.enginesRevision == 0 || t.awaitingPoison(): // not applied before the engines are known
		t.markDirty(t.adapter.ConfigurationKind)
	default:
		configuration = t.readConfiguration(configuration)
	}
	drained := t.readDrains()
	var engines []catalog.Engine
	engines, t.nextRefresh = t.expiryTracker.Update(t.listedEngines, t.agent.StoreReturned(), clock.Now())
	if !t.awaitingPoisonSince.IsZero() && configuration == nil {
		t.refreshBy(t.awaitingPoisonSince.Add(maxPoisonWait))
	}
	t.setZoneAttributes(engines, drained)
	t.markCold(engines, configuration, clock.Now())
	t.snapshot.Store(catalog.NewSnapshot(configuration, engines))
	if configuration != previous.Configuration {
		now := clock.Now()
		t.appliedAt.Store(&now)
		t.history.observeRoutes(configuration.Routes, t.agent.TakeUnwatched(t.adapter.ConfigurationKind) > t.settings.Platform.Apply)
	}
	t.observe(engines)
	t.complete.Store(t.enginesRevision > 0 && t.drainsKnown() && !t.awaitingPoison())
	leavingEngines, drainedEngines := 0, 0
	for _, engine := range engines {
		if engine.Leaving {
			leavingEngines++
		}
		if engine.Drained {
			drainedEngines++
		}
	}
	eventEnginesChanged.Info("engines", len(engines), "lapsed", len(engines)-len(t.listedEngines), "leaving", leavingEngines,
		"drained", drainedEngines, "drains_known", t.drainsKnown(), "revision", t.enginesRevision)
}

// observe adds the engines to the history once they are known, and the revisions that it has now.
func (t *catalogTracker) observe(engines []catalog.Engine) {
	if t.enginesRevision > 0 {
		t.history.observeEngines(engines, t.missedEngines)
		t.missedEngines = false
	}
	t.history.setObserved(t.adapter.EnginesKind, t.enginesRevision)
	t.history.setObserved(t.adapter.ConfigurationKind, t.configurationRevision)
}

// isBehind reports whether a kind has changed after a revision, as far as this node knows.
func (t *catalogTracker) isBehind(kind string, revision uint64) bool {
	delta, known := t.agent.Since(kind, revision)
	return !known || delta.IsSnapshot || len(delta.Objects) > 0
}

// awaitingPoison reports whether the first configuration has to wait for the poison
// records, without which a starting node would send requests that are held back. It waits
// for maxPoisonWait at most, as the store may be down and peers of an earlier version don't
// send the records.
func (t *catalogTracker) awaitingPoison() bool {
	if t.Snapshot().Configuration != nil || t.poisonLoaded == nil || t.poisonLoaded() {
		return false
	}
	now := clock.Now()
	if t.awaitingPoisonSince.IsZero() {
		t.awaitingPoisonSince = now
	}
	return now.Sub(t.awaitingPoisonSince) < maxPoisonWait
}

// refreshBy schedules a refresh for a time, unless one is due before.
func (t *catalogTracker) refreshBy(at time.Time) {
	if t.nextRefresh.IsZero() || at.Before(t.nextRefresh) {
		t.nextRefresh = at
	}
}

// readEngines decodes the entries that changed since enginesRevision.
func (t *catalogTracker) readEngines() {
	delta, known := t.agent.Since(t.adapter.EnginesKind, t.enginesRevision)
	if !known {
		return
	}
	present := make(map[string]bool, len(delta.Objects))
	// An engine's entry stays for longer than that, as it tells of a planned end so long before.
	t.missedEngines = t.missedEngines || t.agent.TakeUnwatched(t.adapter.EnginesKind) > t.settings.Platform.Leave
	for _, object := range delta.Objects {
		if object.Gone {
			t.removeEngine(object.Name)
			continue
		}
		present[object.Name] = true
		engine, err := t.adapter.Engine(object)
		if err != nil {
			t.invalidEntries.record(object, err, clock.Now())
		}
		t.roster.Put(catalog.Entry{Instance: object.Name, Engine: engine})
	}
	if delta.IsSnapshot {
		t.roster.KeepOnly(present)
	}
	t.listedEngines, t.enginesRevision = t.roster.Engines(), delta.Revision
}

// removeEngine removes an entry. One that is unknown here, and whose removal is not told again, came and went
// since the last refresh.
func (t *catalogTracker) removeEngine(name string) {
	now := clock.Now()
	if _, again := t.removedEngines[name]; !again && !t.roster.Has(name) {
		t.missedEngines = true
	}
	t.roster.Remove(name)
	t.removedEngines[name] = now
	maps.DeleteFunc(t.removedEngines, func(_ string, at time.Time) bool { return now.Sub(at) > removalMemory })
}

// setZoneAttributes sets the region of each engine, and whether its zone is drained.
func (t *catalogTracker) setZoneAttributes(engines []catalog.Engine, drained func(zone string) bool) {
	for i := range engines {
		engine := &engines[i]
		engine.Region = t.settings.Zones[engine.Zone]
		engine.Drained = drained(engine.Zone)
	}
}

// readDrains returns a function that reports whether a zone is drained. All zones are
// while that is unknown, so that a starting node sends no requests.
func (t *catalogTracker) readDrains() (drained func(zone string) bool) {
	if t.settings.Platform.Drain <= 0 {
		return func(string) bool { return false }
	}
	objects, at := t.agent.Objects(t.adapter.ZoneDrainsKind)
	if at == 0 {
		return func(string) bool { return true }
	}
	zones, previous := t.adapter.ZoneDrains(objects), t.drainedZones()
	// A starting node logs even an empty set, as it may have logged others before.
	if t.drained.Load() == nil || !slices.Equal(zones, previous) {
		eventZoneDrainsChanged.Info("zones", zones, "before", previous, "revision", at)
	}
	t.drained.Store(&zones)
	return func(zone string) bool { return slices.Contains(zones, zone) }
}

// drainedZones returns the zones whose engines get no new requests; nil while unknown.
func (t *catalogTracker) drainedZones() []string {
	if zones := t.drained.Load(); zones != nil {
		return *zones
	}
	return nil
}

// drainsKnown reports whether it is known which zones are drained.
func (t *catalogTracker) drainsKnown() bool {
	return t.settings.Platform.Drain <= 0 || t.drained.Load() != nil
}

// enginesKnown reports whether the snapshot is complete: it has the engines, and the
// drained zones are known.
func (t *catalogTracker) enginesKnown() bool { return t.complete.Load() }

// readConfiguration returns the mirrored configuration if its version is higher than
// that in force, else the one in force.
func (t *catalogTracker) readConfiguration(inForce *catalog.Configuration) *catalog.Configuration {
	objects, at := t.agent.Objects(t.adapter.ConfigurationKind)
	for _, object := range objects {
		if object.Name != t.adapter.ConfigurationName {
			continue
		}
		read, err := t.adapter.Configuration(object.Content)
		if err != nil {
			eventConfigurationInvalid.Error(err, "revision", object.Revision)
			return inForce
		}
		t.configurationRevision = at
		if inForce != nil && read.Version <= inForce.Version {
			return inForce
		}
		eventConfigurationApplied.Info("version", read.Version, "revision", object.Revision, "at", at, "routes", len(read.Routes))
		return read
	}
	return inForce
}
