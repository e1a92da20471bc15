package replica

import (
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/onsi/gomega"
)

// hangingDisks are the nodes whose disks hang now: operations that change a file whose name has
// the given part wait until the disk is released.
type hangingDisks struct {
	mutex sync.Mutex
	parts map[string]string        // by node
	gates map[string]chan struct{} // closed when the node's disk is released
	hung  map[string]int           // operations that waited
}

// newHangingDisks wraps the file systems of a cluster's nodes.
func newHangingDisks(inner func(*node) vfs.FS) (*hangingDisks, func(*node) vfs.FS) {
	disks := &hangingDisks{parts: map[string]string{}, gates: map[string]chan struct{}{}, hung: map[string]int{}}
	return disks, func(n *node) vfs.FS {
		return errorfs.Wrap(inner(n), errorfs.InjectorFunc(func(op errorfs.Op) error {
			if op.Kind.ReadOrWrite() == errorfs.OpIsWrite && op.Kind != errorfs.OpFileClose {
				disks.wait(n.name, op.Path)
			}
			return nil
		}))
	}
}

func (d *hangingDisks) wait(name, path string) {
	d.mutex.Lock()
	part, hangs := d.parts[name]
	gate := d.gates[name]
	hangs = hangs && strings.Contains(path, part)
	if hangs {
		d.hung[name]++
	}
	d.mutex.Unlock()
	if hangs {
		<-gate
	}
}

func (d *hangingDisks) hang(name, part string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.parts[name], d.gates[name] = part, make(chan struct{})
}

func (d *hangingDisks) release(name string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, hangs := d.parts[name]; hangs {
		delete(d.parts, name)
		close(d.gates[name])
	}
}

func (d *hangingDisks) hungOperations(name string) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.hung[name]
}

// hangPoints are parts of the names of files that a node changes while it gets its ledger back
// from a disk that was full.
var hangPoints = map[string]string{
	"probe":     "PROBE",
	"manifest":  "MANIFEST",
	"any file":  "",
	"log":       ".log",
	"watermark": "SYNCED",
}

// Guards against a node that stays without its ledger as its disk hung while it was probed or
// opened again.
func TestReplicaReturnsAfterDiskHungWhileReopened(t *testing.T) {
	for name, part := range hangPoints {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, Options{ReplaceAfter: time.Hour})
			c.onDisk = true
			disks, wrap := newHangingDisks(func(*node) vfs.FS { return vfs.Default })
			refused := newRefusedDisks(c, wrap)
			c.addAll("a", "b", "c")
			c.waitForReplicas(0, 3)
			c.proposeMany(0, "before", 20)
			struck := c.leader(0)
			defer disks.release(struck.name)
			before := c.replicas(0)[struck.name].Replica
			refused.refuse(struck.name, syscall.ENOSPC)
			c.proposeMany(0, "while full", 20)
			c.waitForHalt(struck)
			disks.hang(struck.name, part)
			refused.refuse(struck.name, nil)
			c.proposeMany(0, "while it hangs", 20)
			time.Sleep(2 * time.Second)
			hung := disks.hungOperations(struck.name)
			refused.refuse(struck.name, syscall.ENOSPC) // a disk that hung and then refuses
			disks.release(struck.name)
			time.Sleep(500 * time.Millisecond)
			refused.refuse(struck.name, nil)
			c.g.Eventually(func() ReplicaStatus { return c.replicas(0)[struck.name] }, 5*time.Second).
				Should(gomega.And(gomega.HaveField("Replica", before), gomega.HaveField("Lag", uint64(0))))
			c.waitForReplicas(0, 3)
			c.expectEntries(0, "while it hangs", 20)
			t.Logf("%d operations hung", hung)
		})
	}
}

