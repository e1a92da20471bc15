package system

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/origin"
)

// engineTable is an objectSource of engines named after their version and a number: "v1.0".
type engineTable struct {
	*mirror.Table
	revision  uint64
	unwatched time.Duration
}

func newEngineTable() *engineTable {
	return &engineTable{Table: mirror.NewTable([]string{"engines", "configuration"})}
}

func (e *engineTable) Objects(kind string) ([]mirror.Object, uint64) {
	return e.Table.Objects(kind), e.Revision(kind)
}

func (e *engineTable) StoreReturned() time.Time { return time.Time{} }

func (e *engineTable) TakeUnwatched(string) time.Duration {
	defer func() { e.unwatched = 0 }()
	return e.unwatched
}

// change adds engines, and removes those with a leading minus sign.
func (e *engineTable) change(names ...string) {
	delta := mirror.Delta{Kind: "engines", Since: e.Revision("engines")}
	for _, name := range names {
		e.revision++
		name, gone := strings.CutPrefix(name, "-")
		delta.Objects = append(delta.Objects, mirror.Object{Name: name, Revision: e.revision, Gone: gone})
	}
	delta.Revision = e.revision
	e.Merge(delta)
}

// list replaces the engines by a list of the store, whose history is lost for a time.
func (e *engineTable) list(unwatched time.Duration, names ...string) {
	e.revision++
	e.unwatched = unwatched
	delta := mirror.Delta{Kind: "engines", IsSnapshot: true, Revision: e.revision}
	for _, name := range names {
		delta.Objects = append(delta.Objects, mirror.Object{Name: name, Revision: e.revision})
	}
	e.Merge(delta)
}

// newReleaseTracker returns a tracker of a table's engines and of one configuration.
func newReleaseTracker(table *engineTable) *catalogTracker {
	adapter := &Adapter{
		EnginesKind: "engines", ConfigurationKind: "configuration", ConfigurationName: "main",
		Engine: func(entry mirror.Object) (*catalog.Engine, error) {
			version, _, _ := strings.Cut(entry.Name, ".")
			return &catalog.Engine{ID: entry.Name, Service: "s", Version: version, Slots: 4}, nil
		},
		Configuration: func([]byte) (*catalog.Configuration, error) {
			return &catalog.Configuration{Version: 1, Routes: []catalog.Route{*streamRoute}}, nil
		},
	}
	t := newCatalogTracker(adapter, &config.Node{Platform: config.Platform{Leave: worldLeave}})
	t.agent = table
	table.revision++
	table.Merge(mirror.Delta{Kind: "configuration", IsSnapshot: true, Revision: table.revision, Objects: []mirror.Object{{Name: "main", Revision: table.revision}}})
	return t
}

// pass lets time pass that the history counts.
func pass(duration time.Duration) { clock.SimulateSuspension(duration) }

func TestHistoryUnknownWhereReleasesMayHaveComeAndGoneUnseen(t *testing.T) {
	const leave = 2 * time.Second
	window := 2*streamRoute.Timeout + leave
	sole := origin.Answer{Source: origin.SourceSole, Release: catalog.Release{Service: "s", Version: "v1"}}
	for _, test := range []struct {
		name   string
		change func(table *engineTable)
		known  bool // right after the change
	}{
		{"nothing changed", func(*engineTable) {}, true},
		{"another engine", func(table *engineTable) { table.change("v1.1") }, true},
		{"an engine left", func(table *engineTable) { table.change("-v1.0", "v1.2") }, true},
		{"came and went between two refreshes", func(table *engineTable) { table.change("v2.0"); table.change("-v2.0") }, false},
		{"the store's history is lost", func(table *engineTable) { table.list(leave+1, "v1.0") }, false},
		{"the store's history is lost for a moment", func(table *engineTable) { table.list(leave, "v1.0") }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			table := newEngineTable()
			tracker := newReleaseTracker(table)
			table.change("v1.0")
			tracker.refresh()
			tracker.refresh() // the configuration comes into force once the engines are known
			ask := func() origin.Answer { return tracker.history.ofRoute(streamRoute.Host, streamRoute.Prefix, leave, 0) }
			g.Expect(ask()).To(gomega.Equal(origin.Answer{}))
			var passed time.Duration
			defer func() { pass(-passed) }()
			wait := func() { pass(window); passed += window }
			wait()
			g.Expect(ask()).To(gomega.Equal(sole))
			test.change(table)
			tracker.changed("engines")
			tracker.refresh()
			g.Expect(ask() == sole).To(gomega.Equal(test.known))
			wait()
			g.Expect(ask()).To(gomega.Equal(sole))
		})
	}
}

