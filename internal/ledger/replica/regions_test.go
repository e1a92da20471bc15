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

// newRegionalCluster starts data nodes n0, n1, ... in the zones, each named by the first
// letter of its region and a number.
func newRegionalCluster(t *testing.T, options Options, zones ...string) *cluster {
	options.Regions, options.MinCopies, options.ReplaceLeaving = []string{"north", "south"}, 3, true
	c := newCluster(t, options)
	c.addAll(zones...)
	return c
}

func (c *cluster) requestRegions(regions ...string) {
	for _, n := range c.nodes {
		if n.service != nil {
			n.service.RequestShards(regions)
		}
	}
}

// zonesHolding returns the zone of each running node that holds a replica.
func (c *cluster) zonesHolding(id ledger.ShardID) (zones []string) {
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

// Guards against regional shards that are created before they are requested or placed
// outside their region.
func TestRegionalShardPlacedInItsRegion(t *testing.T) {
	c := newRegionalCluster(t, Options{}, "n1", "n1", "n2", "s1", "s1", "s2")
	c.waitForReplicas(0, 3)
	c.g.Expect(c.zonesHolding(north)).To(gomega.BeEmpty())
	for _, n := range c.nodes {
		c.g.Expect(n.service.Regional()).To(gomega.BeEmpty())
		c.g.Expect(n.service.Status().Shards).To(gomega.HaveLen(1))
	}
	c.requestRegions("north")
	c.waitForRegionReplicas(north, 3)
	c.g.Expect(c.zonesHolding(north)).To(gomega.ConsistOf("n1", "n1", "n2"))
	c.g.Expect(c.zonesHolding(south)).To(gomega.BeEmpty())
	c.proposeMany(north, "x", 20)
	c.requestRegions("south")
	c.waitForRegionReplicas(south, 3)
	c.g.Expect(c.zonesHolding(south)).To(gomega.ConsistOf("s1", "s1", "s2"))
	front := c.add("front", "")
	c.g.Eventually(func() bool {
		leader, known := front.service.Leader(north)
		return known && leader == c.leader(north).transport.Address()
	}).Should(gomega.BeTrue())
	c.expectEntries(north, "x", 20)
}

func (c *cluster) waitForRegionReplicas(id ledger.ShardID, count int) {
	c.g.Eventually(func() int { return len(c.regionReplicas(id)) }).Should(gomega.Equal(count))
}

// regionReplicas returns the nodes that run a healthy voter, as the leader sees them.
func (c *cluster) regionReplicas(id ledger.ShardID) (nodes []string) {
	leader := c.leaderNow(id)
	if leader == nil {
		return nil
	}
	for _, r := range leader.service.shardStatus(id).Replicas {
		if r.State == stateVoter && c.runsReplica(id, r) {
			nodes = append(nodes, r.Node)
		}
	}
	return nodes
}

// voters returns the nodes that the leader reports as healthy voters, including nodes
// that stopped without the leader having noticed.
func (c *cluster) voters(id ledger.ShardID) (nodes []string) {
	leader := c.leaderNow(id)
	if leader == nil {
		return nil
	}
	for _, r := range leader.service.shardStatus(id).Replicas {
		if r.State == stateVoter {
			nodes = append(nodes, r.Node)
		}
	}
	return nodes
}

// Guards against a regional shard with fewer than MinCopies replicas.
func TestRegionWithTooFewDataNodesGetsNoShard(t *testing.T) {
	c := newRegionalCluster(t, Options{}, "n1", "n1", "s1", "s1", "s2")
	c.waitForReplicas(0, 3)
	c.requestRegions("north", "south")
	c.waitForRegionReplicas(south, 3)
	c.g.Consistently(func() []string { return c.zonesHolding(north) }, time.Second).Should(gomega.BeEmpty())
	c.add("n9", "n2")
	c.requestRegions("north")
	c.waitForRegionReplicas(north, 3)
}

// Guards against replacing a lost replica outside its region, even if that would improve
// the spread over zones.
func TestLostReplicaReplacedWithinRegion(t *testing.T) {
	c := newRegionalCluster(t, Options{ReplaceAfter: 300 * time.Millisecond}, "n1", "n1", "n2", "n2", "s1", "s2", "s3")
	c.waitForReplicas(0, 3)
	c.requestRegions("north")
	c.waitForRegionReplicas(north, 3)
	c.proposeMany(north, "x", 20)
	lost := c.nodes[c.regionReplicas(north)[0]]
	c.kill(lost)
	c.g.Eventually(func() []string { return c.regionReplicas(north) }).
		Should(gomega.And(gomega.HaveLen(3), gomega.Not(gomega.ContainElement(lost.name))))
	c.g.Expect(c.zonesHolding(north)).To(gomega.HaveEach(gomega.HavePrefix("n")))
	// Until the lost voter is removed, three of four voters are needed for a majority, so
	// another loss would be fatal.
	c.g.Eventually(func() []string { return c.voters(north) }).
		Should(gomega.And(gomega.HaveLen(3), gomega.Not(gomega.ContainElement(lost.name))))
	second := c.nodes[c.regionReplicas(north)[0]]
	c.kill(second) // the region has no free node left
	c.g.Consistently(func() []string { return c.zonesHolding(north) }, time.Second).Should(gomega.HaveEach(gomega.HavePrefix("n")))
	c.expectEntries(north, "x", 20)
}

// Guards against moving a leaving node's replica outside its region, and against
// reporting the node as empty too early.
func TestLeavingNodeReplicaMovesWithinRegion(t *testing.T) {
	c := newRegionalCluster(t, Options{}, "n1", "n1", "n2", "n2", "s1", "s2", "s3")
	c.waitForReplicas(0, 3)
	c.requestRegions("north")
	c.waitForRegionReplicas(north, 3)
	leaving := c.nodes[c.regionReplicas(north)[0]]
	requester := c.nodes["n4"]
	// The requester learns the region's leader shortly after the shard is ready.
	c.g.Eventually(func() (Placement, error) {
		return requester.service.QueryPlacement(t.Context(), north, leaving.name)
	}).Should(gomega.Equal(Placement{Holds: true, HealthyVoters: 2}))
	m := memberSource{c.list, leaving.name}.Self()
	m.State = membership.StateLeaving
	c.list.set(m)
	c.g.Eventually(func() Placement {
		placement, _ := requester.service.QueryPlacement(t.Context(), north, leaving.name)
		return placement
	}).Should(gomega.Equal(Placement{HealthyVoters: 3}))
	c.g.Eventually(func() []string { return c.regionReplicas(north) }).Should(gomega.HaveLen(3))
	c.g.Expect(c.zonesHolding(north)).To(gomega.HaveEach(gomega.HavePrefix("n")))
}

// Guards against running a replica on a node of another region, whether by a join request
// or because the node came back in that region.
func TestNodeOfAnotherRegionRejectsReplica(t *testing.T) {
	c := newRegionalCluster(t, Options{ReplaceAfter: 300 * time.Millisecond}, "n1", "n1", "n2", "n2", "s1", "s2", "s3")
	c.waitForReplicas(0, 3)
	c.requestRegions("north")
	c.waitForRegionReplicas(north, 3)
	requester, other := c.nodes["n0"], c.nodes["n4"]
	_, err := requester.transport.Call(t.Context(), other.transport.Address(), kindJoin, encode(joinRequest{Shard: north}))
	c.g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("may not lie")))
	moved := c.nodes[c.regionReplicas(north)[0]]
	c.kill(moved)
	moved.zone = "s1"
	c.start(moved)
	c.g.Eventually(func() []string { return c.regionReplicas(north) }).
		Should(gomega.And(gomega.HaveLen(3), gomega.Not(gomega.ContainElement(moved.name))))
	c.g.Expect(c.zonesHolding(north)).To(gomega.HaveEach(gomega.HavePrefix("n")))
	c.g.Expect(c.zonesHolding(0)).NotTo(gomega.BeEmpty())
}

