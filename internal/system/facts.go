package system

import (
	"slices"
	"sync/atomic"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/telemetry"
)

var (
	eventConfiguration = telemetry.Define(5201, "configuration-in-force", "A newer version of the configuration is in force on this node.")
	eventBadConfig     = telemetry.Define(5202, "configuration-unreadable", "The stored configuration can't be read; the one before stays in force.")
	eventZoneDrains    = telemetry.Define(7203, "zone-drains-changed", "Other zones than before are drained: their engines get nothing new, and those of zones that are drained no more do again.")
	eventEngines       = telemetry.Define(7201, "engines-changed", "The engines behind the services changed: how many there are, and how many of them are leaving.")
)

// facts publishes the catalog that follows from the mirrored objects.
type facts struct {
	adapter  *Adapter
	settings *config.Node
	agent    *mirror.Agent
	snapshot atomic.Pointer[catalog.Snapshot]
	changes  chan struct{} // of capacity 1
	// lapses and again belong to the goroutine that follows.
	lapses  *catalog.Lapses
	again   time.Time
	drained []string // zones, as of the last refresh
	warmth  *catalog.Warmth

	warmNews warmNews
}

func newFacts(adapter *Adapter, settings *config.Node) *facts {
	f := &facts{adapter: adapter, settings: settings, changes: make(chan struct{}, 1), lapses: catalog.NewLapses(), warmth: catalog.NewWarmth()}
	f.snapshot.Store(catalog.NewSnapshot(nil, nil))
	return f
}

// Snapshot returns the newest catalog; never nil.
func (f *facts) Snapshot() *catalog.Snapshot { return f.snapshot.Load() }

// usable says whether an engine may get a new request of a service.
func (f *facts) usable(id, service string) bool { return f.Snapshot().Usable(id, service) }

// changed asks for a refresh; it doesn't block.
func (f *facts) changed(string) {
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
		f.refresh()
		timer.Stop()
		if !f.again.IsZero() {
			timer.Reset(max(0, time.Until(f.again)))
		}
	}
}

// refresh reads the mirrored objects. A configuration of a lower version than
// the one in force is ignored.
func (f *facts) refresh() {
	before := f.Snapshot()
	configuration := f.newest(before.Configuration)
	objects, at := f.agent.Objects(f.adapter.EnginesKind)
	listed := f.adapter.EngineList(objects)
	var engines []catalog.Engine
	engines, f.again = f.lapses.Update(listed, time.Now())
	f.place(engines)
	if at == 0 {
		configuration = before.Configuration
	}
	f.markCold(engines, configuration, time.Now())
	f.snapshot.Store(catalog.NewSnapshot(configuration, engines))
	leaving := 0
	for _, engine := range engines {
		if engine.Leaving {
			leaving++
		}
	}
	eventEngines.Info("engines", len(engines), "lapsed", len(engines)-len(listed), "leaving", leaving, "revision", at)
}

// place tells each engine its region, and whether its zone is drained.
func (f *facts) place(engines []catalog.Engine) {
	drained := f.drainedZones()
	for i := range engines {
		engine := &engines[i]
		engine.Region = f.settings.Zones[engine.Zone]
		engine.Drained = slices.Contains(drained, engine.Zone)
	}
}

// drainedZones lists the zones whose engines are to get nothing new.
func (f *facts) drainedZones() []string {
	if f.settings.Platform.Drain <= 0 {
		return nil
	}
	objects, at := f.agent.Objects(f.adapter.ZoneDrainsKind)
	drained := f.adapter.ZoneDrains(objects)
	if !slices.Equal(drained, f.drained) {
		eventZoneDrains.Info("zones", drained, "before", f.drained, "revision", at)
		f.drained = drained
	}
	return drained
}

// drainsKnown says whether it is known which zones are drained: a node that just
// started may not have heard yet.
func (f *facts) drainsKnown() bool {
	if f.settings.Platform.Drain <= 0 {
		return true
	}
	_, at := f.agent.Objects(f.adapter.ZoneDrainsKind)
	return at > 0
}

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
