package balance

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/catalog"
)

func scoredEngines(slots int, scores ...float64) []scoredEngine {
	var engines []scoredEngine
	for i, score := range scores {
		engines = append(engines, scoredEngine{engine: catalog.Engine{ID: string(rune('a' + i)), Slots: slots}, score: score})
	}
	return engines
}

// chances returns how often each engine is picked, of 1,000 even draws.
func chances(engines []scoredEngine, requests float64) map[string]int {
	counts := map[string]int{}
	for i := range 1000 {
		counts[pick(engines, requests, float64(i)/1000).ID]++
	}
	return counts
}

func TestASingleRequestGoesToTheLeastLoadedEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(chances(scoredEngines(8, 0.5, 0.25, 0.75), 1)).To(gomega.Equal(map[string]int{"b": 1000}))
	g.Expect(chances(scoredEngines(8, 0.5, 0.5), 1)).To(gomega.Equal(map[string]int{"a": 500, "b": 500}))
}

// Eight requests by the same figures fill the empty engine first, but not with
// all of them.
func TestManyRequestsFillTheEnginesEvenly(t *testing.T) {
	g := gomega.NewWithT(t)
	counts := chances(scoredEngines(8, 0, 0.5, 0.25, 2), 9)
	// The common level is 0.625: 5 requests, 1 and 3.
	g.Expect(counts["a"]).To(gomega.BeNumerically("~", 556, 1))
	g.Expect(counts["b"]).To(gomega.BeNumerically("~", 111, 1))
	g.Expect(counts["c"]).To(gomega.BeNumerically("~", 333, 1))
	g.Expect(counts).NotTo(gomega.HaveKey("d"), "it has more than the others will have")
}

// The level holds exactly the requests: no more, no fewer.
func TestTheLevelHoldsTheRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := scoredEngines(rapid.IntRange(0, 20).Draw(t, "slots"),
			rapid.SliceOfN(rapid.Float64Range(-1, 3), 1, 30).Draw(t, "scores")...)
		requests := rapid.Float64Range(1, 500).Draw(t, "requests")
		pick(engines, requests, 0)
		level, filled := fill(engines, requests)
		sum := 0.0
		for i, one := range engines {
			if i < filled {
				sum += (level - one.score) * float64(max(one.engine.Slots, 1))
			} else if one.score < level {
				t.Fatalf("an engine of score %v isn't filled up to %v", one.score, level)
			}
		}
		if sum < requests-1e-6 || sum > requests+1e-6 {
			t.Fatalf("%v requests below the level, not %v", sum, requests)
		}
	})
}

// 40 requests of others that take 0.8 s each are 50 new ones a second, 4 of them
// within the age of the sums.
func TestUnheardRequestsFollowFromThoseUnderWay(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	for range 200 {
		table.Took(800 * time.Millisecond)
	}
	a, b := KeyOf("a"), KeyOf("b")
	table.PeerLoad("p", Report{a: {Counts: Counts{30, 9}}, b: {Counts: Counts{5, 0}}}, start)
	table.PeerLoad("p", Report{a: {Counts: Counts{10, 9}}, b: {Counts: Counts{10, 0}}}, start)
	table.PeerLoad("q", Report{a: {Counts: Counts{20, 0}}}, start)
	online := func() int { return table.peersOnline("a") + table.peersOnline("b") }
	g.Expect(table.unheard(online(), 80*time.Millisecond)).To(gomega.BeNumerically("~", 4, 0.01), "not those of batch work")
	g.Expect(table.unheard(online(), time.Hour)).To(gomega.BeNumerically("~", 8, 0.01), "no older than two reports")
	table.expire(start.Add(2 * peerLife))
	g.Expect(table.unheard(online(), 80*time.Millisecond)).To(gomega.BeZero(), "silent peers don't count")
}

// Engines of the own zone are known to the millisecond; those of other zones are
// shared with requests that weren't heard of yet.
func TestTheOwnZoneIsLeftOnlyWhereItIsFuller(t *testing.T) {
	g := gomega.NewWithT(t)
	near := group{engines: scoredEngines(8, 0.25, 0.75), unheard: 0.1}
	far := group{engines: scoredEngines(8, 0.2, 0.2), unheard: 4}
	g.Expect(pickGroup(near, far).unheard).To(gomega.Equal(0.1))
	near.engines = scoredEngines(8, 1, 1)
	g.Expect(pickGroup(near, far).unheard).To(gomega.Equal(4.0))
	g.Expect(pickGroup(group{}, far).unheard).To(gomega.Equal(4.0))
	g.Expect(pickGroup(near, group{}).unheard).To(gomega.Equal(0.1))
	chosen := map[string]int{}
	for i := range 100 {
		chosen[pickGroup(group{engines: scoredEngines(8, 0.25, 0.75), unheard: 0.1}, group{}).pick(float64(i)/100).ID]++
	}
	g.Expect(chosen).To(gomega.Equal(map[string]int{"a": 100}), "the idlest, not one of many by chance")
}
