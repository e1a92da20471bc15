package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// confirmInterval is the least time between two reads of the store for Confirm, which bounds what
// many requests cost the store.
const confirmInterval = 40 * time.Millisecond

var (
	errUnknownKind = errors.New("mirror: the kind is not mirrored")
	errUnsynced    = errors.New("mirror: the kind has not been synced yet")
)

// storeRead is one read of the store on behalf of all callers that wait for it.
type storeRead struct {
	done chan struct{} // closed after the read
	err  error         // set before done is closed
}

// confirmer reads the store for Confirm, one call at a time for each kind.
type confirmer struct {
	kind  Kind
	mutex sync.Mutex // guards next; a leaf
	next  *storeRead // nil if nobody waits for one
	wake  chan struct{}
}

func newConfirmers(kinds []Kind) map[string]*confirmer {
	confirmers := make(map[string]*confirmer, len(kinds))
	for _, kind := range kinds {
		confirmers[kind.Name] = &confirmer{kind: kind, wake: make(chan struct{}, 1)}
	}
	return confirmers
}

// Confirm returns nil once this node's copy of a kind has all changes that the store had accepted when
// Confirm was called. It reads the store itself and shares the read with concurrent calls. Unlike a
// small Age, this proves that no other change came before the call, also if this process
// stood still meanwhile. It returns an error if the store doesn't answer until ctx ends.
func (a *Agent) Confirm(ctx context.Context, kind string) error {
	c := a.confirmers[kind]
	if c == nil {
		return trace.Wrap(errUnknownKind, "confirm %s", kind)
	}
	if a.revision(kind) == 0 {
		return trace.Wrap(errUnsynced, "confirm %s", kind)
	}
	if err := ctx.Err(); err != nil {
		return trace.Wrap(err, "confirm %s", kind)
	}
	read := c.join()
	select {
	case <-read.done:
		return trace.Wrap(read.err, "confirm %s", kind)
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "confirm %s", kind)
	case <-a.running.Done():
		return trace.Wrap(a.running.Err(), "confirm %s", kind)
	}
}

// join returns a read that begins after the call.
func (c *confirmer) join() *storeRead {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.next == nil {
		c.next = &storeRead{done: make(chan struct{})}
		c.wake <- struct{}{} // never blocks: the last read was taken after its wake-up
	}
	return c.next
}

func (c *confirmer) take() *storeRead {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	read := c.next
	c.next = nil
	return read
}

// confirmLoop makes the reads of a kind that are waited for.
func (a *Agent) confirmLoop(c *confirmer) {
	for {
		select {
		case <-c.wake:
		case <-a.running.Done():
			return
		}
		read := c.take()
		read.err = a.readChanges(c.kind)
		close(read.done)
		a.pause(confirmInterval)
	}
}

// readChanges asks the store for the changes up to now.
func (a *Agent) readChanges(kind Kind) error {
	_, err := a.readStore(kind, task{hold: pollHold})
	if errors.Is(err, ErrHistoryLost) {
		err = a.list(kind)
	}
	if err == nil {
		a.recordStoreResponse()
	}
	return err
}
