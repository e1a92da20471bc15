package replica

import (
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger/replication"
)

// makeSites returns one site per zone letter: "aab" gives nodes a0, a1 and b2.
func makeSites(zones string) []site {
	var sites []site
	for i, zone := range zones {
		sites = append(sites, site{node: fmt.Sprintf("%c%d", zone, i), zone: string(zone)})
	}
	return sites
}

// Guards against an uneven spread of replicas over zones and nodes.
func TestPlacementSpreadsOverZonesAndNodes(t *testing.T) {
	for _, test := range []struct {
		zones          string
		copies, placed int
		perZone        int // maximum
	}{
		{"a", 5, 1, 1},
		{"aa", 5, 1, 1},
		{"abc", 3, 3, 1},
		{"aabbc", 5, 5, 2},
		{"aabbcc", 5, 5, 2},
		{"aaaaab", 3, 3, 2},
		{"aabbccddee", 5, 5, 1},
	} {
		t.Run(fmt.Sprint(test.zones, test.copies), func(t *testing.T) {
			g := gomega.NewWithT(t)
			sites := makeSites(test.zones)
			load := map[string]int{}
			for _, chosen := range placeShards(60, sites, placementPolicy{copies: test.copies}) {
				g.Expect(chosen).To(gomega.HaveLen(test.placed))
				for _, count := range zoneCounts(chosen) {
					g.Expect(count).To(gomega.BeNumerically("<=", test.perZone))
				}
				for _, s := range chosen {
					load[s.node]++
				}
				slices.SortFunc(chosen, func(a, b site) int { return slices.Index(sites, a) - slices.Index(sites, b) })
				g.Expect(slices.Compact(chosen)).To(gomega.HaveLen(test.placed), "each node holds at most one replica of a shard")
			}
			if test.zones == "aabbccddee" {
				g.Expect(load).To(gomega.HaveEach(30))
			}
		})
	}
}

// Guards against placements that lose their majority with one zone, given three zones;
// fewer copies are placed if one zone has most of the nodes.
func TestPlacementSurvivesZoneLoss(t *testing.T) {
	for _, test := range []struct {
		zones          string
		copies, placed int
		survives       bool
	}{
		{"abc", 3, 3, true},
		{"aabbc", 5, 5, true},
		{"aaaabbbccc", 5, 5, true},
		{"aaaabc", 5, 3, true},
		{"aaaabbc", 5, 5, true},
		{"aaaabbccddee", 7, 7, true},
		{"aaabbb", 5, 5, false},
		{"aaa", 3, 3, false},
	} {
		t.Run(fmt.Sprint(test.zones, test.copies), func(t *testing.T) {
			g := gomega.NewWithT(t)
			for _, chosen := range placeShards(60, makeSites(test.zones), placementPolicy{test.copies, 1}) {
				g.Expect(chosen).To(gomega.HaveLen(test.placed))
				var members []member
				for _, s := range chosen {
					members = append(members, member{site: s, voter: true})
				}
				g.Expect(survivesZoneLoss(members)).To(gomega.Equal(test.survives))
			}
		})
	}
}

