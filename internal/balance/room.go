package balance

import (
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
)

// Occupancy is how far a service's engines are filled with online requests.
type Occupancy struct {
	// Slots are those of the engines that aren't ejected, and Online the online requests at
	// them from all nodes, queued ones included. Batch work makes way and isn't counted.
	Slots, Online int
}

// Utilization returns the online requests per slot; 1 without slots.
func (o Occupancy) Utilization() float64 {
	if o.Slots <= 0 {
		return 1
	}
	return float64(o.Online) / float64(o.Slots)
}

// FleetOccupancy is the occupancy of services.
type FleetOccupancy struct {
	Services map[string]Occupancy
	// Unlisted are online requests that other nodes reported at engines that this node's
	// catalog doesn't hold, as in a large fleet.
	Unlisted int
	// MeanHold is the mean time that online requests hold a slot.
	MeanHold time.Duration
	// Age is the time since other nodes' load was last heard of.
	Age time.Duration
}

// Occupancy returns the occupancy of services as known at this node.
func (b *Balancer) Occupancy(services []string) FleetOccupancy {
	snapshot := b.snapshot()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.Occupancy(snapshot, services, clock.Now())
}

// Occupancy returns the occupancy of services.
func (t *Table) Occupancy(snapshot *catalog.Snapshot, services []string, now time.Time) FleetOccupancy {
	t.expire(now)
	fleet := FleetOccupancy{
		Services: make(map[string]Occupancy, len(services)), MeanHold: t.meanHold, Age: now.Sub(t.lastPeerReport),
	}
	for _, load := range t.peerSum {
		fleet.Unlisted += load.Counts[ClassOnline]
	}
	for _, engine := range snapshot.Engines() {
		fleet.Unlisted -= t.peersOnline(engine.ID)
	}
	for _, service := range services {
		occupancy := Occupancy{}
		for _, engine := range snapshot.Serving(service) {
			if t.healthy(engine.ID, now) {
				occupancy.Slots += engine.Slots
				occupancy.Online += t.running(engine.ID, ClassOnline, now)
			}
		}
		fleet.Services[service] = occupancy
	}
	fleet.Unlisted = max(0, fleet.Unlisted)
	return fleet
}

// BatchRoom returns how many slots of a service's engines online requests leave, as known at
// this node.
func (b *Balancer) BatchRoom(service string) int {
	engines := b.snapshot().Serving(service)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.BatchRoom(engines, clock.Now())
}

// BatchRoom returns how many slots of engines online requests leave. Engines that are ejected
// count, as they return within the time that the room is used for.
func (t *Table) BatchRoom(engines []catalog.Engine, now time.Time) int {
	t.expire(now)
	room := 0
	for _, engine := range engines {
		room += max(0, engine.Slots-t.running(engine.ID, ClassOnline, now))
	}
	return room
}
