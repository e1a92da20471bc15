package catalog

import (
	"maps"
	"slices"
	"strings"
)

// Regions are the regions in which requests may be served and their bodies stored. nil
// means no restriction; an empty non-nil set allows no region.
type Regions []string

// Allow reports whether the region is allowed.
func (r Regions) Allow(region string) bool { return r == nil || slices.Contains(r, region) }

// Intersect returns the intersection of both sets.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case r == nil:
		return other
	case other == nil:
		return r
	}
	common := Regions{}
	for _, region := range r {
		if slices.Contains(other, region) {
			common = append(common, region)
		}
	}
	return common
}

// RegionsOf returns the regions of a tenant's requests on the route; tenant may be nil.
func (r *Route) RegionsOf(tenant *Tenant) Regions {
	if tenant == nil {
		return r.Regions
	}
	return r.Regions.Intersect(tenant.Regions)
}

// CurrentRegions returns the regions of a tenant's request on a route by this version of the
// configuration. initial are those in force when the request arrived; they still apply if the
// tenant has been removed since.
func (c *Configuration) CurrentRegions(route *Route, tenant string, initial Regions) Regions {
	regions := route.Regions
	if current := c.Route(route.Name); current != nil {
		regions = current.Regions
	}
	if tenantRegions, restricted := c.tenantRegions[tenant]; restricted {
		return regions.Intersect(tenantRegions)
	}
	if initial != nil && tenant != "" && c.Tenant(tenant) == nil {
		return regions.Intersect(initial)
	}
	return regions
}

// BatchRegions returns, in order, the regions to which the jobs of any batch route and tenant
// are restricted; empty if none is.
func (c *Configuration) BatchRegions() []string {
	if c == nil {
		return nil
	}
	sets := map[string]Regions{"": nil}
	for _, regions := range c.tenantRegions {
		sets[strings.Join(regions, "\x00")] = regions
	}
	batchRegions := map[string]bool{}
	for i := range c.Routes {
		if c.Routes[i].Kind != KindBatch {
			continue
		}
		for _, regions := range sets {
			for _, region := range c.Routes[i].Regions.Intersect(regions) {
				batchRegions[region] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(batchRegions))
}
