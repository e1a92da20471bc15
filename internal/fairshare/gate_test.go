package fairshare

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/quota"
)

// fullRoom is a fleet whose engines end 100 requests a second and are just filled.
var fullRoom = balance.FleetOccupancy{
	Services: map[string]balance.Occupancy{"s": {Slots: 100, Online: 95}, "idle": {}}, MeanHold: time.Second,
}

func asks(weight, others float64) Tenant { return Tenant{weight, quota.Asking{Others: others}} }

// refusedPart returns the part of a tenant's requests that is refused.
func refusedPart(g *Gate, key quota.Key, now time.Time, services ...string) float64 {
	refused := 0
	for i := range 1000 {
		if g.Decide(key, services, now, float64(i)/1000).Refused {
			refused++
		}
	}
	return float64(refused) / 1000
}

// Only what exceeds a tenant's share may be refused.
func TestGateRefusesExcess(t *testing.T) {
	g := gomega.NewWithT(t)
	var gate Gate
	gate.Update(map[quota.Key]Tenant{1: asks(1, 40), 2: asks(1, 400), 3: asks(0.5, 2)}, 0, fullRoom, playStart)
	g.Expect(gate.State(playStart)).To(gomega.Equal(State{Capacity: 100, Demand: 442, OverShare: 1}))
	g.Expect(refusedPart(&gate, 1, playStart, "s")).To(gomega.BeZero())
	g.Expect(refusedPart(&gate, 3, playStart, "s")).To(gomega.BeZero())
	g.Expect(refusedPart(&gate, 2, playStart, "s")).To(gomega.BeNumerically("~", 1-58.0/380, 0.01))
	decision := gate.Decide(2, []string{"s"}, playStart, 0.99)
	g.Expect(decision.Share).To(gomega.BeNumerically("~", 58, 1e-9))
	g.Expect(decision.Demand).To(gomega.Equal(400.0))
	g.Expect(decision.Earliest).To(gomega.BeTemporally(">", playStart))
	g.Expect(decision.Earliest).To(gomega.BeTemporally("<=", playStart.Add(maxReturn)))
}

// A service with room, or one that isn't known, must get all requests.
func TestGateAdmitsWhereThereIsRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	var gate Gate
	room := balance.FleetOccupancy{Services: map[string]balance.Occupancy{"s": {Slots: 100, Online: 100}, "free": {Slots: 10, Online: 2}}, MeanHold: time.Second}
	gate.Update(map[quota.Key]Tenant{1: asks(1, 1000)}, 0, room, playStart)
	g.Expect(refusedPart(&gate, 1, playStart, "s")).To(gomega.BeNumerically(">", 0.8))
	g.Expect(refusedPart(&gate, 1, playStart, "free")).To(gomega.BeZero())
	g.Expect(refusedPart(&gate, 1, playStart, "s", "free")).To(gomega.BeZero())
	g.Expect(refusedPart(&gate, 1, playStart, "unknown")).To(gomega.BeZero())
}

// An idle service must not count for several times its rate, as requests for a full one can't use
// it.
func TestGateWithIdleService(t *testing.T) {
	g := gomega.NewWithT(t)
	var gate Gate
	room := balance.FleetOccupancy{Services: map[string]balance.Occupancy{"s": {Slots: 100, Online: 95}, "idle": {Slots: 100}}, MeanHold: time.Second}
	gate.Update(map[quota.Key]Tenant{1: asks(1, 1000)}, 0, room, playStart)
	g.Expect(gate.State(playStart).Capacity).To(gomega.BeNumerically("~", 275, 1e-9))
	g.Expect(refusedPart(&gate, 1, playStart, "s")).To(gomega.BeNumerically(">", 0.7))
}

