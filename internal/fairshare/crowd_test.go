package fairshare

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/quota"
)

// playAllWays adds plays of the ways that were weighed and are not in use, for their figures.
var playAllWays = flag.Bool("ways", false, "play all ways of sharing")

// crowd is all traffic at 2.5 times the usual, and the largest tenant at 12 times that.
func crowd(tenant int, since time.Duration) float64 {
	switch {
	case since < playWarmUp || since >= playWarmUp+playCrowd:
		return 1
	case tenant == 0:
		return 2.5 * 12
	}
	return 2.5
}

// crowdLoad is the usual load at which all tenants but the hot one fit in the crowd: they are
// 0.83 of all traffic, so they ask for 0.75 of the capacity.
const crowdLoad = 0.36

func others(tenant int) bool { return tenant != 0 }

// playCrowdWith plays a crowd. prepare may be nil.
func playCrowdWith(t *testing.T, w way, load float64, seed uint64, prepare func(*player)) *player {
	t.Helper()
	p := newPlayer(w, load, seed)
	p.factor = crowd
	if prepare != nil {
		prepare(p)
	}
	p.play()
	total := p.sum(others)
	t.Logf("load %.2f, %v: in time %.3f of the others' requests (worst tenth of tenants %.3f), %.3f of the hot tenant's; others %+v, hot %+v; served %.2f of the capacity, %d bytes of counts",
		load, w, total.share(), p.worstTenth(), p.outcomes[0].share(), total, p.outcomes[0], float64(p.served)/p.capacity/playCrowd.Seconds(), p.bytes)
	return p
}

// Tenants within their share must be served while the sum of them fits, whatever one tenant
// asks for.
func TestTenantsWithinTheirShareAreServed(t *testing.T) {
	ways := []way{noShares, weightedShares}
	if *playAllWays {
		ways = []way{noShares, equalShares, weightedShares, sharesByZone}
	}
	t.Parallel()
	var bytes [sharesByZone + 1]int
	t.Run("play", func(t *testing.T) {
		for _, w := range ways {
			t.Run(w.String(), func(t *testing.T) {
				t.Parallel()
				p := playCrowdWith(t, w, crowdLoad, 1, nil)
				bytes[w] = p.bytes
				switch g := gomega.NewWithT(t); w {
				case weightedShares:
					g.Expect(p.sum(others).share()).To(gomega.BeNumerically(">=", 0.95))
				case noShares:
					g.Expect(p.sum(others).share()).To(gomega.BeNumerically("<", 0.95), "this load needs no shares")
				}
			})
		}
	})
	gomega.NewWithT(t).Expect(float64(bytes[weightedShares])).To(gomega.BeNumerically("<=", 1.1*float64(bytes[noShares])))
}

// Where the sum of all doesn't fit, tenants must get room by weight, not by what they ask for,
// and the engines must stay busy.
func TestRoomIsSharedWhereNothingFits(t *testing.T) {
	t.Parallel()
	if *playAllWays {
		playCrowdWith(t, noShares, 0.8, 1, nil)
	}
	g := gomega.NewWithT(t)
	p := playCrowdWith(t, weightedShares, 0.8, 1, nil)
	hot, rest := p.outcomes[0].inTime, p.sum(others).inTime
	weights := 0.0
	for _, usual := range p.usual {
		weights += usual
	}
	g.Expect(float64(hot) / float64(hot+rest)).To(gomega.BeNumerically("~", p.usual[0]/weights, 0.1))
	g.Expect(float64(p.served)).To(gomega.BeNumerically(">=", 0.9*p.capacity*playCrowd.Seconds()))
}

// Where all requests fit, no share may refuse any, also not of a tenant that asks for many times
// its usual.
func TestNoShareRefusesWhileThereIsRoom(t *testing.T) {
	for _, c := range []struct {
		load, most float64 // of the usual: of all tenants together, and the factor in the crowd
	}{{0.34, 2.5}, {0.15, 30}} {
		t.Run(fmt.Sprint(c.load), func(t *testing.T) {
			t.Parallel()
			p := newPlayer(weightedShares, c.load, 1)
			p.factor = func(tenant int, since time.Duration) float64 { return min(c.most, crowd(tenant, since)) }
			p.play()
			t.Logf("%+v: %d refused, %+v", c, p.refused, p.sum(func(int) bool { return true }))
			gomega.NewWithT(t).Expect(p.refused).To(gomega.BeZero())
		})
	}
}

// While a zone's counts are lost, or a part of all, tenants within their share must be served.
func TestSharesWithLostCounts(t *testing.T) {
	for name, prepare := range map[string]func(*player){
		"a fifth of the messages lost": func(p *player) { p.lossRate = 0.2 },
		"relay lost for 1 s": func(p *player) {
			setCutOff := func(cutOff bool) func() {
				return func() {
					for _, front := range p.fronts {
						front.cutOff = cutOff && front.zone == 0
					}
					p.relays[0] = quota.NewCollector("0", playBounds.Window, p.random.Uint32())
				}
			}
			p.After(playWarmUp+time.Second, setCutOff(true))
			p.After(playWarmUp+2*time.Second, setCutOff(false))
		},
		"front nodes restarted": func(p *player) {
			p.After(playWarmUp+time.Second, func() {
				for _, front := range p.fronts[:playFronts/3] {
					front.limiter, front.gate = quota.NewLimiter(playBounds), &Gate{}
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := playCrowdWith(t, weightedShares, crowdLoad, 1, prepare)
			gomega.NewWithT(t).Expect(p.sum(others).share()).To(gomega.BeNumerically(">=", 0.95))
		})
	}
}
