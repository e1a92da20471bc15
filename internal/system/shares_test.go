package system

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/quota"
	"chutelock.dev/chutelock/internal/transport"
)

// Weights are those of the settings, else the limits' rates; names that the configuration
// doesn't have must change no other tenant's.
func TestTenantWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	configuration := &catalog.Configuration{Routes: []catalog.Route{
		{Backends: []catalog.Backend{{Service: "b"}, {Service: "a"}}}, {Backends: []catalog.Backend{{Service: "a"}}},
		{Kind: catalog.KindBatch, Backends: []catalog.Backend{{Service: "c"}}},
	}}
	configuration.SetTenants([]catalog.Tenant{{Name: "limited", Rate: 40}, {Name: "set", Rate: 40}, {Name: "free"}})
	settings := map[string]float64{"set": 2.5, "gone": 7, "absent": 1}
	g.Expect(tenantWeights(configuration, settings)).To(gomega.Equal(map[quota.Key]float64{quota.KeyOf("limited"): 40, quota.KeyOf("set"): 2.5}))
	g.Expect(unknownTenants(configuration, settings)).To(gomega.Equal([]string{"absent", "gone"}))
	g.Expect(onlineServices(configuration)).To(gomega.Equal([]string{"a", "b"}))
}

// Messages about counts must be as ever unless the decisions for contention are in force.
func TestDemandsAreRoundedOnlyWhereActive(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := func(active bool) float64 {
		total := 0.0
		for range 400 {
			counts := quota.Counts{1: {Admitted: 1, Demand: 0.25}}
			prepareDemand(counts, func() bool { return active })
			report, err := quota.UnmarshalReport(quota.Report{Counts: counts}.Marshal())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			total += report.Counts[1].Demand
		}
		return total
	}
	g.Expect(sent(false)).To(gomega.Equal(400.0))
	g.Expect(sent(true)).To(gomega.BeNumerically("~", 100, 40))
	counts := quota.Counts{1: {Demand: 0.25}}
	prepareDemand(counts, nil)
	g.Expect(counts[1].Demand).To(gomega.Equal(0.25))
}

// A node without a relay must tell that it knows nothing of other nodes.
func TestAskingWithoutRelay(t *testing.T) {
	g := gomega.NewWithT(t)
	enforcer := &quotaEnforcer{
		relay: func() (transport.Address, bool) { return "", false }, limiter: quota.NewLimiter(quota.Bounds{Window: 5 * time.Second}),
	}
	enforcer.addDemand(7)
	enforcer.reportIfDue()
	asking, age := enforcer.asking()
	g.Expect(asking[7].Own).To(gomega.BeNumerically(">", 1))
	g.Expect(asking[7].Others).To(gomega.BeZero())
	g.Expect(age).To(gomega.BeNumerically(">", time.Hour))
}
