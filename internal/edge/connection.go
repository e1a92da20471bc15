package edge

import (
	"context"
	"net"
	"sync/atomic"

	"chutelock.dev/chutelock/internal/telemetry"
)

var (
	eventUnanswered  = telemetry.Define(2312, "connection-ended-unanswered", "A caller's connection ended after bytes of a request were read and before any of its response was written; gives the request if it was being handled, who closed, the version of the configuration in force and its age.")
	eventResponseCut = telemetry.Define(2313, "response-cut", "A response ended before it was whole, by this node's decision or as its caller left; gives the version of the configuration in force and its age.")
	eventLeftBehind  = telemetry.Define(2314, "left-behind", "A stopping node closes its server; gives the requests that are still being handled and the connections with a request that was read and has no response.")
)

// callerConn is a caller's connection that knows whether bytes of a request were read since the last
// bytes of a response were written.
type callerConn struct {
	net.Conn
	gate *Gate

	unanswered atomic.Int64 // bytes read since the last write
	ended      atomic.Bool  // the caller has closed, or the connection failed
	closed     atomic.Bool
	request    atomic.Pointer[string] // being handled; nil if none is
}

// Read implements net.Conn.
func (c *callerConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.unanswered.Add(int64(n))
	if err != nil && !isTimeout(err) {
		c.ended.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	if n > 0 {
		c.unanswered.Store(0)
	}
	return n, err
}

// Close implements net.Conn. It logs a request that was read and has no response.
func (c *callerConn) Close() error {
	if c.closed.Swap(true) {
		return c.Conn.Close()
	}
	if bytes := c.unanswered.Load(); bytes > 0 {
		by := "node"
		if c.ended.Load() {
			by = "caller"
		}
		c.gate.reportUnanswered(c, by, bytes)
	}
	return c.Conn.Close()
}

// handling records the request that is being handled; an empty ID that none is.
func (c *callerConn) handling(request string) {
	if request == "" {
		c.request.Store(nil)
		return
	}
	c.request.Store(&request)
}

// handled returns the ID of the request that is being handled; empty if none is.
func (c *callerConn) handled() string {
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

// connOf returns the connection of a request's context; nil if the server has no gate.
func connOf(ctx context.Context) *callerConn {
	conn, _ := ctx.Value(connKey{}).(*callerConn)
	return conn
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
