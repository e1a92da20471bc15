package catalog

import (
	"testing"

	"github.com/onsi/gomega"
)

func TestMatchPrefersLongestPrefix(t *testing.T) {
	g := gomega.NewWithT(t)
	configuration := &Configuration{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}}
	for path, wanted := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y/z/1": "long"} {
		g.Expect(configuration.Match("a.example", path).Name).To(gomega.Equal(wanted), path)
	}
	g.Expect(configuration.Match("A.example:80", "/x/1").Name).To(gomega.Equal("short"))
	g.Expect(configuration.Match("a.example", "/xy")).To(gomega.BeNil())
	g.Expect(configuration.Match("c.example", "/x/")).To(gomega.BeNil())
	g.Expect((*Configuration)(nil).Match("a.example", "/x/")).To(gomega.BeNil())
}

func TestSnapshotExcludesLeavingEnginesFromServing(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := NewSnapshot(nil, []Engine{
		{ID: "b", Service: "s"}, {ID: "a", Service: "s"}, {ID: "c", Service: "s", Leaving: true}, {ID: "d", Service: "other"},
	})
	serving := snapshot.Serving("s")
	g.Expect(serving).To(gomega.HaveLen(2))
	g.Expect(serving[0].ID).To(gomega.Equal("a"))
	g.Expect(snapshot.Usable("a", "s")).To(gomega.BeTrue())
	g.Expect(snapshot.Usable("a", "other")).To(gomega.BeFalse())
	g.Expect(snapshot.Usable("c", "s")).To(gomega.BeFalse())
	_, known := snapshot.Engine("c")
	g.Expect(known).To(gomega.BeTrue())
}

func TestMayRunAgainRequiresRepeatableOrResumable(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect((&Route{Repeatable: true}).MayRunAgain()).To(gomega.BeTrue())
	g.Expect((&Route{Kind: KindStream, Resumable: true}).MayRunAgain()).To(gomega.BeTrue())
	g.Expect((&Route{Kind: KindStream}).MayRunAgain()).To(gomega.BeFalse())
	g.Expect((&Route{Kind: KindWhole, Resumable: true}).MayRunAgain()).To(gomega.BeFalse())
}
