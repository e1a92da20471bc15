package quota

import (
	"fmt"
	"testing"
	"time"
)

// Growth at one relay of a zone must not keep reducing the counts of the other relay, or
// every node sees only a part of a rising load and the limit is exceeded.
func TestLimitHoldsWithTwoRelaysPerZone(t *testing.T) {
	limit := Limit{Rate: 125, Burst: 125}
	for _, test := range []struct {
		baseRate, peakRate float64
		lateShares         bool
	}{
		{0, 156, false}, {0, 625, false}, {0, 1560, false}, {78, 156, false}, {78, 625, false}, {78, 1560, false},
		{0, 625, true}, {78, 625, true},
	} {
		t.Run(fmt.Sprint(test.baseRate, " a second, then ", test.peakRate, ", shares late: ", test.lateShares), func(t *testing.T) {
			for seed := range uint64(4) {
				f := newFleet(seed, 51, 3, limit)
				f.addSecondRelays()
				f.lateShares = test.lateShares
				f.run(6*time.Second, map[Key]float64{1: test.baseRate, 2: 62})
				f.run(8*time.Second, map[Key]float64{1: test.peakRate, 2: 62})
				if highest := f.maxInWindow(1); float64(highest) > bounds.maxTolerated(limit) {
					t.Errorf("seed %d: worst window %d, bound %v", seed, highest, bounds.maxTolerated(limit))
				}
				if f.refused[2] > 0 {
					t.Errorf("seed %d: refused %d requests of a tenant at half of its limit", seed, f.refused[2])
				}
			}
		})
	}
}

// addSecondRelays gives each zone a second data node that half of its front nodes report to.
func (f *fleet) addSecondRelays() {
	for zone := range f.zones {
		f.addRelay(zone)
	}
	for i, front := range f.fronts {
		if i%2 == 0 {
			front.relay += f.zones
		}
	}
}

// While shares are late, nodes must allow for the growth at others, or a sudden rise of
// the load exceeds the limit.
func TestLimitHoldsWithLateShares(t *testing.T) {
	limit := Limit{Rate: 125, Burst: 125}
	for _, baseRate := range []float64{0, 78} {
		for seed := range uint64(4) {
			f := newFleet(seed, 51, 3, limit)
			f.addSecondRelays()
			f.lateShares = true
			f.run(6*time.Second, map[Key]float64{1: baseRate})
			f.run(8*time.Second, map[Key]float64{1: 1560})
			if highest := f.maxInWindow(1); float64(highest) > bounds.maxTolerated(limit) {
				t.Errorf("%v requests a second before, seed %d: worst window %d, bound %v", baseRate, seed, highest, bounds.maxTolerated(limit))
			}
		}
	}
}
