package catalog

import (
	"maps"
	"slices"
	"strings"
)

// Regions are the regions in which requests may be served and their bodies kept; nil
// is no restriction, and an empty set that isn't nil allows none.
type Regions []string

// Allow says whether the region is one of them.
func (r Regions) Allow(region string) bool { return r == nil || slices.Contains(r, region) }

// And returns the regions that both allow.
func (r Regions) And(other Regions) Regions {
	switch {
	case r == nil:
		return other
	case other == nil:
		return r
	}
	both := Regions{}
	for _, region := range r {
		if slices.Contains(other, region) {
			both = append(both, region)
		}
	}
	return both
}

// RegionsOf are the regions of a tenant's requests on the route; tenant may be nil.
func (r *Route) RegionsOf(tenant *Tenant) Regions {
	if tenant == nil {
		return r.Regions
	}
	return r.Regions.And(tenant.Regions)
}

// RegionsNow are the regions of a tenant's request on a route by this version of the
// configuration. before are those that held when the request came: a tenant that is
// gone since binds as it did.
func (c *Configuration) RegionsNow(route *Route, tenant string, before Regions) Regions {
	regions := route.Regions
	if newest := c.Route(route.Name); newest != nil {
		regions = newest.Regions
	}
	if ofTenant, bound := c.bound[tenant]; bound {
		return regions.And(ofTenant)
	}
	if before != nil && tenant != "" && c.Tenant(tenant) == nil {
		return regions.And(before)
	}
	return regions
}

// KeptRegions lists the regions in which jobs of some batch route and tenant have to be
// kept, in order; empty if none is restricted.
func (c *Configuration) KeptRegions() []string {
	if c == nil {
		return nil
	}
	sets := map[string]Regions{"": nil}
	for _, regions := range c.bound {
		sets[strings.Join(regions, "\x00")] = regions
	}
	kept := map[string]bool{}
	for i := range c.Routes {
		if c.Routes[i].Kind != KindBatch {
			continue
		}
		for _, regions := range sets {
			for _, region := range c.Routes[i].Regions.And(regions) {
				kept[region] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(kept))
}
