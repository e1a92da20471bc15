package storage

import (
	"sync"

	"github.com/cockroachdb/pebble/v2"
	"github.com/gravitational/trace"
)

const (
	// commitQueue bounds the batches that wait for the committer.
	commitQueue = 1024
	// syncQueue bounds the writes that wait for their sync.
	syncQueue = 64
	// mergeBytes bounds what is merged into one write.
	mergeBytes = 8 << 20
)

// commitRequest asks the committer to write a batch.
type commitRequest struct {
	batch *pebble.Batch
	sync  bool
	done  chan error // of capacity 1
}

// committer writes the batches of all shards in their order. One goroutine
// merges what waits into one write and hands it to the write-ahead log, which
// lets all writes that wait for a sync share the next one; a second goroutine
// waits for the syncs and answers. Callers are thereby kept apart from the
// disk: when it hangs or fails for good, failed releases them.
type committer struct {
	db       *pebble.DB
	requests chan commitRequest
	written  chan writtenBatch
	failed   <-chan struct{}
	fail     func(error)
	stop     chan struct{}
	stopped  sync.WaitGroup
}

// writtenBatch waits for its sync.
type writtenBatch struct {
	batch    *pebble.Batch
	requests []commitRequest
}

func startCommitter(db *pebble.DB, failed <-chan struct{}, fail func(error)) *committer {
	c := &committer{
		db:       db,
		requests: make(chan commitRequest, commitQueue),
		written:  make(chan writtenBatch, syncQueue),
		failed:   failed,
		fail:     fail,
		stop:     make(chan struct{}),
	}
	c.stopped.Add(2)
	go c.runWrites()
	go c.runSyncs()
	return c
}

// commit writes the batch and waits until it is durable (with sync) or
// visible (without). The batch is the committer's from then on: after a
// failure, a hanging write may still use it.
func (c *committer) commit(batch *pebble.Batch, sync bool) error {
	request := commitRequest{batch: batch, sync: sync, done: make(chan error, 1)}
	select {
	case <-c.failed:
		return ErrFailed // also when there is room in the queue
	default:
	}
	select {
	case c.requests <- request:
	case <-c.failed:
		return ErrFailed
	case <-c.stop:
		return ErrClosed
	}
	select {
	case err := <-request.done:
		return err
	case <-c.failed:
		return ErrFailed
	}
}

func (c *committer) runWrites() {
	defer c.stopped.Done()
	defer close(c.written)
	for {
		select {
		case first := <-c.requests:
			c.write(c.gather(first))
		case <-c.stop:
			c.refuseRest()
			return
		}
	}
}

// gather takes what else waits, up to mergeBytes.
func (c *committer) gather(first commitRequest) []commitRequest {
	requests := []commitRequest{first}
	size := first.batch.Len()
	for size < mergeBytes {
		select {
		case next := <-c.requests:
			requests = append(requests, next)
			size += next.batch.Len()
		default:
			return requests
		}
	}
	return requests
}

func (c *committer) write(requests []commitRequest) {
	batch, err := c.merge(requests)
	if err != nil {
		answer(requests, err)
		return
	}
	if !anySync(requests) {
		err := c.db.Apply(batch, pebble.NoSync)
		_ = batch.Close()
		answer(requests, trace.Wrap(classify(err), "write a batch"))
		return
	}
	if err := c.db.ApplyNoSyncWait(batch, pebble.Sync); err != nil {
		answer(requests, trace.Wrap(classify(err), "write a batch"))
		return
	}
	c.written <- writtenBatch{batch: batch, requests: requests}
}

// merge returns the only batch, or all in one.
func (c *committer) merge(requests []commitRequest) (*pebble.Batch, error) {
	if len(requests) == 1 {
		return requests[0].batch, nil
	}
	merged := c.db.NewBatch()
	for _, request := range requests {
		if err := merged.Apply(request.batch, nil); err != nil {
			return nil, trace.Wrap(err, "merge batches")
		}
		_ = request.batch.Close()
	}
	return merged, nil
}

func (c *committer) runSyncs() {
	defer c.stopped.Done()
	for written := range c.written {
		err := written.batch.SyncWait()
		if err != nil {
			c.fail(err)
			err = ErrFailed
		}
		_ = written.batch.Close()
		answer(written.requests, err)
	}
}

func anySync(requests []commitRequest) bool {
	for _, request := range requests {
		if request.sync {
			return true
		}
	}
	return false
}

func answer(requests []commitRequest, err error) {
	for _, request := range requests {
		request.done <- err
	}
}

func (c *committer) refuseRest() {
	for {
		select {
		case request := <-c.requests:
			request.done <- ErrClosed
		default:
			return
		}
	}
}

// close stops the committer; batches that still wait are refused.
func (c *committer) close() {
	close(c.stop)
	c.stopped.Wait()
}

// abandon stops the committer without waiting for its goroutines, which may
// hang in the disk for ever.
func (c *committer) abandon() { close(c.stop) }
