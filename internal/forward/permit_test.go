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

// An engine that is found to be cold before a connection is opened, or once it stands, gets
// no byte without a permit; it is no failure of the engine's.
func TestAnEngineThatTurnsColdBeforeTheSendGetsNothing(t *testing.T) {
	for _, one := range []struct {
		look   int // the one at which the engine is known to be cold
		opened int64
	}{{1, 1}, {2, 2}} {
		g := gomega.NewWithT(t)
		var near, far atomic.Int32
		warm := []catalog.Engine{countingEngine(t, "near", "z1", &near), countingEngine(t, "far", "z2", &far)}
		cold := append([]catalog.Engine{}, warm...)
		cold[0].PacedUntil = time.Now().Add(time.Hour)
		snapshot := catalog.NewSnapshot(nil, warm)
		balancer := balance.New(func() *catalog.Snapshot { return snapshot })
		balancer.Permit = func(context.Context, balance.Wanted) balance.Permission { return balance.Permission{After: time.Hour} }
		looks := 0
		f := &Forwarder{
			Pool: upstream.NewPool(testDialect{}), Balancer: balancer, Zone: "z1",
			Usable: func(id, _ string) bool {
				if looks++; looks == one.look {
					snapshot = catalog.NewSnapshot(nil, cold)
				}
				return true
			},
		}
		g.Expect(serve(f, "s").status).To(gomega.Equal(http.StatusOK))
		g.Expect(near.Load()).To(gomega.BeZero())
		g.Expect(far.Load()).To(gomega.Equal(int32(1)))
		g.Expect(f.Pool.Opened.Load()).To(gomega.BeEquivalentTo(one.opened), "connections")
		snapshot = catalog.NewSnapshot(nil, warm)
		g.Expect(serve(f, "s").status).To(gomega.Equal(http.StatusOK))
		g.Expect(near.Load()).To(gomega.Equal(int32(1)), "it wasn't set aside")
	}
}