// Guards against a planned stop that waits for a disk that hangs while the ledger is opened again.
func TestNodeStopsWhileDiskHangsAsItIsReopened(t *testing.T) {
	for name, part := range hangPoints {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, Options{ReplaceAfter: time.Hour})
			c.onDisk = true
			disks, wrap := newHangingDisks(func(*node) vfs.FS { return vfs.Default })
			refused := newRefusedDisks(c, wrap)
			c.addAll("a", "b", "c")
			c.waitForReplicas(0, 3)
			c.proposeMany(0, "before", 20)
			struck := c.leader(0)
			refused.refuse(struck.name, syscall.ENOSPC)
			c.proposeMany(0, "while full", 20)
			c.waitForHalt(struck)
			disks.hang(struck.name, part)
			refused.refuse(struck.name, nil)
			time.Sleep(time.Second)
			stopped := make(chan struct{})
			go func() { defer close(stopped); c.stop(struck) }()
			c.g.Eventually(stopped, 7*time.Second).Should(gomega.BeClosed())
			disks.release(struck.name)
			c.waitForUnlock(struck)
			c.start(struck)
			c.waitForReplicas(0, 3)
			c.expectEntries(0, "while full", 20)
		})
	}
}

// waitForUnlock waits until a stopped node has closed its store, which ends after the stop if the disk hangs; a
// process that exits has no locks left.
func (c *cluster) waitForUnlock(n *node) {
	c.g.Eventually(func() error {
		lock, err := vfs.Default.Lock(filepath.Join(c.root, n.name, "LOCK"))
		if err != nil {
			return err
		}
		return lock.Close()
	}, 30*time.Second).Should(gomega.Succeed())
}

// Guards against a planned stop that waits for a disk that hangs while the node runs.
func TestNodeStopsWhileDiskHangs(t *testing.T) {
	c := newCluster(t, Options{ReplaceAfter: time.Hour})
	c.onDisk = true
	var disks *hangingDisks
	disks, c.wrapFS = newHangingDisks(func(*node) vfs.FS { return vfs.Default })
	c.addAll("a", "b", "c")
	c.waitForReplicas(0, 3)
	c.proposeMany(0, "before", 20)
	struck := c.leader(0)
	disks.hang(struck.name, "")
	c.proposeMany(0, "while it hangs", 20)
	stopped := make(chan struct{})
	go func() { defer close(stopped); c.stop(struck) }()
	c.g.Eventually(stopped, 7*time.Second).Should(gomega.BeClosed())
	disks.release(struck.name)
	c.waitForUnlock(struck)
	c.start(struck)
	c.waitForReplicas(0, 3)
	c.expectEntries(0, "before", 20)
	c.expectEntries(0, "while it hangs", 20)
}

// Guards against replicas that don't return after a disk was full while another machine was
// replaced for good.
func TestShardReturnsAfterDiskWasFullBesideReplacedMachine(t *testing.T) {
	for _, full := range []string{"leader", "follower"} {
		t.Run(full+" full", func(t *testing.T) {
			c, disks := newClusterWithRefusedDisks(t, Options{ReplaceAfter: time.Second})
			c.addAll("a", "b", "c")
			c.waitForReplicas(0, 3)
			c.proposeMany(0, "before", 20)
			struck, gone := c.leader(0), c.nodes["n0"]
			if gone == struck {
				gone = c.nodes["n1"]
			}
			if full == "follower" {
				struck, gone = gone, struck
			}
			before := c.replicas(0)[struck.name].Replica
			disks.refuse(struck.name, syscall.ENOSPC)
			time.Sleep(200 * time.Millisecond)
			c.kill(gone)
			c.add("n3", gone.zone)
			time.Sleep(3 * time.Second)
			disks.refuse(struck.name, nil)
			c.proposeMany(0, "after", 20)
			c.waitForReplicas(0, 3, gone)
			c.expectEntries(0, "before", 20)
			if after := c.replicas(0)[struck.name].Replica; full == "leader" {
				c.g.Expect(after).To(gomega.Equal(before))
			}
		})
	}
}
