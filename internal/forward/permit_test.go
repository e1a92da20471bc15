package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/upstream"
)

// An engine found to be cold before or after connecting must get nothing without a permit,
// and must not be ejected for it.
func TestForwarderSkipsEngineTurnedColdBeforeSend(t *testing.T) {
	for _, test := range []struct {
		coldAtCheck int // number of the Usable call that finds the engine cold
		opened      int64
	}{{1, 1}, {2, 2}} {
		g := gomega.NewWithT(t)
		var near, far atomic.Int32
		warm := []catalog.Engine{countingEngine(t, "near", "z1", &near), countingEngine(t, "far", "z2", &far)}
		cold := append([]catalog.Engine{}, warm...)
		cold[0].PacedUntil = time.Now().Add(time.Hour)
		snapshot := catalog.NewSnapshot(nil, warm)
		balancer := balance.New(func() *catalog.Snapshot { return snapshot })
		balancer.Permit = func(context.Context, balance.PermitRequest) balance.Permission {
			return balance.Permission{RetryAfter: time.Hour}
		}
		checks := 0
		f := &Forwarder{
			Pool: upstream.NewPool(testDialect{}), Balancer: balancer, Zone: "z1",
			Usable: func(id, _ string) bool {
				if checks++; checks == test.coldAtCheck {
					snapshot = catalog.NewSnapshot(nil, cold)
				}
				return true
			},
		}
		g.Expect(serve(f, "s").status).To(gomega.Equal(http.StatusOK))
		g.Expect(near.Load()).To(gomega.BeZero())
		g.Expect(far.Load()).To(gomega.Equal(int32(1)))
		g.Expect(f.Pool.Opened.Load()).To(gomega.BeEquivalentTo(test.opened), "connections")
		snapshot = catalog.NewSnapshot(nil, warm)
		g.Expect(serve(f, "s").status).To(gomega.Equal(http.StatusOK))
		g.Expect(near.Load()).To(gomega.Equal(int32(1)), "the engine must not be ejected")
	}
}
