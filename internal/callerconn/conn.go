package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chutelock.dev/chutelock/internal/telemetry"
)

var (
	eventUnanswered = telemetry.Define(2312, "connection-ended-unanswered", "A caller's connection ended after bytes of a request were read and before any of its response was written; gives the request if it was being handled, who closed, the version of the configuration in force and its age.")
	eventLeftBehind = telemetry.Define(2314, "left-behind", "A stopping node closes its server; gives the requests that are still being handled and the connections with a request that was read and has no response.")
)

// Conn is a caller's connection that knows whether bytes of a request were read since the last
// bytes of a response were written. It can be retired, that is, closed once no request is on it: unlike
// http.Server, which counts a connection as idle until the head of its next request is parsed, it never
// closes on bytes that were read.
type Conn struct {
	net.Conn
	gate *Gate

	unanswered atomic.Int64 // bytes read since the last write
	ended      atomic.Bool  // the caller has closed, or the connection failed
	closed     atomic.Bool
	request    atomic.Pointer[string] // being handled; nil if none is

	mutex   sync.Mutex // guards the fields below; acquired after the gate's, a leaf
	state   http.ConnState
	retired bool
	// closing says that the connection ends without its first request, too.
	closing bool
	// deadline is the server's for reads, which is put aside once the connection has expired: a read
	// then fails unless it has taken bytes before.
	deadline time.Time
	expired  bool
}

// arrivalTime is how long a connection that is to end is still read: a request that is in its socket by
// then is answered.
const arrivalTime = 50 * time.Millisecond

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.recordRead(n)
	}
	if err != nil && !isTimeout(err) {
		c.ended.Store(true)
	}
	return n, err
}

// recordRead counts bytes of a request. A connection that expired as they were read goes on, as its
// request is to be answered.
func (c *Conn) recordRead(n int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unanswered.Add(int64(n))
	if c.expired {
		c.expired = false
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = deadline
	if c.retired && c.isIdle() {
		return c.expire()
	}
	return c.Conn.SetReadDeadline(deadline)
}

// retire ends the connection once no request is on it; if closing isn't set, it may have its first one.
func (c *Conn) retire(closing bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.retired = true
	c.closing = c.closing || closing
	if c.isIdle() {
		_ = c.expire()
	}
}

// expire ends the connection unless a request arrives within arrivalTime; the caller holds the mutex.
func (c *Conn) expire() error {
	c.expired = true
	return c.Conn.SetReadDeadline(time.Now().Add(arrivalTime))
}

// setState records the state that the server gives the connection.
func (c *Conn) setState(state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = state
	if state == http.StateIdle {
		c.unanswered.Store(0) // what was read is part of the request that was answered
	}
	if c.retired && c.isIdle() {
		_ = c.expire()
	}
}

// isIdle reports whether the connection can end: no byte of a request was read since the last response,
// and its first request isn't awaited. The caller holds the mutex.
func (c *Conn) isIdle() bool {
	return (c.state == http.StateIdle || c.state == http.StateNew && c.closing) && c.unread() == 0
}

// unread returns the bytes of requests that were read since the last response.
func (c *Conn) unread() int64 {
	if c.gate.Encrypted && c.handled() == "" {
		return 0
	}
	return c.unanswered.Load()
}

// Write implements net.Conn.
func (c *Conn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	if n > 0 {
		c.unanswered.Store(0)
	}
	return n, err
}

// CloseWrite lets the server end a response whose request it did not read to its end.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. It logs a request that was read and has no response.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return c.Conn.Close()
	}
	if bytes := c.unread(); bytes > 0 {
		by := "node"
		if c.ended.Load() {
			by = "caller"
		}
		c.gate.reportUnanswered(c, by, bytes)
	}
	return c.Conn.Close()
}

// Handling records the request that is being handled; an empty ID that none is.
func (c *Conn) Handling(request string) {
	if request == "" {
		c.request.Store(nil)
		return
	}
	c.request.Store(&request)
}

// handled returns the ID of the request that is being handled; empty if none is.
func (c *Conn) handled() string {
	if request := c.request.Load(); request != nil {
		return *request
	}
	return ""
}

type connKey struct{}

// ConnContext is the ConnContext function of the server that serves the gate's connections.
func (g *Gate) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Of returns the connection of a request's context; nil if the server has no gate.
func Of(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return unwrap(conn)
}

// NetConn returns the connection that the gate's listener accepted.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// unwrap returns the gate's connection under one of TLS; nil if there is none.
func unwrap(conn net.Conn) *Conn {
	if tracked, ok := conn.(*Conn); ok {
		return tracked
	}
	if over, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return unwrap(over.NetConn())
	}
	return nil
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
