package storage

import (
	"encoding/binary"
	"sync"

	"github.com/cockroachdb/pebble/v2"
	"github.com/gravitational/trace"
)

// committer writes the batches of all shards by group commit. Synced batches
// that arrive during a sync are merged into the next one; unsynced batches have
// their own queue and never wait for a sync. A shard waits for each of its
// batches before it commits the next, which keeps them in order.
//
// Callers wait on channels, not on the disk: closing failed or stop releases
// them even if a disk operation hangs.
type committer struct {
	db       *pebble.DB
	synced   commitQueue
	unsynced commitQueue
	failed   <-chan struct{}
	fail     func(error)
	onSync   func(sequence uint64)
	sequence uint64 // of the last synced write; used by writeSynced only
	stop     chan struct{}
	stopped  sync.WaitGroup
}

// commitQueue merges batches into the next group. Its mutex is a leaf lock.
type commitQueue struct {
	mutex   sync.Mutex
	pending *commitGroup  // nil when empty
	ready   chan struct{} // capacity 1: signals a new pending group
}

// commitGroup is a merged batch, written as one. err is set before done is closed.
type commitGroup struct {
	batch *pebble.Batch
	done  chan struct{}
	err   error
}

// startCommitter starts a committer after the given last sequence in the store.
// It calls onSync after each sync, with increasing sequences.
func startCommitter(db *pebble.DB, sequence uint64, failed <-chan struct{}, fail func(error), onSync func(uint64)) *committer {
	c := &committer{
		db:       db,
		synced:   commitQueue{ready: make(chan struct{}, 1)},
		unsynced: commitQueue{ready: make(chan struct{}, 1)},
		failed:   failed,
		fail:     fail,
		onSync:   onSync,
		sequence: sequence,
		stop:     make(chan struct{}),
	}
	c.stopped.Add(2)
	go c.run(&c.synced, c.writeSynced)
	go c.run(&c.unsynced, c.writeUnsynced)
	return c
}

// commit writes the batch and waits until it is durable (with sync) or visible
// (without). It closes the batch.
func (c *committer) commit(batch *pebble.Batch, sync bool) error {
	select {
	case <-c.failed:
		return ErrFailed
	case <-c.stop:
		return ErrClosed
	default:
	}
	queue := &c.unsynced
	if sync {
		queue = &c.synced
	}
	group, err := queue.add(c.db, batch)
	if err != nil {
		return trace.Wrap(err, "merge a batch")
	}
	select {
	case <-group.done:
		return group.err
	case <-c.failed:
		return ErrFailed
	case <-c.stop:
		return ErrClosed
	}
}

// add merges the batch into the pending group and closes it.
func (q *commitQueue) add(db *pebble.DB, batch *pebble.Batch) (*commitGroup, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.pending == nil {
		q.pending = &commitGroup{batch: db.NewBatch(), done: make(chan struct{})}
		q.ready <- struct{}{}
	}
	if err := q.pending.batch.Apply(batch, nil); err != nil {
		return nil, err
	}
	return q.pending, batch.Close()
}

func (q *commitQueue) take() *commitGroup {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	group := q.pending
	q.pending = nil
	return group
}

// run writes the groups of a queue one at a time until the committer stops.
func (c *committer) run(queue *commitQueue, write func(*pebble.Batch) error) {
	defer c.stopped.Done()
	for {
		select {
		case <-queue.ready:
		case <-c.stop:
			return
		}
		group := queue.take()
		if c.hasFailed() {
			return // callers were released by failed
		}
		if err := write(group.batch); err != nil {
			group.err = trace.Wrap(classify(err), "write a batch")
		}
		_ = group.batch.Close()
		close(group.done)
	}
}

func (c *committer) hasFailed() bool {
	select {
	case <-c.failed:
		return true
	default:
		return false
	}
}

func (c *committer) writeUnsynced(batch *pebble.Batch) error {
	return c.db.Apply(batch, pebble.NoSync)
}

func (c *committer) writeSynced(batch *pebble.Batch) error {
	c.sequence++
	if err := batch.Set(sequenceKey(), binary.BigEndian.AppendUint64(nil, c.sequence), nil); err != nil {
		return err
	}
	if err := c.db.ApplyNoSyncWait(batch, pebble.Sync); err != nil {
		return err
	}
	if err := batch.SyncWait(); err != nil {
		c.fail(err)
		return ErrFailed
	}
	c.onSync(c.sequence)
	return nil
}

// close stops the committer; pending batches fail with ErrClosed.
func (c *committer) close() {
	close(c.stop)
	c.stopped.Wait()
}
