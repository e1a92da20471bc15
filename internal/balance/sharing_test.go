package balance

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/upstream"
)

// Whether engines share their machines must be known from the first report that tells, for
// good, and be readable while the balancer's mutex is held.
func TestEnginesShareMachines(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(func() *catalog.Snapshot { return catalog.NewSnapshot(nil, nil) })
	b.RecordReport("e", upstream.Load{})
	g.Expect(b.EnginesShareMachines()).To(gomega.BeFalse())
	b.RecordReport("e", upstream.Load{ReportsSlowdown: true})
	b.RecordReport("e", upstream.Load{})
	b.mutex.Lock()
	defer b.mutex.Unlock()
	shared := make(chan bool)
	go func() { shared <- b.EnginesShareMachines() }()
	g.Eventually(shared, 5*time.Second).Should(gomega.Receive(gomega.BeTrue()))
}
