package load

import (
	"errors"
	"time"

	"chutelock.dev/chutelock/internal/lab/arrivals"
)

// ExpectedText returns the text that an engine must generate for a prompt.
type ExpectedText func(model, prompt string, maxTokens int) string

// Config configures a load test.
type Config struct {
	// Targets are base URLs, used round-robin.
	Targets []string
	Key     string
	Model   string
	Stream  bool
	Chat    bool
	Online  arrivals.Online
	Seed    uint64
	// Label makes this run's prompts differ from those of other runs.
	Label    string
	Duration time.Duration
	// MaxRequests ends the run early; zero means no limit other than Duration.
	MaxRequests int
	// MaxInFlight limits requests in flight; requests above it are counted as
	// OutcomeNotSent.
	MaxInFlight int
	// Timeout is the deadline of a request, from its scheduled arrival.
	Timeout time.Duration
	// Failover retries a request at the next target if the connection fails or
	// the error response guarantees that the request did not run.
	Failover bool
	// Expected returns the text that a response is compared with; nil disables the check.
	Expected ExpectedText
}

func (c Config) validate() error {
	if len(c.Targets) == 0 {
		return errors.New("no targets")
	}
	if c.Duration <= 0 || c.MaxInFlight <= 0 || c.Timeout <= 0 {
		return errors.New("duration, in-flight limit and timeout must be positive")
	}
	return nil
}

// targetOrder returns the targets that a request may be sent to, in order of failover.
func (c Config) targetOrder(number int) []string {
	first := number % len(c.Targets)
	if !c.Failover {
		return c.Targets[first : first+1]
	}
	return append(append([]string{}, c.Targets[first:]...), c.Targets[:first]...)
}
