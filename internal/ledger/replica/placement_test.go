package replica

import (
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger/replication"
)

// makeSites names sites by their zones: "aab" gives a0, a1 and b2.
func makeSites(zones string) []site {
	var sites []site
	for i, zone := range zones {
		sites = append(sites, site{node: fmt.Sprintf("%c%d", zone, i), zone: string(zone)})
	}
	return sites
}

func TestPlacementSpreadsOverZonesAndNodes(t *testing.T) {
	for _, test := range []struct {
		zones          string
		copies, placed int
		perZone        int // at most
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
			for _, chosen := range placeShards(60, sites, aim{copies: test.copies}) {
				g.Expect(chosen).To(gomega.HaveLen(test.placed))
				for _, count := range zoneCounts(chosen) {
					g.Expect(count).To(gomega.BeNumerically("<=", test.perZone))
				}
				for _, s := range chosen {
					load[s.node]++
				}
				slices.SortFunc(chosen, func(a, b site) int { return slices.Index(sites, a) - slices.Index(sites, b) })
				g.Expect(slices.Compact(chosen)).To(gomega.HaveLen(test.placed), "a node is taken once")
			}
			if test.zones == "aabbccddee" {
				g.Expect(load).To(gomega.HaveEach(30))
			}
		})
	}
}

// The loss of any zone leaves a majority, where three zones can hold the copies; where
// one zone has most nodes, fewer copies do that better than all.
func TestPlacementBearsTheLossOfAZone(t *testing.T) {
	for _, test := range []struct {
		zones          string
		copies, placed int
		borne          bool
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
			for _, chosen := range placeShards(60, makeSites(test.zones), aim{test.copies, 1}) {
				g.Expect(chosen).To(gomega.HaveLen(test.placed))
				var members []member
				for _, s := range chosen {
					members = append(members, member{site: s, voter: true})
				}
				g.Expect(outlivesAZone(members)).To(gomega.Equal(test.borne))
			}
		})
	}
}

func TestRepairPlan(t *testing.T) {
	// Members are named by their zone and a mark: v voter, l learner, L lost
	// voter, G voter lost for long, S superseded voter, X lost learner. The first leads.
	for _, test := range []struct {
		name, members, free string
		copies              int
		wanted              string // indexes of the members that stay
		join                string // zones to choose from
		zoneLosses          int
	}{
		{"all is well", "av bv cv", "d", 3, "012", "", 0},
		{"lost, another zone is free", "av bv cL", "abc", 3, "012", "c", 0},
		{"lost, nobody is free", "av bv cL", "", 3, "012", "", 0},
		{"lost, the learner has come", "av bv cL cl", "b", 3, "013", "", 0},
		{"came back empty", "av bv cS", "", 3, "012", "c", 0},
		{"two lost of five", "av av bv bL cL", "c", 5, "01234", "c", 0},
		{"grows from three to five", "av bv cv", "de", 5, "012", "de", 0},
		{"doesn't grow to four", "av bv cv", "d", 5, "012", "", 0},
		{"one more than wanted", "av bv cv cv", "", 3, "013", "", 0},
		{"never gives up the leader", "cv cv av bv", "", 3, "023", "", 0},
		{"better spread", "av av av", "b", 3, "012", "b", 0},
		{"spread is good enough", "av av bv", "b", 3, "012", "", 0},
		{"lost learner goes", "av bv cv cX", "", 3, "012", "", 0},
		{"a zone is away, the others take one more each", "bv bv cv aL aL", "bc", 5, "01234", "c", 1},
		{"and then wait for the last", "bv bv cv aL aL cv", "bc", 5, "01235", "", 1},
		{"but not for ever", "bv bv cv aG aG cv", "bc", 5, "01235", "bc", 1},
		{"nor where only disks count", "bv bv cv aL aL cv", "bc", 5, "01235", "bc", 0},
		{"a zone of three copies is away", "bv cv aL", "bc", 3, "012", "", 1},
		{"for long", "bv cv aG", "bc", 3, "012", "bc", 1},
		{"the zone is back, with its disk", "bv cv av", "bc", 3, "012", "", 1},
		{"the zone is back after long", "bv bv cv", "abc", 3, "012", "a", 1},
		{"and its learner has come", "bv bv cv al", "abc", 3, "023", "", 1},
		{"back empty", "bv cv aS", "bc", 3, "012", "a", 1},
		{"the one that may come back stays", "bv bv cv cv aS aL", "", 5, "01235", "a", 1},
		{"leaving is not waited for", "bv cv aG", "b", 3, "012", "b", 1},
		{"a lost disk is replaced in its zone", "bv cv aL", "ab", 3, "012", "a", 1},
		{"two zones only", "av bv bL", "ab", 3, "012", "ab", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			members, sites := makeMembers(test.members, test.free)
			plan := planRepair(members, sites, aim{test.copies, test.zoneLosses})
			var wanted []replication.ReplicaID
			for _, index := range test.wanted {
				wanted = append(wanted, replication.ReplicaID(index-'0'+1))
			}
			g.Expect(plan.wanted).To(gomega.Equal(wanted))
			zones := ""
			for _, s := range plan.join {
				zones += s.zone
			}
			g.Expect(zones).To(gomega.Equal(test.join))
		})
	}
}

func makeMembers(described, free string) ([]member, []site) {
	var members []member
	var sites []site
	for i, mark := range splitPairs(described) {
		m := member{
			replica:    replication.ReplicaID(i + 1),
			site:       site{node: fmt.Sprint("member", i), zone: mark[:1]},
			voter:      mark[1] != 'l' && mark[1] != 'X',
			leader:     i == 0,
			superseded: mark[1] == 'S',
			gone:       mark[1] == 'G',
		}
		m.lost = m.superseded || m.gone || mark[1] == 'L' || mark[1] == 'X'
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
			t.Fatal("a decoded frame doesn't decode again", err)
		}
	})
}

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
				t.Fatal("a directory differs from its copy")
			}
		}
	})
}
