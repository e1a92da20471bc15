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
	// minReadIndexInterval is the minimum time between a follower's read index
	// requests to the leader; reads that arrive meanwhile share the next one.
	minReadIndexInterval = 10 * time.Millisecond
	// readIndexTimeout limits a read index request. Reads that wait for it fail,
	// and their callers use the leader instead.
	readIndexTimeout = 400 * time.Millisecond
)

// FollowerRead implements ledger.Shard.
func (s *Shard) FollowerRead(ctx context.Context, query func(ledger.Reader) error) error {
	if leading, _ := s.Leading(); leading {
		return s.Read(ctx, query)
	}
	index, err := s.readIndexes.wait(ctx, s.fetchReadIndex)
	if err != nil {
		return trace.Wrap(err, "read shard %d at a follower", s.id)
	}
	return s.readAt(ctx, index, query)
}

// readAt runs a query once this replica has applied the index.
func (s *Shard) readAt(ctx context.Context, index uint64, query func(ledger.Reader) error) error {
	applied, err := s.enqueueRead(index)
	if err != nil {
		return err
	}
	return s.readOnce(ctx, applied, query)
}

// enqueueRead returns a channel that signals when the index is applied here. If
// it succeeds, the caller must call users.Done.
func (s *Shard) enqueueRead(index uint64) (<-chan error, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.acquireDisk(); err != nil {
		return nil, trace.Wrap(err, "read shard %d", s.id)
	}
	waiting := &read{index: index, done: make(chan error, 1)}
	s.confirmedReads = append(s.confirmedReads, waiting)
	s.answerReads()
	return waiting.done, nil
}

// fetchReadIndex asks the leader for an index that covers all committed entries.
func (s *Shard) fetchReadIndex() (uint64, error) {
	s.mutex.Lock()
	leader, known := s.leaderAddress()
	s.mutex.Unlock()
	if !known {
		return 0, trace.Wrap(ledger.ErrUnavailable, "no leader is known")
	}
	ctx, cancel := context.WithTimeout(s.service.running, readIndexTimeout)
	defer cancel()
	encoded, err := s.service.options.Sender.Call(ctx, leader, kindCommitted, encode(committedRequest{Shard: s.id}))
	if err != nil {
		return 0, trace.Wrap(ledger.ErrUnavailable, "request read index from leader %s: %v", leader, err)
	}
	var answer committedResponse
	if _, err := decode(encoded, &answer, 0); err != nil {
		return 0, trace.Wrap(err, "request read index from leader %s", leader)
	}
	return answer.Index, nil
}

// handleCommitted returns the applied index to a follower after this replica
// confirmed its leadership.
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
	return encode(committedResponse{Index: index}), nil
}

// Replicas returns the addresses of a shard's voters, or nil if this node holds no
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
		if voter == shard.replicaID {
			addresses = append(addresses, s.self().Address)
		} else if address, known := shard.addressOf(voter); known {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// readIndexBatcher shares read index requests between readers. Each reader gets
// the result of a request that began after it called wait. The zero value is
// ready to use.
type readIndexBatcher struct {
	mutex   sync.Mutex // leaf lock; guards the fields below
	next    *readIndexBatch
	running bool
}

type readIndexBatch struct {
	done  chan struct{}
	index uint64
	err   error
}

// wait returns the result of a fetch that begins after the call.
func (r *readIndexBatcher) wait(ctx context.Context, fetch func() (uint64, error)) (uint64, error) {
	joined := r.join(fetch)
	select {
	case <-joined.done:
		return joined.index, joined.err
	case <-ctx.Done():
		return 0, trace.Wrap(ledger.ErrUnavailable, "%v", ctx.Err())
	}
}

func (r *readIndexBatcher) join(fetch func() (uint64, error)) *readIndexBatch {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.next == nil {
		r.next = &readIndexBatch{done: make(chan struct{})}
	}
	if !r.running {
		r.running = true
		go r.run(fetch)
	}
	return r.next
}

// run fetches until no reader waits. It terminates because fetch has a timeout.
func (r *readIndexBatcher) run(fetch func() (uint64, error)) {
	for {
		batch, found := r.take()
		if !found {
			return
		}
		batch.index, batch.err = fetch()
		close(batch.done)
		time.Sleep(minReadIndexInterval)
	}
}

func (r *readIndexBatcher) take() (*readIndexBatch, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	batch := r.next
	r.next = nil
	r.running = batch != nil
	return batch, batch != nil
}
