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

// placeOfText reads a place from contents like "group zone".
func placeOfText(content []byte) Place {
	group, zone, _ := strings.Cut(string(content), " ")
	return Place{Group: group, Zone: zone}
}

func partTable(node, zone string) *Table {
	table := NewTable([]string{kind})
	table.PlaceBy(kind, placeOfText)
	if node != "" {
		table.TakePart(kind, node, zone)
	}
	return table
}

// pullInto has a table of a part take what another one, of all, has beyond it.
func pullInto(part, all *Table) {
	delta, shifts, known := all.sinceFor(kind, part.At(kind), part.Part(kind))
	if known {
		part.mergePart(delta, shifts)
	}
}

// spread fills a table with objects of a group, over zones.
func spread(table *Table, count, zones int) {
	objects := make([]Object, 0, count)
	for i := range count {
		objects = append(objects, Object{Name: fmt.Sprint("e", i), Revision: uint64(i + 1), Content: fmt.Appendf(nil, "g zone-%d", i%zones)})
	}
	table.Merge(Delta{Kind: kind, Whole: true, At: uint64(count), Objects: objects})
}

// What a front node knows doesn't grow with the fleet, is mostly of its own zone, and each
// object is known to about as many nodes as another one.
func TestAPartDoesNotGrowWithTheFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	const zones = 5
	for _, count := range []int{500, 10_000, 20_000} {
		all := partTable("", "")
		spread(all, count, zones)
		knownTo := map[string]int{}
		const fronts = 60
		for i := range fronts {
			front := partTable(fmt.Sprint("front-", i), fmt.Sprint("zone-", i%zones))
			pullInto(front, all)
			near := 0
			objects := front.Objects(kind)
			for _, object := range objects {
				knownTo[object.Name]++
				if placeOfText(object.Content).Zone == fmt.Sprint("zone-", i%zones) {
					near++
				}
			}
			g.Expect(len(objects)).To(gomega.BeNumerically("<=", 4*(nearLeast+farLeast)), "%d objects", count)
			g.Expect(near).To(gomega.BeNumerically(">=", min(count/zones, nearLeast*3/4)), "%d objects", count)
			g.Expect(len(objects)-near).To(gomega.BeNumerically(">=", min(count*(zones-1)/zones, farLeast/2)), "%d objects", count)
			if count == 500 {
				g.Expect(objects).To(gomega.HaveLen(count), "a small fleet is known whole")
			}
		}
		mean, most := 0, 0
		for _, known := range knownTo {
			mean += known
			most = max(most, known)
		}
		g.Expect(float64(most)).To(gomega.BeNumerically("<", 8+4*float64(mean)/float64(count)), "%d objects", count)
	}
}

// A small group beside a large one is known whole.
func TestASmallGroupIsKnownWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	all := partTable("", "")
	spread(all, 5000, 5)
	all.Merge(Delta{Kind: kind, Since: 5000, At: 5003, Objects: []Object{
		{Name: "s1", Revision: 5001, Content: []byte("small zone-1")}, {Name: "s2", Revision: 5002, Content: []byte("small zone-2")},
		{Name: "unreadable", Revision: 5003},
	}})
	front := partTable("front", "zone-0")
	pullInto(front, all)
	known := names(front.Objects(kind))
	for _, name := range []string{"s1", "s2", "unreadable"} {
		g.Expect(known).To(gomega.HaveKey(name))
	}
}

// However objects come, go, move and become many or few, a part has what belongs to it
// as it is, and nothing else.
func TestAPartFollowsAllChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := partTable("", "")
		spread(all, 3000, 2)
		part := partTable("front", "zone-0")
		next, at := 3000, uint64(3000)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0: // many come, or go
				var objects []Object
				from, gone := rapid.IntRange(0, next-1).Draw(t, "from"), rapid.Bool().Draw(t, "gone")
				for i := range rapid.IntRange(1, 1500).Draw(t, "count") {
					at++
					name := fmt.Sprint("e", next)
					if gone {
						name = fmt.Sprint("e", from+i)
					} else {
						next++
					}
					objects = append(objects, Object{Name: name, Revision: at, Gone: gone, Content: fmt.Appendf(nil, "g zone-%d", i%2)})
				}
				all.Merge(Delta{Kind: kind, Since: all.At(kind), At: at, Objects: objects})
			case 1: // one moves, or changes
				at++
				all.Merge(Delta{Kind: kind, Since: all.At(kind), At: at, Objects: []Object{
					{Name: fmt.Sprint("e", rapid.IntRange(0, next-1).Draw(t, "which")), Revision: at, Content: fmt.Appendf(nil, "g zone-%d", at%3)}}})
			case 2: // all are listed anew
				at++
				all.Merge(Delta{Kind: kind, Whole: true, At: at, Objects: all.Objects(kind)})
			}
			if rapid.Bool().Draw(t, "pull") {
				pullInto(part, all)
				checkPart(t, part, all)
			}
		}
		pullInto(part, all)
		checkPart(t, part, all)
	})
}

