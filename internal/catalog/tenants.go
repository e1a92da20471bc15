package catalog

import (
	"iter"

	"chutelock.dev/chutelock/internal/apikey"
)

// Tenant is a customer, identified by its keys. Its limits apply to all nodes together.
type Tenant struct {
	Name string
	// Priority overrides the priority of the routes if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate and Burst bound the tenant's requests over all nodes: within any interval,
	// Rate per second plus Burst. A Rate of 0 means no bound.
	Rate  float64
	Burst float64
	Keys  []apikey.Hash
	// Regions are where the tenant's requests may be served and stored.
	Regions Regions
}

// Limited reports whether the tenant's requests are rate-limited.
func (t *Tenant) Limited() bool { return t != nil && t.Rate > 0 }

// SetTenants sets the tenants and thereby requires a key of one of them on each route
// that is not public. A key listed by several tenants belongs to the last of them.
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
			if c.tenantRegions == nil {
				c.tenantRegions = map[string]Regions{}
			}
			c.tenantRegions[tenant.Name] = tenant.Regions
		}
	}
}

// KeyRequired reports whether callers need a key on routes that are not public.
func (c *Configuration) KeyRequired() bool { return c.keys != nil }

// EachTenant iterates over the tenants in the order given to SetTenants.
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

// Tenant returns the tenant with the given name, or nil.
func (c *Configuration) Tenant(name string) *Tenant {
	if c == nil || name == "" {
		return nil
	}
	return c.byName[name]
}

// TenantOf returns the tenant that holds a key, or nil.
func (c *Configuration) TenantOf(key apikey.Hash) *Tenant { return c.keys[key] }

// PriorityOf returns the priority of a tenant's requests on the route; tenant may be nil.
func (r *Route) PriorityOf(tenant *Tenant) int {
	if tenant != nil && tenant.HasPriority {
		return tenant.Priority
	}
	return r.Priority
}
