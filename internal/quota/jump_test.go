package quota

import (
	"testing"
	"time"
)

// jump is a tenant's load that rises to many times its limit.
type jump struct {
	limit Limit
	// base and peak are the load before and after, in parts of the limit's rate.
	base, peak float64
}

var jumps = []jump{
	{Limit{81, 81}, 0.5, 20}, {Limit{81, 81}, 0.9, 20}, {Limit{99, 99}, 0.5, 20}, {Limit{99, 99}, 0.9, 12},
	{Limit{125, 125}, 0.5, 20}, {Limit{125, 125}, 0.9, 20},
}

// worstExcess plays a jump with several seeds and returns the maximum number of requests
// in a window, as part of what is tolerated.
func (j jump) worstExcess(prepare func(*fleet)) float64 {
	worst := 0.0
	for seed := range uint64(4) {
		f := newFleet(seed, 51, 3, j.limit)
		prepare(f)
		f.run(2*time.Second, map[Key]float64{1: j.limit.Rate * j.base})
		f.run(2*time.Second, map[Key]float64{1: j.limit.Rate * j.peak})
		worst = max(worst, float64(f.maxInWindow(1))/bounds.maxTolerated(j.limit))
	}
	return worst
}

// Guards against admitting too many requests of a tenant that jumps to many times its
// limit, before nodes hear of each other's counts.
func TestLimitHoldsWhenLoadJumps(t *testing.T) {
	for _, j := range jumps {
		for _, lossRate := range []float64{0, 0.05} {
			if worst := j.worstExcess(func(f *fleet) { f.lossRate = lossRate }); worst > 1 {
				t.Errorf("%+v, %v of datagrams lost: worst window is %.3f of the bound", j, lossRate, worst)
			}
		}
	}
}

// Guards against the same where each zone has two relays that send every second share only.
func TestLimitHoldsWhenLoadJumpsAndSharesAreLate(t *testing.T) {
	for _, j := range jumps {
		worst := j.worstExcess(func(f *fleet) {
			f.addSecondRelays()
			f.lateShares = true
		})
		if worst > 1 {
			t.Errorf("%+v: worst window is %.3f of the bound", j, worst)
		}
	}
}

// Guards against the same with a limit of less than a request a second and node.
func TestSmallLimitHoldsWhenLoadJumps(t *testing.T) {
	for _, j := range []jump{{Limit{30, 0}, 0.5, 20}, {Limit{30, 30}, 0.5, 20}, {Limit{30, 30}, 0.9, 20}, {Limit{99, 0}, 0.5, 20}} {
		if worst := j.worstExcess(func(*fleet) {}); worst > 1 {
			t.Errorf("%+v: worst window is %.3f of the bound", j, worst)
		}
	}
}
