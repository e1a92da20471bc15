package system

import (
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger/replica"
)

// Guards against reporting an evacuation as done while a replica is on the node or
// too few voters are elsewhere.
func TestEvacuatedRequiresAllVotersElsewhere(t *testing.T) {
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
	g.Expect(evacuated(five, "a", 5)).To(gomega.BeFalse(), "has a replica")
	g.Expect(evacuated(voters("voter", "voter", "voter"), "z", 5)).To(gomega.BeFalse(), "three voters of five")
	g.Expect(evacuated(voters("voter", "voter", "voter", "voter", "silent"), "z", 5)).To(gomega.BeFalse(), "one replica is silent")
	g.Expect(evacuated(voters("voter", "voter", "voter"), "z", 3)).To(gomega.BeTrue())
	pending := voters("voter", "voter", "voter")
	pending.Shards[0].ChangePending = true
	g.Expect(evacuated(pending, "z", 3)).To(gomega.BeFalse(), "the replica set is not committed")
}
