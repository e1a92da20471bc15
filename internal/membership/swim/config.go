package swim

import (
	"time"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// TickInterval is the maximum time between two ticks.
const TickInterval = 50 * time.Millisecond

// Config configures a Node. Zero fields take the defaults below.
type Config struct {
	// Self is this node. Its incarnation must be higher than that of any
	// earlier process of the same name, such as the start time.
	Self membership.Member
	// Seeds holds the addresses of members to join through.
	Seeds []transport.Address

	// ProbeInterval is the time between two probes sent by this node.
	ProbeInterval time.Duration
	// ProbeTimeout is the time without an answer until indirect probes are sent.
	ProbeTimeout time.Duration
	// FailTimeout is the time without any answer until the target is suspected.
	FailTimeout time.Duration
	// SuspicionTimeout is the time until a suspect member is declared dead.
	SuspicionTimeout time.Duration
	// IndirectProbes is the number of members asked to probe a member that did
	// not answer. A negative number disables retries, direct ones too.
	IndirectProbes int
	// Fanout is the number of members to which new changes are pushed.
	Fanout int
	// RetransmitFactor times the logarithm of the zone's size is the number of
	// datagrams that carry a change.
	RetransmitFactor int
	// DigestInterval is the time between digests sent to other zones.
	DigestInterval time.Duration
	// RepairInterval is the mean time between digests sent to a random member of
	// the zone and to a dead member or unknown contact.
	RepairInterval time.Duration
	// JoinInterval is the time between join attempts while no member is known.
	JoinInterval time.Duration
	// ReapAfter is the time after which a dead member is removed.
	ReapAfter time.Duration
	// Seed seeds the random selection of members.
	Seed uint64
}

// Defaults, with which a failure is detected within 3 s.
const (
	defaultProbeInterval    = 300 * time.Millisecond
	defaultProbeTimeout     = 100 * time.Millisecond
	defaultFailTimeout      = 600 * time.Millisecond
	defaultSuspicionTimeout = time.Second
	defaultIndirectProbes   = 3
	defaultFanout           = 4
	defaultRetransmitFactor = 3
	defaultDigestInterval   = 2 * time.Second
	defaultRepairInterval   = 2 * time.Second
	defaultJoinInterval     = 500 * time.Millisecond
	defaultReapAfter        = time.Hour

	// Delegates is the number of members that represent a zone to other zones.
	Delegates = 2

	// maxUpdateBytes limits the updates carried by one datagram.
	maxUpdateBytes = 700
	// maxLocalHealthMultiplier is the maximum of Lifeguard's local health multiplier:
	// 0 is healthy, and timeouts are multiplied by its value plus one.
	maxLocalHealthMultiplier = 3
	// omissionAge is the minimum age of a record before a member that its own
	// zone no longer lists is declared dead.
	omissionAge = 30 * time.Second
	// pushInterval is the minimum time between two pushes of changes, and
	// syncInterval between two syncs that this node starts on a digest.
	pushInterval = 100 * time.Millisecond
	syncInterval = 200 * time.Millisecond
	// announceDelay is the delay before a digest announces a change to other
	// zones, so that a burst of changes causes one digest.
	announceDelay = 200 * time.Millisecond
)

func orDuration(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

func orInt(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

func (c Config) withDefaults() Config {
	c.ProbeInterval = orDuration(c.ProbeInterval, defaultProbeInterval)
	c.ProbeTimeout = orDuration(c.ProbeTimeout, defaultProbeTimeout)
	c.FailTimeout = orDuration(c.FailTimeout, defaultFailTimeout)
	c.SuspicionTimeout = orDuration(c.SuspicionTimeout, defaultSuspicionTimeout)
	c.IndirectProbes = orInt(c.IndirectProbes, defaultIndirectProbes)
	c.Fanout = orInt(c.Fanout, defaultFanout)
	c.RetransmitFactor = orInt(c.RetransmitFactor, defaultRetransmitFactor)
	c.DigestInterval = orDuration(c.DigestInterval, defaultDigestInterval)
	c.RepairInterval = orDuration(c.RepairInterval, defaultRepairInterval)
	c.JoinInterval = orDuration(c.JoinInterval, defaultJoinInterval)
	c.ReapAfter = orDuration(c.ReapAfter, defaultReapAfter)
	return c
}
