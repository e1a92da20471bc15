package batchwork

import (
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger"
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

// Guards against jobs that are denied to callers who may be their tenant, here or at the shard that a job
// was claimed for, and against jobs that others can tell apart from unknown ones.
func TestJobDeniedOnlyWhileItsTenantIsKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	apply(g, m, store, encodeSubmit(tenantJob("x", "a", 1, 0)))
	apply(g, m, store, encodeSubmit(tenantJob("", "free", 1, 0)))
	claim := claimRequest{job: "b", queue: queue{"r", "x"}, allowed: []ledger.ShardID{ledger.RegionShard("north")}, preferred: ledger.RegionShard("north")}
	apply(g, m, store, encodeCommand(commandClaim, claim.marshal()))
	known := true
	s := &Server{machine: m, tenantKnown: func(tenant string) bool { return tenant != "x" || known }}
	for _, job := range []string{"a", "b"} {
		for _, err := range []error{ErrNoJob, ErrTenantMismatch} {
			known = true
			g.Expect(s.denial(jobName{job, "y"}, err)).To(gomega.Equal(err))
			known = false
			g.Expect(s.denial(jobName{job, "y"}, err)).To(gomega.Equal(ErrOwnerUnknown))
			g.Expect(s.denial(jobName{job, "x"}, err)).To(gomega.Equal(err), "its tenant, for an item that isn't in it")
		}
		g.Expect(s.denial(jobName{job, "y"}, nil)).To(gomega.Succeed())
		g.Expect(s.denial(jobName{job, "y"}, ErrQueueFull)).To(gomega.Equal(ErrQueueFull))
	}
	g.Expect(s.denial(jobName{"free", "y"}, ErrNoJob)).To(gomega.Equal(ErrNoJob))
	g.Expect(s.denial(jobName{"unknown", "y"}, ErrNoJob)).To(gomega.Equal(ErrNoJob))
	reply := reply(nil, nil, ErrOwnerUnknown)
	var fixed fixedReply
	_, err := unmarshal(reply, &fixed, 2)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(statusErrors[fixed.Status]).To(gomega.Equal(ErrOwnerUnknown))
	g.Expect(isFinal(ErrOwnerUnknown)).To(gomega.BeTrue())
}
