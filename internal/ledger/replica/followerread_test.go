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

// TestAFollowerReadsAllThatWasCommittedBefore reads each entry at every node,
// right after it was answered.
func TestAFollowerReadsAllThatWasCommittedBefore(t *testing.T) {
	c := newCluster(t, Options{})
	c.addAll("a", "b", "c")
	c.settled(0, 3)
	for i := range 50 {
		entry := fmt.Sprintf("entry%05d", i)
		c.propose(0, entry)
		for _, n := range c.nodes {
			c.g.Expect(followerSees(n, entry)).To(gomega.BeTrue(), "%s at %s", entry, n.name)
		}
	}
}

// followerSees tries until the node answers, and says whether it has the entry.
func followerSees(n *node, entry string) (bool, error) {
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

// TestAFollowerWaitsUntilItHasAppliedTheIndex holds a read back until the next
// entry is applied.
func TestAFollowerWaitsUntilItHasAppliedTheIndex(t *testing.T) {
	c := newCluster(t, Options{})
	c.addAll("a", "b", "c")
	c.settled(0, 3)
	c.propose(0, "first")
	leader := c.leader(0)
	for _, n := range c.nodes {
		if n == leader {
			continue
		}
		c.g.Expect(followerSees(n, "first")).To(gomega.BeTrue())
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

// TestAFollowerThatIsCutOffAnswersNoRead cuts a follower off: what it has may
// be old, so that it may not answer.
func TestAFollowerThatIsCutOffAnswersNoRead(t *testing.T) {
	c := newCluster(t, Options{ReplaceAfter: time.Hour})
	c.addAll("a", "b", "c")
	c.settled(0, 3)
	c.propose(0, "old")
	leader := c.leader(0)
	var follower *node
	for _, n := range c.nodes {
		if n != leader {
			follower = n
		}
	}
	follower.cut.Store(true)
	shard, _ := follower.service.Local(0)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := shard.FollowerRead(ctx, func(ledger.Reader) error { return nil })
	c.g.Expect(errors.Is(err, ledger.ErrUnavailable)).To(gomega.BeTrue(), "%v", err)
	follower.cut.Store(false)
	c.propose(0, "new")
	c.g.Expect(followerSees(follower, "new")).To(gomega.BeTrue())
}

// TestReadersShareQuestionsThatBeginAfterThem counts questions in virtual time:
// each reader's answer is of a question that began after the reader came.
func TestReadersShareQuestionsThatBeginAfterThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var r rounds
		var asked atomic.Uint64
		ask := func() (uint64, error) {
			began := asked.Add(1)
			time.Sleep(3 * time.Millisecond)
			return began, nil
		}
		var readers sync.WaitGroup
		for i := range 200 {
			readers.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				before := asked.Load()
				index, err := r.wait(context.Background(), ask)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(index).To(gomega.BeNumerically(">", before))
			})
		}
		readers.Wait()
		g.Expect(asked.Load()).To(gomega.BeNumerically("<=", 200/13+2))
		time.Sleep(time.Second) // the goroutine that asks ends by itself
	})
}
