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

// placementCluster simulates shards and front nodes that submit jobs. Calls may be lost,
// unanswered or delayed past their caller's retry.
type placementCluster struct {
	shards       map[ledger.ShardID]*singleReplica
	versions     []map[string]catalog.Regions // by route; the newest is last
	fronts       []int                        // configuration version of each
	submissions  []*submission
	delayed      []placementCall
	acknowledged map[string]bool
}

// singleReplica applies entries immediately.
type singleReplica struct {
	machine *Machine
	store   memoryStore
	index   uint64
}

type submission struct {
	*placement
	front int
}

const (
	clusterQueueBound = 40 // tokens of a queue
	clusterJobs       = 6
)

var clusterRegions = []string{"north", "south", "west"}

func newPlacementCluster() *placementCluster {
	c := &placementCluster{
		shards: map[ledger.ShardID]*singleReplica{}, fronts: make([]int, 3), acknowledged: map[string]bool{},
		versions: []map[string]catalog.Regions{{"r": nil, "other": nil}},
	}
	for _, id := range append([]ledger.ShardID{0}, shardsOf(clusterRegions)...) {
		c.shards[id] = &singleReplica{machine: NewMachine(), store: memoryStore{}}
	}
	return c
}

func shardsOf(regions []string) []ledger.ShardID { return RegionPolicy{Regions: regions}.shards() }

// clusterJob returns a job of one or two items of 10 tokens each.
func clusterJob(number int, route string) *Job {
	job := testJob(fmt.Sprint("j", number), 1+number%2, clusterQueueBound)
	job.Route, job.Tenant = route, "t"
	return job
}

// within returns the regions known to a front node.
func (c *placementCluster) policy(front int, job *Job) RegionPolicy {
	version := c.fronts[front]
	policy := RegionPolicy{Regions: c.versions[version][job.Route], Version: uint64(version)}
	if len(policy.Regions) > 0 {
		policy.Preferred = policy.Regions[(front+version)%len(policy.Regions)] // front nodes may differ
	}
	return policy
}

func (c *placementCluster) apply(t *rapid.T, call placementCall) ([]byte, error) {
	at := c.shards[call.shard]
	at.index++
	var entry []byte
	switch call.kind {
	case kindSubmit:
		entry = encodeCommand(commandSubmit, call.payload)
	case kindPlace:
		entry = encodeCommand(commandPlace, call.payload)
	case kindClaim:
		entry = encodeCommand(commandClaim, call.payload)
	case kindFence:
		entry = encodeCommand(commandFence, call.payload)
	}
	answer, err := at.machine.Apply(at.store, at.index, entry)
	if err != nil {
		t.Fatal(err)
	}
	return decodeAnswer(answer)
}

// makeCall makes the next call of a submission with the given fate.
func (c *placementCluster) makeCall(t *rapid.T, run *submission, fate string) {
	within := c.policy(run.front, run.job)
	next, err := run.nextCall(within)
	if err != nil {
		if len(within.Regions) > 0 || within.Regions == nil {
			t.Fatalf("%s: rejected although a region could keep it", run.job.ID)
		}
		c.drop(run)
		return
	}
	if next.body && !within.allows(next.shard) {
		t.Fatalf("%s: body sent to shard %x, allowed regions are %v", run.job.ID, next.shard, within.Regions)
	}
	if next.body && within.Regions != nil && !next.shard.Regional() {
		t.Fatalf("%s: body sent to shard 0, allowed regions are %v", run.job.ID, within.Regions)
	}
	switch fate {
	case "lost":
		return
	case "late":
		c.delayed = append(c.delayed, next)
		return
	}
	content, err := c.apply(t, next)
	if fate == "unanswered" || errors.Is(err, ErrOutdated) {
		return
	}
	done, outcome := run.handleAnswer(content, err)
	if !done {
		return
	}
	c.drop(run)
	switch {
	case outcome == nil:
		c.acknowledged[run.job.ID] = true
	case errors.Is(outcome, ErrQueueFull):
		if c.acknowledged[run.job.ID] {
			t.Fatalf("%s: an acknowledged job was rejected when resubmitted", run.job.ID)
		}
	default:
		t.Fatalf("%s: %v", run.job.ID, outcome)
	}
}

func (c *placementCluster) drop(run *submission) {
	for i, other := range c.submissions {
		if other == run {
			c.submissions = append(c.submissions[:i], c.submissions[i+1:]...)
			return
		}
	}
}

