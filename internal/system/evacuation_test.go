package system

import (
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger/replica"
)

// A data node is emptied only once as many sound voters lie elsewhere as the
// allowed losses take; three of five would not do.
func TestANodeIsEmptiedOnceAllReplicasAreElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	voters := func(states ...string) replica.Status {
		shard := replica.ShardStatus{}
		for i, state := range states {
			shard.Replicas = append(shard.Replicas, replica.ReplicaStatus{Node: string(rune('a' + i)), State: state})
		}
		return replica.Status{Shards: []replica.ShardStatus{shard}}
	}
	five := voters("voter", "voter", "voter", "voter", "voter")
	g.Expect(evacuated(five, "z", 5)).To(gomega.BeTrue())
	g.Expect(evacuated(five, "a", 5)).To(gomega.BeFalse(), "a replica lies on it")
	g.Expect(evacuated(voters("voter", "voter", "voter"), "z", 5)).To(gomega.BeFalse(), "three of five")
	g.Expect(evacuated(voters("voter", "voter", "voter", "voter", "silent"), "z", 5)).To(gomega.BeFalse(), "one is silent")
	g.Expect(evacuated(voters("voter", "voter", "voter"), "z", 3)).To(gomega.BeTrue())
}
