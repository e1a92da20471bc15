package batchwork

import (
	"errors"
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/transport"
)

// placingWorld is the shards of a ledger and front nodes that place jobs at them. Calls
// may be lost, done without an answer, or done long after their caller went on.
type placingWorld struct {
	shards   map[ledger.ShardID]*soleReplica
	versions []map[string]catalog.Regions // by route; the newest is the last
	fronts   []int                        // the version that each goes by
	under    []*placingRun
	late     []order
	kept     map[string]bool // acknowledged
}

// soleReplica applies entries as they come.
type soleReplica struct {
	machine *Machine
	store   memoryStore
	index   uint64
}

type placingRun struct {
	*placing
	front int
}

const (
	worldBound = 40 // tokens of a queue
	worldJobs  = 6
)

var worldRegions = []string{"north", "south", "west"}

func newPlacingWorld() *placingWorld {
	w := &placingWorld{
		shards: map[ledger.ShardID]*soleReplica{}, fronts: make([]int, 3), kept: map[string]bool{},
		versions: []map[string]catalog.Regions{{"r": nil, "other": nil}},
	}
	for _, id := range append([]ledger.ShardID{0}, shardsOf(worldRegions)...) {
		w.shards[id] = &soleReplica{machine: NewMachine(), store: memoryStore{}}
	}
	return w
}

func shardsOf(regions []string) []ledger.ShardID { return Within{Regions: regions}.shards() }

// worldJob is a job of 1 or 2 items of 10 tokens; the last two may come by another route.
func worldJob(number int, route string) *Job {
	job := testJob(fmt.Sprint("j", number), 1+number%2, worldBound)
	job.Route, job.Tenant = route, "t"
	return job
}

// within is what a front node goes by.
func (w *placingWorld) within(front int, job *Job) Within {
	version := w.fronts[front]
	within := Within{Regions: w.versions[version][job.Route], Version: uint64(version)}
	if len(within.Regions) > 0 {
		within.Preferred = within.Regions[(front+version)%len(within.Regions)] // fronts need not agree
	}
	return within
}

func (w *placingWorld) apply(t *rapid.T, made order) ([]byte, error) {
	at := w.shards[made.shard]
	at.index++
	var entry []byte
	switch made.kind {
	case kindSubmit:
		entry = encodeCommand(commandSubmit, made.payload)
	case kindPlace:
		entry = encodeCommand(commandPlace, made.payload)
	case kindClaim:
		entry = encodeCommand(commandClaim, made.payload)
	case kindFence:
		entry = encodeCommand(commandFence, made.payload)
	}
	answer, err := at.machine.Apply(at.store, at.index, entry)
	if err != nil {
		t.Fatal(err)
	}
	return readAnswer(answer)
}

// step makes the next call of a placing, of which fate says what becomes.
func (w *placingWorld) step(t *rapid.T, run *placingRun, fate string) {
	within := w.within(run.front, run.job)
	next, err := run.next(within)
	if err != nil {
		if len(within.Regions) > 0 || within.Regions == nil {
			t.Fatalf("%s: refused though a region could keep it", run.job.ID)
		}
		w.drop(run)
		return
	}
	if next.body && !within.allows(next.shard) {
		t.Fatalf("%s: the body goes to shard %x, allowed are %v", run.job.ID, next.shard, within.Regions)
	}
	if next.body && within.Regions != nil && !next.shard.Regional() {
		t.Fatalf("%s: the body goes to all regions, allowed are %v", run.job.ID, within.Regions)
	}
	switch fate {
	case "lost":
		return
	case "late":
		w.late = append(w.late, next)
		return
	}
	content, err := w.apply(t, next)
	if fate == "unanswered" || errors.Is(err, ErrOutdated) {
		return
	}
	done, outcome := run.take(content, err)
	if !done {
		return
	}
	w.drop(run)
	switch {
	case outcome == nil:
		w.kept[run.job.ID] = true
	case errors.Is(outcome, ErrQueueFull):
		if w.kept[run.job.ID] {
			t.Fatalf("%s: a job that is kept was refused when it was sent again", run.job.ID)
		}
	default:
		t.Fatalf("%s: %v", run.job.ID, outcome)
	}
}

func (w *placingWorld) drop(run *placingRun) {
	for i, one := range w.under {
		if one == run {
			w.under = append(w.under[:i], w.under[i+1:]...)
			return
		}
	}
}

// check compares all shards with what was promised.
func (w *placingWorld) check(t *rapid.T) {
	queued := map[queue]int64{}
	for number := range worldJobs {
		job := fmt.Sprint("j", number)
		var at []ledger.ShardID
		for id, shard := range w.shards {
			if shard.machine.jobs[job] != nil {
				at = append(at, id)
			}
		}
		if len(at) > 1 {
			t.Fatalf("%s is kept twice, at %x", job, at)
		}
		if w.kept[job] && len(at) == 0 {
			t.Fatalf("%s was acknowledged and isn't kept", job)
		}
		if len(at) == 0 {
			continue
		}
		found, away := w.shards[0].machine.locate(jobName{job, "t"})
		if away && found != at[0] || !away && at[0] != 0 {
			t.Fatalf("%s is at shard %x, and looked for at %x", job, at[0], found)
		}
	}
	for _, shard := range w.shards {
		for of, tokens := range shard.machine.queued {
			queued[of] += tokens
		}
	}
	for of, tokens := range queued {
		if tokens > worldBound {
			t.Fatalf("%d tokens of %v wait, the bound is %d", tokens, of, worldBound)
		}
	}
}

