package system

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/mirror"
)

// fakeMirror has the names of objects by kind; a missing kind has not been received.
type fakeMirror map[string][]string

func (m fakeMirror) Objects(kind string) (objects []mirror.Object, at uint64) {
	listed, known := m[kind]
	if !known {
		return nil, 0
	}
	for _, name := range listed {
		objects = append(objects, mirror.Object{Name: name})
	}
	return objects, 1
}

func (m fakeMirror) Since(kind string, _ uint64) (mirror.Delta, bool) {
	objects, at := m.Objects(kind)
	return mirror.Delta{Kind: kind, IsSnapshot: true, Revision: at, Objects: objects}, at > 0
}

// StoreReturned returns the present time if the map has the kind "outage".
func (m fakeMirror) StoreReturned() time.Time {
	if _, away := m["outage"]; away {
		return clock.Now()
	}
	return time.Time{}
}

func (fakeMirror) TakeUnwatched(string) time.Duration { return 0 }

// newTestTracker returns a refreshed tracker; each engine is in a zone of its own name.
func newTestTracker(objects fakeMirror, drain time.Duration) *catalogTracker {
	names := func(objects []mirror.Object) (list []string) {
		for _, object := range objects {
			list = append(list, object.Name)
		}
		return list
	}
	f := newCatalogTracker(&Adapter{
		EnginesKind: "engines", ZoneDrainsKind: "drains", ZoneDrains: names,
		Engine: func(entry mirror.Object) (*catalog.Engine, error) {
			return &catalog.Engine{ID: entry.Name, Zone: entry.Name, Service: "s", Slots: 4}, nil
		},
	}, &config.Node{Platform: config.Platform{Drain: drain}})
	f.agent = objects
	f.refresh()
	return f
}

// reread makes the tracker decode a kind again.
func (t *catalogTracker) reread(kind string) {
	t.changed(kind)
	t.refresh()
}

func (t *catalogTracker) usableEngines() (list []string) {
	for _, engine := range t.Snapshot().Engines() {
		if t.usable(engine.ID, "s") {
			list = append(list, engine.ID)
		}
	}
	return list
}

// Guards against requests to drained zones from a node that does not know yet which
// zones are drained. Without drains in the settings all engines are usable.
func TestNoEngineUsableUntilZoneDrainsKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	objects := fakeMirror{"engines": {"a", "b", "c"}}
	f := newTestTracker(objects, time.Second)
	g.Expect(f.usableEngines()).To(gomega.BeEmpty())
	g.Expect(f.Snapshot().Serving("s")).To(gomega.BeEmpty())
	g.Expect(f.drainsKnown()).To(gomega.BeFalse())
	g.Expect(f.enginesKnown()).To(gomega.BeFalse())
	g.Expect(f.drainedZones()).To(gomega.BeEmpty(), "unknown drains are not reported as drained zones")
	objects["drains"] = []string{"b"}
	f.reread("drains")
	g.Expect(f.usableEngines()).To(gomega.Equal([]string{"a", "c"}))
	g.Expect(f.drainsKnown()).To(gomega.BeTrue())
	g.Expect(f.enginesKnown()).To(gomega.BeTrue())
	objects["drains"] = nil
	f.reread("drains")
	g.Expect(f.usableEngines()).To(gomega.Equal([]string{"a", "b", "c"}))
	withoutDrains := newTestTracker(fakeMirror{"engines": {"a", "b", "c"}}, 0)
	g.Expect(withoutDrains.usableEngines()).To(gomega.HaveLen(3))
	g.Expect(withoutDrains.enginesKnown()).To(gomega.BeTrue())
	g.Expect(newTestTracker(fakeMirror{"drains": nil}, time.Second).enginesKnown()).To(gomega.BeFalse(), "engines are not known")
}

