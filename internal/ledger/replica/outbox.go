package replica

import (
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/transport"
)

const (
	// lazyFlush is how long heartbeats wait for those of other shards to the
	// same node.
	lazyFlush = 10 * time.Millisecond
	// frameBytes bounds a frame of several messages.
	frameBytes = 4 << 20
)

// outbox gathers the messages of all shards to each peer, and sends what has
// gathered as one frame. Urgent messages go as soon as the sender goroutine
// gets to them; heartbeats wait up to lazyFlush.
type outbox struct {
	sender transport.Sender

	mutex   sync.Mutex
	waiting map[transport.Address][][]byte
	urgent  chan struct{} // of capacity 1: something waits that is to go at once
	lazy    chan struct{} // of capacity 1: something else waits
	stop    chan struct{}
	stopped sync.WaitGroup
}

func newOutbox(sender transport.Sender) *outbox {
	return &outbox{
		sender:  sender,
		waiting: map[transport.Address][][]byte{},
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
	o.waiting[to] = append(o.waiting[to], message)
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

// run sends what waits. It sleeps while nothing does: most nodes of a large fleet keep no
// replica, and have nothing to send.
func (o *outbox) run() {
	defer o.stopped.Done()
	for {
		select {
		case <-o.urgent:
		case <-o.lazy:
			o.gather()
		case <-o.stop:
			o.flush()
			return
		}
		o.flush()
	}
}

// gather waits until lazyFlush has passed, or something urgent comes.
func (o *outbox) gather() {
	timer := time.NewTimer(lazyFlush)
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

// take returns what waits, and leaves nothing.
func (o *outbox) take() map[transport.Address][][]byte {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.waiting) == 0 {
		return nil
	}
	waiting := o.waiting
	o.waiting = make(map[transport.Address][][]byte, len(waiting))
	return waiting
}

func (o *outbox) sendFrames(to transport.Address, messages [][]byte) {
	start, size := 0, 0
	for i, message := range messages {
		if size+len(message) > frameBytes && i > start {
			o.sender.Send(to, kindFrame, encode(fixedFrame{}, messages[start:i]...))
			start, size = i, 0
		}
		size += len(message)
	}
	o.sender.Send(to, kindFrame, encode(fixedFrame{}, messages[start:]...))
}
