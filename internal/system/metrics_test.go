package system

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/forward"
)

// Requests are counted by tenant and outcome: late apart from in time, those refused before they
// are forwarded too, and those without a tenant not at all.
func TestTenantMetrics(t *testing.T) {
	g := gomega.NewWithT(t)
	registry := prometheus.NewPedanticRegistry()
	m := newTenantMetrics(registry)
	route := &catalog.Route{Target: time.Second}
	m.observe(forward.Result{Route: route, Tenant: "a", Verdict: "served", First: time.Second})
	m.observe(forward.Result{Route: route, Tenant: "a", Verdict: "served", First: 2 * time.Second})
	m.observe(forward.Result{Route: route, Tenant: "b", Verdict: "aborted", First: 2 * time.Second})
	m.observe(forward.Result{Route: route, Verdict: "served"})
	m.Add("b", "limit")
	families, err := registry.Gather()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(families).To(gomega.HaveLen(1))
	g.Expect(families[0].GetName()).To(gomega.Equal("chutelock_tenant_requests_total"))
	counts := map[string]float64{} // by tenant and outcome
	for _, metric := range families[0].GetMetric() {
		key := ""
		for _, name := range []string{"tenant", "outcome"} {
			for _, label := range metric.GetLabel() {
				if label.GetName() == name {
					key += "/" + label.GetValue()
				}
			}
		}
		counts[key] = metric.GetCounter().GetValue()
	}
	g.Expect(counts).To(gomega.Equal(map[string]float64{"/a/served": 1, "/a/late": 1, "/b/aborted": 1, "/b/limit": 1}))
}
