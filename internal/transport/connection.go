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
	// writeTimeout bounds a write to a peer that has stopped reading.
	writeTimeout = 5 * time.Second
	// keepAlive detects a peer machine that failed without closing its connections.
	keepAlive = 5 * time.Second
	// bufferSize is the size of a connection's read and write buffers, in bytes. Larger
	// frames bypass them.
	bufferSize = 4 << 10
	// queueLength is the capacity of a peer's send queue, in frames.
	queueLength = 4096
	// answerQueueLength is the capacity of an inbound connection's answer queue; a
	// handler blocks while it is full.
	answerQueueLength = 256
	// defaultIdleTimeout closes unused connections, so that memory doesn't grow with the
	// number of peers ever called.
	defaultIdleTimeout = 30 * time.Second
	minReconnectDelay  = 20 * time.Millisecond
	maxReconnectDelay  = 500 * time.Millisecond
)

// connection is an established, authenticated TCP connection.
type connection struct {
	net.Conn
	reader        *bufio.Reader
	writer        *bufio.Writer
	input         *session
	output        *session
	peer          Address
	framesWritten atomic.Uint64
	// lastRead is when the last frame was read; nil before the first.
	lastRead atomic.Pointer[time.Time]
}

// handshake exchanges nonces in the clear. The first frame of each direction then
// proves knowledge of the key and carries the sender's address.
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
			if err := c.writeQueued(f, queue); err != nil {
				return err
			}
		}
	}
}

// writeUntilIdle is like writeLoop, but also returns, with true, when nothing was
// queued for the timeout and idle reports true. A frame queued after that stays
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
			if err := c.writeQueued(f, queue); err != nil {
				return false
			}
		}
	}
}

// writeQueued writes f and the frames already queued, then flushes. The write timeout
// covers all of them.
func (c *connection) writeQueued(f *frame, queue <-chan *frame) error {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for {
		if err := c.output.write(c.writer, *f); err != nil {
			return err
		}
		c.framesWritten.Add(1)
		select {
		case f = <-queue:
		default:
			return c.writer.Flush()
		}
	}
}

// trafficClass separates calls, whose payloads may be large, from one-way messages,
// which carry heartbeats. Each class has its own connection to a peer.
type trafficClass uint8

const (
	classCall trafficClass = iota
	classMessage
)

type peerKey struct {
	address Address
	class   trafficClass
}

// peerClient sends the frames of one traffic class to one peer. Its goroutine connects
// when there is a frame to send.
type peerClient struct {
	key   peerKey
	node  *Node
	queue chan *frame

	// refs counts the senders using the client; guarded by Node.mutex.
	refs int

	// mutex guards pending; it is taken after Node.mutex, never before.
	mutex   sync.Mutex
	pending map[uint64]pendingCall
}

type pendingCall struct {
	answer chan frame // capacity 1
}

// run connects when a frame is queued and reconnects with backoff. While the peer is
// unreachable, queued calls fail and queued messages are dropped. It returns when the
// client was unused for the idle timeout.
func (c *peerClient) run(stop <-chan struct{}) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minReconnectDelay
	delays.MaxInterval = maxReconnectDelay
	idle := time.NewTimer(c.node.options.IdleTimeout)
	defer idle.Stop()
	for {
		var first *frame
		idle.Reset(c.node.options.IdleTimeout)
		select {
		case <-stop:
			c.failPending()
			return
		case first = <-c.queue:
		case <-idle.C:
			if c.node.removeUnused(c) {
				return
			}
			continue
		}
		conn, err := c.dial()
		if err != nil {
			EventPeerUnreachable.Verbose(1, err, "peer", c.key.address)
			c.failUnsent(first)
			c.waitBackoff(stop, delays.NextBackOff())
			continue
		}
		delays.Reset()
		c.serve(conn, first, stop)
	}
}

func (c *peerClient) dial() (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	conn, err := dialer.Dial("tcp", string(c.key.address))
	if err != nil {
		return nil, trace.Wrap(err, "dialling peer %s", c.key.address)
	}
	established, err := handshake(conn, c.node.options.Keys, c.node.Address())
	if err != nil {
		conn.Close()
		return nil, trace.Wrap(err, "handshake with peer %s", c.key.address)
	}
	return established, nil
}

// waitBackoff waits for the delay and fails the frames queued meanwhile.
func (c *peerClient) waitBackoff(stop <-chan struct{}, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case <-timer.C:
			return
		case f := <-c.queue:
			c.failUnsent(f)
		}
	}
}

// failUnsent fails the call of a frame that was never sent, if it is one, by
// answering it with a frameHello, which the caller reads as ErrNotSent.
func (c *peerClient) failUnsent(f *frame) {
	if f.header.Type != frameCall {
		return
	}
	c.mutex.Lock()
	call, ok := c.pending[f.header.ID]
	delete(c.pending, f.header.ID)
	c.mutex.Unlock()
	if ok {
		call.answer <- frame{header: frameHeader{Type: frameHello}}
	}
}

// failPending fails all pending calls with ErrBroken.
func (c *peerClient) failPending() {
	c.mutex.Lock()
	pending := c.pending
	c.pending = map[uint64]pendingCall{}
	c.mutex.Unlock()
	for _, call := range pending {
		close(call.answer)
	}
}

// serve sends first and the queued frames over conn until it breaks, falls idle or stop
// closes.
func (c *peerClient) serve(conn *connection, first *frame, stop <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.readLoop(conn)
	}()
	go func() {
		select {
		case <-stop:
		case <-done:
		}
		conn.Close()
	}()
	var monitoring sync.WaitGroup
	monitoring.Go(func() { c.monitor(conn, done) })
	defer monitoring.Wait()
	idle := false
	if err := conn.writeQueued(first, c.queue); err == nil {
		idle = conn.writeUntilIdle(c.queue, done, c.node.options.IdleTimeout, c.nothingPending)
	}
	conn.Close()
	<-done
	if !idle {
		c.failPending()
	}
}

func (c *peerClient) nothingPending() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.pending) == 0
}

func (c *peerClient) readLoop(conn *connection) {
	for {
		f, err := conn.input.read(conn.reader)
		if err != nil {
			return
		}
		now := time.Now()
		conn.lastRead.Store(&now)
		c.mutex.Lock()
		call, ok := c.pending[f.header.ID]
		delete(c.pending, f.header.ID)
		c.mutex.Unlock()
		if ok {
			call.answer <- f
		}
	}
}

func (c *peerClient) call(ctx context.Context, id uint64, f frame) (frame, error) {
	answer := make(chan frame, 1)
	c.mutex.Lock()
	c.pending[id] = pendingCall{answer: answer}
	c.mutex.Unlock()
	defer func() {
		c.mutex.Lock()
		delete(c.pending, id)
		c.mutex.Unlock()
	}()
	select {
	case c.queue <- &f:
	case <-ctx.Done():
		return frame{}, trace.Wrap(ErrNotSent, "queue to peer %s is full: %v", c.key.address, ctx.Err())
	}
	select {
	case <-ctx.Done():
		return frame{}, trace.Wrap(ctx.Err(), "waiting for peer %s", c.key.address)
	case answered, ok := <-answer:
		if !ok {
			return frame{}, trace.Wrap(ErrBroken, "calling peer %s", c.key.address)
		}
		if answered.header.Type == frameHello {
			return frame{}, trace.Wrap(ErrNotSent, "peer %s can't be reached", c.key.address)
		}
		return answered, nil
	}
}
