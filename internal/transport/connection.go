package transport

import (
	"bufio"
	"context"
	"crypto/rand"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"
)

const (
	dialTimeout      = time.Second
	handshakeTimeout = 2 * time.Second
	// writeTimeout closes a connection whose peer takes nothing any more.
	writeTimeout = 5 * time.Second
	// keepAlive finds a peer machine that vanished without closing.
	keepAlive = 5 * time.Second
	// bufferSize is that of each direction of a connection: most frames fit it, and longer
	// ones go past it. A node of a large fleet has some 100 connections.
	bufferSize  = 4 << 10
	queueLength = 4096
	// answerQueue is the number of answers that wait for one connection; a
	// handler whose answer finds no place waits.
	answerQueue = 256
	// defaultIdleTimeout closes a connection on which nothing is sent or awaited,
	// so that a node's memory doesn't grow with all peers it ever called.
	defaultIdleTimeout = 30 * time.Second
	reconnectWait      = 20 * time.Millisecond
	reconnectMost      = 500 * time.Millisecond
)

// connection is an established, authenticated TCP connection.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	input  *session
	output *session
	peer   Address
	// written counts the frames written, and readAt is when the last one came.
	written atomic.Uint64
	readAt  atomic.Pointer[time.Time]
}

// handshake exchanges nonces in the clear, then proves the key and tells the
// peers' addresses in the first authenticated frame of each direction.
func handshake(conn net.Conn, keys *Keyring, self Address) (*connection, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, trace.Wrap(err)
	}
	c := &connection{
		Conn:   conn,
		reader: bufio.NewReaderSize(conn, bufferSize),
		writer: bufio.NewWriterSize(conn, bufferSize),
		input:  &session{keys: keys},
		output: &session{keys: keys},
	}
	if _, err := rand.Read(c.input.nonce[:]); err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := conn.Write(c.input.nonce[:]); err != nil {
		return nil, trace.Wrap(err, "sending the nonce")
	}
	if _, err := io.ReadFull(c.reader, c.output.nonce[:]); err != nil {
		return nil, trace.Wrap(err, "reading the nonce")
	}
	hello := frame{header: frameHeader{Type: frameHello}, payload: []byte(self)}
	if err := c.output.write(c.writer, hello); err != nil {
		return nil, trace.Wrap(err, "sending the hello")
	}
	if err := c.writer.Flush(); err != nil {
		return nil, trace.Wrap(err, "sending the hello")
	}
	answer, err := c.input.read(c.reader)
	if err != nil {
		return nil, trace.Wrap(err, "reading the hello")
	}
	if answer.header.Type != frameHello {
		return nil, trace.BadParameter("first frame of the peer is not a hello")
	}
	c.peer = Address(answer.payload)
	return c, trace.Wrap(conn.SetDeadline(time.Time{}))
}

// writeLoop writes queued frames, flushing when the queue is empty, until
// done closes or the connection breaks.
func (c *connection) writeLoop(queue <-chan *frame, done <-chan struct{}) error {
	for {
		select {
		case <-done:
			return nil
		case f := <-queue:
			if err := c.writeAll(f, queue); err != nil {
				return err
			}
		}
	}
}

// writeUntilIdle is writeLoop that also ends, with true, when nothing was
// queued for the idle time-out and idle agrees. A frame queued meanwhile stays
// queued, and its call pending.
func (c *connection) writeUntilIdle(
	queue <-chan *frame, done <-chan struct{}, timeout time.Duration, idle func() bool,
) bool {
	ticker := time.NewTicker(timeout)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return false
		case <-ticker.C:
			if idle() {
				return true
			}
		case f := <-queue:
			ticker.Reset(timeout)
			if err := c.writeAll(f, queue); err != nil {
				return false
			}
		}
	}
}

func (c *connection) writeAll(f *frame, queue <-chan *frame) error {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for {
		if err := c.output.write(c.writer, *f); err != nil {
			return err
		}
		c.written.Add(1)
		select {
		case f = <-queue:
		default:
			return c.writer.Flush()
		}
	}
}

// lane separates calls, which may carry bulk, from one-way messages, which
// carry heartbeats: each has its own connection to a peer.
type lane uint8

const (
	laneCall lane = iota
	laneMessage
)

type peerKey struct {
	address Address
	lane    lane
}

// outgoing is this node's side towards one peer and lane. Its goroutine keeps
// a connection while there is something to send.
type outgoing struct {
	key   peerKey
	node  *Node
	queue chan *frame

	// users counts the senders that have the value; guarded by the node's mutex.
	users int

	// mutex guards pending; it is taken after Node.mutex, never before.
	mutex   sync.Mutex
	pending map[uint64]pendingCall
}

