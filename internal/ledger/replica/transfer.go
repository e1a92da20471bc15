package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/ledger/storage"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	// chunkBytes is the target size of a snapshot chunk.
	chunkBytes = 256 << 10
	// sessionIdleTimeout is the idle time after which a session is closed.
	sessionIdleTimeout = 30 * time.Second
	// chunkTimeout limits one call of a transfer.
	chunkTimeout = 20 * time.Second
	// maxChunkAttempts limits the attempts to fetch one chunk.
	maxChunkAttempts = 5
)

var (
	errNoSession       = errors.New("replica: snapshot session not found or expired")
	errTransferAborted = errors.New("replica: snapshot transfer aborted")
)

// snapshots holds the sessions in which this node sends snapshots, and limits their
// rate. Each session has a consistent view of a shard's state.
type snapshots struct {
	limiter *rate.Limiter

	mutex    sync.Mutex
	sessions map[uint64]*snapshotSession
}

type snapshotSession struct {
	shard *Shard
	view  *storage.View
	used  time.Time
	inUse int // chunks being read
}

func newSnapshots(bytesPerSecond int) *snapshots {
	return &snapshots{
		limiter:  rate.NewLimiter(rate.Limit(bytesPerSecond), max(bytesPerSecond, 4*chunkBytes)),
		sessions: map[uint64]*snapshotSession{},
	}
}

// open starts a session. It is a use of the shard's disk until it is closed.
func (n *snapshots) open(shard *Shard, now time.Time) (uint64, replication.SnapshotMarker, error) {
	shard.mutex.Lock()
	err := shard.acquireDisk()
	shard.mutex.Unlock()
	if err != nil {
		return 0, replication.SnapshotMarker{}, err
	}
	view, err := shard.disk.NewView()
	if err != nil {
		shard.users.Done()
		return 0, replication.SnapshotMarker{}, err
	}
	id := rand.Uint64()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.sessions[id] = &snapshotSession{shard: shard, view: view, used: now}
	return id, view.Marker(), nil
}

func (n *snapshots) chunk(ctx context.Context, id uint64, after []byte) ([]byte, error) {
	session, err := n.use(id)
	if err != nil {
		return nil, err
	}
	defer n.release(session)
	chunk, err := session.view.Chunk(after, chunkBytes)
	if err != nil {
		return nil, err
	}
	err = n.limiter.WaitN(ctx, min(len(chunk), n.limiter.Burst()))
	return chunk, trace.Wrap(err, "wait for the snapshot rate")
}

func (n *snapshots) use(id uint64) (*snapshotSession, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	session, found := n.sessions[id]
	if !found {
		return nil, trace.Wrap(errNoSession)
	}
	session.inUse++
	return session, nil
}

func (n *snapshots) release(session *snapshotSession) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	session.inUse--
	session.used = clock.Now()
}

// expire closes the sessions that have been idle for at least idle, restricted to one
// shard if it is not nil. It returns the number of sessions still in use.
func (n *snapshots) expire(now time.Time, idle time.Duration, shard *Shard) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	inUse := 0
	for id, session := range n.sessions {
		if shard != nil && session.shard != shard {
			continue
		}
		if session.inUse > 0 {
			inUse++
			continue
		}
		if now.Sub(session.used) < idle {
			continue
		}
		delete(n.sessions, id)
		_ = session.view.Close()
		session.shard.users.Done()
	}
	return inUse
}

// closeAll closes the sessions of a shard, waiting for those in use.
func (n *snapshots) closeAll(shard *Shard) {
	for n.expire(clock.Now(), 0, shard) > 0 {
		time.Sleep(time.Millisecond)
	}
}

// minNeededIndex returns the lowest snapshot index of a shard's sessions. Their
// receivers need the log from there.
func (n *snapshots) minNeededIndex(shard ledger.ShardID) uint64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	lowest := ^uint64(0)
	for _, session := range n.sessions {
		if session.shard.id == shard {
			lowest = min(lowest, session.view.Marker().Index)
		}
	}
	return lowest
}