func checkPart(t *rapid.T, part, all *Table) {
	wanted := map[string]uint64{}
	for _, object := range all.Objects(kind) {
		if part.Part(kind).has(object.Name, placeOfText(object.Content)) {
			wanted[object.Name] = object.Revision
		}
	}
	got := map[string]uint64{}
	for _, object := range part.Objects(kind) {
		got[object.Name] = object.Revision
	}
	if !maps.Equal(wanted, got) {
		t.Fatalf("the part has %d objects, %d belong to it", len(got), len(wanted))
	}
	if part.At(kind) != all.At(kind) {
		t.Fatalf("the part is at %d, all are at %d", part.At(kind), all.At(kind))
	}
}

// What the store itself tells a node is narrowed to its part, too.
func TestOwnReadingsAreNarrowedToThePart(t *testing.T) {
	g := gomega.NewWithT(t)
	front := partTable("front", "zone-0")
	spread(front, 4000, 2)
	g.Expect(front.Partial(kind)).To(gomega.BeTrue())
	g.Expect(front.At(kind)).To(gomega.Equal(uint64(4000)))
	before := len(front.Objects(kind))
	g.Expect(before).To(gomega.BeNumerically("<", 1000))
	taken := front.Objects(kind)[0].Name
	front.Merge(Delta{Kind: kind, Since: 4000, At: 4002, Objects: []Object{
		{Name: taken, Revision: 4001, Gone: true}, {Name: "foreign", Revision: 4002, Content: []byte("g zone-9")},
	}})
	g.Expect(front.Objects(kind)).To(gomega.HaveLen(before), "one went, and one of a new zone came")
	g.Expect(names(front.Objects(kind))).NotTo(gomega.HaveKey(taken))
}

func TestFetchesComeBackAsTheyWereSent(t *testing.T) {
	g := gomega.NewWithT(t)
	shifts := map[Place]uint8{{Group: "g", Zone: "z"}: 3}
	request := pull{
		wait: 5 * time.Millisecond, nodesDigest: 9, headsOnly: true, nodes: []Node{{Name: "d", Address: "d", Zone: "z", Started: 4}},
		kinds: map[string]position{
			kind:  {at: 3, age: time.Second, part: &selection{node: "front", zone: "z", shifts: shifts}},
			"all": {at: 4, age: 2 * time.Second},
		},
	}
	asked, err := unmarshalFetch(request.marshalFetch("front", "z"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(asked).To(gomega.Equal(request))
	objects := []Object{{Name: "a", Revision: 4, Content: []byte("x")}, {Name: "b", Revision: 5, Gone: true, Content: nil}}
	sent := answer{nodes: request.nodes, deltas: []agedDelta{
		{Delta: Delta{Kind: kind, At: 9, Since: 3, Whole: true}, age: 70 * time.Millisecond, shifts: shifts, block: packObjects(objects)},
		{Delta: Delta{Kind: "all", At: 9}, held: true, shifts: map[Place]uint8{}},
	}}
	got, err := unmarshalFetched(sent.marshalFetched())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.nodes).To(gomega.Equal(sent.nodes))
	g.Expect(got.deltas[0].Objects).To(gomega.Equal(objects))
	g.Expect(got.deltas[0].shifts).To(gomega.Equal(shifts))
	g.Expect(got.deltas[1].held).To(gomega.BeTrue())
	answered, requested := sent.marshalFetched(), request.marshalFetch("front", "z")
	for _, short := range []int{1, 9, 20} {
		_, err := unmarshalFetched(answered[:len(answered)-short])
		g.Expect(err).To(gomega.HaveOccurred(), "%d bytes short", short)
		_, err = unmarshalFetch(requested[:len(requested)-short])
		g.Expect(err).To(gomega.HaveOccurred(), "%d bytes short", short)
	}
}

// A node asks a few data nodes only, and a front node those of its zone first, however
// many there are.
func TestANodeAsksFewDataNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		fleet := newFleetIn(60, 30, zone)
		defer fleet.close()
		time.Sleep(6 * settle)
		for name, host := range fleet.hosts {
			fleet.mutex.Lock()
			peers := len(host.called)
			fleet.mutex.Unlock()
			g.Expect(peers).To(gomega.BeNumerically("<=", 4*feedersMost), "%s", name)
		}
		g.Expect(fleet.ignorant("first")).To(gomega.BeEmpty())
	})
}

// Beside peers of an earlier version, which know only pulls of all objects, nodes learn as
// before; and these learn from nodes that know more.
func TestPeersOfAnEarlierVersionAreAskedAsTheyUnderstand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		fleet := newTestFleet(4, 6)
		defer fleet.close()
		for _, name := range []string{"data-00", "data-02", "front-01", "front-04"} {
			fleet.mutex.Lock()
			fleet.hosts[transport.Address(name)].plain = true
			fleet.mutex.Unlock()
		}
		time.Sleep(settle)
		fleet.store.put("news")
		time.Sleep(testFresh / 2)
		g.Expect(fleet.ignorant("news")).To(gomega.BeEmpty())
	})
}