func (w *placingWorld) shardIDs() []ledger.ShardID {
	var ids []ledger.ShardID
	for id := range w.shards {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// settle delivers what is late and sends each kept job again, by the newest version, at
// each front node; all of them are to find it.
func (w *placingWorld) settle(t *rapid.T) {
	for _, made := range w.late {
		_, _ = w.apply(t, made)
	}
	w.late, w.under = nil, nil
	w.versions = append(w.versions, map[string]catalog.Regions{"r": {"north", "west"}, "other": {"south"}})
	for front := range w.fronts {
		w.fronts[front] = len(w.versions) - 1
	}
	w.check(t)
	for number := range worldJobs {
		for front := range w.fronts {
			if !w.kept[fmt.Sprint("j", number)] {
				continue
			}
			run := &placingRun{newPlacing(worldJob(number, "r")), front}
			w.under = []*placingRun{run}
			for calls := 0; len(w.under) > 0; calls++ {
				if calls > 10 {
					t.Fatalf("j%d: no end after %d calls", number, calls)
				}
				w.step(t, run, "done")
			}
		}
	}
	w.check(t)
}

// A job that is sent again, at any front node, finds its own record, though regions
// change and answers are lost; it is kept once, its bodies go only where the sender's
// newest configuration allows, and no queue gets more tokens than its bound.
func TestAJobIsKeptOnceWithinItsRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newPlacingWorld()
		pickRun := func(t *rapid.T) *placingRun {
			if len(w.under) == 0 {
				t.Skip("no submission is under way")
			}
			return rapid.SampledFrom(w.under).Draw(t, "run")
		}
		t.Repeat(map[string]func(*rapid.T){
			"": w.check,
			"change regions": func(t *rapid.T) {
				next := map[string]catalog.Regions{}
				for _, route := range []string{"r", "other"} {
					next[route] = rapid.SampledFrom([]catalog.Regions{
						nil, {"north"}, {"south"}, {"west", "north"}, {"north", "south", "west"}, {},
					}).Draw(t, "regions")
				}
				w.versions = append(w.versions, next)
			},
			"learn": func(t *rapid.T) {
				front := rapid.IntRange(0, len(w.fronts)-1).Draw(t, "front")
				w.fronts[front] = rapid.IntRange(w.fronts[front], len(w.versions)-1).Draw(t, "version")
			},
			"submit": func(t *rapid.T) {
				number := rapid.IntRange(0, worldJobs-1).Draw(t, "job")
				route := "r"
				if number >= worldJobs-2 {
					route = rapid.SampledFrom([]string{"r", "other"}).Draw(t, "route")
				}
				front := rapid.IntRange(0, len(w.fronts)-1).Draw(t, "front")
				w.under = append(w.under, &placingRun{newPlacing(worldJob(number, route)), front})
			},
			"call": func(t *rapid.T) { w.step(t, pickRun(t), "done") },
			"call on": func(t *rapid.T) {
				run := pickRun(t)
				for range 4 {
					if len(w.under) > 0 {
						w.step(t, run, "done")
					}
					if !underWay(w.under, run) {
						return
					}
				}
			},
			"fail": func(t *rapid.T) {
				w.step(t, pickRun(t), rapid.SampledFrom([]string{"lost", "late", "unanswered"}).Draw(t, "fate"))
			},
			"give up": func(t *rapid.T) { w.drop(pickRun(t)) },
			"deliver": func(t *rapid.T) {
				if len(w.late) == 0 {
					t.Skip("nothing is late")
				}
				at := rapid.IntRange(0, len(w.late)-1).Draw(t, "message")
				_, _ = w.apply(t, w.late[at])
				w.late = append(w.late[:at], w.late[at+1:]...)
			},
			"end": func(t *rapid.T) {
				id := rapid.SampledFrom(w.shardIDs()).Draw(t, "shard")
				name := jobName{fmt.Sprint("j", rapid.IntRange(0, worldJobs-1).Draw(t, "job")), "t"}
				w.shards[id].index++
				_, _ = w.shards[id].machine.Apply(w.shards[id].store, w.shards[id].index, encodeEnd(name, submitted))
			},
			"restart": func(t *rapid.T) {
				shard := w.shards[rapid.SampledFrom(w.shardIDs()).Draw(t, "shard")]
				shard.machine = NewMachine()
				if err := shard.machine.Reload(shard.store); err != nil {
					t.Fatal(err)
				}
			},
		})
		w.settle(t)
	})
}

func underWay(under []*placingRun, run *placingRun) bool {
	for _, one := range under {
		if one == run {
			return true
		}
	}
	return false
}

