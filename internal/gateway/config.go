package gateway

import "time"

// Config has the limits and timeouts of requests. Zero fields take the values of
// DefaultConfig.
type Config struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// HeaderTimeout limits the time to receive a request header.
	HeaderTimeout time.Duration
	// BodyTimeout limits the time to receive a request body.
	BodyTimeout time.Duration
	// WriteTimeout limits the time for one write to a streaming caller.
	WriteTimeout time.Duration
	// RequestTimeout limits a whole request; a caller may set a shorter limit.
	RequestTimeout time.Duration
	// FirstTokenTimeout limits the wait for an attempt's first token. An attempt
	// moves to an engine with a free place sooner if the service has a latency
	// objective: after FirstTokenFactor × objective, clamped to MinTokenTimeout and
	// FirstTokenTimeout.
	FirstTokenTimeout time.Duration
	FirstTokenFactor  float64
	// NextTokenTimeout and NextTokenFactor do the same for later tokens.
	NextTokenTimeout time.Duration
	NextTokenFactor  float64
	MinTokenTimeout  time.Duration
	// HedgeAfter is the time without a token after which a repeatable request gets
	// a second, concurrent attempt; 0 disables hedging.
	HedgeAfter time.Duration
	// DrainSettle is how long a draining node still accepts requests, so that load
	// balancers can notice that it isn't ready.
	DrainSettle time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		MaxBodyBytes:      4 << 20,
		HeaderTimeout:     5 * time.Second,
		BodyTimeout:       10 * time.Second,
		WriteTimeout:      30 * time.Second,
		RequestTimeout:    10 * time.Minute,
		FirstTokenTimeout: 20 * time.Second,
		FirstTokenFactor:  4,
		NextTokenTimeout:  10 * time.Second,
		NextTokenFactor:   25,
		MinTokenTimeout:   time.Second,
		DrainSettle:       time.Second,
	}
}

func (c Config) withDefaults() Config {
	defaults := DefaultConfig()
	setDefault(&c.MaxBodyBytes, defaults.MaxBodyBytes)
	setDefault(&c.HeaderTimeout, defaults.HeaderTimeout)
	setDefault(&c.BodyTimeout, defaults.BodyTimeout)
	setDefault(&c.WriteTimeout, defaults.WriteTimeout)
	setDefault(&c.RequestTimeout, defaults.RequestTimeout)
	setDefault(&c.FirstTokenTimeout, defaults.FirstTokenTimeout)
	setDefault(&c.FirstTokenFactor, defaults.FirstTokenFactor)
	setDefault(&c.NextTokenTimeout, defaults.NextTokenTimeout)
	setDefault(&c.NextTokenFactor, defaults.NextTokenFactor)
	setDefault(&c.MinTokenTimeout, defaults.MinTokenTimeout)
	setDefault(&c.DrainSettle, defaults.DrainSettle)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// tokenTimeout returns the token timeout for a latency objective.
func (c *Config) tokenTimeout(objective time.Duration, factor float64, longest time.Duration) time.Duration {
	if objective <= 0 {
		return longest
	}
	return min(max(time.Duration(factor*float64(objective)), c.MinTokenTimeout), longest)
}
