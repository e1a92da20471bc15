// Package settings holds the operators' tree of settings: typed nodes that
// inherit each field from their parent unless they set it, and the resolved,
// immutable snapshot that every decision reads.
package settings

import (
	"crypto/sha256"
	"time"
)

// KeyHash is the SHA-256 of a caller's key; keys are stored only so.
type KeyHash [sha256.Size]byte

// HashKey hashes a key as it is stored in the tree.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Tenant is the resolved settings of one caller.
type Tenant struct {
	Name string
	Path string // path of the tenant's node in the tree
	// Services that the tenant may use, by model name; empty means all.
	Models            []string
	RequestsPerSecond float64 // 0 means no limit
	Burst             int
	MaxConcurrent     int // online requests in flight at one node; 0 means no limit
	Priority          int // 0 (first) to 9
	BatchWeight       float64
	MaxJobItems       int
	Retention         time.Duration
}

// Service is the resolved settings of one model service.
type Service struct {
	Model string
	Path  string
	// BatchShare is the weight between harm to online (0) and batch
	// throughput (1): how close to an engine's saturation batch may fill it.
	BatchShare   float64
	QueueLimit   int           // waiting online requests at one node
	QueueTimeout time.Duration // longest wait before a request is given up
	// TimeToFirstToken and TimeBetweenTokens are the online objectives.
	TimeToFirstToken  time.Duration
	TimeBetweenTokens time.Duration
	RetryBudget       float64 // retries allowed as a share of requests
	// SlotsPerEngine bounds the streams sent to one engine.
	SlotsPerEngine int
	Regions        []string // where the model may run; empty means all
	Adapters       []string
}

// Snapshot is the whole resolved tree at one revision. It is immutable, and
// its methods may be called concurrently without locks.
type Snapshot struct {
	Revision uint64
	tenants  map[KeyHash]*Tenant
	byName   map[string]*Tenant
	services map[string]*Service
}

// NewSnapshot builds a snapshot from resolved parts.
func NewSnapshot(revision uint64, tenants map[KeyHash]*Tenant, services map[string]*Service) *Snapshot {
	byName := make(map[string]*Tenant, len(tenants))
	for _, tenant := range tenants {
		byName[tenant.Name] = tenant
	}
	return &Snapshot{Revision: revision, tenants: tenants, byName: byName, services: services}
}

// TenantByKey finds the tenant whose key hashes to hash.
func (s *Snapshot) TenantByKey(hash KeyHash) (*Tenant, bool) {
	tenant, ok := s.tenants[hash]
	return tenant, ok
}

// TenantByName finds a tenant by its name.
func (s *Snapshot) TenantByName(name string) (*Tenant, bool) {
	tenant, ok := s.byName[name]
	return tenant, ok
}

// ServiceByModel finds the service of a model.
func (s *Snapshot) ServiceByModel(model string) (*Service, bool) {
	service, ok := s.services[model]
	return service, ok
}

// Models lists the models that have a service.
func (s *Snapshot) Models() []string {
	models := make([]string, 0, len(s.services))
	for model := range s.services {
		models = append(models, model)
	}
	return models
}

// Source gives the snapshot in force.
type Source interface {
	// Current never blocks; it returns nil before the first snapshot.
	Current() *Snapshot
}
