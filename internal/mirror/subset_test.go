package mirror

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/transport"
)

// parsePlace reads a place from contents like "group zone".
func parsePlace(content []byte) Place {
	group, zone, _ := strings.Cut(string(content), " ")
	return Place{Group: group, Zone: zone}
}

func newSubsetTable(node, zone string) *Table {
	table := NewTable([]string{kind})
	table.SetPlaceFunc(kind, parsePlace)
	if node != "" {
		table.KeepSubset(kind, node, zone)
	}
	return table
}

// pullTable merges into partial, which keeps a subset, what all has beyond it.
func pullTable(partial, all *Table) {
	delta, shifts, known := all.subsetSince(kind, partial.Revision(kind), partial.Subset(kind))
	if known {
		partial.mergeSubset(delta, shifts)
	}
}

// fillTable fills a table with objects of one group, spread over zones.
func fillTable(table *Table, count, zones int) {
	objects := make([]Object, 0, count)
	for i := range count {
		objects = append(objects, Object{Name: fmt.Sprint("e", i), Revision: uint64(i + 1), Content: fmt.Appendf(nil, "g zone-%d", i%zones)})
	}
	table.Merge(Delta{Kind: kind, IsSnapshot: true, Revision: uint64(count), Objects: objects})
}

// A front node's subset must not grow with the fleet and must prefer its own zone, and objects
// must be spread evenly over front nodes.
func TestSubsetSizeIndependentOfFleetSize(t *testing.T) {
	g := gomega.NewWithT(t)
	const zones = 5
	for _, count := range []int{500, 10_000, 20_000} {
		all := newSubsetTable("", "")
		fillTable(all, count, zones)
		nodesPerObject := map[string]int{}
		const fronts = 60
		for i := range fronts {
			front := newSubsetTable(fmt.Sprint("front-", i), fmt.Sprint("zone-", i%zones))
			pullTable(front, all)
			local := 0
			objects := front.Objects(kind)
			for _, object := range objects {
				nodesPerObject[object.Name]++
				if parsePlace(object.Content).Zone == fmt.Sprint("zone-", i%zones) {
					local++
				}
			}
			g.Expect(len(objects)).To(gomega.BeNumerically("<=", 4*(minLocalObjects+minRemoteObjects)), "%d objects", count)
			g.Expect(local).To(gomega.BeNumerically(">=", min(count/zones, minLocalObjects*3/4)), "%d objects", count)
			g.Expect(len(objects)-local).To(gomega.BeNumerically(">=", min(count*(zones-1)/zones, minRemoteObjects/2)), "%d objects", count)
			if count == 500 {
				g.Expect(objects).To(gomega.HaveLen(count), "a small fleet is mirrored completely")
			}
		}
		total, maxNodes := 0, 0
		for _, nodes := range nodesPerObject {
			total += nodes
			maxNodes = max(maxNodes, nodes)
		}
		g.Expect(float64(maxNodes)).To(gomega.BeNumerically("<", 8+4*float64(total)/float64(count)), "%d objects", count)
	}
}

// A small group must be kept completely beside a large one.
func TestSubsetKeepsSmallGroupWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	all := newSubsetTable("", "")
	fillTable(all, 5000, 5)
	all.Merge(Delta{Kind: kind, Since: 5000, Revision: 5003, Objects: []Object{
		{Name: "s1", Revision: 5001, Content: []byte("small zone-1")}, {Name: "s2", Revision: 5002, Content: []byte("small zone-2")},
		{Name: "unreadable", Revision: 5003},
	}})
	front := newSubsetTable("front", "zone-0")
	pullTable(front, all)
	known := names(front.Objects(kind))
	for _, name := range []string{"s1", "s2", "unreadable"} {
		g.Expect(known).To(gomega.HaveKey(name))
	}
}

// A subset must contain exactly the objects that belong to it after any sequence of changes.
func TestSubsetFollowsAllChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := newSubsetTable("", "")
		fillTable(all, 3000, 2)
		partial := newSubsetTable("front", "zone-0")
		next, revision := 3000, uint64(3000)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0: // add or remove many objects
				var objects []Object
				from, gone := rapid.IntRange(0, next-1).Draw(t, "from"), rapid.Bool().Draw(t, "gone")
				for i := range rapid.IntRange(1, 1500).Draw(t, "count") {
					revision++
					name := fmt.Sprint("e", next)
					if gone {
						name = fmt.Sprint("e", from+i)
					} else {
						next++
					}
					objects = append(objects, Object{Name: name, Revision: revision, Gone: gone, Content: fmt.Appendf(nil, "g zone-%d", i%2)})
				}
				all.Merge(Delta{Kind: kind, Since: all.Revision(kind), Revision: revision, Objects: objects})
			case 1: // change or move one object
				revision++
				all.Merge(Delta{Kind: kind, Since: all.Revision(kind), Revision: revision, Objects: []Object{
					{Name: fmt.Sprint("e", rapid.IntRange(0, next-1).Draw(t, "which")), Revision: revision, Content: fmt.Appendf(nil, "g zone-%d", revision%3)}}})
			case 2: // list all objects again
				revision++
				all.Merge(Delta{Kind: kind, IsSnapshot: true, Revision: revision, Objects: all.Objects(kind)})
			}
			if rapid.Bool().Draw(t, "pull") {
				pullTable(partial, all)
				checkSubset(t, partial, all)
			}
		}
		pullTable(partial, all)
		checkSubset(t, partial, all)
	})
}