// A node that is cut off, was restarted or stands still must not refuse by old figures.
func TestGateAdmitsByStaleFigures(t *testing.T) {
	g := gomega.NewWithT(t)
	tenants := map[quota.Key]Tenant{1: asks(1, 1000)}
	var gate Gate
	g.Expect(refusedPart(&gate, 1, playStart, "s")).To(gomega.BeZero(), "without figures")
	gate.Update(tenants, maxAge+time.Millisecond, fullRoom, playStart)
	g.Expect(refusedPart(&gate, 1, playStart, "s")).To(gomega.BeZero(), "old counts")
	old := fullRoom
	old.Age = maxAge + time.Millisecond
	gate.Update(tenants, 0, old, playStart)
	g.Expect(refusedPart(&gate, 1, playStart, "s")).To(gomega.BeZero(), "old load")
	gate.Update(tenants, maxAge, fullRoom, playStart)
	g.Expect(refusedPart(&gate, 1, playStart, "s")).To(gomega.BeNumerically(">", 0.8))
	g.Expect(refusedPart(&gate, 1, playStart.Add(2*maxAge), "s")).To(gomega.BeZero(), "no update")
	g.Expect(gate.State(playStart.Add(maxAge)).OverShare).To(gomega.Equal(1))
	g.Expect(gate.State(playStart.Add(2*maxAge))).To(gomega.Equal(State{}), "gauges at rest")
}

// Malformed weights and rates must disturb no other tenant.
func TestGateWithMalformedFigures(t *testing.T) {
	g := gomega.NewWithT(t)
	var gate Gate
	gate.Update(map[quota.Key]Tenant{
		1: asks(math.NaN(), 500), 2: asks(-3, 500), 3: asks(math.Inf(1), 500), 4: asks(1, 20), 5: asks(1, math.NaN()), 6: asks(1, -7), 7: asks(1, math.Inf(1)),
	}, 0, fullRoom, playStart)
	g.Expect(gate.State(playStart).Demand).To(gomega.Equal(1520.0))
	g.Expect(refusedPart(&gate, 4, playStart, "s")).To(gomega.BeZero())
	for key := quota.Key(1); key <= 3; key++ {
		g.Expect(gate.excess[key].share).To(gomega.BeNumerically("~", 80.0/3, 1e-9))
	}
	gate.Update(map[quota.Key]Tenant{1: asks(math.MaxFloat64, 500), 2: asks(math.MaxFloat64, 500), 3: asks(1e-300, 500)}, 0, fullRoom, playStart)
	g.Expect(gate.excess[1].share).To(gomega.BeNumerically("~", 50, 1e-9))
	gate.Update(map[quota.Key]Tenant{1: asks(1, 500)}, 0, balance.FleetOccupancy{Services: map[string]balance.Occupancy{"s": {}}}, playStart)
	g.Expect(gate.State(playStart).Capacity).To(gomega.BeZero())
}

// What a tenant's limit refuses must not count as asked for room.
func TestGateCountsWhatLimitsAdmit(t *testing.T) {
	g := gomega.NewWithT(t)
	var gate Gate
	now := playStart
	for range 300 { // 50 a second pass
		now = now.Add(20 * time.Millisecond)
		gate.Count(1, now)
	}
	gate.Update(map[quota.Key]Tenant{1: {1, quota.Asking{Own: 100, Others: 300}}, 2: asks(1, 10)}, 0, fullRoom, now)
	g.Expect(gate.State(now).Demand).To(gomega.BeNumerically("~", 210, 10))
	g.Expect(gate.excess[1].share).To(gomega.BeNumerically("~", 90, 1e-9))
}

// Engines that the node's catalog doesn't have must count as room, too.
func TestGateWithPartOfTheEngines(t *testing.T) {
	g := gomega.NewWithT(t)
	var gate Gate
	room := fullRoom
	room.Unlisted = 95
	gate.Update(map[quota.Key]Tenant{1: asks(1, 190)}, 0, room, playStart)
	g.Expect(gate.State(playStart)).To(gomega.Equal(State{Capacity: 200, Demand: 190}))
}

// A request that comes after a pause, and that an update is made for, must count as admitted by
// its tenant's limit.
func TestGateCountsTheRequestItUpdatesFor(t *testing.T) {
	g := gomega.NewWithT(t)
	var gate Gate
	gate.Count(1, playStart)
	gate.Update(map[quota.Key]Tenant{1: {1, quota.Asking{Own: 2, Others: 300}}}, 0, fullRoom, playStart)
	g.Expect(gate.State(playStart)).To(gomega.Equal(State{Capacity: 100, Demand: 302, OverShare: 1}))
}
