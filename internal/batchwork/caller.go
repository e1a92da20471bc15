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
	// attemptTimeout bounds one try at a leader, beside the time that the call
	// may be held there.
	attemptTimeout = 1200 * time.Millisecond
	// retryPause is the pause before the next try.
	retryPause = 25 * time.Millisecond
	// nearTimeout bounds a read at a replica nearby, beside the time that it may
	// be held there; the leader is asked after it, within the caller's patience.
	nearTimeout = 500 * time.Millisecond
	// nearAside is how long a replica that failed a read is asked for no other. An
	// estimate: a lost replica is replaced after 1.5 s.
	nearAside = 3 * time.Second
	// locatedMost bounds the jobs of which a caller remembers the shard, and emptyMost
	// the shards seen without tokens of a queue: some 100 bytes each.
	locatedMost = 4096
	emptyMost   = 4096
)

var (
	eventReplicaAside = telemetry.Define(3210, "replica-aside", "A read at a replica nearby failed; the leader is asked, and that replica not for a while.")
	eventBadReplicas  = telemetry.Define(3211, "replicas-unreadable", "The leader's list of replicas could not be decoded; reads go on as before.")
	eventNotWithin    = telemetry.Define(3216, "job-kept-back", "A batch job was not sent to a node that is not known to be in the region of its shard.")
)

// Suspecter is a directory that wants to be told of a leader that could not be
// reached or did not lead.
type Suspecter interface {
	ledger.Directory
	Suspect(shard ledger.ShardID, leader transport.Address)
}

// CallerOptions configure a Caller.
type CallerOptions struct {
	// Directory finds the leaders, and Sender reaches them.
	Directory Suspecter
	Sender    transport.Sender
	// Near picks the replica to read from, if one is near enough; false means the leader.
	Near func(replicas []transport.Address) (transport.Address, bool)
	// Within says where a job may be kept; nil if there are no regions.
	Within func(job *Job) Within
	// LiesWithin says whether the node at an address is known to be in the region of a
	// shard; nil if there are no regions.
	LiesWithin func(address transport.Address, shard ledger.ShardID) bool
}

// Caller makes calls to the leaders from any node, and reads from a replica
// nearby if there is one. It may be used concurrently.
type Caller struct {
	options CallerOptions

	mutex    sync.Mutex // guards what is below; Near is called under it
	replicas map[ledger.ShardID][]transport.Address
	aside    map[transport.Address]time.Time // until when
	located  map[string]ledger.ShardID       // jobs at shards of regions
	empty    map[emptyKey]uint64             // by epoch of the queue's home
}

// emptyKey is a shard that is not the home of a queue any more.
type emptyKey struct {
	shard ledger.ShardID
	queue queue
}

// NewCaller returns a caller.
func NewCaller(options CallerOptions) *Caller {
	return &Caller{
		options: options, replicas: map[ledger.ShardID][]transport.Address{}, aside: map[transport.Address]time.Time{},
		located: map[string]ledger.ShardID{}, empty: map[emptyKey]uint64{},
	}
}

// call is a call to the leader of a shard.
type call struct {
	shard   ledger.ShardID
	kind    transport.Kind
	payload []byte
	held    time.Duration // at the leader
	// may says whether the payload may still be sent to a node; nil if anywhere.
	may func(to transport.Address) error
}

// errChanged says that a job may not be sent any more where it was to go.
var errChanged = errors.New("batchwork: the regions changed meanwhile")

// Submit hands a job in. It returns nil once the job is kept, ErrQueueFull,
// ErrForeign, ErrNoHome or ErrNotTaken if it certainly isn't, ErrUnknown otherwise.
func (c *Caller) Submit(ctx context.Context, job *Job) error {
	p := newPlacing(job)
	p.empty = func(shard ledger.ShardID, epoch uint64) bool {
		return c.knownEmpty(emptyKey{shard, job.queue()}, epoch)
	}
	p.noteEmpty = func(shard ledger.ShardID, epoch uint64) { c.noteEmpty(emptyKey{shard, job.queue()}, epoch) }
	uncertain := false
	for ctx.Err() == nil {
		next, err := p.next(c.within(job))
		if err != nil {
			return c.sure(uncertain, err)
		}
		content, unsure, err := c.call(ctx, c.prepare(job, next))
		uncertain = uncertain || (unsure && next.body)
		switch {
		case errors.Is(err, errChanged):
			continue
		case errors.Is(err, ErrOutdated):
			clock.Sleep(ctx, 4*retryPause)
			continue
		case errors.Is(err, ErrNotTaken), errors.Is(err, ErrUnknown):
			return c.sure(uncertain, ErrNotTaken)
		}
		if done, outcome := p.take(content, err); done {
			if outcome == nil && p.stage == stagePlace {
				c.locate(job.ID, p.answer.shard)
			}
			return outcome
		}
	}
	return c.sure(uncertain, ErrNotTaken)
}