// Guards against sending entries to a voter whose node came back in another region, even
// if it can't be replaced.
func TestEntriesNotSentToNodeOfAnotherRegion(t *testing.T) {
	c := newRegionalCluster(t, Options{ReplaceAfter: 300 * time.Millisecond}, "n1", "n1", "n2", "s1", "s2", "s3")
	const body = "only north may have this"
	var outside, inside atomic.Int32
	c.onFrame = func(n *node, payload []byte) {
		switch {
		case !bytes.Contains(payload, []byte(body)):
		case regionOfZone(n.zone) == "north":
			inside.Add(1)
		default:
			outside.Add(1)
		}
	}
	for _, n := range c.nodes { // restart them with the frame observer
		c.kill(n)
		c.start(n)
	}
	c.waitForReplicas(0, 3)
	c.requestRegions("north")
	c.waitForRegionReplicas(north, 3)
	// A node of another region learns the leader shortly after the shard is ready.
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

// Guards against plans that put a replica outside the region or keep fewer than
// MinCopies replicas.
func TestPlansStayWithinRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		least := rapid.SampledFrom([]int{3, 5}).Draw(t, "least")
		s := &Service{options: Options{Copies: 5, MinCopies: least, ZoneLosses: rapid.IntRange(0, 1).Draw(t, "zone losses"), Regions: []string{"north", "south"}}, regions: regionsByShard([]string{"north", "south"})}
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
		inRegion := s.eligibleMembers(north, members)
		if !s.canHoldReplicas(north, inRegion) {
			return
		}
		chosen := placeShards(1, sitesFor(inRegion), s.options.placementPolicy())[0]
		if len(chosen) < s.options.MinCopies {
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
		plan := planRepair(held, sitesFor(inRegion), s.options.placementPolicy())
		for _, at := range plan.candidates {
			if regionOf(at.node) != "north" {
				t.Fatalf("candidate %s of region %q", at.node, regionOf(at.node))
			}
		}
		if len(plan.wanted) < s.options.MinCopies {
			t.Fatalf("plan keeps %d of %d replicas", len(plan.wanted), len(held))
		}
	})
}

// Guards against two regions sharing a shard ID.
func TestRegionShardsAreDistinct(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(north).NotTo(gomega.Equal(south))
	g.Expect(north.Regional()).To(gomega.BeTrue())
	g.Expect(ledger.ShardID(0).Regional()).To(gomega.BeFalse())
	g.Expect(hasShardCollision([]string{"north", "south"})).To(gomega.BeFalse())
	g.Expect(hasShardCollision([]string{"north", "north"})).To(gomega.BeTrue())
}