// prepareSnapshot reports whether a snapshot message can be stepped. If its data is
// staged, it sets the message's marker to the staged one; otherwise it starts a
// fetch. The caller holds the mutex.
func (s *Shard) prepareSnapshot(message *replication.Message, from transport.Address) bool {
	status := s.core.Status()
	if status.Installing {
		return false // the staging area is in use
	}
	if s.staged != nil && s.staged.Marker().Index <= status.Commit {
		s.staged = nil // older than the committed log
	}
	if s.staged != nil {
		message.Snapshot = s.staged.Marker()
		return true
	}
	if message.Snapshot.Index <= status.Commit {
		return true // obsolete; the protocol rejects it
	}
	if !s.fetching && message.Term >= status.Term && s.acquireDisk() == nil {
		s.fetching = true
		go s.fetch(*message, from)
	}
	return false
}

// fetch receives and stages the leader's state, and then steps its message.
func (s *Shard) fetch(message replication.Message, from transport.Address) {
	defer s.users.Done()
	staging, err := s.receive(from)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fetching = false
	if err != nil {
		eventSnapshotFailed.Error(err, "shard", s.id, "replica", s.replicaID, "peer", from)
		return
	}
	if s.stopped || s.halted != nil {
		return
	}
	s.staged = staging
	message.Snapshot = staging.Marker()
	s.stepCore(message)
}

func (s *Shard) receive(from transport.Address) (*storage.Staging, error) {
	ctx, cancel := context.WithTimeout(s.service.running, chunkTimeout)
	defer cancel()
	request := encode(snapshotOpenRequest{Shard: s.id, Replica: s.replicaID})
	encoded, err := s.service.options.Sender.Call(ctx, from, kindSnapshotOpen, request)
	if err != nil {
		return nil, trace.Wrap(err, "open a snapshot at peer %s", from)
	}
	var answer snapshotOpenResponse
	fields, err := decode(encoded, &answer, 1)
	if err != nil {
		return nil, trace.Wrap(err, "open a snapshot at peer %s", from)
	}
	marker, err := replication.UnmarshalSnapshotMarker(fields[0])
	if err != nil {
		return nil, trace.Wrap(err, "open a snapshot at peer %s", from)
	}
	staging, err := s.disk.Stage(marker)
	if err != nil {
		return nil, err
	}
	for !staging.Complete() {
		if err := s.receiveChunk(from, answer.Session, staging); err != nil {
			return nil, err
		}
	}
	return staging, nil
}

// receiveChunk fetches and stages the next chunk, retrying lost and damaged ones.
func (s *Shard) receiveChunk(from transport.Address, session uint64, staging *storage.Staging) error {
	var failure error
	for range maxChunkAttempts {
		chunk, err := s.callChunk(from, session, staging.After())
		var remote *transport.RemoteError
		if errors.As(err, &remote) || s.service.running.Err() != nil || !s.service.accepting() {
			return trace.Wrap(errors.Join(err, errTransferAborted), "fetch a snapshot chunk from peer %s", from)
		}
		if err == nil {
			err = staging.Add(chunk)
		}
		if err == nil {
			s.service.metrics.snapshotBytes.Add(float64(len(chunk)))
			return nil
		}
		failure = err
		if !errors.Is(err, storage.ErrBadChunk) && s.disk.Failure() != nil {
			break
		}
	}
	return trace.Wrap(failure, "fetch a snapshot chunk from peer %s", from)
}

func (s *Shard) callChunk(from transport.Address, session uint64, after []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(s.service.running, chunkTimeout)
	defer cancel()
	request := encode(snapshotChunkRequest{Session: session}, after)
	return s.service.options.Sender.Call(ctx, from, kindSnapshotChunk, request)
}
