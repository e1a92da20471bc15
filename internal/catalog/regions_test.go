package catalog

import (
	"testing"

	"github.com/onsi/gomega"
)

func TestRegionsOfIntersectsRouteAndTenant(t *testing.T) {
	for name, tc := range map[string]struct {
		route, tenant Regions
		allowed, not  []string
	}{
		"no restriction":        {nil, nil, []string{"a", "b"}, nil},
		"only the route's":      {Regions{"a"}, nil, []string{"a"}, []string{"b"}},
		"only the tenant's":     {nil, Regions{"b"}, []string{"b"}, []string{"a"}},
		"what both allow":       {Regions{"a", "b"}, Regions{"b", "c"}, []string{"b"}, []string{"a", "c"}},
		"nothing in common":     {Regions{"a"}, Regions{"b"}, nil, []string{"a", "b", ""}},
		"engine without region": {Regions{"a"}, nil, nil, []string{""}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			regions := (&Route{Regions: tc.route}).RegionsOf(&Tenant{Regions: tc.tenant})
			for _, region := range tc.allowed {
				g.Expect(regions.Allow(region)).To(gomega.BeTrue(), region)
			}
			for _, region := range tc.not {
				g.Expect(regions.Allow(region)).To(gomega.BeFalse(), region)
			}
		})
	}
	g := gomega.NewWithT(t)
	g.Expect((&Route{Regions: Regions{"a"}}).RegionsOf(nil).Allow("b")).To(gomega.BeFalse())
}

func TestSnapshotExcludesDrainedEnginesFromServing(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := NewSnapshot(nil, []Engine{{ID: "a", Service: "s", Drained: true}, {ID: "b", Service: "s"}})
	g.Expect(snapshot.Serving("s")).To(gomega.HaveLen(1))
	g.Expect(snapshot.Usable("a", "s")).To(gomega.BeFalse())
	_, known := snapshot.Engine("a")
	g.Expect(known).To(gomega.BeTrue())
}

// Guards against outdated restrictions after a change of the configuration, and against
// dropping those of a route or tenant that was removed.
func TestRegionsFollowCurrentConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	original := &Route{Name: "r", Regions: Regions{"a", "b"}}
	version := func(route Regions, tenant Regions) *Configuration {
		c := &Configuration{Routes: []Route{{Name: "r", Regions: route}}}
		c.SetTenants([]Tenant{{Name: "t", Regions: tenant}, {Name: "free"}})
		return c
	}
	g.Expect(version(nil, nil).CurrentRegions(original, "t", Regions{"a"})).To(gomega.BeNil())
	g.Expect(version(Regions{"c"}, nil).CurrentRegions(original, "t", Regions{"a"})).To(gomega.Equal(Regions{"c"}))
	g.Expect(version(Regions{"c", "d"}, Regions{"d"}).CurrentRegions(original, "t", nil)).To(gomega.Equal(Regions{"d"}))
	g.Expect(version(Regions{"c"}, Regions{"d"}).CurrentRegions(original, "t", nil)).To(gomega.Equal(Regions{}))
	g.Expect(version(nil, Regions{"d"}).CurrentRegions(original, "free", Regions{"a"})).To(gomega.BeNil())
	g.Expect(version(nil, Regions{"d"}).CurrentRegions(original, "", nil)).To(gomega.BeNil(), "a public route without a tenant")
	g.Expect(version(nil, nil).CurrentRegions(original, "gone", Regions{"a"})).To(gomega.Equal(Regions{"a"}))
	empty := &Configuration{}
	g.Expect(empty.CurrentRegions(original, "", nil)).To(gomega.Equal(Regions{"a", "b"}), "a removed route")
}