// Guards against a list that the store has confirmed but that the history doesn't have yet.
func TestHistoryIsBehindUntilTheCatalogWasRefreshed(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newEngineTable()
	tracker := newReleaseTracker(table)
	table.change("v1.0")
	behind := func(kind string) bool {
		revision, _ := tracker.history.state(kind)
		return tracker.isBehind(kind, revision)
	}
	g.Expect(behind("engines")).To(gomega.BeTrue())
	g.Expect(behind("configuration")).To(gomega.BeTrue())
	tracker.refresh()
	tracker.refresh()
	g.Expect(behind("engines")).To(gomega.BeFalse())
	g.Expect(behind("configuration")).To(gomega.BeFalse())
	_, advanced := tracker.history.state("engines")
	table.change("v2.0")
	g.Expect(behind("engines")).To(gomega.BeTrue())
	tracker.changed("engines")
	tracker.refresh()
	g.Expect(behind("engines")).To(gomega.BeFalse())
	g.Expect(advanced).To(gomega.BeClosed())
}

// Guards against a release that counts as the only one by a list from before the question.
func TestProofRestsOnListsConfirmedAfterTheCall(t *testing.T) {
	window := 2*streamRoute.Timeout + 2*time.Second
	sole := soleRelease(catalog.Release{Service: "s", Version: "v1"})
	several := origin.Answer{Source: origin.SourceSeveral}
	for _, test := range []struct {
		name    string
		confirm func(table *engineTable, tracker *catalogTracker) error // of the engines
		partial bool
		want    origin.Answer
	}{
		{"nothing new", func(*engineTable, *catalogTracker) error { return nil }, false, sole},
		{"the store doesn't answer", func(*engineTable, *catalogTracker) error { return errDown }, false, origin.Answer{}},
		{"a newer one joined", func(table *engineTable, tracker *catalogTracker) error {
			table.change("v2.0")
			tracker.changed("engines")
			time.AfterFunc(time.Millisecond, tracker.refresh)
			return nil
		}, false, several},
		{"a newer one joined and was never applied", func(table *engineTable, _ *catalogTracker) error {
			table.change("v2.0")
			return nil
		}, false, origin.Answer{}},
		{"part of the engines", func(*engineTable, *catalogTracker) error { return nil }, true, origin.Answer{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			table := newEngineTable()
			tracker := newReleaseTracker(table)
			table.change("v1.0")
			tracker.refresh()
			tracker.refresh()
			pass(window)
			defer pass(-window)
			prover := releaseProver{
				history: tracker.history, kinds: []string{"engines", "configuration"}, leave: 2 * time.Second,
				partial: func() bool { return test.partial },
				confirm: func(_ context.Context, kind string) error {
					if kind == "engines" {
						return test.confirm(table, tracker)
					}
					return nil
				},
				isBehind: tracker.isBehind,
			}
			ctx, cancel := context.WithTimeout(t.Context(), proofTimeout)
			defer cancel()
			g.Expect(prover.proveRoute(ctx, streamRoute.Host, streamRoute.Prefix, 0)).To(gomega.Equal(test.want))
		})
	}
}

// deliver merges a delta and reports it as mirror.Agent does.
func (e *engineTable) deliver(tracker *catalogTracker, delta mirror.Delta) {
	before := e.Revision(delta.Kind)
	if changed := e.Merge(delta); changed || delta.IsSnapshot || e.Changed(delta.Kind, before) {
		tracker.changed(delta.Kind)
	}
	tracker.refresh()
}

