package platform

import (
	"time"

	"chutelock.dev/chutelock/internal/standin/fault"
	"chutelock.dev/chutelock/internal/standin/platform/objects"
)

// Config is the settings file of a platform stand-in.
type Config struct {
	Name    string `koanf:"name" validate:"required"`
	Listen  string `koanf:"listen" validate:"required"`
	Control string `koanf:"control" validate:"required"`
	// Folder keeps the state over restarts; empty keeps nothing.
	Folder string `koanf:"folder"`
	// Sync makes each write wait for the disk.
	Sync bool `koanf:"sync"`

	// WatchLimit bounds the open watches, RequestRate the requests a second
	// and RequestBurst how many may come at once.
	WatchLimit   int     `koanf:"watch_limit" validate:"min=1"`
	RequestRate  float64 `koanf:"request_rate" validate:"gt=0"`
	RequestBurst int     `koanf:"request_burst" validate:"min=1"`
	// History is the number of changes that a watch can reach back at least.
	History int `koanf:"history" validate:"min=1"`
	// BookmarkEvery is the time between bookmarks on an idle watch.
	BookmarkEvery time.Duration `koanf:"bookmark_every" validate:"min=1ms"`
	MaxBody       int64         `koanf:"max_body" validate:"min=1"`

	// MachineLag is how late the machine list shows a change.
	MachineLag time.Duration `koanf:"machine_lag" validate:"min=0"`
	// MachineTTL is how long a registered machine is kept without registering
	// again. Those in Machines are kept for good.
	MachineTTL time.Duration    `koanf:"machine_ttl" validate:"min=0"`
	Machines   []MachineSetting `koanf:"machines"`

	// WeightRate is the bytes a second that the weight store gives to all its
	// readers together, WeightSizes the bytes of each model or adapter.
	WeightRate  float64          `koanf:"weight_rate" validate:"gt=0"`
	WeightSizes map[string]int64 `koanf:"weight_sizes"`
	// WeightSize is the size of what WeightSizes doesn't name.
	WeightSize int64 `koanf:"weight_size" validate:"min=0"`

	TruthLog string        `koanf:"truth_log"`
	Seed     uint64        `koanf:"seed"`
	Faults   []fault.Fault `koanf:"faults"`
}

// MachineSetting is a machine that is listed from the beginning.
type MachineSetting struct {
	Name    string `koanf:"name" validate:"required"`
	Zone    string `koanf:"zone"`
	Role    string `koanf:"role"`
	Address string `koanf:"address"`
}

func (m MachineSetting) machine() objects.Machine {
	return objects.Machine{Name: m.Name, Zone: m.Zone, Role: m.Role, Address: m.Address}
}

// DefaultConfig gives the values of the fields that a settings file leaves out.
func DefaultConfig() Config {
	return Config{
		Name:          "platform",
		Listen:        "127.0.0.1:0",
		Control:       "127.0.0.1:0",
		Sync:          true,
		WatchLimit:    16,
		RequestRate:   200,
		RequestBurst:  200,
		History:       1024,
		BookmarkEvery: time.Second,
		MaxBody:       4 << 20,
		MachineLag:    2 * time.Second,
		MachineTTL:    5 * time.Second,
		WeightRate:    64 << 20,
		WeightSize:    1 << 20,
	}
}
