package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/storage"
)

// refusedDisks are the nodes whose disks refuse all writes now, with the cause.
type refusedDisks struct {
	mutex sync.Mutex
	cause map[string]error
}

// refuse makes a node's disk refuse writes; a nil cause makes it accept them again.
func (d *refusedDisks) refuse(name string, cause error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.cause[name] = cause
}

func (d *refusedDisks) of(name string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.cause[name]
}

// newRefusedDisks wraps the file systems of a cluster's nodes.
func newRefusedDisks(c *cluster, inner func(*node) vfs.FS) *refusedDisks {
	disks := &refusedDisks{cause: map[string]error{}}
	c.wrapFS = func(n *node) vfs.FS {
		return errorfs.Wrap(inner(n), errorfs.InjectorFunc(func(op errorfs.Op) error {
			if op.Kind == errorfs.OpRemove || op.Kind.ReadOrWrite() != errorfs.OpIsWrite {
				return nil
			}
			return disks.of(n.name)
		}))
	}
	return disks
}

// newClusterWithRefusedDisks returns a cluster on real folders.
func newClusterWithRefusedDisks(t *testing.T, options Options) (*cluster, *refusedDisks) {
	c := newCluster(t, options)
	c.onDisk = true
	return c, newRefusedDisks(c, func(*node) vfs.FS { return vfs.Default })
}

// waitForHalt waits until a node's disk has failed.
func (c *cluster) waitForHalt(n *node) {
	c.g.Eventually(func() string { return n.service.Status().DiskFailure }).ShouldNot(gomega.BeEmpty())
}

// Guards against a replica that stays halted after its disk had room again: after a second
// full disk the shard had no majority any more, and no job could be read.
func TestReplicasReturnAfterFullDisksInTurn(t *testing.T) {
	for name, cause := range map[string]error{"no space": syscall.ENOSPC, "I/O error": syscall.EIO} {
		t.Run(name, func(t *testing.T) {
			c, disks := newClusterWithRefusedDisks(t, Options{ReplaceAfter: time.Hour})
			c.addAll("a", "b", "c")
			c.waitForReplicas(0, 3)
			c.proposeMany(0, "before", 20)
			for round := range 4 {
				struck := c.leader(0)
				before := c.replicas(0)[struck.name].Replica
				disks.refuse(struck.name, cause)
				prefix := fmt.Sprintf("round %d ", round)
				c.proposeMany(0, prefix, 20)
				c.waitForHalt(struck)
				disks.refuse(struck.name, nil)
				c.g.Eventually(func() ReplicaStatus { return c.replicas(0)[struck.name] }, 4*time.Second).
					Should(gomega.And(gomega.HaveField("Replica", before), gomega.HaveField("Lag", uint64(0))))
				c.waitForReplicas(0, 3)
				c.expectEntries(0, prefix, 20)
			}
			c.expectEntries(0, "before", 20)
		})
	}
}

// Guards against a majority that is gone for good once all disks were full at the same time.
func TestShardReturnsAfterAllDisksWereFull(t *testing.T) {
	c, disks := newClusterWithRefusedDisks(t, Options{ReplaceAfter: time.Hour})
	c.addAll("a", "b", "c")
	c.waitForReplicas(0, 3)
	c.proposeMany(0, "before", 20)
	shard, _ := c.leader(0).service.Local(0)
	for _, n := range c.nodes {
		disks.refuse(n.name, syscall.ENOSPC)
	}
	_, err := shard.Propose(context.Background(), []byte("caught"))
	c.g.Expect(errors.Is(err, ledger.ErrUnknownOutcome) || errors.Is(err, ledger.ErrUnavailable)).To(gomega.BeTrue(), "%v", err)
	for _, n := range c.nodes {
		c.waitForHalt(n)
	}
	for _, n := range c.nodes {
		disks.refuse(n.name, nil)
	}
	c.proposeMany(0, "after", 20)
	c.expectEntries(0, "before", 20)
	c.waitForReplicas(0, 3)
}

