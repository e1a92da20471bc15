package batchwork

import (
	"testing"

	"github.com/onsi/gomega"
)

func tenantsJob(tenant, id string, items int, bound int64) *Job {
	job := testJob(id, items, bound)
	job.Tenant = tenant
	return job
}

// Another tenant's job is as unknown as one that doesn't exist, also after the
// machine has read its state back.
func TestAJobIsItsTenantsAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	apply(g, m, store, encodeSubmit(tenantsJob("x", "a", 2, 0)))
	for range 2 {
		g.Expect(apply(g, m, store, encodeSubmit(tenantsJob("y", "a", 2, 0)))).To(gomega.BeEquivalentTo(answerForeign))
		g.Expect(apply(g, m, store, encodeSubmit(tenantsJob("x", "a", 2, 0)))).To(gomega.BeEquivalentTo(answerDone))
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

// A job that came without a key is everybody's.
func TestAJobWithoutATenantIsEverybodys(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	apply(g, m, store, encodeSubmit(tenantsJob("", "a", 1, 0)))
	g.Expect(m.size(jobName{"a", "y"})).To(gomega.Equal(1))
	g.Expect(m.size(jobName{"a", ""})).To(gomega.Equal(1))
}

// The bound on waiting tokens holds for each tenant by itself.
func TestTheQueuesBoundIsEachTenants(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	g.Expect(apply(g, m, store, encodeSubmit(tenantsJob("x", "a", 5, 50)))).To(gomega.BeEquivalentTo(answerDone))
	g.Expect(apply(g, m, store, encodeSubmit(tenantsJob("x", "b", 1, 50)))).To(gomega.BeEquivalentTo(answerQueueFull))
	g.Expect(apply(g, m, store, encodeSubmit(tenantsJob("y", "c", 5, 50)))).To(gomega.BeEquivalentTo(answerDone))
	m = NewMachine()
	g.Expect(m.Reload(store)).To(gomega.Succeed())
	g.Expect(apply(g, m, store, encodeSubmit(tenantsJob("y", "d", 1, 50)))).To(gomega.BeEquivalentTo(answerQueueFull))
	apply(g, m, store, encodeEnd(jobName{"a", "x"}, submitted))
	g.Expect(apply(g, m, store, encodeSubmit(tenantsJob("y", "d", 1, 50)))).To(gomega.BeEquivalentTo(answerQueueFull))
	g.Expect(apply(g, m, store, encodeSubmit(tenantsJob("x", "e", 5, 50)))).To(gomega.BeEquivalentTo(answerDone))
}
