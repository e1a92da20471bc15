package tenantstats

import (
	"strconv"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// The largest tenants are counted by themselves among many small ones, within the bound.
func TestLargestTenantsAreCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	counters := New(4)
	for i := range 5000 {
		counters.Add("small-"+strconv.Itoa(i), "served")
		counters.Add("large-a", "late")
		counters.Add("large-b", "refused")
	}
	byTenant := map[string]int64{}
	for _, count := range counters.Counts() {
		byTenant[count.Tenant] += count.Count
	}
	g.Expect(len(byTenant)).To(gomega.BeNumerically("<=", 5))
	g.Expect(byTenant).To(gomega.HaveKeyWithValue("large-a", int64(5000)))
	g.Expect(byTenant).To(gomega.HaveKeyWithValue("large-b", int64(5000)))
}

// No request is lost or counted twice when tenants replace each other, no more tenants are kept
// than allowed, and tenants with more than 1/size of all requests are among them.
func TestCountsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		size := rapid.IntRange(1, 5).Draw(t, "size")
		counters := New(size)
		added, requests, total := map[string]int64{}, map[string]int{}, rapid.IntRange(0, 200).Draw(t, "requests")
		for range total {
			outcome := rapid.SampledFrom([]string{"served", "late", "refused"}).Draw(t, "outcome")
			tenant := strconv.Itoa(rapid.IntRange(0, 9).Draw(t, "tenant"))
			counters.Add(tenant, outcome)
			requests[tenant]++
			added[outcome]++
		}
		counted, tenants := map[string]int64{}, map[string]bool{}
		for _, count := range counters.Counts() {
			counted[count.Outcome] += count.Count
			tenants[count.Tenant] = true
		}
		delete(tenants, Rest)
		g.Expect(counted).To(gomega.Equal(added))
		g.Expect(len(tenants)).To(gomega.BeNumerically("<=", size))
		for tenant, count := range requests {
			if count*size > total {
				g.Expect(tenants).To(gomega.HaveKey(tenant))
			}
		}
	})
}

// Requests without a tenant don't take the place of one.
func TestRequestsWithoutTenant(t *testing.T) {
	g := gomega.NewWithT(t)
	counters := New(1)
	counters.Add("a", "served")
	counters.Add("", "served")
	g.Expect(counters.Counts()).To(gomega.Equal([]Count{{Rest, "served", 1}, {"a", "served", 1}}))
}
