package platform

import (
	"time"

	"chutelock.dev/chutelock/internal/standin/fault"
	"chutelock.dev/chutelock/internal/standin/platform/objects"
)

// Config holds the settings of a platform stand-in.
type Config struct {
	Name    string `koanf:"name" validate:"required"`
	Listen  string `koanf:"listen" validate:"required"`
	Control string `koanf:"control" validate:"required"`
	// Folder is the data directory; if empty, state is lost on restart.
	Folder string `koanf:"folder"`
	// Sync makes each write wait until it is synced to disk.
	Sync bool `koanf:"sync"`

	// WatchLimit is the maximum number of open watches; RequestRate, in
	// requests per second, and RequestBurst limit the requests.
	WatchLimit   int     `koanf:"watch_limit" validate:"min=1"`
	RequestRate  float64 `koanf:"request_rate" validate:"gt=0"`
	RequestBurst int     `koanf:"request_burst" validate:"min=1"`
	// History is the minimum number of past changes that a watch can resume from.
	History int `koanf:"history" validate:"min=1"`
	// BookmarkEvery is the interval between bookmarks on a watch.
	BookmarkEvery time.Duration `koanf:"bookmark_every" validate:"min=1ms"`
	MaxBody       int64         `koanf:"max_body" validate:"min=1"`

	// MachineLag is the delay before a change shows in the machine list.
	MachineLag time.Duration `koanf:"machine_lag" validate:"min=0"`
	// MachineTTL is the time after which a machine that hasn't registered again
	// is dropped. Those in Machines never expire.
	MachineTTL time.Duration    `koanf:"machine_ttl" validate:"min=0"`
	Machines   []MachineSetting `koanf:"machines"`

	// WeightRate is the total rate of weight reads in bytes per second,
	// WeightSizes the size in bytes by model or adapter.
	WeightRate  float64          `koanf:"weight_rate" validate:"gt=0"`
	WeightSizes map[string]int64 `koanf:"weight_sizes"`
	// WeightSize is the size of models and adapters not in WeightSizes.
	WeightSize int64 `koanf:"weight_size" validate:"min=0"`

	TruthLog string        `koanf:"truth_log"`
	Seed     uint64        `koanf:"seed"`
	Faults   []fault.Fault `koanf:"faults"`
}

// MachineSetting is a machine that is listed from startup.
type MachineSetting struct {
	Name    string `koanf:"name" validate:"required"`
	Zone    string `koanf:"zone"`
	Role    string `koanf:"role"`
	Address string `koanf:"address"`
}

func (m MachineSetting) machine() objects.Machine {
	return objects.Machine{Name: m.Name, Zone: m.Zone, Role: m.Role, Address: m.Address}
}

// DefaultConfig returns the settings used for fields missing from the file.
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