// check verifies that no job is stored twice, that acknowledged jobs are stored and can be
// located, and that queue bounds hold.
func (c *placementCluster) check(t *rapid.T) {
	queued := map[queue]int64{}
	for number := range clusterJobs {
		job := fmt.Sprint("j", number)
		var at []ledger.ShardID
		for id, shard := range c.shards {
			if shard.machine.jobs[job] != nil {
				at = append(at, id)
			}
		}
		if len(at) > 1 {
			t.Fatalf("%s is stored more than once, at shards %x", job, at)
		}
		if c.acknowledged[job] && len(at) == 0 {
			t.Fatalf("%s was acknowledged but is not stored", job)
		}
		if len(at) == 0 {
			continue
		}
		found, elsewhere := c.shards[0].machine.locate(jobName{job, "t"})
		if elsewhere && found != at[0] || !elsewhere && at[0] != 0 {
			t.Fatalf("%s is at shard %x but located at %x", job, at[0], found)
		}
	}
	for _, shard := range c.shards {
		for of, tokens := range shard.machine.queued {
			queued[of] += tokens
		}
	}
	for of, tokens := range queued {
		if tokens > clusterQueueBound {
			t.Fatalf("%d tokens queued in %v, the bound is %d", tokens, of, clusterQueueBound)
		}
	}
}

func (c *placementCluster) shardIDs() []ledger.ShardID {
	var ids []ledger.ShardID
	for id := range c.shards {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// deliverAndResubmit delivers delayed calls and resubmits each acknowledged job at each
// front node, with the newest version; all must find the job.
func (c *placementCluster) deliverAndResubmit(t *rapid.T) {
	for _, call := range c.delayed {
		_, _ = c.apply(t, call)
	}
	c.delayed, c.submissions = nil, nil
	c.versions = append(c.versions, map[string]catalog.Regions{"r": {"north", "west"}, "other": {"south"}})
	for front := range c.fronts {
		c.fronts[front] = len(c.versions) - 1
	}
	c.check(t)
	for number := range clusterJobs {
		for front := range c.fronts {
			if !c.acknowledged[fmt.Sprint("j", number)] {
				continue
			}
			run := &submission{newPlacement(clusterJob(number, "r")), front}
			c.submissions = []*submission{run}
			for calls := 0; len(c.submissions) > 0; calls++ {
				if calls > 10 {
					t.Fatalf("j%d: placement has not ended after %d calls", number, calls)
				}
				c.makeCall(t, run, "done")
			}
		}
	}
	c.check(t)
}

// A resubmitted job must find its record although regions change and answers are lost;
// bodies go only to shards that the sender's configuration permits, and queue bounds hold.
func TestPlacementKeepsJobOnceWithinRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newPlacementCluster()
		pickRun := func(t *rapid.T) *submission {
			if len(c.submissions) == 0 {
				t.Skip("no submission in progress")
			}
			return rapid.SampledFrom(c.submissions).Draw(t, "run")
		}
		t.Repeat(map[string]func(*rapid.T){
			"": c.check,
			"change regions": func(t *rapid.T) {
				next := map[string]catalog.Regions{}
				for _, route := range []string{"r", "other"} {
					next[route] = rapid.SampledFrom([]catalog.Regions{
						nil, {"north"}, {"south"}, {"west", "north"}, {"north", "south", "west"}, {},
					}).Draw(t, "regions")
				}
				c.versions = append(c.versions, next)
			},
			"learn": func(t *rapid.T) {
				front := rapid.IntRange(0, len(c.fronts)-1).Draw(t, "front")
				c.fronts[front] = rapid.IntRange(c.fronts[front], len(c.versions)-1).Draw(t, "version")
			},
			"submit": func(t *rapid.T) {
				number := rapid.IntRange(0, clusterJobs-1).Draw(t, "job")
				route := "r"
				if number >= clusterJobs-2 {
					route = rapid.SampledFrom([]string{"r", "other"}).Draw(t, "route")
				}
				front := rapid.IntRange(0, len(c.fronts)-1).Draw(t, "front")
				c.submissions = append(c.submissions, &submission{newPlacement(clusterJob(number, route)), front})
			},
			"call": func(t *rapid.T) { c.makeCall(t, pickRun(t), "done") },
			"call on": func(t *rapid.T) {
				run := pickRun(t)
				for range 4 {
					if len(c.submissions) > 0 {
						c.makeCall(t, run, "done")
					}
					if !inProgress(c.submissions, run) {
						return
					}
				}
			},
			"fail": func(t *rapid.T) {
				c.makeCall(t, pickRun(t), rapid.SampledFrom([]string{"lost", "late", "unanswered"}).Draw(t, "fate"))
			},
			"give up": func(t *rapid.T) { c.drop(pickRun(t)) },
			"deliver": func(t *rapid.T) {
				if len(c.delayed) == 0 {
					t.Skip("no delayed call")
				}
				at := rapid.IntRange(0, len(c.delayed)-1).Draw(t, "message")
				_, _ = c.apply(t, c.delayed[at])
				c.delayed = append(c.delayed[:at], c.delayed[at+1:]...)
			},
			"end": func(t *rapid.T) {
				id := rapid.SampledFrom(c.shardIDs()).Draw(t, "shard")
				name := jobName{fmt.Sprint("j", rapid.IntRange(0, clusterJobs-1).Draw(t, "job")), "t"}
				c.shards[id].index++
				_, _ = c.shards[id].machine.Apply(c.shards[id].store, c.shards[id].index, encodeEnd(name, submitted))
			},
			"restart": func(t *rapid.T) {
				shard := c.shards[rapid.SampledFrom(c.shardIDs()).Draw(t, "shard")]
				shard.machine = NewMachine()
				if err := shard.machine.Reload(shard.store); err != nil {
					t.Fatal(err)
				}
			},
		})
		c.deliverAndResubmit(t)
	})
}

