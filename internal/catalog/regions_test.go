package catalog

import (
	"testing"

	"github.com/onsi/gomega"
)

func TestRegionsOfRouteAndTenantBothBind(t *testing.T) {
	for name, one := range map[string]struct {
		route, tenant Regions
		allowed, not  []string
	}{
		"no restriction":      {nil, nil, []string{"a", "b"}, nil},
		"only the route's":    {Regions{"a"}, nil, []string{"a"}, []string{"b"}},
		"only the tenant's":   {nil, Regions{"b"}, []string{"b"}, []string{"a"}},
		"what both allow":     {Regions{"a", "b"}, Regions{"b", "c"}, []string{"b"}, []string{"a", "c"}},
		"nothing in common":   {Regions{"a"}, Regions{"b"}, nil, []string{"a", "b", ""}},
		"an engine of no one": {Regions{"a"}, nil, nil, []string{""}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			regions := (&Route{Regions: one.route}).RegionsOf(&Tenant{Regions: one.tenant})
			for _, region := range one.allowed {
				g.Expect(regions.Allow(region)).To(gomega.BeTrue(), region)
			}
			for _, region := range one.not {
				g.Expect(regions.Allow(region)).To(gomega.BeFalse(), region)
			}
		})
	}
	g := gomega.NewWithT(t)
	g.Expect((&Route{Regions: Regions{"a"}}).RegionsOf(nil).Allow("b")).To(gomega.BeFalse())
}

func TestEnginesOfDrainedZonesAreKnownButNotServing(t *testing.T) {
	g := gomega.NewWithT(t)
	snapshot := NewSnapshot(nil, []Engine{{ID: "a", Service: "s", Drained: true}, {ID: "b", Service: "s"}})
	g.Expect(snapshot.Serving("s")).To(gomega.HaveLen(1))
	g.Expect(snapshot.Usable("a", "s")).To(gomega.BeFalse())
	_, known := snapshot.Engine("a")
	g.Expect(known).To(gomega.BeTrue())
}

// The newest version binds, and what is gone since binds as it did.
func TestTheNewestVersionsRegionsBind(t *testing.T) {
	g := gomega.NewWithT(t)
	came := &Route{Name: "r", Regions: Regions{"a", "b"}}
	version := func(route Regions, tenant Regions) *Configuration {
		c := &Configuration{Routes: []Route{{Name: "r", Regions: route}}}
		c.SetTenants([]Tenant{{Name: "t", Regions: tenant}, {Name: "free"}})
		return c
	}
	g.Expect(version(nil, nil).RegionsNow(came, "t", Regions{"a"})).To(gomega.BeNil())
	g.Expect(version(Regions{"c"}, nil).RegionsNow(came, "t", Regions{"a"})).To(gomega.Equal(Regions{"c"}))
	g.Expect(version(Regions{"c", "d"}, Regions{"d"}).RegionsNow(came, "t", nil)).To(gomega.Equal(Regions{"d"}))
	g.Expect(version(Regions{"c"}, Regions{"d"}).RegionsNow(came, "t", nil)).To(gomega.Equal(Regions{}))
	g.Expect(version(nil, Regions{"d"}).RegionsNow(came, "free", Regions{"a"})).To(gomega.BeNil())
	g.Expect(version(nil, Regions{"d"}).RegionsNow(came, "", nil)).To(gomega.BeNil(), "a public route without a tenant")
	g.Expect(version(nil, nil).RegionsNow(came, "gone", Regions{"a"})).To(gomega.Equal(Regions{"a"}))
	without := &Configuration{}
	g.Expect(without.RegionsNow(came, "", nil)).To(gomega.Equal(Regions{"a", "b"}), "a route that is gone")
}
