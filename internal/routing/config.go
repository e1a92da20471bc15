package routing

import "time"

// Config tunes a Router. DefaultConfig gives every value; a zero Config is
// completed with the defaults of its zero fields, but for weights, where the
// zero of all of them means the defaults.
type Config struct {
	// Zone and Region are this node's own.
	Zone, Region string
	// Seed of the picker's randomness.
	Seed uint64

	Weights Weights
	// NearBest is the distance from the best score within which the picker
	// chooses at random.
	NearBest float64
	// LoadHalfLife is the age at which a load report counts half.
	LoadHalfLife time.Duration
	// OthersWeight is the weight of other nodes' streams against this node's
	// own in the load score, where they are over OthersMargin × the peers' mean
	// and OthersSlack. Reports lag by about as long as a stream runs, and nodes
	// that all follow them swing together; so only an endpoint that stands out
	// is avoided, and none is preferred.
	OthersWeight, OthersMargin, OthersSlack float64
	// PrefixHalfTokens is the number of cached prompt tokens that is worth half
	// of the prefix score, by its square: a short prefix is not worth an uneven load.
	PrefixHalfTokens int
	// LoadBoundFactor and LoadBoundSlack bound prefix affinity: it ends at
	// factor × mean load + slack streams.
	LoadBoundFactor float64
	LoadBoundSlack  float64
	// PrefixEntries bounds the prefix keys remembered for one model.
	PrefixEntries int

	Outliers OutlierConfig
}

// Weights of the scorers.
type Weights struct {
	Load, KV, Prefix, Adapter, Zone, Health float64
}

// OutlierConfig tunes how failing and slow endpoints are set aside.
type OutlierConfig struct {
	// ConsecutiveFailures sets an endpoint aside.
	ConsecutiveFailures int
	// EjectionBase is the first time aside; it doubles up to EjectionMax.
	EjectionBase, EjectionMax time.Duration
	// MaxEjectedShare bounds the endpoints of a model that are set aside.
	MaxEjectedShare float64
	// StallAfter is how long the oldest attempt may wait for its first token,
	// with none come from the endpoint meanwhile, before others avoid it;
	// StallFactor × the peers' usual time replaces it when that is longer.
	StallAfter  time.Duration
	StallFactor float64
	// SlowFactor and SlowMargin: an endpoint whose mean time to first token or
	// between tokens is over factor × the peers' median, and over the median by
	// the margin, is set aside.
	SlowFactor float64
	SlowMargin time.Duration
	// SlowSamples is the least number of samples for a judgement.
	SlowSamples int
	// FailureHalfLife is the age at which failures count half in the score of
	// an endpoint that isn't set aside.
	FailureHalfLife time.Duration
	// Interval between comparisons with peers.
	Interval time.Duration
}

// DefaultConfig returns the values in use when nothing is set.
func DefaultConfig() Config {
	return Config{
		Weights:          Weights{Load: 1, KV: 0.3, Prefix: 1, Adapter: 0.5, Zone: 0.3, Health: 1.5},
		NearBest:         0.01,
		LoadHalfLife:     2 * time.Second,
		OthersWeight:     0.1,
		OthersMargin:     1.5,
		OthersSlack:      4,
		PrefixHalfTokens: 1500,
		LoadBoundFactor:  1.25,
		LoadBoundSlack:   4,
		PrefixEntries:    32768,
		Outliers: OutlierConfig{
			ConsecutiveFailures: 3,
			EjectionBase:        time.Second,
			EjectionMax:         time.Minute,
			MaxEjectedShare:     0.5,
			StallAfter:          time.Second,
			StallFactor:         4,
			SlowFactor:          3,
			SlowMargin:          50 * time.Millisecond,
			SlowSamples:         8,
			FailureHalfLife:     5 * time.Second,
			Interval:            500 * time.Millisecond,
		},
	}
}

func (c Config) withDefaults() Config {
	defaults := DefaultConfig()
	if c.Weights == (Weights{}) {
		c.Weights = defaults.Weights
	}
	setDefault(&c.NearBest, defaults.NearBest)
	setDefault(&c.LoadHalfLife, defaults.LoadHalfLife)
	setDefault(&c.OthersWeight, defaults.OthersWeight)
	setDefault(&c.OthersMargin, defaults.OthersMargin)
	setDefault(&c.OthersSlack, defaults.OthersSlack)
	setDefault(&c.PrefixHalfTokens, defaults.PrefixHalfTokens)
	setDefault(&c.LoadBoundFactor, defaults.LoadBoundFactor)
	setDefault(&c.LoadBoundSlack, defaults.LoadBoundSlack)
	setDefault(&c.PrefixEntries, defaults.PrefixEntries)
	outliers, base := &c.Outliers, defaults.Outliers
	setDefault(&outliers.ConsecutiveFailures, base.ConsecutiveFailures)
	setDefault(&outliers.EjectionBase, base.EjectionBase)
	setDefault(&outliers.EjectionMax, base.EjectionMax)
	setDefault(&outliers.MaxEjectedShare, base.MaxEjectedShare)
	setDefault(&outliers.StallAfter, base.StallAfter)
	setDefault(&outliers.StallFactor, base.StallFactor)
	setDefault(&outliers.SlowFactor, base.SlowFactor)
	setDefault(&outliers.SlowMargin, base.SlowMargin)
	setDefault(&outliers.SlowSamples, base.SlowSamples)
	setDefault(&outliers.FailureHalfLife, base.FailureHalfLife)
	setDefault(&outliers.Interval, base.Interval)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
