package balance

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
)

func twoRegions() *catalog.Snapshot {
	return catalog.NewSnapshot(nil, []catalog.Engine{
		{ID: "n", Service: "s", Zone: "a", Region: "north", Slots: 1},
		{ID: "s", Service: "s", Zone: "b", Region: "south", Slots: 8},
		{ID: "u", Service: "s", Zone: "c", Slots: 8},
	})
}

// Neither load, failures nor avoided engines may lift the region restriction.
func TestAcquireStaysInAllowedRegions(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(twoRegions)
	wish := Wish{Service: "s", Zone: "b", Class: ClassOnline, Regions: catalog.Regions{"north"}, Avoid: []string{"n"}}
	b.RecordFailure("n", context.Canceled)
	lease, err := b.Acquire(context.Background(), wish, 0, 0, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lease.Engine.ID).To(gomega.Equal("n"))
	for range 5 {
		if lease, err := b.Acquire(context.Background(), wish, 0, 0, nil); err == nil {
			g.Expect(lease.Engine.ID).To(gomega.Equal("n"))
		}
	}
	for _, lease := range b.AcquireMany([]Wish{{Service: "s", Class: ClassBatch, Regions: catalog.Regions{"south"}}}, 0) {
		g.Expect(lease.Engine.ID).To(gomega.Equal("s"))
	}
}

// A request that no engine may serve must fail at once, however long it may wait.
func TestAcquireRejectsAtOnceWithoutAllowedEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(twoRegions)
	for _, regions := range []catalog.Regions{{}, {"west"}} {
		_, err := b.Acquire(context.Background(), Wish{Service: "s", Regions: regions}, 0, time.Hour, nil)
		g.Expect(err).To(gomega.MatchError(ErrNoEngine))
	}
}

// The error must name the reason why no engine was left.
func TestNoEngineErrorNamesRule(t *testing.T) {
	for name, test := range map[string]struct {
		engines []catalog.Engine
		regions catalog.Regions
		rule    Rule
	}{
		"no engine":                        {nil, nil, RuleNone},
		"all leaving":                      {[]catalog.Engine{{ID: "a", Service: "s", Region: "n", Leaving: true}}, catalog.Regions{"n"}, RuleNone},
		"all drained":                      {[]catalog.Engine{{ID: "a", Service: "s", Drained: true}}, nil, RuleDrained},
		"other region":                     {[]catalog.Engine{{ID: "a", Service: "s", Region: "n"}}, catalog.Regions{"w"}, RuleRegions},
		"drained engine in allowed region": {[]catalog.Engine{{ID: "a", Service: "s", Region: "n"}, {ID: "b", Service: "s", Region: "w", Drained: true}}, catalog.Regions{"w"}, RuleDrained},
		"drained engine in other region":   {[]catalog.Engine{{ID: "a", Service: "s", Region: "n", Drained: true}}, catalog.Regions{"w"}, RuleRegions},
		"no region allowed":                {[]catalog.Engine{{ID: "a", Service: "s", Region: "n"}}, catalog.Regions{}, RuleRegions},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			snapshot := catalog.NewSnapshot(nil, test.engines)
			_, err := New(func() *catalog.Snapshot { return snapshot }).
				Acquire(context.Background(), Wish{Service: "s", Regions: test.regions}, 0, time.Hour, nil)
			g.Expect(err).To(gomega.MatchError(ErrNoEngine))
			g.Expect(err.(*NoEngineError).Rule).To(gomega.Equal(test.rule))
		})
	}
}
