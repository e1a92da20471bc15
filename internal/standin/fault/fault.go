package fault

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Kind is a kind of failure.
type Kind string

// Kinds that Middleware applies to any matching request.
const (
	// Slow delays the request by Latency before it is handled.
	Slow Kind = "slow"
	// Failing responds with Status without handling the request.
	Failing Kind = "error"
	// LostAnswer handles the request completely and closes the connection
	// without a response. Of a token stream, AfterTokens events are sent first.
	LostAnswer Kind = "lost_answer"
	// Silent accepts the request and never responds. With Effect the request
	// is still handled.
	Silent Kind = "silent"
	// Pause keeps all connections open but makes no progress for Duration.
	Pause Kind = "pause"
)

// Kinds that affect the whole process.
const (
	// Down closes the listener and all connections for Duration.
	Down Kind = "down"
	// Crash ends the process immediately.
	Crash Kind = "crash"
	// DiskLoss deletes all stored state.
	DiskLoss Kind = "disk_loss"
	// Restore reverts the stored state to the checkpoint named Target.
	Restore Kind = "restore"
)

// Kinds that the stand-ins check for with Take or Wait.
const (
	// StaleWatch keeps watches open but sends nothing for Duration.
	StaleWatch Kind = "stale_watch"
	// EventGap drops Count events of the KV-event stream.
	EventGap Kind = "event_gap"
	// ReportLag replaces the configured report lag by Latency.
	ReportLag Kind = "report_lag"
	// Late delays each token by Latency.
	Late Kind = "late"
	// Duplicate sends each token event twice.
	Duplicate Kind = "duplicate"
	// Crossed responds with another request's ID and tokens.
	Crossed Kind = "crossed"
)

var kinds = map[Kind]bool{
	Slow: true, Failing: true, LostAnswer: true, Silent: true, Pause: true,
	Down: true, Crash: true, DiskLoss: true, Restore: true,
	StaleWatch: true, EventGap: true, ReportLag: true, Late: true, Duplicate: true, Crossed: true,
}

// Duration is a time.Duration encoded like "250ms" in JSON and YAML.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// Fault is one failure to inject.
type Fault struct {
	Kind Kind `json:"kind" koanf:"kind"`
	// After is the delay between adding the fault and its start.
	After Duration `json:"after,omitempty" koanf:"after"`
	// Duration is how long the fault lasts; 0 means no time limit.
	Duration Duration `json:"duration,omitempty" koanf:"duration"`
	// Count is the maximum number of uses; 0 means unlimited.
	Count int `json:"count,omitempty" koanf:"count"`
	// Probability is the chance that a matching request is hit; 0 means always.
	Probability float64 `json:"probability,omitempty" koanf:"probability"`
	// Method, Path (a prefix) and Request (a prefix of X-Request-Id) select
	// requests; empty fields match all.
	Method  string `json:"method,omitempty" koanf:"method"`
	Path    string `json:"path,omitempty" koanf:"path"`
	Request string `json:"request,omitempty" koanf:"request"`

	Latency     Duration `json:"latency,omitempty" koanf:"latency"`
	Status      int      `json:"status,omitempty" koanf:"status"`
	AfterTokens int      `json:"after_tokens,omitempty" koanf:"after_tokens"`
	Effect      bool     `json:"effect,omitempty" koanf:"effect"`
	Target      string   `json:"target,omitempty" koanf:"target"`
}

// ErrInvalid is returned for a fault with invalid fields.
var ErrInvalid = errors.New("fault: invalid")

// Validate returns an ErrInvalid error if a field is invalid.
func (f Fault) Validate() error {
	switch {
	case !kinds[f.Kind]:
		return fmt.Errorf("%w: unknown kind %q", ErrInvalid, f.Kind)
	case f.Probability < 0 || f.Probability > 1:
		return fmt.Errorf("%w: probability %v is not within 0 and 1", ErrInvalid, f.Probability)
	case f.After < 0 || f.Duration < 0 || f.Latency < 0 || f.Count < 0 || f.AfterTokens < 0:
		return fmt.Errorf("%w: negative value", ErrInvalid)
	case (f.Kind == Pause || f.Kind == Down || f.Kind == StaleWatch) && f.Duration == 0:
		return fmt.Errorf("%w: %s needs a duration", ErrInvalid, f.Kind)
	}
	return nil
}

// Target holds the properties of a request that a fault selects by.
type Target struct {
	Method  string
	Path    string
	Request string
}

func (f Fault) selects(target Target) bool {
	if f.Method != "" && f.Method != target.Method {
		return false
	}
	return strings.HasPrefix(target.Path, f.Path) && strings.HasPrefix(target.Request, f.Request)
}
