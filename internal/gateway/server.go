package gateway

import (
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"chutelock.dev/chutelock/internal/gateway/apierror"
)

// Limits of the callers' HTTP server.
const (
	maxHeaderBytes = 64 << 10
	idleTimeout    = 2 * time.Minute
)

// NewServer returns an HTTP server with the limits that callers' requests are
// held to. Serve it on a listener from NewListener, so that a caller whose
// header doesn't arrive in time is told so.
func NewServer(handler http.Handler, config Config) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: config.withDefaults().HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         noteState,
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

// headerConn answers a request whose header doesn't arrive in time; net/http
// closes such a connection without a word.
type headerConn struct {
	net.Conn
	active  atomic.Bool // a handler runs, or its answer was written
	partial atomic.Bool // some of a header arrived
}

// noteState is the server's ConnState hook.
func noteState(conn net.Conn, state http.ConnState) {
	if tracked, ok := conn.(*headerConn); ok {
		tracked.active.Store(state == http.StateActive)
		tracked.partial.Store(false)
	}
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
		c.refuse()
	}
	return count, err
}

// headerTimedOut is the answer to a header that didn't arrive in time.
var headerTimedOut = &apierror.Error{
	Status:  http.StatusRequestTimeout,
	Code:    apierror.CodeHeaderTimeout,
	Type:    apierror.TypeInvalidRequest,
	Message: "the request's header did not arrive in time",
}

// refuseTimeout bounds the writing of the last answer.
const refuseTimeout = time.Second

func (c *headerConn) refuse() {
	id := newRequestID()
	body := headerTimedOut.JSON(id)
	answer := "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\nConnection: close\r\n" +
		apierror.HeaderRequestID + ": " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	_ = c.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = c.Write(append([]byte(answer), body...))
}
