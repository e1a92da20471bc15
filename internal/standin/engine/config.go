package engine

import (
	"time"

	"chutelock.dev/chutelock/internal/standin/engine/scheduler"
	"chutelock.dev/chutelock/internal/standin/fault"
)

// Config holds the settings of an engine stand-in.
type Config struct {
	Name string `koanf:"name" validate:"required"`
	Zone string `koanf:"zone"`
	// Region is written to the engine's object in the platform's store.
	Region string `koanf:"region"`
	Role   string `koanf:"role"`
	// Listen is the address of the engine's API, Control that of the control
	// endpoint, which stays up during a fault.Down.
	Listen  string `koanf:"listen" validate:"required"`
	Control string `koanf:"control" validate:"required"`

	Models   []string `koanf:"models"`
	Adapters []string `koanf:"adapters"`
	// LoadTime is the time to load a model or adapter, excluding the fetch of
	// its weights.
	LoadTime time.Duration `koanf:"load_time" validate:"min=0"`

	Scheduler scheduler.Config `koanf:"scheduler"`
	// QueueLimit is the maximum number of waiting requests; more are refused.
	QueueLimit int `koanf:"queue_limit" validate:"min=1"`
	// ParkedLimit is the maximum number of suspended requests kept.
	ParkedLimit int `koanf:"parked_limit" validate:"min=1"`
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64 `koanf:"max_body" validate:"min=1"`
	// RefuseWhenDraining refuses new requests while the engine drains.
	RefuseWhenDraining bool `koanf:"refuse_when_draining"`

	// ReportEvery is the interval between load measurements, ReportLag the
	// minimum age of the measurement that /metrics serves.
	ReportEvery time.Duration `koanf:"report_every" validate:"min=1ms"`
	ReportLag   time.Duration `koanf:"report_lag" validate:"min=0"`
	// EventLag is the delay of KV events.
	EventLag time.Duration `koanf:"event_lag" validate:"min=0"`
	// BlockBytes is the size of an exported KV block, without its hash.
	BlockBytes int `koanf:"block_bytes" validate:"min=0"`

	// Platform is the IP address and port of the platform, where the engine
	// registers and fetches weights; empty for none.
	Platform string `koanf:"platform"`
	// DrainTime is the maximum wait for running requests on a planned stop.
	DrainTime time.Duration `koanf:"drain_time" validate:"min=0"`
	TruthLog  string        `koanf:"truth_log"`
	// Seed seeds the choice of requests hit by faults with a probability.
	Seed   uint64        `koanf:"seed"`
	Faults []fault.Fault `koanf:"faults"`
}

// DefaultConfig returns the settings used for fields missing from the file.
func DefaultConfig() Config {
	return Config{
		Name:        "engine",
		Role:        "mixed",
		Listen:      "127.0.0.1:0",
		Control:     "127.0.0.1:0",
		Scheduler:   scheduler.DefaultConfig(),
		QueueLimit:  1024,
		ParkedLimit: 1024,
		MaxBody:     4 << 20,
		ReportEvery: 100 * time.Millisecond,
		ReportLag:   500 * time.Millisecond,
		EventLag:    200 * time.Millisecond,
		BlockBytes:  1024,
		DrainTime:   30 * time.Second,
	}
}
