package routing

import "time"

// Config holds the settings of a Router. Zero fields take the values of
// DefaultConfig; the weights do so only if all of them are zero.
type Config struct {
	// Zone and Region are where this node runs.
	Zone, Region string
	// Seed seeds the picker's random numbers.
	Seed uint64

	Weights Weights
	// ScoreTolerance is the distance from the best score within which the picker
	// chooses at random.
	ScoreTolerance float64
	// LoadHalfWeightAge is the age at which a load report counts half; its weight falls
	// hyperbolically.
	LoadHalfWeightAge time.Duration
	// RemoteWeight is the weight, in the load score, of other nodes' streams
	// beyond RemoteMargin × the mean over all endpoints + RemoteSlack. Weighting
	// all of them would make the nodes oscillate together, as reports lag by
	// about the duration of a stream.
	RemoteWeight, RemoteMargin, RemoteSlack float64
	// PrefixHalfTokens is the prompt length at which the prefix score has half of
	// its weight. It falls with the square of the length, as a short prefix
	// doesn't justify an uneven load.
	PrefixHalfTokens int
	// Endpoints with more than LoadBoundFactor × mean load + LoadBoundSlack
	// streams get no prefix score.
	LoadBoundFactor float64
	LoadBoundSlack  float64
	// PrefixEntries is the maximum number of prefix keys kept for each model.
	PrefixEntries int

	Outliers OutlierConfig
}

// Weights holds the weight of each scorer.
type Weights struct {
	Load, KV, Prefix, Adapter, Zone, Health float64
}

// OutlierConfig holds the settings of the ejection of failing and slow endpoints.
type OutlierConfig struct {
	// ConsecutiveFailures is the number of failures that ejects an endpoint.
	ConsecutiveFailures int
	// EjectionBase is the first ejection time; it doubles up to EjectionMax.
	EjectionBase, EjectionMax time.Duration
	// MaxEjectedShare is the maximum share of a model's endpoints that are ejected.
	MaxEjectedShare float64
	// StallAfter is how long the oldest attempt may wait for its first token,
	// while the endpoint sends none to others, before the endpoint is avoided;
	// StallFactor × the peers' median time replaces it when that is longer.
	StallAfter  time.Duration
	StallFactor float64
	// An endpoint is ejected if its mean time to first token or between tokens
	// exceeds SlowFactor × the peers' median; the time to first token must exceed
	// the median by SlowMargin, too.
	SlowFactor float64
	SlowMargin time.Duration
	// SlowSamples is the minimum number of samples for this comparison.
	SlowSamples int
	// FailureHalfLife is the age at which failures count half in the score of
	// an endpoint that isn't ejected.
	FailureHalfLife time.Duration
	// Interval is the time between comparisons with peers.
	Interval time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Weights:           Weights{Load: 1, KV: 0.3, Prefix: 1, Adapter: 0.5, Zone: 0.3, Health: 1.5},
		ScoreTolerance:    0.01,
		LoadHalfWeightAge: 2 * time.Second,
		RemoteWeight:      0.1,
		RemoteMargin:      1.5,
		RemoteSlack:       4,
		PrefixHalfTokens:  1500,
		LoadBoundFactor:   1.25,
		LoadBoundSlack:    4,
		PrefixEntries:     32768,
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
	setDefault(&c.ScoreTolerance, defaults.ScoreTolerance)
	setDefault(&c.LoadHalfWeightAge, defaults.LoadHalfWeightAge)
	setDefault(&c.RemoteWeight, defaults.RemoteWeight)
	setDefault(&c.RemoteMargin, defaults.RemoteMargin)
	setDefault(&c.RemoteSlack, defaults.RemoteSlack)
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
