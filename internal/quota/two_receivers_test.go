package quota

import (
	"fmt"
	"testing"
	"time"
)

// The front nodes of each zone report to two data nodes, as after some of them were cut off
// or started anew. A tenant that goes over to many times its usual is let through up to 1112
// times in 5 s, of 845 that are allowed.
func TestALimitHoldsWhereAZoneReportsToTwoDataNodes(t *testing.T) {
	limit := Limit{Rate: 125, Burst: 125}
	for _, usual := range []float64{0, 78} {
		for _, asked := range []float64{156, 625, 1560} {
			t.Run(fmt.Sprint(usual, " a second, then ", asked), func(t *testing.T) {
				for seed := range uint64(4) {
					f := newFleet(seed, 51, 3, limit)
					f.splitReceivers()
					f.play(6*time.Second, map[Key]float64{1: usual, 2: 62})
					f.play(8*time.Second, map[Key]float64{1: asked, 2: 62})
					if worst := f.worst(1); float64(worst) > bounds.broken(limit) {
						t.Errorf("seed %d: worst window %d, bound %v", seed, worst, bounds.broken(limit))
					}
					if f.refused[2] > 0 {
						t.Errorf("seed %d: refused %d of a tenant at half of its limit", seed, f.refused[2])
					}
				}
			})
		}
	}
}

// splitReceivers gives each zone a second data node, which half of its front nodes report to.
func (f *fleet) splitReceivers() {
	for zone := range f.zones {
		f.addRelay(zone)
	}
	for i, front := range f.fronts {
		if i%2 == 0 {
			front.relay += f.zones
		}
	}
}
