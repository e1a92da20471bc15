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
	revision uint64
}

func newEngineTable() *engineTable {
	return &engineTable{Table: mirror.NewTable([]string{"engines", "configuration"})}
}

func (e *engineTable) Objects(kind string) ([]mirror.Object, uint64) {
	return e.Table.Objects(kind), e.Revision(kind)
}

func (e *engineTable) StoreReturned() time.Time { return time.Time{} }

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
	t := newCatalogTracker(adapter, &config.Node{})
	t.agent = table
	table.revision++
	table.Merge(mirror.Delta{Kind: "configuration", IsSnapshot: true, Revision: table.revision, Objects: []mirror.Object{{Name: "main", Revision: table.revision}}})
	return t
}

// pass lets time pass that the history counts.
func pass(duration time.Duration) { clock.SimulateSuspension(duration) }

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
			g.Expect(prover.proveRoute(ctx, streamRoute.Host, streamRoute.Prefix)).To(gomega.Equal(test.want))
		})
	}
}