// Guards against a planned stop that waits for space on a full disk.
func TestNodeStopsWhileDiskIsFull(t *testing.T) {
	c, disks := newClusterWithRefusedDisks(t, Options{ReplaceAfter: time.Hour})
	c.addAll("a", "b", "c")
	c.waitForReplicas(0, 3)
	c.proposeMany(0, "before", 20)
	struck := c.leader(0)
	disks.refuse(struck.name, syscall.ENOSPC)
	c.proposeMany(0, "while full", 20)
	c.waitForHalt(struck)
	stopped := make(chan struct{})
	go func() { defer close(stopped); c.stop(struck) }()
	c.g.Eventually(stopped, 2*time.Second).Should(gomega.BeClosed())
	disks.refuse(struck.name, nil)
	c.start(struck)
	c.waitForReplicas(0, 3)
}

// Guards against a node that ends, or stays without replicas, as its disk is full at its start.
func TestNodeStartsOnFullDisk(t *testing.T) {
	c, disks := newClusterWithRefusedDisks(t, Options{ReplaceAfter: time.Hour})
	c.addAll("a", "b", "c")
	c.waitForReplicas(0, 3)
	c.proposeMany(0, "before", 20)
	struck := c.leader(0)
	before := c.replicas(0)[struck.name].Replica
	c.stop(struck)
	disks.refuse(struck.name, syscall.ENOSPC)
	c.start(struck)
	c.proposeMany(0, "while full", 20)
	c.g.Expect(struck.service.Status().DiskFailure).NotTo(gomega.BeEmpty())
	disks.refuse(struck.name, nil)
	c.waitForReplicas(0, 3)
	c.g.Expect(c.replicas(0)[struck.name].Replica).To(gomega.Equal(before))
	c.expectEntries(0, "while full", 20)
}

// Guards against a node that stays without a ledger as its corrupt folder can't be replaced
// at once.
func TestCorruptFolderReplacedOnceDiskHasRoom(t *testing.T) {
	c, disks := newClusterWithRefusedDisks(t, Options{ReplaceAfter: time.Hour})
	c.addAll("a", "b", "c")
	c.waitForReplicas(0, 3)
	c.proposeMany(0, "before", 20)
	struck := c.leader(0)
	before := c.replicas(0)[struck.name].Replica
	disks.refuse(struck.name, syscall.ENOSPC)
	struck.service.replicaHalted(storage.ErrCorrupt)
	c.proposeMany(0, "while full", 20)
	disks.refuse(struck.name, nil)
	c.g.Eventually(func() string { return c.replicas(0)[struck.name].Replica }).
		ShouldNot(gomega.Or(gomega.Equal(before), gomega.BeEmpty()))
	c.waitForReplicas(0, 3)
	c.expectEntries(0, "before", 20)
}

// brokenMachine is a recorder that fails while broken is set.
type brokenMachine struct {
	recorder
	broken *atomic.Bool
}

var errBrokenMachine = errors.New("the state machine is broken")

func (m *brokenMachine) Apply(writer ledger.Writer, index uint64, entry []byte) ([]byte, error) {
	if m.broken.Load() {
		return nil, errBrokenMachine
	}
	return m.recorder.Apply(writer, index, entry)
}

// Guards against a replica that stays halted after an error that was not its disk's.
func TestHaltedReplicaRestarts(t *testing.T) {
	c := newCluster(t, Options{ReplaceAfter: time.Hour})
	var broken atomic.Bool
	c.addAll("a", "b")
	c.options.NewMachine = func(ledger.ShardID) ledger.StateMachine { return &brokenMachine{broken: &broken} }
	n := c.add("n2", "c")
	c.waitForReplicas(0, 3)
	broken.Store(true)
	c.proposeMany(0, "while broken", 20)
	c.g.Eventually(func() string { return n.service.Status().Shards[0].Halted }).ShouldNot(gomega.BeEmpty())
	broken.Store(false)
	c.g.Eventually(func() string { return n.service.Status().Shards[0].Halted }).Should(gomega.BeEmpty())
	c.waitForReplicas(0, 3)
	c.expectEntries(0, "while broken", 20)
	c.g.Eventually(func() uint64 { return c.replicas(0)["n2"].Lag }).Should(gomega.BeZero())
}
