package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/callerconn"
	"chutelock.dev/chutelock/internal/gateway"
	"chutelock.dev/chutelock/internal/gateway/apierror"
)

const (
	// maxSettleShare bounds the time in which a stopping node still takes requests to a share of the time
	// to stop: the rest is for the slowest of the requests that were taken.
	maxSettleShare = 1. / 3
	// answerTime is how long requests whose time is over have for their responses.
	answerTime = 300 * time.Millisecond
	// maxStackBytes bounds the stack in the log line on a panic.
	maxStackBytes = 4 << 10
)

// callers serves the callers' port and answers every request that it has read, also while it stops.
type callers struct {
	server      *http.Server
	listener    net.Listener // the gate, or TLS over it
	gate        *callerconn.Gate
	next        http.Handler
	endRequests context.CancelCauseFunc // ends the contexts of all requests
	endWaiting  func()                  // refuses requests that wait for an engine; nil if none do

	stopping atomic.Bool // responses announce the end of their connections
	refusing atomic.Bool // requests are refused as not run
	inFlight atomic.Int64
	panics   atomic.Int64
}

// newCallers returns the server of the callers' port. If tlsConfig is nil, it serves without TLS. state
// describes the node in log lines.
func newCallers(listener net.Listener, tlsConfig *tls.Config, handler http.Handler, state func() []any) *callers {
	c := &callers{next: handler, gate: callerconn.NewGate(0)}
	c.gate.Listener = listener
	c.gate.State = func() []any {
		return append(state(), "stopping", c.stopping.Load(), "in_flight", c.inFlight.Load())
	}
	c.listener = c.gate
	if tlsConfig != nil {
		c.gate.Encrypted = true
		c.listener = tls.NewListener(c.gate, tlsConfig)
	}
	c.server = gateway.NewServer(gateway.WithRequestID(c), gateway.Config{})
	track := c.server.ConnState
	c.server.ConnState = func(conn net.Conn, state http.ConnState) {
		track(conn, state)
		c.gate.TrackState(conn, state)
	}
	c.server.ConnContext = c.gate.ConnContext
	ctx, endRequests := context.WithCancelCause(context.Background())
	c.server.BaseContext = func(net.Listener) context.Context { return ctx }
	c.endRequests = endRequests
	return c
}

func (c *callers) register(registry prometheus.Registerer) {
	registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "chutelock_handler_panics_total", Help: "Callers' requests whose handlers panicked."},
			func() float64 { return float64(c.panics.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "chutelock_connections_unanswered_total", Help: "Callers' connections that this node closed on a request that it had read and not answered."},
			func() float64 { return float64(c.gate.Unanswered()) }))
}

// ServeHTTP implements http.Handler.
func (c *callers) ServeHTTP(netWriter http.ResponseWriter, r *http.Request) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	w := callerconn.NewResponseWriter(netWriter, c.stopping.Load)
	id := w.Header().Get(apierror.HeaderRequestID)
	defer c.recoverPanic(w, id)
	if conn := callerconn.Of(r.Context()); conn != nil {
		conn.Handling(id)
		defer conn.Handling("")
	}
	if c.refusing.Load() {
		apierror.Write(w, apierror.Stopping())
		return
	}
	control := http.NewResponseController(w)
	keep := context.AfterFunc(r.Context(), func() { _ = control.SetReadDeadline(time.Now()) })
	defer keep()
	c.next.ServeHTTP(w, r)
}

// recoverPanic is deferred: it answers a request whose handler panicked, which may have run. A response
// that has begun is cut off.
func (c *callers) recoverPanic(w *callerconn.ResponseWriter, id string) {
	fault := recover()
	if fault == nil {
		return
	}
	if err, ok := fault.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	c.panics.Add(1)
	err := fmt.Errorf("panic: %v", fault)
	stack := debug.Stack()
	EventRequestPanicked.Error(err, "request", id, "begun", w.Begun(), "stack", string(stack[:min(len(stack), maxStackBytes)]))
	if w.Begun() {
		panic(http.ErrAbortHandler)
	}
	apierror.Write(w, apierror.From(err))
}

// drain takes requests for a bounded time, then closes the port, and answers what was read: with what is
// known of it if end comes first. http.Server.Shutdown is not used, as it drops requests that it reads.
func (c *callers) drain(end time.Time) {
	c.stopping.Store(true)
	c.gate.Retire()
	settle := min(gateway.DefaultConfig().DrainSettle, time.Duration(maxSettleShare*float64(time.Until(end))))
	callerconn.Await(settle, nil)
	c.refusing.Store(true)
	_ = c.gate.Close()
	// A response is written to its end only as its connection ends.
	allAnswered := func() bool { return c.inFlight.Load() == 0 && c.gate.Open() == 0 }
	callerconn.Await(time.Until(end), allAnswered)
	c.gate.ReportLeftBehind()
	// Requests that wait would take the places of those that end before them, and count as run.
	if c.endWaiting != nil {
		c.endWaiting()
	}
	c.endRequests(apierror.ErrStopping)
	callerconn.Await(answerTime, allAnswered)
	c.close()
}

// close closes the port and all connections.
func (c *callers) close() {
	_ = c.gate.Close()
	_ = c.server.Close()
}
