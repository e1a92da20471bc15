package gateway

import (
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"chutelock.dev/chutelock/internal/gateway/apierror"
)

// Limits of the HTTP server.
const (
	maxHeaderBytes = 64 << 10
	idleTimeout    = 2 * time.Minute
)

// NewServer returns an HTTP server with the limits of config. It must be served on
// a listener from NewListener to send a response on a header timeout.
func NewServer(handler http.Handler, config Config) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: config.withDefaults().HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         trackState,
	}
}

// NewListener wraps the listener of a server from NewServer.
func NewListener(listener net.Listener) net.Listener { return headerListener{listener} }

type headerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l headerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headerConn{Conn: accepted}, nil
}

// headerConn sends an error response on a header timeout, on which net/http closes
// the connection without one.
type headerConn struct {
	net.Conn
	active  atomic.Bool // a handler is running or has responded
	partial atomic.Bool // part of a header was received
}

// trackState is the server's ConnState hook.
func trackState(conn net.Conn, state http.ConnState) {
	if over, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = over.NetConn()
	}
	if tracked, ok := conn.(*headerConn); ok {
		tracked.active.Store(state == http.StateActive)
		tracked.partial.Store(false)
	}
}

// CloseWrite lets the server end a response whose request it did not read to its end.
func (c *headerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *headerConn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Read implements net.Conn.
func (c *headerConn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if c.active.Load() {
		return count, err
	}
	if count > 0 {
		c.partial.Store(true)
	}
	if err != nil && c.partial.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		c.sendTimeout()
	}
	return count, err
}

// headerTimedOut is the response on a header timeout.
var headerTimedOut = &apierror.Error{
	Status:  http.StatusRequestTimeout,
	Code:    apierror.CodeHeaderTimeout,
	Type:    apierror.TypeInvalidRequest,
	Message: "the request's header did not arrive in time",
}

// writeErrorTimeout limits the writing of headerTimedOut.
const writeErrorTimeout = time.Second

func (c *headerConn) sendTimeout() {
	id := newRequestID()
	body := headerTimedOut.JSON(id)
	answer := "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\nConnection: close\r\n" +
		apierror.HeaderRequestID + ": " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	_ = c.SetWriteDeadline(time.Now().Add(writeErrorTimeout))
	_, _ = c.Write(append([]byte(answer), body...))
}
