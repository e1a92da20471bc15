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
	table.PeerLoad("p", Report{1: {Counts: Counts{30, 9}}, 2: {Counts: Counts{5, 0}}}, start)
	table.PeerLoad("p", Report{1: {Counts: Counts{10, 9}}, 2: {Counts: Counts{10, 0}}}, start)
	table.PeerLoad("q", Report{1: {Counts: Counts{20, 0}}}, start)
	g.Expect(table.unheard(ClassOnline)).To(gomega.BeNumerically("~", 4, 0.01))
	g.Expect(table.unheard(ClassBatch)).To(gomega.BeZero(), "one node runs it all")
	table.expire(start.Add(2 * peerLife))
	g.Expect(table.unheard(ClassOnline)).To(gomega.BeZero(), "silent peers don't count")
}
