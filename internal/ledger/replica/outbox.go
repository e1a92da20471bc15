package replica

import (
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/transport"
)

const (
	// maxHeartbeatDelay is how long a heartbeat waits to share a frame with those
	// of other shards.
	maxHeartbeatDelay = 10 * time.Millisecond
	// maxFrameBytes limits a frame that has more than one message.
	maxFrameBytes = 4 << 20
)

// outbox batches the messages of all shards into frames per peer. Urgent messages
// are sent as soon as the sender goroutine runs; lazy ones, the heartbeats, wait up
// to maxHeartbeatDelay.
type outbox struct {
	sender transport.Sender

	mutex   sync.Mutex
	pending map[transport.Address][][]byte
	urgent  chan struct{} // capacity 1; signals a pending urgent message
	lazy    chan struct{} // capacity 1; signals a pending lazy message
	stop    chan struct{}
	stopped sync.WaitGroup
}

func newOutbox(sender transport.Sender) *outbox {
	return &outbox{
		sender:  sender,
		pending: map[transport.Address][][]byte{},
		urgent:  make(chan struct{}, 1),
		lazy:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
	}
}

func (o *outbox) start() {
	o.stopped.Add(1)
	go o.run()
}

func (o *outbox) close() {
	close(o.stop)
	o.stopped.Wait()
}

func (o *outbox) add(to transport.Address, message []byte, lazy bool) {
	o.mutex.Lock()
	o.pending[to] = append(o.pending[to], message)
	o.mutex.Unlock()
	signal := o.urgent
	if lazy {
		signal = o.lazy
	}
	select {
	case signal <- struct{}{}:
	default:
	}
}

// run sends pending messages. It blocks while there are none, since most nodes of
// a large fleet hold no replica.
func (o *outbox) run() {
	defer o.stopped.Done()
	for {
		select {
		case <-o.urgent:
		case <-o.lazy:
			o.waitForBatch()
		case <-o.stop:
			o.flush()
			return
		}
		o.flush()
	}
}

// waitForBatch waits for maxHeartbeatDelay or until an urgent message is pending.
func (o *outbox) waitForBatch() {
	timer := time.NewTimer(maxHeartbeatDelay)
	defer timer.Stop()
	select {
	case <-o.urgent:
	case <-timer.C:
	case <-o.stop:
	}
}

func (o *outbox) flush() {
	for to, messages := range o.take() {
		o.sendFrames(to, messages)
	}
}

// take removes and returns all pending messages.
func (o *outbox) take() map[transport.Address][][]byte {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.pending) == 0 {
		return nil
	}
	waiting := o.pending
	o.pending = make(map[transport.Address][][]byte, len(waiting))
	return waiting
}

func (o *outbox) sendFrames(to transport.Address, messages [][]byte) {
	start, size := 0, 0
	for i, message := range messages {
		if size+len(message) > maxFrameBytes && i > start {
			o.sender.Send(to, kindFrame, encode(fixedFrame{}, messages[start:i]...))
			start, size = i, 0
		}
		size += len(message)
	}
	o.sender.Send(to, kindFrame, encode(fixedFrame{}, messages[start:]...))
}
