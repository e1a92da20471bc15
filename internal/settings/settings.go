// Package settings holds the operators' tree of settings: typed nodes that
// inherit each field from their parent unless they set it, and the resolved,
// immutable snapshot that request handling reads.
package settings

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/apikey"
)

// Tenant holds the resolved settings of one tenant.
type Tenant struct {
	Name string
	Path string // path of the tenant's node in the tree
	// Models lists the models that the tenant may use; empty means all.
	Models            []string
	RequestsPerSecond float64 // 0 means no limit
	Burst             int
	MaxConcurrent     int // online requests in flight at one node; 0 means no limit
	Priority          int // 0 (highest) to 9
	BatchWeight       float64
	MaxJobItems       int
	Retention         time.Duration
}

// Service holds the resolved settings of one model service.
type Service struct {
	Model string
	Path  string
	// BatchShare trades online latency (0) against batch throughput (1): how
	// close to saturation batch work may load an engine.
	BatchShare   float64
	QueueLimit   int           // waiting online requests at one node
	QueueTimeout time.Duration // maximum time that a request waits
	// TimeToFirstToken and TimeBetweenTokens are the latency
	// objectives of online requests.
	TimeToFirstToken  time.Duration
	TimeBetweenTokens time.Duration
	RetryBudget       float64 // maximum ratio of retries to requests
	// SlotsPerEngine limits the concurrent streams to one engine.
	SlotsPerEngine int
	Regions        []string // where the model may run; empty means all
	Adapters       []string
}

// Snapshot is the whole resolved tree at one revision. It is immutable and safe
// for concurrent use without locks.
type Snapshot struct {
	// Revision orders snapshots: its high bits are the settings epoch, its low
	// bits the store's revision (see Version).
	Revision uint64
	tenants  *index[apikey.Hash, *Tenant]
	byName   *index[string, *Tenant]
	services map[string]*Service
}

// NewSnapshot returns a snapshot of resolved tenants and services.
func NewSnapshot(revision uint64, tenants map[apikey.Hash]*Tenant, services map[string]*Service) *Snapshot {
	empty := &Snapshot{
		tenants: newIndex[apikey.Hash, *Tenant](hashKey),
		byName:  newIndex[string, *Tenant](xxhash.Sum64String),
	}
	names := make(map[string]*Tenant, len(tenants))
	for _, tenant := range tenants {
		names[tenant.Name] = tenant
	}
	return empty.Edit(revision, Edit{Keys: tenants, Names: names, Services: services})
}

// Edit is the difference between two snapshots; a nil value removes the entry.
type Edit struct {
	Keys     map[apikey.Hash]*Tenant
	Names    map[string]*Tenant
	Services map[string]*Service
}

// Edit returns the snapshot of a later revision without modifying s. Of the
// tenants, only the changed shards are copied.
func (s *Snapshot) Edit(revision uint64, edit Edit) *Snapshot {
	return &Snapshot{
		Revision: revision,
		tenants:  editIndex(s.tenants, edit.Keys),
		byName:   editIndex(s.byName, edit.Names),
		services: editServices(s.services, edit.Services),
	}
}

func editIndex[K comparable](old *index[K, *Tenant], changes map[K]*Tenant) *index[K, *Tenant] {
	if len(changes) == 0 {
		return old
	}
	return old.edit(func(editor *indexEditor[K, *Tenant]) {
		for key, tenant := range changes {
			if tenant == nil {
				editor.remove(key)
				continue
			}
			editor.set(key, tenant)
		}
	})
}

func editServices(old, changes map[string]*Service) map[string]*Service {
	if len(changes) == 0 && old != nil {
		return old
	}
	services := make(map[string]*Service, len(old)+len(changes))
	maps.Copy(services, old)
	for model, service := range changes {
		if service == nil {
			delete(services, model)
			continue
		}
		services[model] = service
	}
	return services
}

// hashKey needs no mixing: an apikey.Hash is uniformly distributed already.
func hashKey(hash apikey.Hash) uint64 { return binary.BigEndian.Uint64(hash[:8]) }

// TenantByKey returns the tenant whose key hashes to hash.
func (s *Snapshot) TenantByKey(hash apikey.Hash) (*Tenant, bool) { return s.tenants.get(hash) }

// TenantByName returns the tenant with the given name.
func (s *Snapshot) TenantByName(name string) (*Tenant, bool) { return s.byName.get(name) }

// Tenants returns the number of tenants.
func (s *Snapshot) Tenants() int { return s.byName.size }

// EachTenant visits all tenants in unspecified order.
func (s *Snapshot) EachTenant(visit func(*Tenant)) {
	s.byName.each(func(_ string, tenant *Tenant) { visit(tenant) })
}

// ServiceByModel returns the service of a model.
func (s *Snapshot) ServiceByModel(model string) (*Service, bool) {
	service, ok := s.services[model]
	return service, ok
}

// Models returns the models that have a service, sorted by name.
func (s *Snapshot) Models() []string {
	return slices.Sorted(maps.Keys(s.services))
}

// Source provides the snapshot in force.
type Source interface {
	// Current never blocks; it returns nil before the first snapshot.
	Current() *Snapshot
}
