package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger"
)

// Guards against stale follower reads: each entry is readable at every node as soon
// as its proposal returns.
func TestFollowerReadSeesEarlierCommits(t *testing.T) {
	c := newCluster(t, Options{})
	c.addAll("a", "b", "c")
	c.waitForReplicas(0, 3)
	for i := range 50 {
		entry := fmt.Sprintf("entry%05d", i)
		c.propose(0, entry)
		for _, n := range c.nodes {
			c.g.Expect(followerHasEntry(n, entry)).To(gomega.BeTrue(), "%s at %s", entry, n.name)
		}
	}
}

// followerHasEntry retries a follower read until it succeeds and reports whether the
// node has the entry.
func followerHasEntry(n *node, entry string) (bool, error) {
	shard, _ := n.service.Local(0)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	found := false
	for {
		err := shard.FollowerRead(ctx, func(reader ledger.Reader) (err error) {
			_, found, err = reader.Get([]byte("entry/" + entry))
			return err
		})
		if err == nil || ctx.Err() != nil {
			return found, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against reads that run before their index is applied.
func TestFollowerReadWaitsForAppliedIndex(t *testing.T) {
	c := newCluster(t, Options{})
	c.addAll("a", "b", "c")
	c.waitForReplicas(0, 3)
	c.propose(0, "first")
	leader := c.leader(0)
	for _, n := range c.nodes {
		if n == leader {
			continue
		}
		c.g.Expect(followerHasEntry(n, "first")).To(gomega.BeTrue())
		shard, _ := n.service.local(0)
		marker, err := shard.disk.Snapshot()
		c.g.Expect(err).NotTo(gomega.HaveOccurred())
		answered := make(chan error, 1)
		go func() {
			answered <- shard.readAt(context.Background(), marker.Index+1, func(ledger.Reader) error { return nil })
		}()
		c.g.Consistently(answered, "100ms").ShouldNot(gomega.Receive())
		c.propose(0, "after "+n.name)
		c.g.Eventually(answered).Should(gomega.Receive(gomega.BeNil()))
	}
}

// Guards against stale reads at a follower that can't reach its leader.
func TestPartitionedFollowerRejectsReads(t *testing.T) {
	c := newCluster(t, Options{ReplaceAfter: time.Hour})
	c.addAll("a", "b", "c")
	c.waitForReplicas(0, 3)
	c.propose(0, "old")
	leader := c.leader(0)
	var follower *node
	for _, n := range c.nodes {
		if n != leader {
			follower = n
		}
	}
	follower.partitioned.Store(true)
	shard, _ := follower.service.Local(0)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := shard.FollowerRead(ctx, func(ledger.Reader) error { return nil })
	c.g.Expect(errors.Is(err, ledger.ErrUnavailable)).To(gomega.BeTrue(), "%v", err)
	follower.partitioned.Store(false)
	c.propose(0, "new")
	c.g.Expect(followerHasEntry(follower, "new")).To(gomega.BeTrue())
}

// Guards against a reader getting the result of a fetch that began before it called
// wait, and against one fetch per reader.
func TestReadIndexBatcherSharesLaterFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var r readIndexBatcher
		var fetches atomic.Uint64
		fetch := func() (uint64, error) {
			began := fetches.Add(1)
			time.Sleep(3 * time.Millisecond)
			return began, nil
		}
		var readers sync.WaitGroup
		for i := range 200 {
			readers.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				before := fetches.Load()
				index, err := r.wait(context.Background(), fetch)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(index).To(gomega.BeNumerically(">", before))
			})
		}
		readers.Wait()
		g.Expect(fetches.Load()).To(gomega.BeNumerically("<=", 200/13+2))
		time.Sleep(time.Second) // lets the fetching goroutine end
	})
}
