package replica

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	// roundPause is the least time between two questions of a follower to its
	// leader: reads that come meanwhile share the next one. A reader of results
	// polls twice a second, and doesn't notice it.
	roundPause = 10 * time.Millisecond
	// roundTimeout bounds a question; the reads that wait for it fail, and their
	// callers go to the leader.
	roundTimeout = 400 * time.Millisecond
)

// FollowerRead implements ledger.Shard.
func (s *Shard) FollowerRead(ctx context.Context, query func(ledger.Reader) error) error {
	if leading, _ := s.Leading(); leading {
		return s.Read(ctx, query)
	}
	index, err := s.rounds.wait(ctx, s.askCommitted)
	if err != nil {
		return trace.Wrap(err, "read shard %d at a follower", s.id)
	}
	return s.readAt(ctx, index, query)
}

// readAt runs a query once an index is applied here.
func (s *Shard) readAt(ctx context.Context, index uint64, query func(ledger.Reader) error) error {
	applied, err := s.submitWait(index)
	if err != nil {
		return err
	}
	return s.readOnce(ctx, applied, query)
}

// submitWait waits until an index is applied here; if it succeeds, the caller
// must call users.Done.
func (s *Shard) submitWait(index uint64) (<-chan error, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.enter(); err != nil {
		return nil, trace.Wrap(err, "read shard %d", s.id)
	}
	waiting := &read{index: index, done: make(chan error, 1)}
	s.waiting = append(s.waiting, waiting)
	s.answerReads()
	return waiting.done, nil
}

// askCommitted asks the leader for an index that covers all that is committed.
func (s *Shard) askCommitted() (uint64, error) {
	s.mutex.Lock()
	leader, known := s.leaderAddress()
	s.mutex.Unlock()
	if !known {
		return 0, trace.Wrap(ledger.ErrUnavailable, "no leader is known")
	}
	ctx, cancel := context.WithTimeout(s.service.running, roundTimeout)
	defer cancel()
	encoded, err := s.service.options.Sender.Call(ctx, leader, kindCommitted, encode(committedRequest{Shard: s.id}))
	if err != nil {
		return 0, trace.Wrap(ledger.ErrUnavailable, "ask leader %s for its index: %v", leader, err)
	}
	var answer committedAnswer
	if _, err := decode(encoded, &answer, 0); err != nil {
		return 0, trace.Wrap(err, "ask leader %s for its index", leader)
	}
	return answer.Index, nil
}

// handleCommitted answers a follower, after this replica confirmed that it leads.
func (s *Service) handleCommitted(ctx context.Context, _ transport.Address, payload []byte) ([]byte, error) {
	var request committedRequest
	if _, err := decode(payload, &request, 0); err != nil {
		return nil, err
	}
	shard, found := s.local(request.Shard)
	if !found {
		return nil, trace.Wrap(errNotHere)
	}
	var index uint64
	err := shard.Read(ctx, func(ledger.Reader) error {
		marker, err := shard.disk.Snapshot()
		index = marker.Index
		return err
	})
	if err != nil {
		return nil, err
	}
	return encode(committedAnswer{Index: index}), nil
}

// Replicas lists the addresses of a shard's voters, if this node holds a
// replica of it.
func (s *Service) Replicas(id ledger.ShardID) []transport.Address {
	shard, found := s.local(id)
	if !found {
		return nil
	}
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	var addresses []transport.Address
	for _, voter := range shard.core.Status().Configuration.Voters {
		if voter == shard.replica {
			addresses = append(addresses, s.self().Address)
		} else if address, known := shard.addressOf(voter); known {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// rounds lets many readers share a question to the leader: each gets the answer
// to one that was asked after it came. The zero value is ready.
type rounds struct {
	mutex   sync.Mutex // guards what is below; a leaf
	next    *round
	running bool
}

type round struct {
	done  chan struct{}
	index uint64
	err   error
}

// wait returns what ask answers to a question that begins after the call.
func (r *rounds) wait(ctx context.Context, ask func() (uint64, error)) (uint64, error) {
	joined := r.join(ask)
	select {
	case <-joined.done:
		return joined.index, joined.err
	case <-ctx.Done():
		return 0, trace.Wrap(ledger.ErrUnavailable, "%v", ctx.Err())
	}
}

func (r *rounds) join(ask func() (uint64, error)) *round {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.next == nil {
		r.next = &round{done: make(chan struct{})}
	}
	if !r.running {
		r.running = true
		go r.run(ask)
	}
	return r.next
}

// run asks until nobody waits. It ends by itself, as ask is bounded.
func (r *rounds) run(ask func() (uint64, error)) {
	for {
		now, found := r.take()
		if !found {
			return
		}
		now.index, now.err = ask()
		close(now.done)
		time.Sleep(roundPause)
	}
}

func (r *rounds) take() (*round, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.next
	r.next = nil
	r.running = now != nil
	return now, now != nil
}
