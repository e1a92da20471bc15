package swim

import (
	"time"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// TickInterval is the longest time that may pass between two ticks.
const TickInterval = 50 * time.Millisecond

// Config sets a node up. Zero fields take the defaults below.
type Config struct {
	// Self is this node. Its incarnation must be higher than that of any
	// earlier process of the same name; the start time serves.
	Self membership.Member
	// Seeds are addresses of members to join through.
	Seeds []transport.Address

	// ProbeInterval is the time between two probes of this node.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait for an answer before others are asked.
	ProbeTimeout time.Duration
	// FailTimeout is the wait for any answer before the target is suspected.
	FailTimeout time.Duration
	// SuspicionTimeout is the time that a suspected member has to refute.
	SuspicionTimeout time.Duration
	// IndirectProbes is the number of members asked to probe a silent one;
	// negative asks none.
	IndirectProbes int
	// Fanout is the number of members told at once of a change.
	Fanout int
	// RetransmitFactor times the logarithm of the zone's size bounds how often
	// a change is carried on probes.
	RetransmitFactor int
	// DigestInterval is the time between digests to other zones.
	DigestInterval time.Duration
	// RepairInterval is the time between digests to a random member, and to
	// one believed dead or a seed.
	RepairInterval time.Duration
	// JoinInterval is the time between attempts to join while alone.
	JoinInterval time.Duration
	// ReapAfter is how long a dead member is remembered.
	ReapAfter time.Duration
	// Seed seeds the choice of members.
	Seed uint64
}

// Defaults, chosen so that a failure is known within 3 s at the cost that
// docs/CAPACITY.md gives.
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

	// Delegates is the number of members of a zone that speak for it.
	Delegates = 2

	// maxUpdateBytes bounds the updates carried on one datagram.
	maxUpdateBytes = 700
	// maxHealth is the highest local health score: timeouts grow by up to
	// this factor plus one while none of this node's relays answers.
	maxHealth = 3
	// omissionAge is the age from which a member that its own zone no longer
	// lists is taken as dead.
	omissionAge = 30 * time.Second
	// pushInterval is the least time between two pushes of changes, and
	// syncInterval between two exchanges of records that this node asks for.
	pushInterval = 100 * time.Millisecond
	syncInterval = 200 * time.Millisecond
	// announceDelay is the wait before a change is told to other zones, so
	// that changes that come together are told together.
	announceDelay = 200 * time.Millisecond
)

func orDuration(value, standard time.Duration) time.Duration {
	if value == 0 {
		return standard
	}
	return value
}

func orCount(value, standard int) int {
	if value == 0 {
		return standard
	}
	return value
}

func (c Config) withDefaults() Config {
	c.ProbeInterval = orDuration(c.ProbeInterval, defaultProbeInterval)
	c.ProbeTimeout = orDuration(c.ProbeTimeout, defaultProbeTimeout)
	c.FailTimeout = orDuration(c.FailTimeout, defaultFailTimeout)
	c.SuspicionTimeout = orDuration(c.SuspicionTimeout, defaultSuspicionTimeout)
	c.IndirectProbes = orCount(c.IndirectProbes, defaultIndirectProbes)
	c.Fanout = orCount(c.Fanout, defaultFanout)
	c.RetransmitFactor = orCount(c.RetransmitFactor, defaultRetransmitFactor)
	c.DigestInterval = orDuration(c.DigestInterval, defaultDigestInterval)
	c.RepairInterval = orDuration(c.RepairInterval, defaultRepairInterval)
	c.JoinInterval = orDuration(c.JoinInterval, defaultJoinInterval)
	c.ReapAfter = orDuration(c.ReapAfter, defaultReapAfter)
	return c
}
