package batchwork

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	// attemptTimeout bounds one attempt at a leader, in addition to the call's own wait
	// there.
	attemptTimeout = 1200 * time.Millisecond
	// retryPause is the pause between attempts.
	retryPause = 25 * time.Millisecond
	// replicaReadTimeout bounds a read at a nearby replica, in addition to the read's own
	// wait. It leaves time to ask the leader afterwards.
	replicaReadTimeout = 500 * time.Millisecond
	// replicaBackoff is how long a replica gets no reads after a failed one. A lost
	// replica is replaced after 1.5 s.
	replicaBackoff = 3 * time.Second
	// maxLocated and maxEmpty bound the caches of job locations and of shards without
	// queued tokens, at about 100 bytes an entry.
	maxLocated = 4096
	maxEmpty   = 4096
)

var (
	eventReplicaBackoff = telemetry.Define(3210, "replica-aside", "A read at a nearby replica failed; it is repeated at the leader, and the replica gets no reads for a while.")
	eventBadReplicas    = telemetry.Define(3211, "replicas-unreadable", "The leader's list of replicas could not be decoded; the previous list stays in use.")
	eventJobKeptBack    = telemetry.Define(3216, "job-kept-back", "A batch job was not sent to a node that is not known to be in the region of its shard.")
)

// Suspecter is a directory that accepts reports of leaders that are unreachable or no longer
// lead.
type Suspecter interface {
	ledger.Directory
	Suspect(shard ledger.ShardID, leader transport.Address)
}

// CallerOptions configure a Caller.
type CallerOptions struct {
	// Directory finds the leaders; Sender reaches them.
	Directory Suspecter
	Sender    transport.Sender
	// Near picks the replica to read from; false means to read at the leader.
	Near func(replicas []transport.Address) (transport.Address, bool)
	// RegionPolicy returns where a job may be kept; nil if there are no regions.
	RegionPolicy func(job *Job) RegionPolicy
	// InRegion reports whether the node at an address is known to be in the region of a
	// shard; nil if there are no regions.
	InRegion func(address transport.Address, shard ledger.ShardID) bool
}

// Caller calls shard leaders from any node, and reads from a nearby replica if there is one.
// It is safe for concurrent use.
type Caller struct {
	options CallerOptions

	mutex        sync.Mutex // guards the fields below; Near is called under it
	replicas     map[ledger.ShardID][]transport.Address
	backoffUntil map[transport.Address]time.Time
	located      map[string]ledger.ShardID // jobs at regional shards
	empty        map[formerHomeKey]uint64  // epoch of the queue's home, by former home
}

// formerHomeKey names a queue and a former home of it.
type formerHomeKey struct {
	shard ledger.ShardID
	queue queue
}

// NewCaller returns a caller.
func NewCaller(options CallerOptions) *Caller {
	return &Caller{
		options: options, replicas: map[ledger.ShardID][]transport.Address{}, backoffUntil: map[transport.Address]time.Time{},
		located: map[string]ledger.ShardID{}, empty: map[formerHomeKey]uint64{},
	}
}

// call is a request to the leader of a shard.
type call struct {
	shard   ledger.ShardID
	kind    transport.Kind
	payload []byte
	wait    time.Duration // how long the leader may hold the call
	// maySend returns an error if the payload must not be sent to a node; nil permits all
	// nodes.
	maySend func(to transport.Address) error
}

// errRegionsChanged is returned if a job is no longer permitted in the shard it was to go
// to.
var errRegionsChanged = errors.New("batchwork: the regions of the job have changed")

// Submit submits a job. It returns nil once the job is stored; a RefusedError, ErrQueueFull,
// ErrTenantMismatch, ErrNoHome, ErrNotTaken or an InvalidJobError if it was certainly not
// accepted; and ErrOwnerUnknown or ErrUnknown otherwise.
func (c *Caller) Submit(ctx context.Context, job *Job) error {
	if err := job.validate(); err != nil {
		return err
	}
	p := newPlacement(job)
	p.isEmpty = func(shard ledger.ShardID, epoch uint64) bool {
		return c.isEmpty(formerHomeKey{shard, job.queue()}, epoch)
	}
	p.setEmpty = func(shard ledger.ShardID, epoch uint64) { c.setEmpty(formerHomeKey{shard, job.queue()}, epoch) }
	uncertain := false
	for ctx.Err() == nil {
		next, err := p.nextCall(c.regionPolicy(job))
		if err != nil {
			return c.orUnknown(uncertain, err)
		}
		content, unsure, err := c.call(ctx, c.prepare(job, next))
		uncertain = uncertain || (unsure && next.body)
		switch {
		case errors.Is(err, errRegionsChanged):
			continue
		case errors.Is(err, ErrOutdated):
			clock.Sleep(ctx, 4*retryPause)
			continue
		case errors.Is(err, ErrNotTaken), errors.Is(err, ErrUnknown):
			return c.orUnknown(uncertain, ErrNotTaken)
		case errors.Is(err, ErrTooLate), errors.Is(err, ErrQueueFull):
			// An earlier call may still be on its way to a leader that accepts the job.
			return c.orUnknown(uncertain, err)
		}
		if done, outcome := p.handleAnswer(content, err); done {
			if outcome == nil && p.stage == stagePlace {
				c.setLocation(job.ID, p.answer.shard)
			}
			return outcome
		}
	}
	return c.orUnknown(uncertain, ErrNotTaken)
}

