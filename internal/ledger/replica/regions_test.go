package replica

import (
	"bytes"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

var north, south = ledger.RegionShard("north"), ledger.RegionShard("south")

// regionalCluster has the data nodes n0, n1, ... in zones that are named by the first
// letter of their region and a number.
func regionalCluster(t *testing.T, options Options, zones ...string) *cluster {
	options.Regions, options.LeastCopies, options.ReplaceLeaving = []string{"north", "south"}, 3, true
	c := newCluster(t, options)
	c.addAll(zones...)
	return c
}

func (c *cluster) need(regions ...string) {
	for _, n := range c.nodes {
		if n.service != nil {
			n.service.Need(regions)
		}
	}
}

// heldBy lists the nodes that hold a replica on their disk, living or not.
func (c *cluster) heldBy(id ledger.ShardID) (zones []string) {
	for _, n := range c.nodes {
		if n.service == nil {
			continue
		}
		if _, found := n.service.local(id); found {
			zones = append(zones, n.zone)
		}
	}
	return zones
}

// A region's shard exists only once it is needed, and lies in its region alone; the
// others lie anywhere, as before.
func TestARegionsShardLiesInItsRegion(t *testing.T) {
	c := regionalCluster(t, Options{}, "n1", "n1", "n2", "s1", "s1", "s2")
	c.settled(0, 3)
	c.g.Expect(c.heldBy(north)).To(gomega.BeEmpty())
	for _, n := range c.nodes {
		c.g.Expect(n.service.Regional()).To(gomega.BeEmpty())
		c.g.Expect(n.service.Status().Shards).To(gomega.HaveLen(1))
	}
	c.need("north")
	c.regionSettled(north, 3)
	c.g.Expect(c.heldBy(north)).To(gomega.ConsistOf("n1", "n1", "n2"))
	c.g.Expect(c.heldBy(south)).To(gomega.BeEmpty())
	c.proposeMany(north, "x", 20)
	c.need("south")
	c.regionSettled(south, 3)
	c.g.Expect(c.heldBy(south)).To(gomega.ConsistOf("s1", "s1", "s2"))
	front := c.add("front", "")
	c.g.Eventually(func() bool {
		leader, known := front.service.Leader(north)
		return known && leader == c.leader(north).transport.Address()
	}).Should(gomega.BeTrue())
	c.expectEntries(north, "x", 20)
}

func (c *cluster) regionSettled(id ledger.ShardID, count int) {
	c.g.Eventually(func() int { return len(c.regionReplicas(id)) }).Should(gomega.Equal(count))
}

// regionReplicas lists the nodes of the voters that are there, as the leader sees them.
func (c *cluster) regionReplicas(id ledger.ShardID) (nodes []string) {
	leader := c.leaderNow(id)
	if leader == nil {
		return nil
	}
	for _, one := range leader.service.shardStatus(id).Replicas {
		if one.State == stateVoter && c.holds(id, one) {
			nodes = append(nodes, one.Node)
		}
	}
	return nodes
}

// voters lists the nodes of all voters, also those that are gone, as the leader sees them.
func (c *cluster) voters(id ledger.ShardID) (nodes []string) {
	leader := c.leaderNow(id)
	if leader == nil {
		return nil
	}
	for _, one := range leader.service.shardStatus(id).Replicas {
		if one.State == stateVoter {
			nodes = append(nodes, one.Node)
		}
	}
	return nodes
}

// A region with too few data nodes gets no shard until there are enough.
func TestARegionWithTooFewDataNodesGetsNoShard(t *testing.T) {
	c := regionalCluster(t, Options{}, "n1", "n1", "s1", "s1", "s2")
	c.settled(0, 3)
	c.need("north", "south")
	c.regionSettled(south, 3)
	c.g.Consistently(func() []string { return c.heldBy(north) }, time.Second).Should(gomega.BeEmpty())
	c.add("n9", "n2")
	c.need("north")
	c.regionSettled(north, 3)
}

// A lost replica is replaced within the region, though the free nodes elsewhere are in
// zones that have none.
func TestALostReplicaIsReplacedWithinItsRegion(t *testing.T) {
	c := regionalCluster(t, Options{ReplaceAfter: 300 * time.Millisecond}, "n1", "n1", "n2", "n2", "s1", "s2", "s3")
	c.settled(0, 3)
	c.need("north")
	c.regionSettled(north, 3)
	c.proposeMany(north, "x", 20)
	lost := c.nodes[c.regionReplicas(north)[0]]
	c.kill(lost)
	c.g.Eventually(func() []string { return c.regionReplicas(north) }).
		Should(gomega.And(gomega.HaveLen(3), gomega.Not(gomega.ContainElement(lost.name))))
	c.g.Expect(c.heldBy(north)).To(gomega.HaveEach(gomega.HavePrefix("n")))
	// Until the lost one is out, there are four voters, of which three are needed: one more
	// loss is one too many for three copies then.
	c.g.Eventually(func() []string { return c.voters(north) }).
		Should(gomega.And(gomega.HaveLen(3), gomega.Not(gomega.ContainElement(lost.name))))
	second := c.nodes[c.regionReplicas(north)[0]]
	c.kill(second) // nobody of the region is left to take its place
	c.g.Consistently(func() []string { return c.heldBy(north) }, time.Second).Should(gomega.HaveEach(gomega.HavePrefix("n")))
	c.expectEntries(north, "x", 20)
}

// A data node that is to be emptied gives its replica to one of the region, and is told
// to be empty only then.
func TestARegionsReplicaMovesWithinItsRegion(t *testing.T) {
	c := regionalCluster(t, Options{}, "n1", "n1", "n2", "n2", "s1", "s2", "s3")
	c.settled(0, 3)
	c.need("north")
	c.regionSettled(north, 3)
	emptied := c.nodes[c.regionReplicas(north)[0]]
	asker := c.nodes["n4"]
	// The asker hears of the region's leader a moment after the shard is settled.
	c.g.Eventually(func() (Placed, error) {
		return asker.service.AskPlaced(t.Context(), north, emptied.name)
	}).Should(gomega.Equal(Placed{Holds: true, Sound: 2}))
	m := memberSource{c.list, emptied.name}.Self()
	m.State = membership.StateLeaving
	c.list.set(m)
	c.g.Eventually(func() Placed {
		placed, _ := asker.service.AskPlaced(t.Context(), north, emptied.name)
		return placed
	}).Should(gomega.Equal(Placed{Sound: 3}))
	c.g.Eventually(func() []string { return c.regionReplicas(north) }).Should(gomega.HaveLen(3))
	c.g.Expect(c.heldBy(north)).To(gomega.HaveEach(gomega.HavePrefix("n")))
}

// A node refuses a replica that may not lie on it, whoever asks; one that comes back in
// another region doesn't run its replica and is replaced.
func TestANodeOfAnotherRegionHoldsNoReplica(t *testing.T) {
	c := regionalCluster(t, Options{ReplaceAfter: 300 * time.Millisecond}, "n1", "n1", "n2", "n2", "s1", "s2", "s3")
	c.settled(0, 3)
	c.need("north")
	c.regionSettled(north, 3)
	asker, other := c.nodes["n0"], c.nodes["n4"]
	_, err := asker.transport.Call(t.Context(), other.transport.Address(), kindJoin, encode(joinRequest{Shard: north}))
	c.g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("may not lie")))
	moved := c.nodes[c.regionReplicas(north)[0]]
	c.kill(moved)
	moved.zone = "s1"
	c.start(moved)
	c.g.Eventually(func() []string { return c.regionReplicas(north) }).
		Should(gomega.And(gomega.HaveLen(3), gomega.Not(gomega.ContainElement(moved.name))))
	c.g.Expect(c.heldBy(north)).To(gomega.HaveEach(gomega.HavePrefix("n")))
	c.g.Expect(c.heldBy(0)).NotTo(gomega.BeEmpty())
}

