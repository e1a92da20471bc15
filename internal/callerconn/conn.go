package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/telemetry"
)

var (
	eventUnanswered = telemetry.Define(2312, "connection-ended-unanswered", "A caller's connection ended after bytes of a request were read and before any of its response was written; gives the request if it was being handled, who closed, the version of the configuration in force and its age.")
	eventLeftBehind = telemetry.Define(2314, "left-behind", "A stopping node closes its server; gives the requests that are still being handled and the connections with a request that was read and has no response.")
)

// Conn is a caller's connection that knows whether bytes of a request were read that has no
// response yet. It can be retired, that is, closed once no request is on it: unlike
// http.Server, which counts a connection as idle until the head of its next request is parsed, it never
// closes on bytes that were read.
type Conn struct {
	net.Conn
	gate *Gate

	unanswered atomic.Int64 // bytes read of a request without a response
	answered   atomic.Bool  // a response has begun; more bytes may be read of its request
	ended      atomic.Bool  // the caller has closed, or the connection failed
	closed     atomic.Bool
	request    atomic.Pointer[string] // being handled; nil if none is

	mutex   sync.Mutex // guards the fields below; acquired after the gate's, a leaf
	state   http.ConnState
	retired bool // no request is taken but the first
	closing bool // nor the first
	// early is how many bytes of the next request were read before the response ended.
	early int64
	// idleSince is when the last response ended.
	idleSince time.Time
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
	for {
		n, err := c.Conn.Read(buffer)
		switch {
		case n > 0:
			c.recordRead(n, len(buffer) == 1)
		case isTimeout(err) && (c.extendIdle() || c.extendForArrived()):
			continue
		}
		if err != nil && !isTimeout(err) {
			c.ended.Store(true)
		}
		return n, err
	}
}

// extendIdle reports whether the connection may be idle for longer, as the limit was raised.
func (c *Conn) extendIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	left := c.gate.limits().IdleTimeout - clock.Since(c.idleSince)
	if c.state != http.StateIdle || c.expired || left <= 0 {
		return false
	}
	c.deadline = readDeadline(left)
	return c.Conn.SetReadDeadline(c.deadline) == nil
}

// extendForArrived reports whether a request on a connection that is to end as idle lies in its socket. The
// reads of a process that loses the processor fail by the deadline without a look at the socket.
func (c *Conn) extendForArrived() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ends := c.state == http.StateNew && c.expired || c.state == http.StateIdle && (c.expired || c.unanswered.Load() == 0)
	return ends && hasUnreadBytes(c.Conn) && c.Conn.SetReadDeadline(readDeadline(arrivalTime)) == nil
}

// recordRead counts bytes of a request. A connection that expired as they were read goes on, as its
// request is to be answered. While a request is handled, the server reads only the first byte of the
// next one, and alone.
func (c *Conn) recordRead(n int, alone bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case alone && c.state == http.StateActive:
		c.early = int64(n)
	case !c.answered.Load():
		c.unanswered.Add(int64(n))
	}
	if c.expired {
		c.expired = false
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// SetReadDeadline implements net.Conn. The configured limits take the place of the server's own
// timeouts.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = c.withinLimits(deadline)
	if c.expire() {
		return nil
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

// withinLimits returns the deadline for what the server waits for: the next request, or its head. The
// caller holds the mutex.
func (c *Conn) withinLimits(deadline time.Time) time.Time {
	limits := c.gate.limits()
	switch {
	case deadline.IsZero() || c.state == http.StateActive:
	case c.state == http.StateIdle && c.unanswered.Load() == 0:
		if limits.IdleTimeout > 0 {
			return readDeadline(limits.IdleTimeout - clock.Since(c.idleSince))
		}
	case limits.HeaderTimeout > 0:
		return readDeadline(limits.HeaderTimeout)
	}
	return deadline
}

// readDeadline returns a deadline by the monotonic clock, which connections use.
func readDeadline(after time.Duration) time.Time { return time.Now().Add(after) }

// retire ends the connection after its response, or soon if it is idle. A new connection may have its first
// request unless closing is set.
func (c *Conn) retire(closing bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.retired = true
	c.closing = c.closing || closing
	c.expire()
}

// expire ends the connection unless a request arrives within arrivalTime, if no more are taken from it and
// no byte of one was read. It reports whether it does; the caller holds the mutex.
func (c *Conn) expire() bool {
	waits := c.state == http.StateIdle && c.retired || c.state == http.StateNew && c.closing
	if !waits || c.unread() > 0 {
		return false
	}
	c.expired = true
	_ = c.Conn.SetReadDeadline(readDeadline(arrivalTime))
	return true
}

// setState records the state that the server gives the connection.
func (c *Conn) setState(state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = state
	if state == http.StateIdle {
		c.answered.Store(false)
		c.unanswered.Store(c.early)
		c.early = 0
		c.idleSince = clock.Now()
	}
	c.expire()
}

// unread returns the bytes read of a request that has no response.
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
		c.answered.Store(true)
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

// hasUnreadBytes reports whether bytes that were not read lie in the connection's socket.
func hasUnreadBytes(conn net.Conn) bool {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	// Control looks also after the read deadline.
	err = raw.Control(func(fd uintptr) {
		var peek [1]byte
		n, _, failure := unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = failure == nil && n > 0
	})
	return err == nil && unread
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
