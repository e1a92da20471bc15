package batchwork

import (
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger"
)

// A leader that knows that a job may not be kept in its shard takes it from no front node
// that hasn't heard of that; one that it has already is answered as before.
func TestAJobThatMayNotStayIsNotTaken(t *testing.T) {
	g := gomega.NewWithT(t)
	machine := NewMachine()
	stays := false
	server := &Server{machine: machine, scarce: func() bool { return false }, stays: func(host, path, tenant string) bool {
		g.Expect([]string{host, path, tenant}).To(gomega.Equal([]string{"h", "/p/", "t"}))
		return stays
	}}
	payload := encodeJob(&Job{ID: "a", Host: "h", Path: "/p/", Tenant: "t"}, true)
	_, err := server.admit(payload)
	g.Expect(err).To(gomega.MatchError(ErrOutdated))
	stays = true
	_, err = server.admit(payload)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	stays = false
	machine.jobs["a"] = &jobState{}
	_, err = server.admit(payload)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Tokens that wait at shard 0 count once, also where it is a former home of the queue.
func TestAFormerHomeTellsItsTokensItself(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMachine()
	first, err := claimAt(g, m, 1, "north", 1, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(first.shard).To(gomega.Equal(ledger.RegionShard("north")))
	for queue, home := range m.homes {
		m.queued[queue] = 20
		home.formers = append(home.formers, 0)
	}
	again, err := claimAt(g, m, 2, "north", 2, func(r *claimRequest) { r.job = "b" })
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.formers).To(gomega.ContainElement(ledger.ShardID(0)))
	g.Expect(again.queued).To(gomega.BeZero())
}