func checkSubset(t *rapid.T, partial, all *Table) {
	want := map[string]uint64{}
	for _, object := range all.Objects(kind) {
		if partial.Subset(kind).contains(object.Name, parsePlace(object.Content)) {
			want[object.Name] = object.Revision
		}
	}
	got := map[string]uint64{}
	for _, object := range partial.Objects(kind) {
		got[object.Name] = object.Revision
	}
	if !maps.Equal(want, got) {
		t.Fatalf("the subset table has %d objects, want %d", len(got), len(want))
	}
	if partial.Revision(kind) != all.Revision(kind) {
		t.Fatalf("the subset table is at revision %d, the full one at %d", partial.Revision(kind), all.Revision(kind))
	}
}

// Deltas read from the store must be restricted to the node's subset.
func TestStoreReadsRestrictedToSubset(t *testing.T) {
	g := gomega.NewWithT(t)
	front := newSubsetTable("front", "zone-0")
	fillTable(front, 4000, 2)
	g.Expect(front.Partial(kind)).To(gomega.BeTrue())
	g.Expect(front.Revision(kind)).To(gomega.Equal(uint64(4000)))
	before := len(front.Objects(kind))
	g.Expect(before).To(gomega.BeNumerically("<", 1000))
	removed := front.Objects(kind)[0].Name
	front.Merge(Delta{Kind: kind, Since: 4000, Revision: 4002, Objects: []Object{
		{Name: removed, Revision: 4001, Gone: true}, {Name: "foreign", Revision: 4002, Content: []byte("g zone-9")},
	}})
	g.Expect(front.Objects(kind)).To(gomega.HaveLen(before), "one object removed, one of a new zone added")
	g.Expect(names(front.Objects(kind))).NotTo(gomega.HaveKey(removed))
}

func TestFetchMessagesRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	shifts := map[Place]uint8{{Group: "g", Zone: "z"}: 3}
	request := pullRequest{
		wait: 5 * time.Millisecond, nodesDigest: 9, revisionsOnly: true, nodes: []Node{{Name: "d", Address: "d", Zone: "z", Started: 4}},
		kinds: map[string]position{
			kind:  {revision: 3, age: time.Second, subset: &subset{node: "front", zone: "z", shifts: shifts}},
			"all": {revision: 4, age: 2 * time.Second},
		},
	}
	decoded, err := unmarshalFetch(request.marshalFetch("front", "z"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded).To(gomega.Equal(request))
	objects := []Object{{Name: "a", Revision: 4, Content: []byte("x")}, {Name: "b", Revision: 5, Gone: true, Content: nil}}
	sent := pullResponse{nodes: request.nodes, deltas: []responseDelta{
		{Delta: Delta{Kind: kind, Revision: 9, Since: 3, IsSnapshot: true}, age: 70 * time.Millisecond, shifts: shifts, encoded: packObjects(objects)},
		{Delta: Delta{Kind: "all", Revision: 9}, withheld: true, shifts: map[Place]uint8{}},
	}}
	got, err := unmarshalFetched(sent.marshalFetched())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.nodes).To(gomega.Equal(sent.nodes))
	g.Expect(got.deltas[0].Objects).To(gomega.Equal(objects))
	g.Expect(got.deltas[0].shifts).To(gomega.Equal(shifts))
	g.Expect(got.deltas[1].withheld).To(gomega.BeTrue())
	encodedResponse, encodedRequest := sent.marshalFetched(), request.marshalFetch("front", "z")
	for _, short := range []int{1, 9, 20} {
		_, err := unmarshalFetched(encodedResponse[:len(encodedResponse)-short])
		g.Expect(err).To(gomega.HaveOccurred(), "%d bytes short", short)
		_, err = unmarshalFetch(encodedRequest[:len(encodedRequest)-short])
		g.Expect(err).To(gomega.HaveOccurred(), "%d bytes short", short)
	}
}

// The number of data nodes that a node calls must not grow with the fleet.
func TestNodeCallsFewDataNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		fleet := newFleetInZones(60, 30, zone)
		defer fleet.close()
		time.Sleep(6 * settleTime)
		for name, host := range fleet.hosts {
			fleet.mutex.Lock()
			peers := len(host.peersCalled)
			fleet.mutex.Unlock()
			g.Expect(peers).To(gomega.BeNumerically("<=", 4*maxSourcePeers), "%s", name)
		}
		g.Expect(fleet.nodesMissing("first")).To(gomega.BeEmpty())
	})
}

// Changes must propagate in a fleet in which some peers are of an earlier version that supports
// only pulls.
func TestLegacyPeersExchangeChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		fleet := newTestFleet(4, 6)
		defer fleet.close()
		for _, name := range []string{"data-00", "data-02", "front-01", "front-04"} {
			fleet.mutex.Lock()
			fleet.hosts[transport.Address(name)].legacy = true
			fleet.mutex.Unlock()
		}
		time.Sleep(settleTime)
		fleet.store.put("news")
		time.Sleep(testFresh / 2)
		g.Expect(fleet.nodesMissing("news")).To(gomega.BeEmpty())
	})
}
