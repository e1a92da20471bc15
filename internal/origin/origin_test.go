package origin

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/mirror"
)

var (
	start   = time.Unix(1_000_000, 0)
	release = catalog.Release{Service: "s", Version: "1"}
	other   = catalog.Release{Service: "s", Version: "2"}
)

func TestKeyTellsTenantsAndRequestsApart(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(KeyOf("a", "b")).To(gomega.Equal(KeyOf("a", "b")))
	g.Expect(KeyOf("a", "bc")).NotTo(gomega.Equal(KeyOf("ab", "c")))
	g.Expect(KeyOf("", "r")).NotTo(gomega.Equal(KeyOf("a", "r")))
}

func TestRecordOfTwoReleasesIsUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	table, key := NewTable(), KeyOf("", "r")
	table.Put(key, release, start)
	table.Put(key, release, start)
	known, found := table.Get(key, start)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(known).To(gomega.Equal(release))
	for _, next := range []catalog.Release{other, release} {
		table.Put(key, next, start)
		_, found = table.Get(key, start)
		g.Expect(found).To(gomega.BeFalse(), "after %v", next)
		g.Expect(table.Conflicts(key, start)).To(gomega.BeTrue())
	}
}

func TestRecordKeptForItsTTLAndThenDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, begun := range []time.Duration{0, RecordTTL / 3, RecordTTL - 1} {
		table, key := NewTable(), KeyOf("", "r")
		table.Put(KeyOf("", "earlier"), other, start)
		table.Put(key, release, start.Add(begun))
		for at := begun; at <= begun+RecordTTL; at += RecordTTL / 10 {
			_, found := table.Get(key, start.Add(at))
			g.Expect(found).To(gomega.BeTrue(), "begun at %v, asked for at %v", begun, at)
		}
		_, found := table.Get(key, start.Add(begun+2*RecordTTL))
		g.Expect(found).To(gomega.BeFalse())
		g.Expect(table.Len()).To(gomega.BeZero())
	}
}

func TestTableBoundedUnderFloodOfStreams(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	for i := range 5 * MaxRecords / 2 {
		table.Put(KeyOf("", fmt.Sprint(i)), release, start)
	}
	g.Expect(table.Len()).To(gomega.BeNumerically("<=", 2*MaxRecords))
	_, found := table.Get(KeyOf("", fmt.Sprint(5*MaxRecords/2-1)), start)
	g.Expect(found).To(gomega.BeTrue(), "the newest records are kept")
}

// dataNodes returns count data nodes in three zones of each of two regions.
func dataNodes(count int) []mirror.Node {
	var nodes []mirror.Node
	for i := range count {
		region := []string{"north", "south"}[i%2]
		nodes = append(nodes, mirror.Node{Name: fmt.Sprint("d", i), Region: region, Zone: fmt.Sprint(region, i/2%3)})
	}
	return nodes
}

func TestHomesAreInTwoZonesOfTheRegion(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes, uses := dataNodes(24), map[string]int{}
	for i := range 3000 {
		homes := Homes(nodes, "north", KeyOf("", fmt.Sprint(i)))
		g.Expect(homes).To(gomega.HaveLen(Copies))
		g.Expect(homes[0].Zone).NotTo(gomega.Equal(homes[1].Zone))
		for _, home := range homes {
			g.Expect(home.Region).To(gomega.Equal("north"))
			uses[home.Name]++
		}
	}
	for _, count := range uses {
		g.Expect(count).To(gomega.BeNumerically("~", 500, 150), "12 nodes share 6000 records")
	}
	g.Expect(Homes(nodes[:1], "north", Key{})).To(gomega.HaveLen(1))
	g.Expect(Homes(nodes, "elsewhere", Key{})).To(gomega.HaveLen(Copies), "a region without data nodes uses others")
	g.Expect(Homes(nil, "north", Key{})).To(gomega.BeEmpty())
}

// A node that knows one data node more or less than the one that began the stream still asks a home.
func TestCandidatesIncludeHomeAfterDataNodeJoinsOrLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := dataNodes(16)
	for i := range 500 {
		key := KeyOf("", fmt.Sprint(i))
		for _, other := range [][]mirror.Node{nodes[:15], dataNodes(17), nodes[1:]} {
			g.Expect(share(Homes(nodes, "north", key), Candidates(other, "north", key))).To(gomega.BeTrue())
		}
	}
}

func share(a, b []mirror.Node) bool {
	for _, x := range a {
		for _, y := range b {
			if x == y {
				return true
			}
		}
	}
	return false
}

func TestRegionsBeginWithTheOwn(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(Regions(dataNodes(6), "south")).To(gomega.Equal([]string{"south", "north"}))
	g.Expect(Regions(nil, "south")).To(gomega.Equal([]string{"south"}))
}

func engines(releases ...catalog.Release) []catalog.Engine {
	var list []catalog.Engine
	for _, r := range releases {
		list = append(list, catalog.Engine{Service: r.Service, Version: r.Version})
	}
	return list
}

