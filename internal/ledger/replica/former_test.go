package replica

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// silentSender leaves calls to former nodes unanswered, as a machine without power does.
type silentSender struct{ transport.Sender }

const formerAddress = "192.0.2.1:1" // never reached

func (s silentSender) Call(ctx context.Context, to transport.Address, kind transport.Kind, payload []byte) ([]byte, error) {
	if to == formerAddress {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return s.Sender.Call(ctx, to, kind, payload)
}

func (s silentSender) Send(to transport.Address, kind transport.Kind, payload []byte) {
	if to != formerAddress {
		s.Sender.Send(to, kind, payload)
	}
}

// addFormerNodes lists nodes that are gone for good, perZone of them in each zone. All started
// before the others.
func (c *cluster) addFormerNodes(perZone int, zones ...string) {
	for _, zone := range zones {
		for i := range perZone {
			c.list.set(membership.Member{
				Name: fmt.Sprintf("former-%s-%d", zone, i), Address: formerAddress, Zone: zone, HasData: true, Incarnation: uint64(i + 1),
			})
		}
	}
}

// replacementTime is how long the replacement of a lost replica may take.
const replacementTime = 4800 * time.Millisecond

// Guards against a replica that isn't replaced in time where many nodes were replaced before, as
// nodes that are gone are still listed and asked.
func TestLostReplicaReplacedAmongFormerNodes(t *testing.T) {
	for _, former := range []int{0, 40, 1000} {
		t.Run(fmt.Sprint(former, " former nodes a zone"), func(t *testing.T) {
			c := newCluster(t, Options{ReplaceAfter: 1500 * time.Millisecond})
			c.wrapSender = func(s transport.Sender) transport.Sender { return silentSender{s} }
			c.addAll("a", "b", "c")
			c.proposeMany(0, "before", 20)
			c.addFormerNodes(former, "a", "b", "c")
			for _, name := range []string{"n0", "n1", "n2"} {
				lost := c.nodes[name]
				c.wipe(lost)
				c.start(lost)
				back := time.Now()
				c.waitForReplicas(0, 3)
				t.Logf("%s was replaced after %v", name, time.Since(back))
				c.g.Expect(time.Since(back)).To(gomega.BeNumerically("<", replacementTime), "%s came back with an empty disk", name)
			}
			c.kill(c.nodes["n0"])
			c.add("n3", "a")
			added := time.Now()
			c.waitForReplicas(0, 3, c.nodes["n0"])
			t.Logf("n0 was replaced by n3 after %v", time.Since(added))
			c.g.Expect(time.Since(added)).To(gomega.BeNumerically("<", replacementTime), "n3 took the place of n0")
			c.expectEntries(0, "before", 20)
		})
	}
}

// Guards against a node that doesn't find the leader for long after its start, as the nodes that
// it asks are gone.
func TestLeaderFoundAmongFormerNodes(t *testing.T) {
	c := newCluster(t, Options{})
	c.wrapSender = func(s transport.Sender) transport.Sender { return silentSender{s} }
	c.addAll("a", "b", "c")
	c.proposeMany(0, "before", 5)
	c.addFormerNodes(40, "a", "b", "c")
	front := c.add("front", "")
	started := time.Now()
	c.g.Eventually(func() bool {
		_, found := front.service.Leader(0)
		return found
	}).Should(gomega.BeTrue())
	t.Logf("the leader was found after %v", time.Since(started))
	c.g.Expect(time.Since(started)).To(gomega.BeNumerically("<", 5*time.Second))
}

// Guards against a new shard that isn't placed, as its nodes are drawn among those that are gone.
func TestShardPlacedAmongFormerNodes(t *testing.T) {
	c := newCluster(t, Options{})
	c.wrapSender = func(s transport.Sender) transport.Sender { return silentSender{s} }
	c.addFormerNodes(40, "a", "b", "c")
	c.addAll("a", "b", "c")
	c.g.Eventually(func() *node { return c.leaderNow(0) }, 20*time.Second).ShouldNot(gomega.BeNil())
	c.proposeMany(0, "after", 5)
	c.waitForReplicas(0, 3)
}
