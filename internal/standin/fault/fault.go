package fault

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Kind is a kind of failure.
type Kind string

// Kinds that the middleware carries out on any matching request.
const (
	// Slow delays the request by Latency before it is handled.
	Slow Kind = "slow"
	// Failing answers with Status without handling the request.
	Failing Kind = "error"
	// LostAnswer handles the request in full and then cuts the connection.
	// On a token stream AfterTokens events get through first.
	LostAnswer Kind = "lost_answer"
	// Silent accepts the request and never answers. With Effect the request
	// is handled nevertheless.
	Silent Kind = "silent"
	// Pause keeps all connections but does nothing for Duration.
	Pause Kind = "pause"
)

// Kinds that change the process.
const (
	// Down closes the listener and all connections for Duration.
	Down Kind = "down"
	// Crash ends the process at once.
	Crash Kind = "crash"
	// DiskLoss empties what the stand-in has stored.
	DiskLoss Kind = "disk_loss"
	// Restore brings back the stored copy named Target, which is older.
	Restore Kind = "restore"
)

// Kinds that the stand-ins look up where they act.
const (
	// StaleWatch keeps watches open but delivers nothing for Duration.
	StaleWatch Kind = "stale_watch"
	// EventGap drops Count events of the KV-event stream.
	EventGap Kind = "event_gap"
	// ReportLag makes the reports older by Latency.
	ReportLag Kind = "report_lag"
	// Late delays each token by Latency.
	Late Kind = "late"
	// Duplicate sends each token event twice.
	Duplicate Kind = "duplicate"
	// Crossed answers with another request's id and tokens.
	Crossed Kind = "crossed"
)

var kinds = map[Kind]bool{
	Slow: true, Failing: true, LostAnswer: true, Silent: true, Pause: true,
	Down: true, Crash: true, DiskLoss: true, Restore: true,
	StaleWatch: true, EventGap: true, ReportLag: true, Late: true, Duplicate: true, Crossed: true,
}

// Duration is a time.Duration that is written like "250ms" in JSON and YAML.
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
	// After delays the fault from when it is added.
	After Duration `json:"after,omitempty" koanf:"after"`
	// Duration ends the fault; 0 keeps it until it is cleared or used up.
	Duration Duration `json:"duration,omitempty" koanf:"duration"`
	// Count ends the fault after that many uses; 0 sets no bound.
	Count int `json:"count,omitempty" koanf:"count"`
	// Probability of each use, 0 meaning always.
	Probability float64 `json:"probability,omitempty" koanf:"probability"`
	// Method, Path (a prefix) and Request (a prefix of X-Request-Id) select
	// requests; empty ones select all.
	Method  string `json:"method,omitempty" koanf:"method"`
	Path    string `json:"path,omitempty" koanf:"path"`
	Request string `json:"request,omitempty" koanf:"request"`

	Latency     Duration `json:"latency,omitempty" koanf:"latency"`
	Status      int      `json:"status,omitempty" koanf:"status"`
	AfterTokens int      `json:"after_tokens,omitempty" koanf:"after_tokens"`
	Effect      bool     `json:"effect,omitempty" koanf:"effect"`
	Target      string   `json:"target,omitempty" koanf:"target"`
}

// ErrInvalid is returned for a fault that makes no sense.
var ErrInvalid = errors.New("fault: invalid")

// Validate checks the fault's own fields.
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

// Target names a request that a fault may select.
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
