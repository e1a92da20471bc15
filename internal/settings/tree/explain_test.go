package tree

import (
	"testing"

	"github.com/onsi/gomega"
)

func sampleLive(t *testing.T) *Live {
	t.Helper()
	live, err := LoadNodes(parse(t, sampleFile), nil)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return live
}

// Guards against a wrong value or origin of an effective field.
func TestExplainReportsOriginOfEachValue(t *testing.T) {
	g := gomega.NewWithT(t)
	explanation, err := sampleLive(t).Explain("fleet/hall/drafting/clerks")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	from := make(map[string]string)
	for _, value := range explanation.Values {
		from[value.Field] = string(value.Value) + " " + value.From
	}
	g.Expect(from).To(gomega.HaveLen(len(fieldNames)))
	for field, want := range map[string]string{
		"burst": "7 fleet/hall/drafting/clerks", "queueTimeout": `"3s" fleet/hall/drafting`,
		"priority": "2 fleet/hall", "batchShare": "0.2 fleet", "batchWeight": "1 default",
	} {
		g.Expect(from).To(gomega.HaveKeyWithValue(field, want))
	}
	_, err = sampleLive(t).Explain("fleet/hall/nobody/here")
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(`the nearest one above is "fleet/hall"`)))
}

// Guards against missed problems, and against a Check that changes the tree.
func TestCheckReportsNewProblemsWithoutSideEffects(t *testing.T) {
	g := gomega.NewWithT(t)
	live := sampleLive(t)
	live.Apply(2, []Update{{Path: "fleet/odd", Node: &Node{Path: "fleet/odd", Kind: "team"}}})
	before, snapshot := live.Problems(), live.Current()
	g.Expect(before).To(gomega.HaveLen(1))
	for name, test := range map[string]struct {
		update Update
		want   int
	}{
		"no problem":      {Update{Path: "fleet/new", Node: &Node{Path: "fleet/new", Kind: KindFolder}}, 0},
		"orphan":          {Update{Path: "x/y", Node: &Node{Path: "x/y", Kind: KindFolder}}, 1},
		"duplicate model": {Update{Path: "fleet/zz", Node: &Node{Path: "fleet/zz", Kind: KindService, Model: "drafts"}}, 1},
		"duplicate name":  {Update{Path: "fleet/clerks", Node: &Node{Path: "fleet/clerks", Kind: KindTenant}}, 1},
		"has children":    {Update{Path: "fleet/hall"}, 1},
		"removes invalid": {Update{Path: "fleet/odd"}, 0},
		"new invalid":     {Update{Path: "fleet/odd", Node: &Node{Path: "fleet/odd", Kind: KindFolder, Fields: Fields{Burst: ref(-1)}}}, 1},
	} {
		g.Expect(live.Check([]Update{test.update})).To(gomega.HaveLen(test.want), name)
		g.Expect(live.Problems()).To(gomega.Equal(before), name)
		g.Expect(live.tree.Snapshot()).To(gomega.BeIdenticalTo(snapshot), name)
	}
	live.Apply(3, nil)
	resolved, _ := live.Current().TenantByName("clerks")
	g.Expect(resolved.Priority).To(gomega.Equal(2))
}

// Guards against missed or spurious field changes.
func TestDifferencesReportsEachChangedField(t *testing.T) {
	g := gomega.NewWithT(t)
	old := &Node{Kind: KindFolder, Fields: Fields{Burst: ref(1), Priority: ref(2)}}
	changed := &Node{Kind: KindFolder, Fields: Fields{Burst: ref(3), Models: ref([]string{"m"})}}
	g.Expect(Differences(old, changed)).To(gomega.Equal([]FieldChange{
		{"models", Inherited, `["m"]`}, {"burst", "1", "3"}, {"priority", "2", Inherited},
	}))
	g.Expect(Differences(nil, old)).To(gomega.HaveLen(3))
}

// Guards against an edited node that loses fields or its revision.
func TestFormatYAMLRoundTrips(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, node := range parse(t, sampleFile) {
		node.Change = &Change{ID: "c"}
		spec, err := Encode(node)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		text, err := FormatYAML(node.Path, 7, spec)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		again := parse(t, string(text)+"---\n")
		node.Change, node.Revision = nil, 7
		g.Expect(again).To(gomega.Equal([]*Node{node}), string(text))
	}
	_, err := FormatYAML("a", 1, nil)
	g.Expect(err).To(gomega.HaveOccurred())
}

// Guards against missing descendants, and against matches on partial segments.
func TestNodesReturnsSortedPaths(t *testing.T) {
	g := gomega.NewWithT(t)
	live := sampleLive(t)
	for _, test := range []struct {
		path      string
		recursive bool
		want      int
	}{{"", false, 4}, {"", true, 4}, {"fleet/hall", false, 1}, {"fleet/hall", true, 3}, {"fleet/hall/drafting/clerks", true, 1}} {
		nodes, err := live.Nodes(test.path, test.recursive)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(nodes).To(gomega.HaveLen(test.want), test.path)
		for i := 1; i < len(nodes); i++ {
			g.Expect(nodes[i-1].Path < nodes[i].Path).To(gomega.BeTrue())
		}
	}
	_, err := live.Nodes("fleet/ha", true)
	g.Expect(err).To(gomega.HaveOccurred())
}