// sure is what to say of a job that some call may have handed over.
func (c *Caller) sure(uncertain bool, err error) error {
	if uncertain {
		return ErrUnknown
	}
	return err
}

func (c *Caller) within(job *Job) Within {
	if c.options.Within == nil {
		return Within{}
	}
	return c.options.Within(job)
}

// prepare makes a call of an order. Bodies go only where they may be kept at the moment
// at which they are sent.
func (c *Caller) prepare(job *Job, next order) call {
	prepared := call{shard: next.shard, kind: next.kind, payload: next.payload}
	if !next.body || c.options.Within == nil {
		return prepared
	}
	prepared.may = func(to transport.Address) error {
		within := c.within(job)
		plain := next.kind == kindSubmit
		if (plain && within.Regions != nil) || !within.allows(next.shard) {
			return errChanged
		}
		if next.shard.Regional() && !c.options.LiesWithin(to, next.shard) {
			eventNotWithin.Info("job", job.ID, "peer", to, "shard", next.shard)
			return ErrNotTaken
		}
		return nil
	}
	return prepared
}

// End ends a tenant's job; it is repeated without harm.
func (c *Caller) End(ctx context.Context, tenant, job string) error {
	payload := marshal(fixedEnd{}, []byte(job), []byte(tenant))
	_, err := c.find(ctx, job, func(shard ledger.ShardID) ([]byte, error) {
		content, _, err := c.call(ctx, call{shard: shard, kind: kindEnd, payload: payload})
		return content, err
	})
	return err
}

// Read returns results of a tenant's job from a position on, and waits for one up to
// wait.
func (c *Caller) Read(ctx context.Context, tenant, job string, since int, wait time.Duration) (Page, error) {
	fixed := fixedRead{uint32(since), uint32(wait / time.Millisecond)}
	payload := marshal(fixed, []byte(job), []byte(tenant))
	encoded, err := c.find(ctx, job, func(shard ledger.ShardID) ([]byte, error) {
		return c.read(ctx, call{shard: shard, kind: kindRead, payload: payload, held: wait})
	})
	if err != nil {
		return Page{}, err
	}
	return decodePage(encoded)
}

// Body returns the body of an item of a tenant's job.
func (c *Caller) Body(ctx context.Context, tenant, job, item string) ([]byte, error) {
	payload := marshal(fixedItem{}, []byte(job), []byte(tenant), []byte(item))
	return c.find(ctx, job, func(shard ledger.ShardID) ([]byte, error) {
		return c.read(ctx, call{shard: shard, kind: kindBody, payload: payload})
	})
}

// find asks the shard that has a job: first the one that is remembered, else shard 0,
// which names it. A job is unknown if shard 0 says so, or if the shard that it names
// does and it names no other after that.
func (c *Caller) find(ctx context.Context, job string, ask func(ledger.ShardID) ([]byte, error)) ([]byte, error) {
	shard, denied := c.locatedAt(job), ledger.ShardID(0)
	for ctx.Err() == nil {
		content, err := ask(shard)
		var away *elsewhereError
		switch {
		case errors.As(err, &away) && away.shard == denied:
			return nil, ErrNoJob
		case errors.As(err, &away):
			shard = away.shard
			c.locate(job, shard)
		case errors.Is(err, ErrNoJob) && shard != 0:
			denied, shard = shard, 0
			c.locate(job, 0)
		default:
			return content, err
		}
	}
	return nil, ErrNotTaken
}

func (c *Caller) locatedAt(job string) ledger.ShardID {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.located[job]
}

