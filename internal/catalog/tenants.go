package catalog

import (
	"iter"

	"chutelock.dev/chutelock/internal/apikey"
)

// Tenant is a customer of the operators: its keys name it, and its limits hold for
// all nodes together.
type Tenant struct {
	Name string
	// Priority is the rank of the tenant's requests, in place of that of their
	// routes, if Ranked.
	Priority int
	Ranked   bool
	// Rate and Burst bound the tenant's requests over all nodes: within any span
	// of time, Rate a second and Burst beyond. A Rate of 0 is no bound.
	Rate  float64
	Burst float64
	Keys  []apikey.Hash
	// Regions are where the tenant's requests may be served and kept.
	Regions Regions
}

// Limited says whether there is a bound on the tenant's requests.
func (t *Tenant) Limited() bool { return t != nil && t.Rate > 0 }

// SetTenants makes the configuration ask for a key of one of the tenants on each
// route that is not public. A key that stands with several tenants is the last
// one's.
func (c *Configuration) SetTenants(tenants []Tenant) {
	c.tenants = tenants
	c.keys = make(map[apikey.Hash]*Tenant, len(tenants))
	c.byName = make(map[string]*Tenant, len(tenants))
	for i := range tenants {
		tenant := &tenants[i]
		if c.byName[tenant.Name] == nil {
			c.byName[tenant.Name] = tenant
		}
		for _, key := range tenant.Keys {
			c.keys[key] = tenant
		}
		if tenant.Regions != nil {
			if c.bound == nil {
				c.bound = map[string]Regions{}
			}
			c.bound[tenant.Name] = tenant.Regions
		}
	}
}

// Keyed says whether callers need a key.
func (c *Configuration) Keyed() bool { return c.keys != nil }

// EachTenant goes through the tenants in their order.
func (c *Configuration) EachTenant() iter.Seq[*Tenant] {
	return func(yield func(*Tenant) bool) {
		if c == nil {
			return
		}
		for i := range c.tenants {
			if !yield(&c.tenants[i]) {
				return
			}
		}
	}
}

// Tenant returns the tenant of a name, or nil.
func (c *Configuration) Tenant(name string) *Tenant {
	if c == nil || name == "" {
		return nil
	}
	return c.byName[name]
}

// TenantOf returns the tenant that holds a key, or nil.
func (c *Configuration) TenantOf(key apikey.Hash) *Tenant { return c.keys[key] }

// PriorityOf is the rank of a tenant's requests on a route; tenant may be nil.
func (r *Route) PriorityOf(tenant *Tenant) int {
	if tenant != nil && tenant.Ranked {
		return tenant.Priority
	}
	return r.Priority
}
