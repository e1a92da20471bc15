// Package platform defines interfaces to the platform's services: the versioned object
// store with watches, the leases and the eventually consistent machine list. Package
// objecthttp implements them over HTTP.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// Kinds of the objects in the store.
const (
	KindSetting = "settings" // nodes of the settings tree
	KindEngine  = "engines"  // the platform's engines, written by the platform
	KindShard   = "shards"   // the ledger's shard directory
	KindStatus  = "status"   // in-force revisions and other status
)

// Object is a stored object. Revision is the store's resourceVersion.
type Object struct {
	Kind     string
	Name     string
	Revision uint64
	Spec     json.RawMessage
}

// EventType is the type of a watch event.
type EventType string

// Watch event types, as in the Kubernetes API conventions.
const (
	EventAdded    EventType = "ADDED"
	EventModified EventType = "MODIFIED"
	EventDeleted  EventType = "DELETED"
	EventBookmark EventType = "BOOKMARK"
)

// Event is a change delivered by a watch; a bookmark has only a revision.
type Event struct {
	Type   EventType
	Object Object
}

// Machine is an entry of the platform's machine list, which is eventually consistent.
type Machine struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Role    string `json:"role"` // "engine" or "node"
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Errors of the store. After any other error, the call may have taken effect.
var (
	// ErrConflict means that the expected revision is not the stored one, or that another
	// holder has the lease.
	ErrConflict = errors.New("platform: revision conflict")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("platform: object not found")
	// ErrCompacted means that the watch's revision is too old (410); list again.
	ErrCompacted = errors.New("platform: revision compacted")
	// ErrBudget means that a limit on requests or watches is exceeded (429).
	ErrBudget = errors.New("platform: reader budget exceeded")
)

// Store is the object store.
type Store interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind and the store's revision at that time.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Put writes an object if its stored revision is object.Revision; 0 creates it.
	Put(ctx context.Context, object Object) (Object, error)
	Delete(ctx context.Context, kind, name string, revision uint64) error
	// Watch delivers the events after a revision until ctx ends, the watch breaks or
	// deliver fails, and returns the cause.
	Watch(ctx context.Context, kind string, after uint64, deliver func(Event) error) error
}

// Lease is a lease granted by the store. Epoch increases with each new holder and
// serves as a fencing token.
type Lease struct {
	Name    string        `json:"name"`
	Holder  string        `json:"holder"`
	Epoch   uint64        `json:"epoch"`
	TTL     time.Duration `json:"ttl"`
	Renewed time.Time     `json:"renewed"`
}

// Leases grants leases.
type Leases interface {
	// Acquire acquires or renews the lease for holder. If another holder has it,
	// Acquire returns that lease and ErrConflict.
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
	Release(ctx context.Context, name, holder string, epoch uint64) error
}

// Machines reads the machine list.
type Machines interface {
	Machines(ctx context.Context) ([]Machine, error)
}
