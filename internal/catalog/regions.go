package catalog

import "slices"

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
