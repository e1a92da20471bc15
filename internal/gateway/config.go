package gateway

import "time"

// Config bounds what a caller may ask of a node. Zero fields take the values
// of DefaultConfig.
type Config struct {
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time in which a request's header must arrive.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time in which the body must arrive.
	BodyTimeout time.Duration
	// WriteTimeout bounds how long a caller may take to read one piece of the
	// answer.
	WriteTimeout time.Duration
	// RequestTimeout bounds a whole request; a caller may ask for less.
	RequestTimeout time.Duration
	// FirstTokenTimeout bounds the wait for an attempt's first token where the
	// service has no objective; otherwise FirstTokenFactor × the objective
	// does, within the bounds of MinTokenTimeout and FirstTokenTimeout.
	FirstTokenTimeout time.Duration
	FirstTokenFactor  float64
	// NextTokenTimeout and NextTokenFactor are the same between tokens.
	NextTokenTimeout time.Duration
	NextTokenFactor  float64
	MinTokenTimeout  time.Duration
	// HedgeAfter starts a second attempt of a repeatable request that has no
	// token yet; 0 turns hedging off.
	HedgeAfter time.Duration
	// DrainSettle is how long a draining node still takes requests, so that
	// those who send to it can see that it isn't ready.
	DrainSettle time.Duration
}

// DefaultConfig returns the values in use when nothing is set.
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

// tokenTimeout derives a timeout from a service's objective.
func (c *Config) tokenTimeout(objective time.Duration, factor float64, longest time.Duration) time.Duration {
	if objective <= 0 {
		return longest
	}
	return min(max(time.Duration(factor*float64(objective)), c.MinTokenTimeout), longest)
}
