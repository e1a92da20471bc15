package batchwork

import (
	"context"
	"errors"
	"sync"
	"time"

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
)

var (
	eventReplicaAside = telemetry.Define(3210, "replica-aside", "A read at a replica nearby failed; the leader is asked, and that replica not for a while.")
	eventBadReplicas  = telemetry.Define(3211, "replicas-unreadable", "The leader's list of replicas could not be decoded; reads go on as before.")
)

// Suspecter is a directory that wants to be told of a leader that could not be
// reached or did not lead.
type Suspecter interface {
	ledger.Directory
	Suspect(shard ledger.ShardID, leader transport.Address)
}

// Caller makes calls to the leader from any node, and reads from a replica
// nearby if there is one. It may be used concurrently.
type Caller struct {
	directory Suspecter
	sender    transport.Sender
	// near picks the replica to read from, if one is near enough.
	near func(replicas []transport.Address) (transport.Address, bool)

	mutex    sync.Mutex // guards what is below; near is called under it
	replicas []transport.Address
	aside    map[transport.Address]time.Time // until when
}

// NewCaller returns a caller that finds the leader in the directory. near picks
// the replica to read from; false means the leader.
func NewCaller(directory Suspecter, sender transport.Sender, near func([]transport.Address) (transport.Address, bool)) *Caller {
	return &Caller{directory: directory, sender: sender, near: near, aside: map[transport.Address]time.Time{}}
}

// Submit hands a job in. It returns nil once the job is kept, ErrQueueFull or
// ErrForeign or ErrNotTaken if it certainly isn't, ErrUnknown otherwise.
func (c *Caller) Submit(ctx context.Context, job *Job) error {
	_, err := c.call(ctx, kindSubmit, encodeJob(job, true), 0)
	return err
}

// End ends a tenant's job; it is repeated without harm.
func (c *Caller) End(ctx context.Context, tenant, job string) error {
	_, err := c.call(ctx, kindEnd, marshal(fixedEnd{}, []byte(job), []byte(tenant)), 0)
	return err
}

// Read returns results of a tenant's job from a position on, and waits for one up to
// wait.
func (c *Caller) Read(ctx context.Context, tenant, job string, since int, wait time.Duration) (Page, error) {
	fixed := fixedRead{uint32(since), uint32(wait / time.Millisecond)}
	encoded, err := c.read(ctx, kindRead, marshal(fixed, []byte(job), []byte(tenant)), wait)
	if err != nil {
		return Page{}, err
	}
	return decodePage(encoded)
}

// Body returns the body of an item of a tenant's job.
func (c *Caller) Body(ctx context.Context, tenant, job, item string) ([]byte, error) {
	return c.read(ctx, kindBody, marshal(fixedItem{}, []byte(job), []byte(tenant), []byte(item)), 0)
}

// read calls a replica nearby, and the leader if that fails.
func (c *Caller) read(ctx context.Context, kind transport.Kind, payload []byte, held time.Duration) ([]byte, error) {
	replica, found := c.nearby(time.Now())
	if !found {
		return c.call(ctx, kind, payload, held)
	}
	bounded, cancel := context.WithTimeout(ctx, nearTimeout+held)
	content, _, err := c.try(bounded, replica, kind, payload, held)
	cancel()
	if err == nil || errors.Is(err, ErrNoJob) {
		return content, err
	}
	c.setAside(replica, time.Now())
	eventReplicaAside.Info("peer", replica, "cause", err, "pause", nearAside)
	return c.call(ctx, kind, payload, held)
}

func (c *Caller) nearby(now time.Time) (transport.Address, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	replica, found := c.near(c.replicas)
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

// learn takes the replicas that a leader told of.
func (c *Caller) learn(encoded []byte) {
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
	c.replicas = replicas
}

// call tries leaders until one answers or ctx ends.
func (c *Caller) call(ctx context.Context, kind transport.Kind, payload []byte, held time.Duration) ([]byte, error) {
	uncertain := false
	hint := transport.Address("")
	for ctx.Err() == nil {
		leader := hint
		hint = ""
		if leader == "" {
			leader, _ = c.directory.Leader(0)
		}
		if leader == "" {
			pause(ctx, retryPause)
			continue
		}
		content, next, err := c.try(ctx, leader, kind, payload, held)
		if err == nil || errors.Is(err, ErrNoJob) || errors.Is(err, ErrQueueFull) || errors.Is(err, ErrForeign) {
			return content, err
		}
		uncertain = uncertain || !errors.Is(err, ErrNotTaken)
		if next != leader {
			hint = next
		}
		if hint == "" {
			c.directory.Suspect(0, leader)
			pause(ctx, retryPause)
		}
	}
	if uncertain {
		return nil, ErrUnknown
	}
	return nil, ErrNotTaken
}

// try calls one node. It returns where the leader is, if that node knows.
func (c *Caller) try(ctx context.Context, leader transport.Address, kind transport.Kind, payload []byte, held time.Duration) ([]byte, transport.Address, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+held)
	defer cancel()
	encoded, err := c.sender.Call(ctx, leader, kind, payload)
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
		c.learn(fields[1])
		return fields[0], "", nil
	case statusNoJob:
		return nil, "", ErrNoJob
	case statusQueueFull:
		return nil, "", ErrQueueFull
	case statusForeign:
		return nil, "", ErrForeign
	case statusNotLeader:
		return nil, transport.Address(fields[1]), ErrNotTaken
	case statusNotTaken:
		return nil, leader, ErrNotTaken
	}
	return nil, leader, ErrUnknown
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
