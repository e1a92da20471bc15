package quota

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Many nodes that get a request of a tenant at times must not add up to a large demand.
func TestRoundDemandKeepsMean(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	total := 0.0
	const nodes, demand = 10_000, 0.15
	for range nodes {
		counts := Counts{1: {Admitted: 0.5, Demand: demand}, 2: {Demand: 7}}
		counts.RoundDemand(random.Float64)
		decoded, err := unmarshalCounts(counts.marshal(maxCounts))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(decoded[1].Admitted).To(gomega.Equal(0.5))
		g.Expect(decoded[2].Demand).To(gomega.Equal(7.0))
		total += decoded[1].Demand
	}
	deviation := math.Sqrt(nodes * demand * (1 - demand))
	g.Expect(total).To(gomega.BeNumerically("~", nodes*demand, 4*deviation))
}

// Tenants without limits must be reported by what they ask for, and never take the place of
// tenants with limits in a full message.
func TestDemandOfUnlimitedTenants(t *testing.T) {
	g := gomega.NewWithT(t)
	limiter := NewLimiter(bounds)
	limiter.Report(1, "relay", start)
	limiter.ReceiveSum("relay", Sum{}, start)
	for key := range Key(maxCounts) {
		g.Expect(limiter.Check(1000+key, Limit{Rate: 100, Burst: 100}, false, start, rand.Float64).Verdict).To(gomega.Equal(Admitted))
		for range key + 1 {
			limiter.AddDemand(key, start)
		}
	}
	asking, _ := limiter.Asking(start)
	g.Expect(asking[9].Own).To(gomega.BeNumerically("~", 20, 1e-9))
	g.Expect(asking[9].Others).To(gomega.BeZero())
	counts := limiter.ownCounts(start)
	g.Expect(counts).To(gomega.HaveLen(2 * maxCounts))
	counts.KeepLargest(0)
	g.Expect(counts).To(gomega.HaveLen(maxCounts))
	for key := range counts {
		g.Expect(key).To(gomega.BeNumerically(">=", 1000))
	}
	unlimited := Counts{}
	for key := range Key(maxCounts + 10) {
		unlimited[key] = Count{Demand: float64(key)}
	}
	unlimited.KeepLargest(0)
	g.Expect(unlimited).To(gomega.HaveLen(maxCounts))
	g.Expect(unlimited).To(gomega.HaveKey(Key(maxCounts + 9)))
}

// Demands of tenants without limits must not push out the reserve in use or the remembered counts
// of others, which share the message.
func TestDemandLeavesSpaceForSecondList(t *testing.T) {
	g := gomega.NewWithT(t)
	sum := Sum{Counts: Counts{}, InReserve: Counts{}}
	for key := range Key(100) {
		sum.Counts[key] = Count{Admitted: 5, Demand: 5}
		sum.Counts[1000+key] = Count{Demand: float64(key)}
		if key < 40 {
			sum.InReserve[key] = Count{Admitted: 2}
		}
	}
	sum.Counts.KeepLargest(len(sum.InReserve))
	decoded, err := UnmarshalSum(sum.Marshal())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded.InReserve).To(gomega.HaveLen(40))
	g.Expect(decoded.Counts).To(gomega.HaveLen(120))
	for key := range Key(100) {
		g.Expect(decoded.Counts).To(gomega.HaveKey(key))
	}
	g.Expect(decoded.Counts).To(gomega.HaveKey(Key(1099)))
}

// What other nodes are asked for must come with its age, also before the first sum.
func TestAskingOfOtherNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	limiter := NewLimiter(bounds)
	_, age := limiter.Asking(start)
	g.Expect(age).To(gomega.BeNumerically(">", time.Hour))
	limiter.Report(1, "relay", start)
	limiter.ReceiveSum("relay", Sum{Counts: Counts{3: {Admitted: 4, Demand: 12}}}, start)
	asking, age := limiter.Asking(start.Add(300 * time.Millisecond))
	g.Expect(age).To(gomega.Equal(300 * time.Millisecond))
	g.Expect(asking).To(gomega.Equal(map[Key]Asking{3: {Others: 12}}))
}

// A meter must follow rates and forget tenants that stopped.
func TestMeter(t *testing.T) {
	g := gomega.NewWithT(t)
	var meter Meter
	now := start
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		meter.Add(1, now)
	}
	g.Expect(meter.Rate(1, now)).To(gomega.BeNumerically("~", 100, 2))
	g.Expect(meter.Rate(2, now)).To(gomega.BeZero())
	meter.Forget(now)
	g.Expect(meter.rates).To(gomega.HaveLen(1))
	meter.Forget(now.Add(10 * time.Second))
	g.Expect(meter.rates).To(gomega.BeEmpty())
}