func TestSoleReleaseOnlyIfNoOtherWasListedWithinWindow(t *testing.T) {
	const window = 10 * time.Second
	foreign := catalog.Release{Service: "t", Version: "9"}
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for name, test := range map[string]struct {
		lists map[int][]catalog.Engine // by the second of the change
		asked int
		sole  catalog.Release
		found bool
	}{
		"one for long":                 {map[int][]catalog.Engine{0: engines(release, release, foreign)}, 10, release, true},
		"watched too briefly":          {map[int][]catalog.Engine{0: engines(release)}, 9, catalog.Release{}, false},
		"never watched":                {nil, 100, catalog.Release{}, false},
		"two now":                      {map[int][]catalog.Engine{0: engines(release), 50: engines(release, other)}, 51, catalog.Release{}, false},
		"two for long":                 {map[int][]catalog.Engine{0: engines(release, other)}, 100, catalog.Release{}, false},
		"the other left a moment ago":  {map[int][]catalog.Engine{0: engines(release, other), 50: engines(release)}, 51, catalog.Release{}, false},
		"the other left long ago":      {map[int][]catalog.Engine{0: engines(release, other), 50: engines(release)}, 60, release, true},
		"replaced a moment ago":        {map[int][]catalog.Engine{0: engines(release), 50: engines(other)}, 59, catalog.Release{}, false},
		"replaced long ago":            {map[int][]catalog.Engine{0: engines(release), 50: engines(other)}, 60, other, true},
		"listed for a moment":          {map[int][]catalog.Engine{0: engines(release), 50: engines(release, other), 51: engines(release)}, 60, catalog.Release{}, false},
		"none of the service":          {map[int][]catalog.Engine{0: engines(foreign)}, 20, catalog.Release{}, false},
		"none left, one a moment ago":  {map[int][]catalog.Engine{0: engines(release), 50: engines(foreign)}, 51, release, true},
		"gone and back, with no other": {map[int][]catalog.Engine{0: engines(release), 50: nil, 90: engines(release)}, 91, release, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := NewHistory()
			for second := range 100 {
				if list, changed := test.lists[second]; changed {
					h.Observe(list, at(second))
				}
				if second == test.asked-1 {
					break
				}
			}
			sole, found := h.Sole("s", window, at(test.asked))
			g.Expect(found).To(gomega.Equal(test.found))
			if found {
				g.Expect(sole).To(gomega.Equal(test.sole))
			}
		})
	}
}

func TestHistoryForgetsReleasesLongGone(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewHistory()
	for i := range 1000 {
		h.Observe(engines(catalog.Release{Service: "s", Version: fmt.Sprint(i)}), start.Add(time.Duration(i)*historyTTL/2))
	}
	g.Expect(len(h.lastSeen)).To(gomega.BeNumerically("<=", 4))
	_, found := h.Sole("s", 2*historyTTL, start.Add(1000*historyTTL))
	g.Expect(found).To(gomega.BeFalse(), "the window is longer than the memory")
}

func TestMessagesSurviveEncoding(t *testing.T) {
	g := gomega.NewWithT(t)
	record := Record{Key: KeyOf("t", "r"), Release: release}
	decoded, err := UnmarshalRecord(record.Marshal())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded).To(gomega.Equal(record))
	query := Query{Key: record.Key, Host: "h.example", Prefix: "/s/", Life: time.Minute}
	decodedQuery, err := UnmarshalQuery(query.Marshal())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decodedQuery).To(gomega.Equal(query))
	queryV1 := QueryV1{Key: record.Key, Service: "s", Window: time.Minute}
	decodedV1, err := UnmarshalQueryV1(queryV1.Marshal())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decodedV1).To(gomega.Equal(queryV1))
	answer := Answer{Source: SourceSole, Release: other}
	decodedAnswer, err := UnmarshalAnswer(answer.Marshal())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decodedAnswer).To(gomega.Equal(answer))
	_, err = UnmarshalAnswer(Answer{Source: SourceSeveral + 1}.Marshal())
	g.Expect(err).To(gomega.MatchError(ErrSource))
}

func FuzzDecoders(f *testing.F) {
	f.Add(Record{Key: KeyOf("t", "r"), Release: release}.Marshal())
	f.Add(Query{Host: "h.example", Prefix: "/"}.Marshal())
	f.Add(QueryV1{Service: "s", Window: time.Second}.Marshal())
	f.Add(Answer{Source: SourceRecord, Release: other}.Marshal())
	f.Add([]byte(strings.Repeat("x", 64)))
	f.Fuzz(func(_ *testing.T, message []byte) {
		_, _ = UnmarshalRecord(message)
		_, _ = UnmarshalQuery(message)
		_, _ = UnmarshalQueryV1(message)
		_, _ = UnmarshalAnswer(message)
	})
}
