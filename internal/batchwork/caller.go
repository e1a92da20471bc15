package batchwork

import (
	"context"
	"errors"
	"time"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	// attemptTimeout bounds one try at a leader, beside the time that the call
	// may be held there.
	attemptTimeout = 1200 * time.Millisecond
	// retryPause is the pause before the next try.
	retryPause = 25 * time.Millisecond
)

// Suspecter is a directory that wants to be told of a leader that could not be
// reached or did not lead.
type Suspecter interface {
	ledger.Directory
	Suspect(shard ledger.ShardID, leader transport.Address)
}

// Caller makes calls to the leader from any node. It may be used concurrently.
type Caller struct {
	directory Suspecter
	sender    transport.Sender
}

// NewCaller returns a caller that finds the leader in the directory.
func NewCaller(directory Suspecter, sender transport.Sender) *Caller {
	return &Caller{directory: directory, sender: sender}
}

// Submit hands a job in. It returns nil once the job is kept, ErrQueueFull or
// ErrNotTaken if it certainly isn't, ErrUnknown otherwise.
func (c *Caller) Submit(ctx context.Context, job *Job) error {
	_, err := c.call(ctx, kindSubmit, encodeJob(job, true), 0)
	return err
}

// End ends a job; it is repeated without harm.
func (c *Caller) End(ctx context.Context, job string) error {
	_, err := c.call(ctx, kindEnd, []byte(job), 0)
	return err
}

// Read returns results from a position on, and waits for one up to wait.
func (c *Caller) Read(ctx context.Context, job string, since int, wait time.Duration) (Page, error) {
	fixed := fixedRead{uint32(since), uint32(wait / time.Millisecond)}
	encoded, err := c.call(ctx, kindRead, marshal(fixed, []byte(job)), wait)
	if err != nil {
		return Page{}, err
	}
	return decodePage(encoded)
}

// Body returns an item's body.
func (c *Caller) Body(ctx context.Context, job, item string) ([]byte, error) {
	return c.call(ctx, kindBody, marshal(fixedItem{}, []byte(job), []byte(item)), 0)
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
		if err == nil || errors.Is(err, ErrNoJob) || errors.Is(err, ErrQueueFull) {
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
		return fields[0], "", nil
	case statusNoJob:
		return nil, "", ErrNoJob
	case statusQueueFull:
		return nil, "", ErrQueueFull
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
