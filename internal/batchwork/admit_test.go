package batchwork

import (
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger"
)

// A leader rejects a new job that its configuration keeps out of this shard, but answers for
// a job that it already has.
func TestServerRejectsJobOutsideRegions(t *testing.T) {
	g := gomega.NewWithT(t)
	machine := NewMachine()
	permitted := false
	server := &Server{machine: machine, lowSpace: func() bool { return false }, permitted: func(host, path, tenant string) bool {
		g.Expect([]string{host, path, tenant}).To(gomega.Equal([]string{"h", "/p/", "t"}))
		return permitted
	}}
	payload := encodeJob(&Job{ID: "a", Host: "h", Path: "/p/", Tenant: "t"}, true)
	_, err := server.admit(payload)
	g.Expect(err).To(gomega.MatchError(ErrOutdated))
	permitted = true
	_, err = server.admit(payload)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	permitted = false
	machine.jobs["a"] = &jobState{}
	_, err = server.admit(payload)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Tokens queued at shard 0 are counted once, even where shard 0 is a former home of the
// queue.
func TestClaimCountsFormerHomeTokensOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMachine()
	first, err := claimAt(g, m, 1, "north", 1, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(first.shard).To(gomega.Equal(ledger.RegionShard("north")))
	for queue, home := range m.homes {
		m.queued[queue] = 20
		home.formerHomes = append(home.formerHomes, 0)
	}
	again, err := claimAt(g, m, 2, "north", 2, func(r *claimRequest) { r.job = "b" })
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.formerHomes).To(gomega.ContainElement(ledger.ShardID(0)))
	g.Expect(again.queued).To(gomega.BeZero())
}
