package replica

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/membership"
)

// Guards against reporting a removed replica's node as empty before the removal is committed:
// a later leader may still need that replica's vote.
func TestUncommittedRemovalReportedAsPending(t *testing.T) {
	c := newCluster(t, Options{ReplaceAfter: time.Hour, ElectionTimeout: 2 * time.Second})
	var stuckLeader atomic.Pointer[node] // the other nodes' disks hang
	release := make(chan struct{})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	t.Cleanup(releaseOnce)
	c.wrapFS = func(n *node) vfs.FS {
		return errorfs.Wrap(n.fs, errorfs.InjectorFunc(func(op errorfs.Op) error {
			if leader := stuckLeader.Load(); leader != nil && leader != n && op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
				<-release
			}
			return nil
		}))
	}
	c.addAll("a", "b", "c", "d")
	c.waitForReplicas(0, 3)
	leader := c.leader(0)
	shard, _ := leader.service.local(0)
	var removed ReplicaStatus
	for _, r := range c.replicas(0) {
		if r.Node != leader.name {
			removed = r
		}
	}
	leaving := memberSource{c.list, removed.Node}.Self() // gets no replica again
	leaving.State = membership.StateLeaving
	c.list.set(leaving)
	stuckLeader.Store(leader)
	var id replication.ReplicaID
	for _, voter := range shard.core.Status().Configuration.Voters {
		if voter.String() == removed.Replica {
			id = voter
		}
	}
	c.g.Expect(shard.proposeChange(replication.Change{Type: replication.RemoveReplica, Replica: id})).To(gomega.Succeed())
	status := leader.service.Status().Shards[0]
	c.g.Expect(status.Replicas).To(gomega.HaveLen(2))
	c.g.Expect(status.ChangePending).To(gomega.BeTrue())
	_, err := leader.service.QueryPlacement(t.Context(), 0, removed.Node)
	c.g.Expect(err).To(gomega.HaveOccurred(), "the node may still hold a voter")

	releaseOnce()
	c.g.Eventually(func() (Placement, error) {
		return c.leader(0).service.QueryPlacement(t.Context(), 0, removed.Node)
	}).Should(gomega.Equal(Placement{HealthyVoters: 3}))
}
