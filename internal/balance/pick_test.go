package balance

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/catalog"
)

func newScoredEngines(slots int, scores ...float64) []scoredEngine {
	var engines []scoredEngine
	for i, score := range scores {
		engines = append(engines, scoredEngine{engine: catalog.Engine{ID: string(rune('a' + i)), Slots: slots}, score: score})
	}
	return engines
}

// pickCounts returns how often each engine is picked in 1,000 evenly spaced draws.
func pickCounts(engines []scoredEngine, requests float64) map[string]int {
	counts := map[string]int{}
	for i := range 1000 {
		counts[pick(engines, requests, float64(i)/1000).ID]++
	}
	return counts
}

func TestPickSingleRequestTakesLeastLoaded(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(pickCounts(newScoredEngines(8, 0.5, 0.25, 0.75), 1)).To(gomega.Equal(map[string]int{"b": 1000}))
	g.Expect(pickCounts(newScoredEngines(8, 0.5, 0.5), 1)).To(gomega.Equal(map[string]int{"a": 500, "b": 500}))
}

// Concurrent requests must fill the engines to a common level, not all go to the idlest one.
func TestPickSpreadsConcurrentRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	counts := pickCounts(newScoredEngines(8, 0, 0.5, 0.25, 2), 9)
	// The common level is 0.625: 5 requests, 1 and 3.
	g.Expect(counts["a"]).To(gomega.BeNumerically("~", 556, 1))
	g.Expect(counts["b"]).To(gomega.BeNumerically("~", 111, 1))
	g.Expect(counts["c"]).To(gomega.BeNumerically("~", 333, 1))
	g.Expect(counts).NotTo(gomega.HaveKey("d"), "its score is above the fill level")
}

// The requests below the fill level must add up to the number given.
func TestFillLevelHoldsAllRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := newScoredEngines(rapid.IntRange(0, 20).Draw(t, "slots"),
			rapid.SliceOfN(rapid.Float64Range(-1, 3), 1, 30).Draw(t, "scores")...)
		requests := rapid.Float64Range(1, 500).Draw(t, "requests")
		pick(engines, requests, 0)
		level, filled := fillLevel(engines, requests)
		sum := 0.0
		for i, scored := range engines {
			if i < filled {
				sum += (level - scored.score) * float64(max(scored.engine.Slots, 1))
			} else if scored.score < level {
				t.Fatalf("engine with score %v is not filled up to level %v", scored.score, level)
			}
		}
		if sum < requests-1e-6 || sum > requests+1e-6 {
			t.Fatalf("%v requests below the level, want %v", sum, requests)
		}
	})
}

// 40 requests of peers that take 0.8 s each arrive at 50 a second, so 4 arrive within 80 ms.
func TestUnreportedFollowsLittlesLaw(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	for range 200 {
		table.RecordResidence(800 * time.Millisecond)
	}
	a, b := KeyOf("a"), KeyOf("b")
	table.SetPeerLoad("p", Report{a: {Counts: Counts{30, 9}}, b: {Counts: Counts{5, 0}}}, start)
	table.SetPeerLoad("p", Report{a: {Counts: Counts{10, 9}}, b: {Counts: Counts{10, 0}}}, start)
	table.SetPeerLoad("q", Report{a: {Counts: Counts{20, 0}}}, start)
	online := func() int { return table.peersOnline("a") + table.peersOnline("b") }
	g.Expect(table.unreported(online(), 80*time.Millisecond)).To(gomega.BeNumerically("~", 4, 0.01), "without batch requests")
	g.Expect(table.unreported(online(), time.Hour)).To(gomega.BeNumerically("~", 8, 0.01), "the age is bounded")
	table.expire(start.Add(2 * peerTTL))
	g.Expect(table.unreported(online(), 80*time.Millisecond)).To(gomega.BeZero(), "peer reports have expired")
}

// The own zone must be left only if its fill level exceeds that of other zones, unreported
// requests included.
func TestPickGroupLeavesZoneOnlyWhenFuller(t *testing.T) {
	g := gomega.NewWithT(t)
	near := group{engines: newScoredEngines(8, 0.25, 0.75), unreported: 0.1}
	far := group{engines: newScoredEngines(8, 0.2, 0.2), unreported: 4}
	g.Expect(pickGroup(near, far).unreported).To(gomega.Equal(0.1))
	near.engines = newScoredEngines(8, 1, 1)
	g.Expect(pickGroup(near, far).unreported).To(gomega.Equal(4.0))
	g.Expect(pickGroup(group{}, far).unreported).To(gomega.Equal(4.0))
	g.Expect(pickGroup(near, group{}).unreported).To(gomega.Equal(0.1))
	chosen := map[string]int{}
	for i := range 100 {
		chosen[pickGroup(group{engines: newScoredEngines(8, 0.25, 0.75), unreported: 0.1}, group{}).pick(float64(i)/100).ID]++
	}
	g.Expect(chosen).To(gomega.Equal(map[string]int{"a": 100}), "always the idlest engine")
}
