package engine

import (
	"time"

	"chutelock.dev/chutelock/internal/standin/engine/scheduler"
	"chutelock.dev/chutelock/internal/standin/fault"
)

// Config is the settings file of an engine stand-in.
type Config struct {
	Name string `koanf:"name" validate:"required"`
	Zone string `koanf:"zone"`
	// Region stands in the engine's object in the platform's store.
	Region string `koanf:"region"`
	Role   string `koanf:"role"`
	// Listen is the address of the protocol, Control the one of the control
	// endpoint, which stays up while the engine is "down".
	Listen  string `koanf:"listen" validate:"required"`
	Control string `koanf:"control" validate:"required"`

	Models   []string `koanf:"models"`
	Adapters []string `koanf:"adapters"`
	// LoadTime is how long a model or adapter takes to load, beside the time
	// that the weight store takes.
	LoadTime time.Duration `koanf:"load_time" validate:"min=0"`

	Scheduler scheduler.Config `koanf:"scheduler"`
	// QueueLimit is the number of waiting requests from which on more are
	// refused.
	QueueLimit int `koanf:"queue_limit" validate:"min=1"`
	// ParkedLimit bounds the suspended requests that are remembered.
	ParkedLimit int `koanf:"parked_limit" validate:"min=1"`
	// MaxBody bounds a request's body, in bytes.
	MaxBody int64 `koanf:"max_body" validate:"min=1"`
	// RefuseWhenDraining refuses new requests once the engine is leaving.
	RefuseWhenDraining bool `koanf:"refuse_when_draining"`

	// ReportEvery is how often the load is measured, ReportLag how old the
	// measurement is that /metrics tells.
	ReportEvery time.Duration `koanf:"report_every" validate:"min=1ms"`
	ReportLag   time.Duration `koanf:"report_lag" validate:"min=0"`
	// EventLag is how late the KV events are.
	EventLag time.Duration `koanf:"event_lag" validate:"min=0"`
	// BlockBytes is the size of an exported KV block.
	BlockBytes int `koanf:"block_bytes" validate:"min=0"`

	// Platform is the platform's address, an IP number with a port, where the
	// engine registers and reads weights; empty for none.
	Platform string `koanf:"platform"`
	// DrainTime bounds how long a planned stop waits for running requests.
	DrainTime time.Duration `koanf:"drain_time" validate:"min=0"`
	TruthLog  string        `koanf:"truth_log"`
	// Seed decides the uses of faults with a probability.
	Seed   uint64        `koanf:"seed"`
	Faults []fault.Fault `koanf:"faults"`
}

// DefaultConfig gives the values of the fields that a settings file leaves out.
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
