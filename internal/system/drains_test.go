package system

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/mirror"
)

// fakeMirror holds the names of objects by kind; a kind that is missing isn't known.
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

// drainFacts are those of a node before three engines, one a zone, each named after it.
func drainFacts(objects fakeMirror, drain time.Duration) *facts {
	names := func(objects []mirror.Object) (list []string) {
		for _, object := range objects {
			list = append(list, object.Name)
		}
		return list
	}
	f := newFacts(&Adapter{
		EnginesKind: "engines", ZoneDrainsKind: "drains", ZoneDrains: names,
		Engine: func(entry mirror.Object) (*catalog.Engine, error) {
			return &catalog.Engine{ID: entry.Name, Zone: entry.Name, Service: "s", Slots: 4}, nil
		},
	}, &config.Node{Platform: config.Platform{Drain: drain}})
	f.agent = objects
	f.refresh()
	return f
}

// read has the facts read a kind anew.
func (f *facts) read(kind string) {
	f.changed(kind)
	f.refresh()
}

func (f *facts) usableOnes() (list []string) {
	for _, engine := range f.Snapshot().Engines() {
		if f.usable(engine.ID, "s") {
			list = append(list, engine.ID)
		}
	}
	return list
}

// A node that hasn't heard which zones are drained uses no engine, whatever its part: a
// front node, a leader, an executor. One that need not know uses all.
func TestNoEngineIsUsedBeforeDrainedZonesAreKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	objects := fakeMirror{"engines": {"a", "b", "c"}}
	f := drainFacts(objects, time.Second)
	g.Expect(f.usableOnes()).To(gomega.BeEmpty())
	g.Expect(f.Snapshot().Serving("s")).To(gomega.BeEmpty())
	g.Expect(f.drainsKnown()).To(gomega.BeFalse())
	g.Expect(f.enginesKnown()).To(gomega.BeFalse())
	g.Expect(f.drainedZones()).To(gomega.BeEmpty(), "it isn't told as a drain")
	objects["drains"] = []string{"b"}
	f.read("drains")
	g.Expect(f.usableOnes()).To(gomega.Equal([]string{"a", "c"}))
	g.Expect(f.drainsKnown()).To(gomega.BeTrue())
	g.Expect(f.enginesKnown()).To(gomega.BeTrue())
	objects["drains"] = nil
	f.read("drains")
	g.Expect(f.usableOnes()).To(gomega.Equal([]string{"a", "b", "c"}))
	never := drainFacts(fakeMirror{"engines": {"a", "b", "c"}}, 0)
	g.Expect(never.usableOnes()).To(gomega.HaveLen(3))
	g.Expect(never.enginesKnown()).To(gomega.BeTrue())
	g.Expect(drainFacts(fakeMirror{"drains": nil}, time.Second).enginesKnown()).To(gomega.BeFalse(), "engines aren't known")
}

// A drain decodes neither the engines' entries nor the configuration again; a
// configuration comes into force once the engines are known, also if it was there first.
func TestOnlyWhatChangedIsReadAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	objects := fakeMirror{"configuration": {"main"}, "drains": nil}
	f := drainFacts(objects, time.Second)
	entries, versions := 0, 0
	read := f.adapter.Engine
	f.adapter.Engine = func(entry mirror.Object) (*catalog.Engine, error) { entries++; return read(entry) }
	f.adapter.ConfigurationKind, f.adapter.ConfigurationName = "configuration", "main"
	f.adapter.Configuration = func([]byte) (*catalog.Configuration, error) {
		versions++
		return &catalog.Configuration{Version: uint64(versions)}, nil
	}
	f.read("configuration")
	g.Expect(f.Snapshot().Configuration).To(gomega.BeNil())
	objects["engines"] = []string{"a", "b"}
	f.read("engines")
	g.Expect(f.Snapshot().Configuration.Version).To(gomega.Equal(uint64(1)))
	g.Expect(f.usableOnes()).To(gomega.Equal([]string{"a", "b"}))
	objects["drains"] = []string{"b"}
	f.read("drains")
	g.Expect(f.usableOnes()).To(gomega.Equal([]string{"a"}))
	g.Expect([]int{entries, versions}).To(gomega.Equal([]int{2, 1}))
	f.read("configuration")
	g.Expect([]int{entries, versions}).To(gomega.Equal([]int{2, 2}))
	g.Expect(f.Snapshot().Configuration.Version).To(gomega.Equal(uint64(2)))
}

// Engines whose entries lapsed are drained with their zone as the others are.
func TestLapsedEnginesOfADrainedZoneAreNotUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	objects := fakeMirror{"engines": {"a", "b", "c"}, "drains": nil}
	f := drainFacts(objects, time.Second)
	objects["engines"], objects["drains"] = nil, []string{"b"}
	f.read("engines")
	g.Expect(f.usableOnes()).To(gomega.Equal([]string{"a", "c"}))
}

// How far a drain is: what this node has under way there, and that it is drained.
func TestDrainedZonesAreShownWithWhatIsUnderWay(t *testing.T) {
	g := gomega.NewWithT(t)
	objects := fakeMirror{"engines": {"a"}, "drains": nil}
	c := &core{facts: drainFacts(objects, time.Second)}
	c.balancer = balance.New(c.facts.Snapshot)
	leases := c.balancer.AcquireMany([]balance.Wish{{Service: "s", Class: balance.ClassBatch}, {Service: "s", Class: balance.ClassBatch}}, 0)
	g.Expect(leases).To(gomega.HaveLen(2))
	g.Expect(gathered(g, c)).To(gomega.BeEmpty())
	objects["drains"] = []string{"a", "empty"}
	c.facts.read("drains")
	leases[0].Release()
	g.Expect(gathered(g, c)).To(gomega.Equal(map[string]float64{
		"chutelock_zone_drained": 2, "chutelock_drained_zone_requests": 1,
	}))
	g.Expect(byZone(c.facts.drainedZones(), c.balancer.OwnByZone(c.facts.drainedZones()))).To(gomega.Equal("a: 0 online, 1 batch; empty: 0 online, 0 batch"))
}

// gathered sums each of the metrics up.
func gathered(g *gomega.WithT, c *core) map[string]float64 {
	registry := prometheus.NewRegistry()
	registry.MustRegister(drainMetrics{c})
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

func TestDrainsAreToldAtGrowingDistances(t *testing.T) {
	g := gomega.NewWithT(t)
	var watch drainWatch
	start := time.Unix(1000, 0)
	var told []int
	for second := range 200 {
		underWay := 1
		if second < 3 || second >= 150 {
			underWay = 0
		}
		if watch.due(underWay, start.Add(time.Duration(second)*time.Second)) {
			told = append(told, second)
		}
	}
	g.Expect(told).To(gomega.Equal([]int{3, 4, 6, 10, 18, 34, 66, 98, 130, 150}))
}
