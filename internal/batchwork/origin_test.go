package batchwork

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/upstream"
	"chutelock.dev/chutelock/internal/wire"
)

var (
	versionOne = catalog.Release{Service: "s", Version: "1"}
	versionTwo = catalog.Release{Service: "s", Version: "2"}
)

// resultText returns the text of the first item of job a.
func resultText(g *gomega.WithT, m *Machine, store memoryStore) string {
	result, _, err := m.readResult(store, "a", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	text, err := decompress(result.Compressed)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return string(text)
}

func TestTextOfOtherReleaseIsNotAppended(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	apply(g, m, store, encodeSubmit(testJob("a", 1, 0)))
	advance := func(u itemUpdate) {
		u.job = "a"
		apply(g, m, store, encodeAdvance([]itemUpdate{u}, submitted))
	}
	advance(itemUpdate{to: 2, origin: newTextOrigin(versionOne, 0), text: []byte("1\n2")})
	advance(itemUpdate{from: 2, to: 3, origin: newTextOrigin(versionTwo, 0), text: []byte("x")})
	g.Expect(resultText(g, m, store)).To(gomega.Equal("1\n2"))
	advance(itemUpdate{from: 2, to: 2, origin: newTextOrigin(versionTwo, 0), failures: 1})
	item, _ := m.item("a", 0)
	g.Expect(item.failures).To(gomega.BeEquivalentTo(1), "a failure at an engine of another release counts")
	g.Expect(item.origin.value()).To(gomega.Equal(versionOne))
	advance(itemUpdate{from: 2, to: 3, origin: newTextOrigin(versionOne, 0), text: []byte("3"), state: StateSucceeded})
	g.Expect(resultText(g, m, store)).To(gomega.Equal("1\n2\n3"))
}

func TestTextOfRunThatStartedOverReplacesItemText(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	apply(g, m, store, encodeSubmit(testJob("a", 2, 0)))
	advance := func(u itemUpdate) {
		u.job = "a"
		apply(g, m, store, encodeAdvance([]itemUpdate{u}, submitted))
	}
	advance(itemUpdate{index: 1, to: 1, origin: newTextOrigin(versionOne, 0), text: []byte("other")})
	advance(itemUpdate{to: 2, origin: newTextOrigin(versionOne, 0), text: []byte("1\n2")})
	advance(itemUpdate{from: 2, to: 3, origin: newTextOrigin(versionOne, 0), text: []byte("3")})
	advance(itemUpdate{from: 3, to: 3, fresh: true, origin: newTextOrigin(versionTwo, 0), text: []byte("a\nb\nc")})
	g.Expect(resultText(g, m, store)).To(gomega.Equal("a\nb\nc"))
	// The text ends at the same event as the one before.
	advance(itemUpdate{from: 3, to: 4, origin: newTextOrigin(versionOne, 0), text: []byte("4")})
	advance(itemUpdate{from: 3, to: 4, origin: newTextOrigin(versionTwo, 0), text: []byte("4")})
	g.Expect(resultText(g, m, store)).To(gomega.Equal("a\nb\nc"))
	m = NewMachine()
	g.Expect(m.Reload(store)).To(gomega.Succeed())
	advance(itemUpdate{from: 3, to: 4, origin: newTextOrigin(versionTwo, 0), text: []byte("4")})
	g.Expect(resultText(g, m, store)).To(gomega.Equal("a\nb\nc"), "restarts are kept")
	advance(itemUpdate{from: 3, to: 4, origin: newTextOrigin(versionTwo, 1), text: []byte("d"), state: StateSucceeded})
	g.Expect(resultText(g, m, store)).To(gomega.Equal("a\nb\nc\nd"))
	result, _, err := m.readResult(store, "a", 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decompress(result.Compressed)).To(gomega.BeEquivalentTo("other"), "another item's text stays")
	advance(itemUpdate{index: 1, from: 1, to: 1, origin: newTextOrigin(versionOne, 0), state: StateDead})
	apply(g, m, store, encodePurge([]string{"a"}, submitted))
	g.Expect(store).To(gomega.BeEmpty())
}

// Updates of older nodes don't tell their release, and older replicas take them as they come.
func TestUpdateOfOlderNodeIsApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	apply(g, m, store, encodeSubmit(testJob("a", 1, 0)))
	apply(g, m, store, encodeAdvance([]itemUpdate{{job: "a", to: 1, origin: newTextOrigin(versionOne, 0), text: []byte("1")}}, submitted))
	apply(g, m, store, encodeAdvance([]itemUpdate{{job: "a", from: 1, to: 2, text: []byte("2")}}, submitted))
	item, _ := m.item("a", 0)
	g.Expect(item.lastEvent).To(gomega.BeEquivalentTo(2))
	g.Expect(item.origin.known()).To(gomega.BeFalse(), "the next run starts over")
}