// Guards against decoding kinds that did not change, and against applying a
// configuration before the engines are known.
func TestRefreshDecodesOnlyChangedKinds(t *testing.T) {
	g := gomega.NewWithT(t)
	objects := fakeMirror{"configuration": {"main"}, "drains": nil}
	f := newTestTracker(objects, time.Second)
	entries, versions := 0, 0
	decode := f.adapter.Engine
	f.adapter.Engine = func(entry mirror.Object) (*catalog.Engine, error) { entries++; return decode(entry) }
	f.adapter.ConfigurationKind, f.adapter.ConfigurationName = "configuration", "main"
	f.adapter.Configuration = func([]byte) (*catalog.Configuration, error) {
		versions++
		return &catalog.Configuration{Version: uint64(versions)}, nil
	}
	f.reread("configuration")
	g.Expect(f.Snapshot().Configuration).To(gomega.BeNil())
	objects["engines"] = []string{"a", "b"}
	f.reread("engines")
	g.Expect(f.Snapshot().Configuration.Version).To(gomega.Equal(uint64(1)))
	g.Expect(f.usableEngines()).To(gomega.Equal([]string{"a", "b"}))
	objects["drains"] = []string{"b"}
	f.reread("drains")
	g.Expect(f.usableEngines()).To(gomega.Equal([]string{"a"}))
	g.Expect([]int{entries, versions}).To(gomega.Equal([]int{2, 1}))
	f.reread("configuration")
	g.Expect([]int{entries, versions}).To(gomega.Equal([]int{2, 2}))
	g.Expect(f.Snapshot().Configuration.Version).To(gomega.Equal(uint64(2)))
}

// Guards against requests to engines of a drained zone whose entries expired.
func TestExpiredEnginesOfDrainedZoneNotUsable(t *testing.T) {
	g := gomega.NewWithT(t)
	objects := fakeMirror{"engines": {"a", "b", "c"}, "drains": nil}
	f := newTestTracker(objects, time.Second)
	objects["outage"], objects["engines"], objects["drains"] = nil, nil, []string{"b"}
	f.reread("engines")
	g.Expect(f.usableEngines()).To(gomega.Equal([]string{"a", "c"}))
}

// Guards against requests to engines whose entries were removed while the store was there, however
// many at once.
func TestRemovedEnginesNotUsable(t *testing.T) {
	g := gomega.NewWithT(t)
	objects := fakeMirror{"engines": {"a", "b", "c"}, "drains": nil}
	f := newTestTracker(objects, time.Second)
	objects["engines"] = []string{"b"}
	f.reread("engines")
	g.Expect(f.usableEngines()).To(gomega.Equal([]string{"b"}))
}

// Guards against wrong counts of requests in flight in drained zones.
func TestDrainCollectorCountsInFlightRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	objects := fakeMirror{"engines": {"a"}, "drains": nil}
	c := &core{catalog: newTestTracker(objects, time.Second)}
	c.balancer = balance.New(c.catalog.Snapshot)
	leases := c.balancer.AcquireMany([]balance.Wish{{Service: "s", Class: balance.ClassBatch}, {Service: "s", Class: balance.ClassBatch}}, 0)
	g.Expect(leases).To(gomega.HaveLen(2))
	g.Expect(sumMetrics(g, c)).To(gomega.BeEmpty())
	objects["drains"] = []string{"a", "empty"}
	c.catalog.reread("drains")
	leases[0].Release()
	g.Expect(sumMetrics(g, c)).To(gomega.Equal(map[string]float64{
		"chutelock_zone_drained": 2, "chutelock_drained_zone_requests": 1,
	}))
	g.Expect(formatByZone(c.catalog.drainedZones(), c.balancer.OwnByZone(c.catalog.drainedZones()))).To(gomega.Equal("a: 0 online, 1 batch; empty: 0 online, 0 batch"))
}

// sumMetrics returns the sum of each metric over its labels.
func sumMetrics(g *gomega.WithT, c *core) map[string]float64 {
	registry := prometheus.NewRegistry()
	registry.MustRegister(drainCollector{c})
	families, err := registry.Gather()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	sums := map[string]float64{}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			sums[family.GetName()] += metric.GetGauge().GetValue()
		}
	}
	return sums
}

func TestDrainProgressLoggedWithBackoff(t *testing.T) {
	g := gomega.NewWithT(t)
	var schedule drainLogSchedule
	start := time.Unix(1000, 0)
	var logged []int
	for second := range 200 {
		inFlight := 1
		if second < 3 || second >= 150 {
			inFlight = 0
		}
		if schedule.advanceIfDue(inFlight, start.Add(time.Duration(second)*time.Second)) {
			logged = append(logged, second)
		}
	}
	g.Expect(logged).To(gomega.Equal([]int{3, 4, 6, 10, 18, 34, 66, 98, 130, 150}))
}