// What is proposed while a node is in another region doesn't reach it, also where its
// voter can't be replaced.
func TestEntriesDoNotReachANodeOfAnotherRegion(t *testing.T) {
	c := regionalCluster(t, Options{ReplaceAfter: 300 * time.Millisecond}, "n1", "n1", "n2", "s1", "s2", "s3")
	const body = "only north may have this"
	var outside, inside atomic.Int32
	c.frames = func(n *node, payload []byte) {
		switch {
		case !bytes.Contains(payload, []byte(body)):
		case regionOfZone(n.zone) == "north":
			inside.Add(1)
		default:
			outside.Add(1)
		}
	}
	for _, n := range c.nodes { // again, with their frames watched
		c.kill(n)
		c.start(n)
	}
	c.settled(0, 3)
	c.need("north")
	c.regionSettled(north, 3)
	// A node of another region hears of the leader a moment after the shard is settled.
	var leader transport.Address
	c.g.Eventually(func() (known bool) {
		leader, known = c.nodes["n3"].service.Leader(north)
		return known
	}).Should(gomega.BeTrue())
	at := slices.IndexFunc([]string{"n0", "n1", "n2"}, func(name string) bool { return c.nodes[name].transport.Address() != leader })
	moved := c.nodes[[]string{"n0", "n1", "n2"}[at]]
	c.kill(moved)
	moved.zone = "s1"
	c.start(moved)
	for i := range 20 {
		c.propose(north, fmt.Sprint(body, i))
	}
	c.g.Expect(inside.Load()).NotTo(gomega.BeZero())
	c.g.Expect(outside.Load()).To(gomega.BeZero())
}

