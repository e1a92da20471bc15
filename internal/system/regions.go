package system

import (
	"maps"
	"slices"

	"chutelock.dev/chutelock/internal/batchwork"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// regionNames returns the sorted regions of the settings.
func (c *core) regionNames() []string {
	names := slices.Sorted(maps.Values(c.settings.Zones))
	return slices.Compact(names)
}

// allowedRegions returns a function that returns the regions where a tenant's items of
// a route may run by the current configuration, for jobs in the shard of a region (shard 0
// if empty). Jobs of a removed tenant are confined to the region of their shard.
func (c *core) allowedRegions(region string) func(route *catalog.Route, tenant string) catalog.Regions {
	var current catalog.Regions
	if region != "" {
		current = catalog.Regions{region}
	}
	return func(route *catalog.Route, tenant string) catalog.Regions {
		return c.catalog.Snapshot().Configuration.CurrentRegions(route, tenant, current)
	}
}

// permitted reports whether a tenant's item of a batch route may be sent to an engine.
func (c *core) permitted(host, path, tenant, engine string) bool {
	route := c.route(host, path)
	if route == nil {
		return true
	}
	snapshot := c.catalog.Snapshot()
	regions := snapshot.Configuration.CurrentRegions(route, tenant, nil)
	if regions == nil {
		return true
	}
	known, found := snapshot.Engine(engine)
	return found && regions.Allow(known.Region)
}

// mayStore returns a function that reports whether a job may be stored on all data nodes
// of a region, or of the whole fleet if region is empty.
func (c *core) mayStore(region string) func(host, path, tenant string) bool {
	return func(host, path, tenant string) bool {
		route := c.route(host, path)
		if route == nil {
			return true
		}
		regions := c.catalog.Snapshot().Configuration.CurrentRegions(route, tenant, nil)
		return regions == nil || (region != "" && regions.Allow(region))
	}
}

// jobRegionPolicy returns where a batch job may be stored by the current configuration.
func (f *front) jobRegionPolicy(job *batchwork.Job) batchwork.RegionPolicy {
	configuration := f.catalog.Snapshot().Configuration
	policy := batchwork.RegionPolicy{Regions: job.Regions, Version: configuration.Version}
	if route := configuration.Route(job.Route); route != nil {
		policy.Regions = configuration.CurrentRegions(route, job.Tenant, job.Regions)
	}
	var best uint64
	for _, region := range policy.Regions {
		// A shard that has been placed counts even while its region is short of data nodes.
		if shard := ledger.RegionShard(region); !f.ledger.HasHadLeader(shard) && !f.ledger.HasEnoughNodes(shard) {
			continue
		}
		// All jobs of a queue (route and tenant) go to one shard, as the limit on waiting
		// tokens is enforced per shard.
		score := membership.RendezvousScore(job.Route+"\x00"+job.Tenant, region)
		if policy.Preferred == "" || score > best {
			policy.Preferred, best = region, score
		}
	}
	return policy
}

// inShardRegion reports whether the data node at an address is in the region of a shard.
func (f *front) inShardRegion(address transport.Address, shard ledger.ShardID) bool {
	for _, node := range f.agent.Nodes() {
		if node.Address == address {
			return node.Region == f.ledger.Region(shard)
		}
	}
	return false
}