func inProgress(submissions []*submission, run *submission) bool {
	for _, other := range submissions {
		if other == run {
			return true
		}
	}
	return false
}

// Claims and fences are deleted only once expired, and not if they were renewed meanwhile.
func TestForgetDeletesOnlyExpiredRecords(t *testing.T) {
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
	list[0].at++ // it was renewed meanwhile
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

// Messages of regional shards must be distinct from those of shard 0.
func TestWrapForShardRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	kind, payload := wrapForShard(0, kindRead, []byte("x"))
	g.Expect(kind).To(gomega.Equal(kindRead))
	g.Expect(payload).To(gomega.Equal([]byte("x")))
	kind, payload = wrapForShard(ledger.RegionShard("north"), kindRead, []byte("x"))
	g.Expect(kind).To(gomega.Equal(kindForShard))
	to, inner, err := unwrapForShard(payload)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(to).To(gomega.Equal(shardKind{ledger.RegionShard("north"), kindRead}))
	g.Expect(inner).To(gomega.Equal([]byte("x")))
	_, _, err = unwrapForShard([]byte{commandVersion, 1})
	g.Expect(err).To(gomega.HaveOccurred())
	var _ transport.Kind = kind
}

// claimAt applies a claim of job a at an index, with a version that allows one region.
func claimAt(g *gomega.WithT, m *Machine, index uint64, region string, version uint64, change func(*claimRequest)) (claimAnswer, error) {
	shard := ledger.RegionShard(region)
	request := claimRequest{job: "a", queue: queue{"r", "t"}, version: version, allowed: []ledger.ShardID{shard}, preferred: shard}
	if change != nil {
		change(&request)
	}
	encoded, err := m.Apply(memoryStore{}, index, encodeCommand(commandClaim, request.marshal()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	content, err := decodeAnswer(encoded)
	if err != nil {
		return claimAnswer{}, err
	}
	answer, err := unmarshalClaimAnswer(content)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return answer, nil
}

// A denial doesn't count once the shard was claimed again: a job may still be on its way
// there.
func TestClaimIgnoresOutdatedVacate(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMachine()
	north, south := ledger.RegionShard("north"), ledger.RegionShard("south")
	_, _ = claimAt(g, m, 1, "north", 1, nil)
	first, _ := claimAt(g, m, 2, "south", 2, nil)
	g.Expect(first).To(gomega.Equal(claimAnswer{vacate: true, shard: north, epoch: 2, formerHomes: []ledger.ShardID{}}))
	again, _ := claimAt(g, m, 3, "north", 3, nil)
	g.Expect(again.shard).To(gomega.Equal(north))
	vacated := func(epoch uint64) func(*claimRequest) {
		return func(r *claimRequest) { r.vacated, r.vacatedEpoch = north, epoch }
	}
	old, _ := claimAt(g, m, 4, "south", 4, vacated(first.epoch))
	g.Expect(old.vacate).To(gomega.BeTrue())
	moved, _ := claimAt(g, m, 5, "south", 4, vacated(old.epoch))
	g.Expect(moved.vacate).To(gomega.BeFalse())
	g.Expect(moved.shard).To(gomega.Equal(south))
}

// A node with an older configuration must not move a queue back.
func TestClaimRejectsOlderConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMachine()
	_, _ = claimAt(g, m, 1, "north", 1, nil)
	_, _ = claimAt(g, m, 2, "south", 2, nil)
	_, err := claimAt(g, m, 3, "north", 1, nil)
	g.Expect(err).To(gomega.MatchError(ErrOutdated))
	answer, err := claimAt(g, m, 4, "south", 1, func(r *claimRequest) { r.job = "b" })
	g.Expect(err).NotTo(gomega.HaveOccurred(), "a home that both versions allow stays")
	g.Expect(answer.shard).To(gomega.Equal(ledger.RegionShard("south")))
}
