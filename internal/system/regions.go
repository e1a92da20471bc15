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

// regionNames lists the regions of the settings, in order.
func (c *core) regionNames() []string {
	names := slices.Sorted(maps.Values(c.settings.Zones))
	return slices.Compact(names)
}

// regionsAt are where a tenant's items of a route may be run by the newest
// configuration, for the shard of a region, or shard 0 if that is empty. A tenant that is
// gone binds its jobs to where they are.
func (c *core) regionsAt(region string) func(route *catalog.Route, tenant string) catalog.Regions {
	var before catalog.Regions
	if region != "" {
		before = catalog.Regions{region}
	}
	return func(route *catalog.Route, tenant string) catalog.Regions {
		return c.facts.Snapshot().Configuration.CurrentRegions(route, tenant, before)
	}
}

// permitted says whether a tenant's item of a batch route may go to an engine.
func (c *core) permitted(host, path, tenant, engine string) bool {
	route := c.route(host, path)
	if route == nil {
		return true
	}
	snapshot := c.facts.Snapshot()
	regions := snapshot.Configuration.CurrentRegions(route, tenant, nil)
	if regions == nil {
		return true
	}
	known, found := snapshot.Engine(engine)
	return found && regions.Allow(known.Region)
}

// stays says whether a job may lie on all data nodes of a region, or of the whole fleet
// if that is empty.
func (c *core) stays(region string) func(host, path, tenant string) bool {
	return func(host, path, tenant string) bool {
		route := c.route(host, path)
		if route == nil {
			return true
		}
		regions := c.facts.Snapshot().Configuration.CurrentRegions(route, tenant, nil)
		return regions == nil || (region != "" && regions.Allow(region))
	}
}

// within says where a batch job may be kept by the newest configuration known here.
func (f *front) within(job *batchwork.Job) batchwork.Within {
	configuration := f.facts.Snapshot().Configuration
	within := batchwork.Within{Regions: job.Regions, Version: configuration.Version}
	if route := configuration.Route(job.Route); route != nil {
		within.Regions = configuration.CurrentRegions(route, job.Tenant, job.Regions)
	}
	var best uint64
	for _, region := range within.Regions {
		// A shard that was placed has enough replicas, also while nodes are being replaced.
		if shard := ledger.RegionShard(region); !f.ledger.Led(shard) && !f.ledger.Enough(shard) {
			continue
		}
		// By the queue, not by the job: the bound on waiting tokens is counted where the
		// jobs are, and all of a queue have to be at one place for it to hold.
		score := membership.RendezvousScore(job.Route+"\x00"+job.Tenant, region)
		if within.Preferred == "" || score > best {
			within.Preferred, best = region, score
		}
	}
	return within
}

// liesWithin says whether the data node at an address is in the region of a shard.
func (f *front) liesWithin(address transport.Address, shard ledger.ShardID) bool {
	for _, node := range f.agent.Nodes() {
		if node.Address == address {
			return node.Region == f.ledger.Region(shard)
		}
	}
	return false
}