// locate remembers where a job is; shard 0 forgets it.
func (c *Caller) locate(job string, shard ledger.ShardID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if shard == 0 {
		delete(c.located, job)
		return
	}
	if len(c.located) >= locatedMost {
		clear(c.located)
	}
	c.located[job] = shard
}

func (c *Caller) knownEmpty(of emptyKey, epoch uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	seen, known := c.empty[of]
	return known && seen == epoch
}

func (c *Caller) noteEmpty(of emptyKey, epoch uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.empty) >= emptyMost {
		clear(c.empty)
	}
	c.empty[of] = epoch
}

// read calls a replica nearby, and the leader if that fails.
func (c *Caller) read(ctx context.Context, asked call) ([]byte, error) {
	replica, found := c.nearby(asked.shard, clock.Now())
	if !found {
		content, _, err := c.call(ctx, asked)
		return content, err
	}
	bounded, cancel := context.WithTimeout(ctx, nearTimeout+asked.held)
	content, _, err := c.try(bounded, replica, asked)
	cancel()
	if err == nil || final(err) {
		return content, err
	}
	c.setAside(replica, clock.Now())
	eventReplicaAside.Info("peer", replica, "cause", err, "pause", nearAside)
	content, _, err = c.call(ctx, asked)
	return content, err
}

func (c *Caller) nearby(shard ledger.ShardID, now time.Time) (transport.Address, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	replica, found := c.options.Near(c.replicas[shard])
	return replica, found && !now.Before(c.aside[replica])
}

func (c *Caller) setAside(replica transport.Address, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for other, until := range c.aside {
		if now.After(until) {
			delete(c.aside, other)
		}
	}
	c.aside[replica] = now.Add(nearAside)
}

// learn takes the replicas of a shard that its leader told of.
func (c *Caller) learn(shard ledger.ShardID, encoded []byte) {
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

// final says that an error is the answer of a shard, which another try would not change.
func final(err error) bool {
	var away *elsewhereError
	for _, one := range []error{ErrNoJob, ErrQueueFull, ErrForeign, ErrOutdated, errMoved} {
		if errors.Is(err, one) {
			return true
		}
	}
	return errors.As(err, &away)
}

// call tries leaders until one answers or ctx ends. uncertain says that a try other than
// the last may have had an effect.
func (c *Caller) call(ctx context.Context, asked call) (content []byte, uncertain bool, err error) {
	hint := transport.Address("")
	for ctx.Err() == nil {
		leader := hint
		hint = ""
		if leader == "" {
			leader, _ = c.options.Directory.Leader(asked.shard)
		}
		if leader == "" {
			clock.Sleep(ctx, retryPause)
			continue
		}
		content, next, err := c.try(ctx, leader, asked)
		if err == nil || final(err) || errors.Is(err, errChanged) {
			return content, uncertain, err
		}
		uncertain = uncertain || !errors.Is(err, ErrNotTaken)
		if next != leader {
			hint = next
		}
		if hint == "" {
			c.options.Directory.Suspect(asked.shard, leader)
			clock.Sleep(ctx, retryPause)
		}
	}
	if uncertain {
		return nil, true, ErrUnknown
	}
	return nil, false, ErrNotTaken
}

// try calls one node. It returns where the leader is, if that node knows.
func (c *Caller) try(ctx context.Context, leader transport.Address, asked call) ([]byte, transport.Address, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+asked.held)
	defer cancel()
	if asked.may != nil {
		if err := asked.may(leader); err != nil {
			return nil, "", err
		}
	}
	kind, payload := addressed(asked.shard, asked.kind, asked.payload)
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
		c.learn(asked.shard, fields[1])
		return fields[0], "", nil
	case statusNotLeader:
		return nil, transport.Address(fields[1]), ErrNotTaken
	case statusNotTaken:
		return nil, leader, ErrNotTaken
	case statusElsewhere:
		return nil, "", trace.Wrap(decodeElsewhere(fields[0]))
	}
	if answer, known := answers[fixed.Status]; known {
		return nil, "", answer
	}
	return nil, leader, ErrUnknown
}

// answers are the final ones without a content.
var answers = map[status]error{
	statusNoJob: ErrNoJob, statusQueueFull: ErrQueueFull, statusForeign: ErrForeign, statusMoved: errMoved, statusOutdated: ErrOutdated,
}