type pendingCall struct {
	answer chan frame // buffered by one
}

// run connects when there is work and reconnects with backoff. Frames that
// wait while the peer can't be reached are failed or dropped. It ends when nothing was
// sent for the idle time-out.
func (o *outgoing) run(stop <-chan struct{}) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = reconnectWait
	wait.MaxInterval = reconnectMost
	idle := time.NewTimer(o.node.options.IdleTimeout)
	defer idle.Stop()
	for {
		var first *frame
		idle.Reset(o.node.options.IdleTimeout)
		select {
		case <-stop:
			o.failPending()
			return
		case first = <-o.queue:
		case <-idle.C:
			if o.node.retire(o) {
				return
			}
			continue
		}
		conn, err := o.dial()
		if err != nil {
			EventPeerUnreachable.Verbose(1, err, "peer", o.key.address)
			o.failUnsent(first)
			o.pause(stop, wait.NextBackOff())
			continue
		}
		wait.Reset()
		o.serve(conn, first, stop)
	}
}

func (o *outgoing) dial() (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	conn, err := dialer.Dial("tcp", string(o.key.address))
	if err != nil {
		return nil, trace.Wrap(err, "dialling peer %s", o.key.address)
	}
	established, err := handshake(conn, o.node.options.Keys, o.node.Address())
	if err != nil {
		conn.Close()
		return nil, trace.Wrap(err, "greeting peer %s", o.key.address)
	}
	return established, nil
}

func (o *outgoing) pause(stop <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case <-timer.C:
			return
		case f := <-o.queue:
			o.failUnsent(f)
		}
	}
}

// failUnsent fails a call that never left this process.
func (o *outgoing) failUnsent(f *frame) {
	if f.header.Type != frameCall {
		return
	}
	o.mutex.Lock()
	call, ok := o.pending[f.header.ID]
	delete(o.pending, f.header.ID)
	o.mutex.Unlock()
	if ok {
		call.answer <- frame{header: frameHeader{Type: frameHello}}
	}
}

// failPending fails all calls whose fate is open.
func (o *outgoing) failPending() {
	o.mutex.Lock()
	pending := o.pending
	o.pending = map[uint64]pendingCall{}
	o.mutex.Unlock()
	for _, call := range pending {
		close(call.answer)
	}
}

func (o *outgoing) serve(conn *connection, first *frame, stop <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.readLoop(conn)
	}()
	go func() {
		select {
		case <-stop:
		case <-done:
		}
		conn.Close()
	}()
	var watch sync.WaitGroup
	watch.Go(func() { o.watch(conn, done) })
	defer watch.Wait()
	idle := false
	if err := conn.writeAll(first, o.queue); err == nil {
		idle = conn.writeUntilIdle(o.queue, done, o.node.options.IdleTimeout, o.nothingPending)
	}
	conn.Close()
	<-done
	if !idle {
		o.failPending()
	}
}

func (o *outgoing) nothingPending() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.pending) == 0
}

func (o *outgoing) readLoop(conn *connection) {
	for {
		f, err := conn.input.read(conn.reader)
		if err != nil {
			return
		}
		now := time.Now()
		conn.readAt.Store(&now)
		o.mutex.Lock()
		call, ok := o.pending[f.header.ID]
		delete(o.pending, f.header.ID)
		o.mutex.Unlock()
		if ok {
			call.answer <- f
		}
	}
}

func (o *outgoing) call(ctx context.Context, id uint64, f frame) (frame, error) {
	answer := make(chan frame, 1)
	o.mutex.Lock()
	o.pending[id] = pendingCall{answer: answer}
	o.mutex.Unlock()
	defer func() {
		o.mutex.Lock()
		delete(o.pending, id)
		o.mutex.Unlock()
	}()
	select {
	case o.queue <- &f:
	case <-ctx.Done():
		return frame{}, trace.Wrap(ErrNotSent, "queue to peer %s is full: %v", o.key.address, ctx.Err())
	}
	select {
	case <-ctx.Done():
		return frame{}, trace.Wrap(ctx.Err(), "waiting for peer %s", o.key.address)
	case answered, ok := <-answer:
		if !ok {
			return frame{}, trace.Wrap(ErrBroken, "calling peer %s", o.key.address)
		}
		if answered.header.Type == frameHello {
			return frame{}, trace.Wrap(ErrNotSent, "peer %s can't be reached", o.key.address)
		}
		return answered, nil
	}
}