// Whatever nodes come, leave and are lost: no plan puts a replica outside the region,
// and none falls below what it had.
func TestPlansKeepToTheRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		least := rapid.SampledFrom([]int{3, 5}).Draw(t, "least")
		s := &Service{options: Options{Copies: 5, LeastCopies: least, ZoneLosses: rapid.IntRange(0, 1).Draw(t, "zone losses"), Regions: []string{"north", "south"}}, regions: regionsByShard([]string{"north", "south"})}
		var members []membership.Member
		for i := range rapid.IntRange(1, 14).Draw(t, "nodes") {
			region := rapid.SampledFrom([]string{"north", "south", ""}).Draw(t, "region")
			zone := region + fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "zone"))
			members = append(members, membership.Member{Name: fmt.Sprint("m", i), Zone: zone, Region: region, HasData: true})
		}
		regionOf := func(node string) string {
			for _, m := range members {
				if m.Name == node {
					return m.Region
				}
			}
			return "none"
		}
		inRegion := s.within(north, members)
		if !s.enough(north, inRegion) {
			return
		}
		chosen := placeShards(1, sitesFor(inRegion), s.options.aim())[0]
		if len(chosen) < s.options.LeastCopies {
			t.Fatalf("%d replicas on %d nodes", len(chosen), len(inRegion))
		}
		var held []member
		for i, at := range chosen {
			if regionOf(at.node) != "north" {
				t.Fatalf("placed on %s of region %q", at.node, regionOf(at.node))
			}
			lost := i > 0 && rapid.Bool().Draw(t, "lost")
			held = append(held, member{replica: replication.ReplicaID(i + 1), site: at, voter: true, leader: i == 0, lost: lost})
		}
		plan := planRepair(held, sitesFor(inRegion), s.options.aim())
		for _, at := range plan.join {
			if regionOf(at.node) != "north" {
				t.Fatalf("joins %s of region %q", at.node, regionOf(at.node))
			}
		}
		if len(plan.wanted) < s.options.LeastCopies {
			t.Fatalf("%d of %d replicas are wanted", len(plan.wanted), len(held))
		}
	})
}

func TestTwoRegionsAreToldApart(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(north).NotTo(gomega.Equal(south))
	g.Expect(north.Regional()).To(gomega.BeTrue())
	g.Expect(ledger.ShardID(0).Regional()).To(gomega.BeFalse())
	g.Expect(hasDoubles([]string{"north", "south"})).To(gomega.BeFalse())
	g.Expect(hasDoubles([]string{"north", "north"})).To(gomega.BeTrue())
}
