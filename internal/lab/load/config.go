package load

import (
	"errors"
	"time"

	"chutelock.dev/chutelock/internal/lab/arrivals"
)

// ExpectedText returns the text that an engine must answer to a prompt.
type ExpectedText func(model, prompt string, maxTokens int) string

// Config is one load run.
type Config struct {
	// Targets are base URLs, used in turn.
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
	// MaxRequests ends the run early; zero means no bound but Duration.
	MaxRequests int
	// MaxInFlight bounds the requests in flight; one more is not sent and is
	// counted as OutcomeNotSent.
	MaxInFlight int
	// Timeout bounds one request from its scheduled arrival.
	Timeout time.Duration
	// Failover sends a request to the next target when one can't be reached or
	// says that the request was not run, as a caller with a list of nodes does.
	Failover bool
	// Expected checks the answers; nil means that they aren't checked.
	Expected ExpectedText
}

func (c Config) validate() error {
	if len(c.Targets) == 0 {
		return errors.New("no target")
	}
	if c.Duration <= 0 || c.MaxInFlight <= 0 || c.Timeout <= 0 {
		return errors.New("duration, in-flight bound and timeout must be positive")
	}
	return nil
}

// targetsOf lists the targets that a request may be sent to, in order.
func (c Config) targetsOf(number int) []string {
	first := number % len(c.Targets)
	if !c.Failover {
		return c.Targets[first : first+1]
	}
	return append(append([]string{}, c.Targets[first:]...), c.Targets[:first]...)
}
