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