func TestRunRequestOfOlderLeaderIsDecoded(t *testing.T) {
	g := gomega.NewWithT(t)
	request := runRequest{
		engine: catalog.Engine{ID: "e", Service: "s", Version: "2", Address: "10.0.0.1:1"}, origin: newTextOrigin(versionTwo, 3), startsOver: true,
		item: openItem{job: "a", lastEvent: 7}, read: Item{ID: "a-0", Path: "/x"},
	}
	encoded := request.marshal(submitted)
	read, err := unmarshalRun(encoded, submitted)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(read.origin).To(gomega.Equal(request.origin))
	g.Expect(read.startsOver).To(gomega.BeTrue())
	g.Expect(read.engine.Release()).To(gomega.Equal(versionTwo))
	var fixed fixedRun
	fields, err := unmarshal(encoded, &fixed, -1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, count := range []int{runFields, runFields + 1} {
		read, err = unmarshalRun(marshal(fixed, fields[:count]...), submitted)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(read.startsOver).To(gomega.BeFalse())
		run := &itemRun{item: read.item, engine: read.engine, origin: read.origin, committed: 7, last: 8, text: []byte("8")}
		var update fixedUpdate
		_, err = wire.Unmarshal(encodeUpdate(run.nextUpdate(StateOpen, 0)), commandVersion, &update, updateFields)
		g.Expect(err).NotTo(gomega.HaveOccurred(), "an older leader decodes the run's updates")
	}
	_, err = unmarshalRun(marshal(fixed, append(fields, nil)...), submitted)
	g.Expect(err).To(gomega.MatchError(wire.ErrLength))
}

// newRunnerOfReleases leads a shard with one item whose text, of 100 events, version 1 began, and
// returns the engines, one of each version. setLoad fills an engine with online requests.
func newRunnerOfReleases(g *gomega.WithT, versions ...string) (runner *Runner, setLoad func(engine string, online int)) {
	shard := &failingShard{machine: NewMachine(), store: memoryStore{}}
	job := testJob("a", 1, 0)
	job.Submitted, job.Completion, job.Retention = time.Now(), time.Hour, time.Hour
	apply(g, shard.machine, shard.store, encodeSubmit(job))
	apply(g, shard.machine, shard.store, encodeAdvance([]itemUpdate{{job: "a", to: 100, origin: newTextOrigin(versionOne, 0), text: []byte("x")}}, submitted))
	var engines []catalog.Engine
	for _, version := range versions {
		engines = append(engines, catalog.Engine{ID: "e" + version, Service: "s", Version: version, Address: "127.0.0.1:1", Slots: 10})
	}
	snapshot := catalog.NewSnapshot(nil, engines)
	route := &catalog.Route{Name: "r", Kind: catalog.KindBatch, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}
	runner = NewRunner(RunnerOptions{
		Shard: shard, Machine: shard.machine, Pool: upstream.NewPool(nil), Balancer: balance.New(func() *catalog.Snapshot { return snapshot }),
		Route: func(_, _ string) *catalog.Route { return route }, Usable: func(_, _ string) bool { return false },
	})
	loads := balance.Report{}
	setLoad = func(engine string, online int) {
		loads[balance.KeyOf(engine)] = balance.Load{Counts: balance.Counts{balance.ClassOnline: online}}
		report := balance.Report{}
		report.Add(loads)
		runner.options.Balancer.SetPeerLoad("front", report)
	}
	return runner, setLoad
}

// startAt plans at a time and returns the engine where the item starts; empty if it doesn't.
func startAt(r *Runner, now time.Time) string {
	started := r.startOpen(context.Background(), r.options.Machine.openItems(), now)
	if len(started) == 0 {
		return ""
	}
	return started[0].engine.ID
}

func TestItemWaitsForReleaseOfItsText(t *testing.T) {
	g := gomega.NewWithT(t)
	runner, setLoad := newRunnerOfReleases(g, "1", "2")
	textTime := runner.itemEstimator.textTime(runner.options.Machine.openItems()[0])
	g.Expect(textTime).To(gomega.BeNumerically(">", minReleaseWait))
	now := time.Now()
	setLoad("e1", 10)
	g.Expect(startAt(runner, now)).To(gomega.BeEmpty())
	g.Expect(startAt(runner, now.Add(textTime))).To(gomega.BeEmpty())
	setLoad("e1", 2)
	g.Expect(startAt(runner, now.Add(textTime))).To(gomega.Equal("e1"))
}

func TestItemStartsOverOnceWaitingCostsMore(t *testing.T) {
	g := gomega.NewWithT(t)
	runner, setLoad := newRunnerOfReleases(g, "1", "2")
	item := runner.options.Machine.openItems()[0]
	textTime := runner.itemEstimator.textTime(item)
	now := time.Now()
	planFor := func(duration time.Duration, reason string) {
		for end := now.Add(duration); now.Before(end); now = now.Add(planInterval) {
			g.Expect(startAt(runner, now)).To(gomega.BeEmpty(), reason)
		}
	}
	setLoad("e1", 10)
	setLoad("e2", 10)
	planFor(3*textTime, "no room anywhere")
	setLoad("e2", 2)
	planFor(textTime, "the item waits only for its release, and not for long")
	now = now.Add(planInterval)
	g.Expect(startAt(runner, now)).To(gomega.Equal("e2"))
	g.Expect(item.mustStartOver(catalog.Engine{Service: "s", Version: "2"})).To(gomega.BeTrue())
}

// Guards against an item that runs again and again at the last engine of its release, which is gone
// though its entry isn't.
func TestItemStartsOverWhenRunsAtItsReleaseMakeNoProgress(t *testing.T) {
	g := gomega.NewWithT(t)
	runner, _ := newRunnerOfReleases(g, "1", "2")
	textTime := runner.itemEstimator.textTime(runner.options.Machine.openItems()[0])
	now := time.Now()
	run := func() string {
		now = now.Add(planInterval)
		started := runner.startOpen(context.Background(), runner.options.Machine.openItems(), now)
		g.Expect(started).To(gomega.HaveLen(1))
		runner.reportOutcome(started[0].engine, runResult{engine: engineFailed, cause: "gone"})
		runner.forgetPreviousEngine(itemKey{"a", 0})
		started[0].lease.Release()
		runner.finishRun(started[0], 0)
		return started[0].engine.ID
	}
	begun := now
	g.Expect(run()).To(gomega.Equal("e1"))
	for now.Sub(begun) < textTime {
		run()
	}
	run()
	g.Expect(run()).To(gomega.Equal("e2"))
}

func TestItemStartsOverAtOnceWithoutEngineOfItsRelease(t *testing.T) {
	g := gomega.NewWithT(t)
	runner, _ := newRunnerOfReleases(g, "2")
	g.Expect(startAt(runner, time.Now())).To(gomega.Equal("e2"))
}

func TestItemWithoutTextStartsAnywhere(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, origin := range []textOrigin{{}, newTextOrigin(versionOne, 0)} {
		item := openItem{origin: origin}
		g.Expect(item.mustStartOver(catalog.Engine{Service: "s", Version: "2"})).To(gomega.BeFalse())
	}
	unknown := openItem{lastEvent: 1}
	g.Expect(unknown.mustStartOver(catalog.Engine{Service: "s", Version: "2"})).To(gomega.BeTrue(), "what began the text is unknown")
}

// Guards against a wait that is kept for an item whose job ended while it waited.
func TestWaitOfEndedItemIsForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	runner, setLoad := newRunnerOfReleases(g, "1", "2")
	setLoad("e1", 10)
	g.Expect(startAt(runner, time.Now())).To(gomega.BeEmpty())
	runner.cancelEnded()
	g.Expect(runner.releaseWaits).To(gomega.HaveLen(1))
	shard := runner.options.Shard.(*failingShard)
	apply(g, shard.machine, shard.store, encodeEnd(jobName{job: "a"}, submitted))
	runner.cancelEnded()
	g.Expect(runner.releaseWaits).To(gomega.BeEmpty())
}
