package replica

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/transport"
)

// Guards against a slow disk write delaying heartbeat responses.
func TestHeartbeatAnsweredDuringDiskWrite(t *testing.T) {
	g := gomega.NewWithT(t)
	marker := replication.BootstrapMarker(1, 2, 3)
	core, err := replication.New(replication.Config{ID: 1, Storage: replication.NewMemoryStorage(marker)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	shard := &Shard{
		service: &Service{outbox: newOutbox(nil)}, core: core, replicaID: 1, scheduled: true,
		learnedAddresses: map[replication.ReplicaID]transport.Address{},
	}
	shard.tick(time.Unix(1, 0))
	heartbeat := replication.Message{Type: replication.MessageHeartbeat, From: 2, To: 1, Term: 1}
	shard.step(heartbeat, "leader")
	g.Expect(shard.service.outbox.take()).To(gomega.HaveKey(transport.Address("leader")))
	ready := core.Ready() // a worker is writing it
	g.Expect(ready).NotTo(gomega.BeZero())
	shard.step(heartbeat, "leader")
	g.Expect(shard.service.outbox.take()).To(gomega.HaveKey(transport.Address("leader")))
}
