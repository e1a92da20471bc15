package batchwork

import (
	"testing"

	"github.com/onsi/gomega"
)

func tenantJob(tenant, id string, items int, bound int64) *Job {
	job := testJob(id, items, bound)
	job.Tenant = tenant
	return job
}

// Another tenant's job appears not to exist, also after a reload.
func TestMachineHidesJobFromOtherTenants(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	apply(g, m, store, encodeSubmit(tenantJob("x", "a", 2, 0)))
	for range 2 {
		g.Expect(apply(g, m, store, encodeSubmit(tenantJob("y", "a", 2, 0)))).To(gomega.BeEquivalentTo(answerTenantMismatch))
		g.Expect(apply(g, m, store, encodeSubmit(tenantJob("x", "a", 2, 0)))).To(gomega.BeEquivalentTo(answerDone))
		_, err := m.readPage(store, jobName{"a", "y"}, 0)
		g.Expect(err).To(gomega.MatchError(ErrNoJob))
		_, _, _, found := m.results(jobName{"a", "y"})
		g.Expect(found).To(gomega.BeFalse())
		g.Expect(apply(g, m, store, encodeEnd(jobName{"a", "y"}, submitted))).To(gomega.BeEquivalentTo(answerNoJob))
		g.Expect(m.openItems()).To(gomega.HaveLen(2))
		g.Expect(m.openItems()[0].tenant).To(gomega.Equal("x"))
		page, err := m.readPage(store, jobName{"a", "x"}, 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(page.Total).To(gomega.Equal(2))
		m = NewMachine()
		g.Expect(m.Reload(store)).To(gomega.Succeed())
	}
	g.Expect(apply(g, m, store, encodeEnd(jobName{"a", "x"}, submitted))).To(gomega.BeEquivalentTo(answerDone))
	g.Expect(m.openItems()).To(gomega.BeEmpty())
}

// A job submitted without a tenant is accessible to all.
func TestMachineSharesJobWithoutTenant(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	apply(g, m, store, encodeSubmit(tenantJob("", "a", 1, 0)))
	g.Expect(m.size(jobName{"a", "y"})).To(gomega.Equal(1))
	g.Expect(m.size(jobName{"a", ""})).To(gomega.Equal(1))
}

// The bound on queued tokens applies to each tenant separately.
func TestQueueBoundIsPerTenant(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	g.Expect(apply(g, m, store, encodeSubmit(tenantJob("x", "a", 5, 50)))).To(gomega.BeEquivalentTo(answerDone))
	g.Expect(apply(g, m, store, encodeSubmit(tenantJob("x", "b", 1, 50)))).To(gomega.BeEquivalentTo(answerQueueFull))
	g.Expect(apply(g, m, store, encodeSubmit(tenantJob("y", "c", 5, 50)))).To(gomega.BeEquivalentTo(answerDone))
	m = NewMachine()
	g.Expect(m.Reload(store)).To(gomega.Succeed())
	g.Expect(apply(g, m, store, encodeSubmit(tenantJob("y", "d", 1, 50)))).To(gomega.BeEquivalentTo(answerQueueFull))
	apply(g, m, store, encodeEnd(jobName{"a", "x"}, submitted))
	g.Expect(apply(g, m, store, encodeSubmit(tenantJob("y", "d", 1, 50)))).To(gomega.BeEquivalentTo(answerQueueFull))
	g.Expect(apply(g, m, store, encodeSubmit(tenantJob("x", "e", 5, 50)))).To(gomega.BeEquivalentTo(answerDone))
}