// orUnknown returns ErrUnknown if an earlier call may have submitted the job, and err
// otherwise.
func (c *Caller) orUnknown(uncertain bool, err error) error {
	if uncertain {
		return ErrUnknown
	}
	return err
}

func (c *Caller) regionPolicy(job *Job) RegionPolicy {
	if c.options.RegionPolicy == nil {
		return RegionPolicy{}
	}
	return c.options.RegionPolicy(job)
}

// prepare converts a placement's call. The region check runs when each message is sent, so
// that bodies reach only nodes permitted at that moment.
func (c *Caller) prepare(job *Job, next placementCall) call {
	prepared := call{shard: next.shard, kind: next.kind, payload: next.payload}
	if !next.body || c.options.RegionPolicy == nil {
		return prepared
	}
	prepared.maySend = func(to transport.Address) error {
		policy := c.regionPolicy(job)
		unrestricted := next.kind == kindSubmit
		if (unrestricted && policy.Regions != nil) || !policy.allows(next.shard) {
			return errRegionsChanged
		}
		if next.shard.Regional() && !c.options.InRegion(to, next.shard) {
			eventJobKeptBack.Info("job", job.ID, "peer", to, "shard", next.shard)
			return ErrNotTaken
		}
		return nil
	}
	return prepared
}

// End ends a tenant's job. It is idempotent.
func (c *Caller) End(ctx context.Context, tenant, job string) error {
	payload := marshal(fixedEnd{}, []byte(job), []byte(tenant))
	_, err := c.callOwner(ctx, job, func(shard ledger.ShardID) ([]byte, error) {
		content, _, err := c.call(ctx, call{shard: shard, kind: kindEnd, payload: payload})
		return content, err
	})
	return err
}

// Read returns results of a tenant's job starting at a position, and waits up to wait for
// the first.
func (c *Caller) Read(ctx context.Context, tenant, job string, since int, wait time.Duration) (Page, error) {
	fixed := fixedRead{uint32(since), uint32(wait / time.Millisecond)}
	payload := marshal(fixed, []byte(job), []byte(tenant))
	encoded, err := c.callOwner(ctx, job, func(shard ledger.ShardID) ([]byte, error) {
		return c.read(ctx, call{shard: shard, kind: kindRead, payload: payload, wait: wait})
	})
	if err != nil {
		return Page{}, err
	}
	return decodePage(encoded)
}

// Body returns the body of an item of a tenant's job.
func (c *Caller) Body(ctx context.Context, tenant, job, item string) ([]byte, error) {
	payload := marshal(fixedItem{}, []byte(job), []byte(tenant), []byte(item))
	return c.callOwner(ctx, job, func(shard ledger.ShardID) ([]byte, error) {
		return c.read(ctx, call{shard: shard, kind: kindBody, payload: payload})
	})
}

// callOwner calls ask with the shard that has the job: the cached one first, then shard 0
// and the shard that it names. It returns ErrNoJob if shard 0 does not know the job, or
// names again a shard that has denied it.
func (c *Caller) callOwner(ctx context.Context, job string, ask func(ledger.ShardID) ([]byte, error)) ([]byte, error) {
	shard, deniedBy := c.location(job), ledger.ShardID(0)
	for ctx.Err() == nil {
		content, err := ask(shard)
		var other *otherShardError
		switch {
		case errors.As(err, &other) && other.shard == deniedBy:
			return nil, ErrNoJob
		case errors.As(err, &other):
			shard = other.shard
			c.setLocation(job, shard)
		case errors.Is(err, ErrNoJob) && shard != 0:
			deniedBy, shard = shard, 0
			c.setLocation(job, 0)
		default:
			return content, err
		}
	}
	return nil, ErrNotTaken
}

func (c *Caller) location(job string) ledger.ShardID {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.located[job]
}

// setLocation caches the shard of a job; shard 0 clears the entry.
func (c *Caller) setLocation(job string, shard ledger.ShardID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if shard == 0 {
		delete(c.located, job)
		return
	}
	if len(c.located) >= maxLocated {
		clear(c.located)
	}
	c.located[job] = shard
}

func (c *Caller) isEmpty(of formerHomeKey, epoch uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	seen, known := c.empty[of]
	return known && seen == epoch
}

func (c *Caller) setEmpty(of formerHomeKey, epoch uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.empty) >= maxEmpty {
		clear(c.empty)
	}
	c.empty[of] = epoch
}