// Claims go once their job can't be kept any more, and homes with their last claim.
func TestClaimsAndFencesAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	north := ledger.RegionShard("north")
	claimed := claimRequest{job: "a", queue: queue{"r", "t"}, retention: time.Minute, allowed: []ledger.ShardID{north}, preferred: north}
	apply(g, m, store, encodeCommand(commandClaim, claimed.marshal()))
	apply(g, m, store, encodeCommand(commandFence, fenceRequest{epoch: 7, job: "b"}.marshal()))
	now := time.Now()
	g.Expect(m.forgettable(now, time.Hour)).To(gomega.BeEmpty())
	later := now.Add(2*time.Hour + 3*time.Minute)
	list := m.forgettable(later, time.Hour)
	g.Expect(list).To(gomega.HaveLen(2))
	list[0].at++ // it was claimed again meanwhile
	apply(g, m, store, encodeForget(list, later))
	g.Expect(m.claims).To(gomega.HaveLen(1))
	g.Expect(m.homes).To(gomega.HaveLen(1))
	g.Expect(m.fences).To(gomega.BeEmpty())
	m = NewMachine()
	g.Expect(m.Reload(store)).To(gomega.Succeed())
	apply(g, m, store, encodeForget(m.forgettable(later, time.Hour), later))
	g.Expect(m.claims).To(gomega.BeEmpty())
	g.Expect(m.homes).To(gomega.BeEmpty())
	g.Expect(store).To(gomega.BeEmpty())
}

// What is for a region's shard is told apart from what is for shard 0.
func TestMessagesNameTheirShard(t *testing.T) {
	g := gomega.NewWithT(t)
	kind, payload := addressed(0, kindRead, []byte("x"))
	g.Expect(kind).To(gomega.Equal(kindRead))
	g.Expect(payload).To(gomega.Equal([]byte("x")))
	kind, payload = addressed(ledger.RegionShard("north"), kindRead, []byte("x"))
	g.Expect(kind).To(gomega.Equal(kindForShard))
	to, inner, err := unwrap(payload)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(to).To(gomega.Equal(shardKind{ledger.RegionShard("north"), kindRead}))
	g.Expect(inner).To(gomega.Equal([]byte("x")))
	_, _, err = unwrap([]byte{commandVersion, 1})
	g.Expect(err).To(gomega.HaveOccurred())
	var _ transport.Kind = kind
}

// claimAt applies a claim of job a at an index, by a version that allows one region.
func claimAt(g *gomega.WithT, m *Machine, index uint64, region string, version uint64, change func(*claimRequest)) (claimAnswer, error) {
	shard := ledger.RegionShard(region)
	request := claimRequest{job: "a", queue: queue{"r", "t"}, version: version, allowed: []ledger.ShardID{shard}, preferred: shard}
	if change != nil {
		change(&request)
	}
	encoded, err := m.Apply(memoryStore{}, index, encodeCommand(commandClaim, request.marshal()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	content, err := readAnswer(encoded)
	if err != nil {
		return claimAnswer{}, err
	}
	answer, err := unmarshalClaimAnswer(content)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return answer, nil
}

// A shard that said that it hasn't got a job, but was claimed again since, has to be
// asked again: what was claimed last may still be on its way to it.
func TestAnOldDenialDoesNotMoveAJob(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMachine()
	north, south := ledger.RegionShard("north"), ledger.RegionShard("south")
	_, _ = claimAt(g, m, 1, "north", 1, nil)
	first, _ := claimAt(g, m, 2, "south", 2, nil)
	g.Expect(first).To(gomega.Equal(claimAnswer{vacate: true, shard: north, epoch: 2, formers: []ledger.ShardID{}}))
	again, _ := claimAt(g, m, 3, "north", 3, nil)
	g.Expect(again.shard).To(gomega.Equal(north))
	denied := func(epoch uint64) func(*claimRequest) {
		return func(r *claimRequest) { r.vacated, r.vacatedEpoch = north, epoch }
	}
	old, _ := claimAt(g, m, 4, "south", 4, denied(first.epoch))
	g.Expect(old.vacate).To(gomega.BeTrue())
	moved, _ := claimAt(g, m, 5, "south", 4, denied(old.epoch))
	g.Expect(moved.vacate).To(gomega.BeFalse())
	g.Expect(moved.shard).To(gomega.Equal(south))
}

// A node that is behind moves no queue back.
func TestANewerConfigurationsHomeStays(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMachine()
	_, _ = claimAt(g, m, 1, "north", 1, nil)
	_, _ = claimAt(g, m, 2, "south", 2, nil)
	_, err := claimAt(g, m, 3, "north", 1, nil)
	g.Expect(err).To(gomega.MatchError(ErrOutdated))
	stays, err := claimAt(g, m, 4, "south", 1, func(r *claimRequest) { r.job = "b" })
	g.Expect(err).NotTo(gomega.HaveOccurred(), "what both allow is as good")
	g.Expect(stays.shard).To(gomega.Equal(ledger.RegionShard("south")))
}