// Guards against repair plans that drop needed replicas or pick the wrong zones.
func TestPlanRepair(t *testing.T) {
	// Each member is its zone and a state: v voter, l learner, L lost voter, G voter
	// presumed dead, S superseded voter, X lost learner. The first member leads.
	for _, test := range []struct {
		name, members, free string
		copies              int
		wanted              string // indexes of the members to keep
		candidates          string // zones of the candidate sites
		zoneLosses          int
	}{
		{"healthy", "av bv cv", "d", 3, "012", "", 0},
		{"lost voter, sites free in several zones", "av bv cL", "abc", 3, "012", "c", 0},
		{"lost voter, no free site", "av bv cL", "", 3, "012", "", 0},
		{"lost voter, learner added", "av bv cL cl", "b", 3, "013", "", 0},
		{"superseded voter", "av bv cS", "", 3, "012", "c", 0},
		{"two of five voters lost", "av av bv bL cL", "c", 5, "01234", "c", 0},
		{"grows from three to five", "av bv cv", "de", 5, "012", "de", 0},
		{"doesn't grow to four", "av bv cv", "d", 5, "012", "", 0},
		{"one voter too many", "av bv cv cv", "", 3, "013", "", 0},
		{"leader is never removed", "cv cv av bv", "", 3, "023", "", 0},
		{"spread can improve", "av av av", "b", 3, "012", "b", 0},
		{"spread is even", "av av bv", "b", 3, "012", "", 0},
		{"lost learner is removed", "av bv cv cX", "", 3, "012", "", 0},
		{"zone lost, other zones below limit", "bv bv cv aL aL", "bc", 5, "01234", "c", 1},
		{"zone lost, other zones at limit", "bv bv cv aL aL cv", "bc", 5, "01235", "", 1},
		{"zone presumed dead, other zones at limit", "bv bv cv aG aG cv", "bc", 5, "01235", "bc", 1},
		{"zone lost, no zone tolerance", "bv bv cv aL aL cv", "bc", 5, "01235", "bc", 0},
		{"zone lost, three copies", "bv cv aL", "bc", 3, "012", "", 1},
		{"zone presumed dead, three copies", "bv cv aG", "bc", 3, "012", "bc", 1},
		{"zone returned with its disk", "bv cv av", "bc", 3, "012", "", 1},
		{"zone returned after replacement", "bv bv cv", "abc", 3, "012", "a", 1},
		{"zone returned, learner added", "bv bv cv al", "abc", 3, "023", "", 1},
		{"zone returned with an empty disk", "bv cv aS", "bc", 3, "012", "a", 1},
		{"lost voter kept over superseded one", "bv bv cv cv aS aL", "", 5, "01235", "a", 1},
		{"leaving voter is replaced at once", "bv cv aG", "b", 3, "012", "b", 1},
		{"lost voter replaced in its zone", "bv cv aL", "ab", 3, "012", "a", 1},
		{"two zones only", "av bv bL", "ab", 3, "012", "ab", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			members, sites := makeMembers(test.members, test.free)
			plan := planRepair(members, sites, placementPolicy{test.copies, test.zoneLosses})
			var wanted []replication.ReplicaID
			for _, index := range test.wanted {
				wanted = append(wanted, replication.ReplicaID(index-'0'+1))
			}
			g.Expect(plan.wanted).To(gomega.Equal(wanted))
			zones := ""
			for _, s := range plan.candidates {
				zones += s.zone
			}
			g.Expect(zones).To(gomega.Equal(test.candidates))
		})
	}
}

func makeMembers(described, free string) ([]member, []site) {
	var members []member
	var sites []site
	for i, spec := range splitPairs(described) {
		m := member{
			replica:      replication.ReplicaID(i + 1),
			site:         site{node: fmt.Sprint("member", i), zone: spec[:1]},
			voter:        spec[1] != 'l' && spec[1] != 'X',
			leader:       i == 0,
			superseded:   spec[1] == 'S',
			presumedDead: spec[1] == 'G',
		}
		m.lost = m.superseded || m.presumedDead || spec[1] == 'L' || spec[1] == 'X'
		if !m.lost || m.superseded {
			sites = append(sites, m.site)
		}
		members = append(members, m)
	}
	return members, append(sites, makeSites(free)...)
}

func splitPairs(described string) []string {
	var pairs []string
	for i := 0; i+1 < len(described); i += 3 {
		pairs = append(pairs, described[i:i+2])
	}
	return pairs
}

// Guards against frames that decode but don't survive re-encoding.
func FuzzDecodeFrame(f *testing.F) {
	good, _ := replication.Message{Type: replication.MessageHeartbeat, From: 1, To: 2, Term: 3}.Marshal()
	f.Add(encode(fixedFrame{}, good))
	f.Fuzz(func(t *testing.T, frame []byte) {
		messages, err := decodeFrame(frame)
		if err != nil {
			return
		}
		var fields [][]byte
		for _, message := range messages {
			encoded, err := message.Marshal()
			if err != nil {
				t.Fatal(err)
			}
			fields = append(fields, encoded)
		}
		again, err := decodeFrame(encode(fixedFrame{}, fields...))
		if err != nil || len(again) != len(messages) {
			t.Fatal("decoded frame differs after re-encoding", err)
		}
	})
}

// Guards against directories that change when copied through their encoding.
func FuzzLearnAll(f *testing.F) {
	known := newDirectory(2)
	known.learn(1, 7, "127.0.0.1:1")
	f.Add(known.encodeAll())
	f.Fuzz(func(t *testing.T, encoded []byte) {
		learned := newDirectory(2)
		if learned.learnAll(encoded) != nil {
			return
		}
		copied := newDirectory(2)
		if err := copied.learnAll(learned.encodeAll()); err != nil {
			t.Fatal(err)
		}
		for shard := range learned.hints {
			if learned.hints[shard].leader != copied.hints[shard].leader {
				t.Fatal("directory differs from its copy")
			}
		}
	})
}
