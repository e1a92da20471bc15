package storage

import (
	"encoding/binary"
	"sync"

	"github.com/cockroachdb/pebble/v2"
	"github.com/gravitational/trace"
)

// committer writes the batches of all shards. What has to be synced gathers
// while a sync runs, and goes out with the next one; what has not is written
// beside, so that it never waits for a sync. A shard waits for each of its own
// batches before the next, so that their order is kept.
//
// Callers are thereby kept apart from the disk: when it hangs or fails for
// good, failed releases them.
type committer struct {
	db       *pebble.DB
	synced   commitQueue
	unsynced commitQueue
	failed   <-chan struct{}
	fail     func(error)
	noted    func(sequence uint64)
	sequence uint64 // of the last synced write
	stop     chan struct{}
	stopped  sync.WaitGroup
}

// commitQueue gathers batches. Its mutex is a leaf.
type commitQueue struct {
	mutex   sync.Mutex
	waiting *commitGroup  // nil when nothing waits
	arrived chan struct{} // of capacity 1
}

// commitGroup is written at once. Its error is set before done is closed.
type commitGroup struct {
	batch *pebble.Batch
	done  chan struct{}
	err   error
}

// startCommitter starts with the sequence of the last write in the store; it
// calls noted, with rising sequences, after each sync.
func startCommitter(db *pebble.DB, sequence uint64, failed <-chan struct{}, fail func(error), noted func(uint64)) *committer {
	c := &committer{
		db:       db,
		synced:   commitQueue{arrived: make(chan struct{}, 1)},
		unsynced: commitQueue{arrived: make(chan struct{}, 1)},
		failed:   failed,
		fail:     fail,
		noted:    noted,
		sequence: sequence,
		stop:     make(chan struct{}),
	}
	c.stopped.Add(2)
	go c.run(&c.synced, c.writeSynced)
	go c.run(&c.unsynced, c.writeUnsynced)
	return c
}

// commit writes the batch and waits until it is durable (with sync) or
// visible (without). The batch is closed.
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

// add copies the batch into the group that waits.
func (q *commitQueue) add(db *pebble.DB, batch *pebble.Batch) (*commitGroup, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.waiting == nil {
		q.waiting = &commitGroup{batch: db.NewBatch(), done: make(chan struct{})}
		q.arrived <- struct{}{}
	}
	if err := q.waiting.batch.Apply(batch, nil); err != nil {
		return nil, err
	}
	return q.waiting, batch.Close()
}

func (q *commitQueue) take() *commitGroup {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	group := q.waiting
	q.waiting = nil
	return group
}

// run writes the groups of a queue, one at a time.
func (c *committer) run(queue *commitQueue, write func(*pebble.Batch) error) {
	defer c.stopped.Done()
	for {
		select {
		case <-queue.arrived:
		case <-c.stop:
			return
		}
		group := queue.take()
		if err := write(group.batch); err != nil {
			group.err = trace.Wrap(classify(err), "write a batch")
		}
		_ = group.batch.Close()
		close(group.done)
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
	c.noted(c.sequence)
	return nil
}

// close stops the committer; batches that still wait are refused.
func (c *committer) close() {
	close(c.stop)
	c.stopped.Wait()
}

// abandon stops the committer without waiting for its goroutines, which may
// hang in the disk for ever.
func (c *committer) abandon() { close(c.stop) }
