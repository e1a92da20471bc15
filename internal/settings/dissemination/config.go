package dissemination

import (
	"time"

	"chutelock.dev/chutelock/internal/membership"
)

// TickInterval is the longest pause between two calls of Tick.
const TickInterval = 100 * time.Millisecond

// WatchersPerRegion bounds the nodes of a region that read the store.
const WatchersPerRegion = 2

// Config configures a Machine. Zero durations select the defaults.
type Config struct {
	Self membership.Member
	// Seed seeds the choice of gossip partners and the jitter of retries.
	Seed uint64
	// StartupWait is how long a starting node waits for its peers' answers.
	StartupWait time.Duration
	// WatchDelay is how long a node must have been selected before it opens a
	// watch; it exceeds StopDelay, so that the old watcher has closed its watch.
	WatchDelay time.Duration
	// StopDelay is how long a watcher that is no longer selected keeps its watch.
	StopDelay time.Duration
	// WatchSilence is how long a watch may deliver neither event nor bookmark.
	WatchSilence time.Duration
	// GossipInterval is the pause between two digests to peers of the zone.
	GossipInterval time.Duration
	// StaleAfter is the age of the last confirmation by the store from which
	// a node reports itself stale.
	StaleAfter time.Duration
}

// Defaults of Config.
const (
	defaultStartupWait    = 1500 * time.Millisecond
	defaultWatchDelay     = 4 * time.Second
	defaultStopDelay      = 500 * time.Millisecond
	defaultWatchSilence   = 15 * time.Second
	defaultGossipInterval = 500 * time.Millisecond
	defaultStaleAfter     = 30 * time.Second
)

func (c Config) withDefaults() Config {
	for _, field := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&c.StartupWait, defaultStartupWait},
		{&c.WatchDelay, defaultWatchDelay},
		{&c.StopDelay, defaultStopDelay},
		{&c.WatchSilence, defaultWatchSilence},
		{&c.GossipInterval, defaultGossipInterval},
		{&c.StaleAfter, defaultStaleAfter},
	} {
		if *field.value == 0 {
			*field.value = field.fallback
		}
	}
	return c
}

const (
	relayFanOut        = 6                // children of a node in its zone's tree
	relayRoots         = 2                // nodes of each zone that a watcher sends to
	startupPeers       = 3                // peers that a starting node queries per round
	pullTimeout        = time.Second      // before another peer may be asked
	retryMin           = time.Second      // pause after the first failure of the store
	retryMax           = 8 * time.Second  // longest pause between store retries
	divergencePause    = 5 * time.Second  // pause of pulls after a peer diverged
	reportInterval     = time.Second      // between reports to the parent
	reportLifetime     = 4 * time.Second  // of a child's report
	zoneInterval       = 2 * time.Second  // between reports to other zones
	zoneLifetime       = 10 * time.Second // of another zone's report
	maxLogDeltas       = 512              // deltas kept for peers slightly behind
	maxAnswerBytes     = 512 << 10        // soft limit of one pull answer
	regionGossipPeriod = 4                // one digest in this many goes outside the zone
	maxLogEntries      = 4096             // total entries kept in the log
	headRegionPeriod   = 2                // one of a head's digests in this many goes to another region
)