// read calls a nearby replica, and the leader if that fails.
func (c *Caller) read(ctx context.Context, request call) ([]byte, error) {
	replica, found := c.nearbyReplica(request.shard, clock.Now())
	if !found {
		content, _, err := c.call(ctx, request)
		return content, err
	}
	bounded, cancel := context.WithTimeout(ctx, replicaReadTimeout+request.wait)
	content, _, err := c.attempt(bounded, replica, request)
	cancel()
	if err == nil || isFinal(err) {
		return content, err
	}
	c.backOff(replica, clock.Now())
	eventReplicaBackoff.Info("peer", replica, "cause", err, "pause", replicaBackoff)
	content, _, err = c.call(ctx, request)
	return content, err
}

func (c *Caller) nearbyReplica(shard ledger.ShardID, now time.Time) (transport.Address, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	replica, found := c.options.Near(c.replicas[shard])
	return replica, found && !now.Before(c.backoffUntil[replica])
}

func (c *Caller) backOff(replica transport.Address, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for other, until := range c.backoffUntil {
		if now.After(until) {
			delete(c.backoffUntil, other)
		}
	}
	c.backoffUntil[replica] = now.Add(replicaBackoff)
}

// setReplicas stores the replica addresses sent by a shard's leader.
func (c *Caller) setReplicas(shard ledger.ShardID, encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	replicas, err := decodeReplicas(encoded)
	if err != nil {
		eventBadReplicas.Error(err)
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.replicas[shard] = replicas
}

// isFinal reports whether an error is a shard's answer, so that a retry is pointless.
func isFinal(err error) bool {
	var other *otherShardError
	var invalid *InvalidJobError
	for _, answer := range []error{ErrNoJob, ErrQueueFull, ErrTooLate, ErrTenantMismatch, ErrOwnerUnknown, ErrOutdated, errMoved} {
		if errors.Is(err, answer) {
			return true
		}
	}
	return errors.As(err, &other) || errors.As(err, &invalid)
}

// call tries leaders until one answers or ctx ends. uncertain reports whether an attempt
// before the last may have taken effect.
func (c *Caller) call(ctx context.Context, request call) (content []byte, uncertain bool, err error) {
	hint := transport.Address("")
	for ctx.Err() == nil {
		leader := hint
		hint = ""
		if leader == "" {
			leader, _ = c.options.Directory.Leader(request.shard)
		}
		if leader == "" {
			clock.Sleep(ctx, retryPause)
			continue
		}
		content, next, err := c.attempt(ctx, leader, request)
		if err == nil || isFinal(err) || errors.Is(err, errRegionsChanged) {
			return content, uncertain, err
		}
		uncertain = uncertain || !errors.Is(err, ErrNotTaken)
		if next != leader {
			hint = next
		}
		if hint == "" {
			c.options.Directory.Suspect(request.shard, leader)
			clock.Sleep(ctx, retryPause)
		}
	}
	if uncertain {
		return nil, true, ErrUnknown
	}
	return nil, false, ErrNotTaken
}

// attempt calls one node. It also returns the leader's address if that node knows it.
func (c *Caller) attempt(ctx context.Context, leader transport.Address, request call) ([]byte, transport.Address, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+request.wait)
	defer cancel()
	if request.maySend != nil {
		if err := request.maySend(leader); err != nil {
			return nil, "", err
		}
	}
	kind, payload := wrapForShard(request.shard, request.kind, request.payload)
	encoded, err := c.options.Sender.Call(ctx, leader, kind, payload)
	if errors.Is(err, transport.ErrNotSent) {
		return nil, "", ErrNotTaken
	}
	if err != nil {
		return nil, "", ErrUnknown
	}
	var fixed fixedReply
	fields, err := unmarshal(encoded, &fixed, 2)
	if err != nil {
		return nil, "", ErrUnknown
	}
	switch fixed.Status {
	case statusDone:
		c.setReplicas(request.shard, fields[1])
		return fields[0], "", nil
	case statusNotLeader:
		return nil, transport.Address(fields[1]), ErrNotTaken
	case statusNotTaken:
		return nil, leader, ErrNotTaken
	case statusOtherShard:
		return nil, "", trace.Wrap(decodeOtherShard(fields[0]))
	case statusQueueFull:
		return nil, "", decodeRefusal(fields[0])
	case statusInvalid:
		return nil, "", invalidJob(string(fields[0]))
	}
	if answer, known := statusErrors[fixed.Status]; known {
		return nil, "", answer
	}
	return nil, leader, ErrUnknown
}

// statusErrors maps final statuses without content to errors.
var statusErrors = map[status]error{
	statusNoJob: ErrNoJob, statusTenantMismatch: ErrTenantMismatch, statusOwnerUnknown: ErrOwnerUnknown,
	statusMoved: errMoved, statusOutdated: ErrOutdated,
}
