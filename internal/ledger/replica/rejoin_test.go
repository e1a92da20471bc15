package replica

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a member that destroys its log on a retried message about an earlier removal.
func TestReplicaAddedAgainIsNotToldToLeave(t *testing.T) {
	c := newCluster(t, Options{ReplaceAfter: time.Hour})
	c.addAll("a", "b", "c")
	c.proposeMany(0, "before", 20)
	leader := c.leader(0)
	c.waitForReplicas(0, 3)
	shard, found := leader.service.local(0)
	c.g.Expect(found).To(gomega.BeTrue())
	for name, replica := range c.replicas(0) {
		if name == leader.name {
			continue
		}
		follower, _ := c.nodes[name].service.local(0)
		shard.mutex.Lock()
		entry := shard.roster[follower.replicaID]
		shard.repair.removed = append(shard.repair.removed, removedReplica{entry: entry, attempts: 1})
		shard.mutex.Unlock()
		c.g.Consistently(func() bool { return c.runsReplica(0, replica) }, time.Second).Should(gomega.BeTrue(), "it kept its log")
		return
	}
}