// Guards against nodes that count as behind, and prove nothing, after lists or removals that change no engine.
func TestProofsGoOnAfterDeltasThatChangeNoEngine(t *testing.T) {
	window := 2*streamRoute.Timeout + 2*time.Second
	gone := func(name string, revision uint64) mirror.Delta {
		return mirror.Delta{Since: 3, Revision: revision, Objects: []mirror.Object{{Name: name, Gone: true, Revision: revision}}}
	}
	for _, test := range []struct {
		name   string
		deltas []mirror.Delta
	}{
		{"the store's history is lost, the list is the same", []mirror.Delta{
			{IsSnapshot: true, Revision: 10, Objects: []mirror.Object{{Name: "v1.0", Revision: 2}, {Name: "v1.1", Revision: 3}}},
		}},
		{"an engine came and went between two reads of the store", []mirror.Delta{gone("v2.0", 10)}},
		{"a removal told by two watchers, one of which read later", []mirror.Delta{gone("v1.1", 10), gone("v1.1", 14)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			table := newEngineTable()
			tracker := newReleaseTracker(table)
			table.change("v1.0", "v1.1") // revisions 2 and 3
			tracker.refresh()
			tracker.refresh()
			pass(window)
			defer pass(-window)
			for _, delta := range test.deltas {
				delta.Kind = "engines"
				table.deliver(tracker, delta)
			}
			revision, _ := tracker.history.state("engines")
			g.Expect(tracker.isBehind("engines", revision)).To(gomega.BeFalse(), "observed %d, table %d, answer %v",
				revision, table.Revision("engines"), tracker.history.ofRoute(streamRoute.Host, streamRoute.Prefix, 2*time.Second, 0))
		})
	}
}

// Guards against a history that begins anew because a removal was told twice.
func TestHistoryGoesOnAfterRemovalToldTwice(t *testing.T) {
	g := gomega.NewWithT(t)
	window := 2*streamRoute.Timeout + 2*time.Second
	table := newEngineTable()
	tracker := newReleaseTracker(table)
	table.change("v1.0", "v1.1")
	tracker.refresh()
	tracker.refresh()
	pass(window)
	defer pass(-window)
	for _, at := range []uint64{10, 14} { // the client gives a removal the revision of the page it came in
		table.deliver(tracker, mirror.Delta{Kind: "engines", Since: 3, Revision: at, Objects: []mirror.Object{{Name: "v1.1", Gone: true, Revision: at}}})
	}
	table.deliver(tracker, mirror.Delta{Kind: "engines", Since: 14, Revision: 15, Objects: []mirror.Object{{Name: "v1.2", Revision: 15}}})
	g.Expect(tracker.history.ofRoute(streamRoute.Host, streamRoute.Prefix, 2*time.Second, 0).Source).To(gomega.Equal(origin.SourceSole))
}

// Guards against a route that counts as steady although it may have led elsewhere unseen.
func TestRouteUnknownWhereConfigurationsMayHaveComeAndGoneUnseen(t *testing.T) {
	const apply = 2 * time.Second
	window := 2*streamRoute.Timeout + worldLeave
	for unwatched, known := range map[time.Duration]bool{apply: true, apply + 1: false} {
		g := gomega.NewWithT(t)
		table := newEngineTable()
		tracker := newReleaseTracker(table)
		tracker.settings.Platform.Apply = apply
		version := uint64(0)
		tracker.adapter.Configuration = func([]byte) (*catalog.Configuration, error) {
			version++
			return &catalog.Configuration{Version: version, Routes: []catalog.Route{*streamRoute}}, nil
		}
		table.change("v1.0")
		tracker.refresh()
		tracker.refresh()
		pass(window)
		ask := func() origin.Source {
			return tracker.history.ofRoute(streamRoute.Host, streamRoute.Prefix, worldLeave, 0).Source
		}
		g.Expect(ask()).To(gomega.Equal(origin.SourceSole))
		table.unwatched = unwatched
		tracker.markDirty("configuration")
		tracker.refresh()
		g.Expect(ask() == origin.SourceSole).To(gomega.Equal(known), "unwatched for %v", unwatched)
		pass(-window)
	}
}

// Guards against a node that missed a change of the route outweighing those that saw it.
func TestNodesThatSawARouteMoveOutweighOneThatDidNot(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newReleaseHistory()
	engines := []catalog.Engine{{ID: "a", Service: "s", Version: "1"}}
	h.observeEngines(engines, false)
	h.observeRoutes([]catalog.Route{*streamRoute}, false)
	window := 2*streamRoute.Timeout + 2*time.Second
	pass(window)
	defer pass(-window)
	moved := *streamRoute
	moved.Backends = []catalog.Backend{{Service: "other", Weight: 1}}
	h.observeRoutes([]catalog.Route{moved}, false)
	h.observeRoutes([]catalog.Route{*streamRoute}, false)
	saw := h.ofRoute(streamRoute.Host, streamRoute.Prefix, 2*time.Second, 0)
	best := firstAnswer(context.Background(), []func(context.Context) origin.Answer{
		func(context.Context) origin.Answer { return saw },
		func(context.Context) origin.Answer { return soleRelease(releaseOne) },
	})
	g.Expect(best.Source).NotTo(gomega.Equal(origin.SourceSole), "one node saw the move, and answers %v", saw.Source)
}
