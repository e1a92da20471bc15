package tree

import (
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/settings"
)

// Kind is the type of a node.
type Kind string

// Kinds of nodes.
const (
	KindFolder  Kind = "folder"  // groups nodes that inherit its fields
	KindService Kind = "service" // a served model
	KindTenant  Kind = "tenant"  // a caller with API keys
)

// Duration is a time.Duration encoded as text such as "500ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Fields are the inheritable settings; nil means inherited from the parent.
type Fields struct {
	BatchShare        *float64  `json:"batchShare,omitempty" yaml:"batchShare" validate:"omitempty,gte=0,lte=1"`
	QueueLimit        *int      `json:"queueLimit,omitempty" yaml:"queueLimit" validate:"omitempty,gte=0,lte=1000000"`
	QueueTimeout      *Duration `json:"queueTimeout,omitempty" yaml:"queueTimeout" validate:"omitempty,gt=0"`
	TimeToFirstToken  *Duration `json:"timeToFirstToken,omitempty" yaml:"timeToFirstToken" validate:"omitempty,gt=0"`
	TimeBetweenTokens *Duration `json:"timeBetweenTokens,omitempty" yaml:"timeBetweenTokens" validate:"omitempty,gt=0"`
	RetryBudget       *float64  `json:"retryBudget,omitempty" yaml:"retryBudget" validate:"omitempty,gte=0,lte=1"`
	SlotsPerEngine    *int      `json:"slotsPerEngine,omitempty" yaml:"slotsPerEngine" validate:"omitempty,gte=1,lte=100000"`
	Regions           *[]string `json:"regions,omitempty" yaml:"regions" validate:"omitempty,unique,dive,required"`
	Adapters          *[]string `json:"adapters,omitempty" yaml:"adapters" validate:"omitempty,unique,dive,required"`

	Models            *[]string `json:"models,omitempty" yaml:"models" validate:"omitempty,unique,dive,required"`
	RequestsPerSecond *float64  `json:"requestsPerSecond,omitempty" yaml:"requestsPerSecond" validate:"omitempty,gte=0"`
	Burst             *int      `json:"burst,omitempty" yaml:"burst" validate:"omitempty,gte=0"`
	MaxConcurrent     *int      `json:"maxConcurrent,omitempty" yaml:"maxConcurrent" validate:"omitempty,gte=0"`
	Priority          *int      `json:"priority,omitempty" yaml:"priority" validate:"omitempty,gte=0,lte=9"`
	BatchWeight       *float64  `json:"batchWeight,omitempty" yaml:"batchWeight" validate:"omitempty,gt=0"`
	MaxJobItems       *int      `json:"maxJobItems,omitempty" yaml:"maxJobItems" validate:"omitempty,gte=1,lte=1000000"`
	Retention         *Duration `json:"retention,omitempty" yaml:"retention" validate:"omitempty,gt=0"`
}

// Node is a folder, service or tenant in the settings tree.
type Node struct {
	Path string `json:"-" yaml:"path"`
	// Revision is the store revision of this version. In a file it is the
	// revision that the file was made from, or zero if unknown.
	Revision uint64 `json:"-" yaml:"revision"`
	Kind     Kind   `json:"kind" yaml:"kind" validate:"required,oneof=folder service tenant"`
	// Model is the model that a service serves.
	Model string `json:"model,omitempty" yaml:"model"`
	// Name is a tenant's name; empty means the last segment of the path.
	Name string `json:"name,omitempty" yaml:"name"`
	// Keys are a tenant's API keys. Plaintext keys in files are hashed when
	// parsed; the stored form is "sha256:" and 64 hex digits.
	Keys   []string `json:"keys,omitempty" yaml:"keys"`
	Fields `yaml:",inline"`
	// Change identifies the write that produced the stored version.
	Change *Change `json:"change,omitempty" yaml:"-"`
	// Deleted marks the tombstone of a deleted node. It stays in the store so
	// that a listing distinguishes a deletion from data loss.
	Deleted bool `json:"deleted,omitempty" yaml:"-"`
}

// Change identifies a write, so that its author recognizes it after a lost
// response, even if others have written since.
type Change struct {
	ID string    `json:"id"`
	By string    `json:"by,omitempty"`
	At time.Time `json:"at"`
	// Previous are the IDs of the preceding writes, newest first.
	Previous []string `json:"previous,omitempty"`
}

// maxPreviousChanges bounds Change.Previous.
const maxPreviousChanges = 8

// TenantName returns Name, or the last segment of the path if Name is empty.
func (n *Node) TenantName() string {
	if n.Name != "" {
		return n.Name
	}
	return Base(n.Path)
}

func ref[T any](value T) *T { return &value }

// defaults are the values that a root node inherits.
var defaults = Fields{
	BatchShare:        ref(0.5),
	QueueLimit:        ref(1000),
	QueueTimeout:      ref(Duration(10 * time.Second)),
	TimeToFirstToken:  ref(Duration(900 * time.Millisecond)),
	TimeBetweenTokens: ref(Duration(78 * time.Millisecond)),
	RetryBudget:       ref(0.1),
	SlotsPerEngine:    ref(64),
	Regions:           ref([]string(nil)),
	Adapters:          ref([]string(nil)),
	Models:            ref([]string(nil)),
	RequestsPerSecond: ref(0.0),
	Burst:             ref(0),
	MaxConcurrent:     ref(0),
	Priority:          ref(5),
	BatchWeight:       ref(1.0),
	MaxJobItems:       ref(120_000),
	Retention:         ref(Duration(72 * time.Hour)),
}

// tenant returns the resolved settings of a tenant node.
func (n *Node) tenant(effective *Fields) *settings.Tenant {
	return &settings.Tenant{
		Name:              n.TenantName(),
		Path:              n.Path,
		Models:            *effective.Models,
		RequestsPerSecond: *effective.RequestsPerSecond,
		Burst:             *effective.Burst,
		MaxConcurrent:     *effective.MaxConcurrent,
		Priority:          *effective.Priority,
		BatchWeight:       *effective.BatchWeight,
		MaxJobItems:       *effective.MaxJobItems,
		Retention:         time.Duration(*effective.Retention),
	}
}

// service returns the resolved settings of a service node.
func (n *Node) service(effective *Fields) *settings.Service {
	return &settings.Service{
		Model:             n.Model,
		Path:              n.Path,
		BatchShare:        *effective.BatchShare,
		QueueLimit:        *effective.QueueLimit,
		QueueTimeout:      time.Duration(*effective.QueueTimeout),
		TimeToFirstToken:  time.Duration(*effective.TimeToFirstToken),
		TimeBetweenTokens: time.Duration(*effective.TimeBetweenTokens),
		RetryBudget:       *effective.RetryBudget,
		SlotsPerEngine:    *effective.SlotsPerEngine,
		Regions:           *effective.Regions,
		Adapters:          *effective.Adapters,
	}
}

// Includes reports whether the write or a preceding one has the ID.
func (c *Change) Includes(id string) bool {
	return c != nil && (c.ID == id || slices.Contains(c.Previous, id))
}

// NextChange returns the Change of a write that replaces n, which may be nil.
func (n *Node) NextChange(id, by string, at time.Time) *Change {
	next := &Change{ID: id, By: by, At: at}
	if n == nil || n.Change == nil {
		return next
	}
	next.Previous = append([]string{n.Change.ID}, n.Change.Previous...)
	if len(next.Previous) > maxPreviousChanges {
		next.Previous = next.Previous[:maxPreviousChanges]
	}
	return next
}
