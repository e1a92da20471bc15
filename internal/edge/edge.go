package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"chutelock.dev/chutelock/internal/batchwork"
	"chutelock.dev/chutelock/internal/callerconn"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/fairshare"
	"chutelock.dev/chutelock/internal/forward"
	"chutelock.dev/chutelock/internal/quota"
	"chutelock.dev/chutelock/internal/returns"
	"chutelock.dev/chutelock/internal/telemetry"
)

var (
	eventRejected    = telemetry.Define(2301, "request-rejected", "A request was rejected before it reached an engine.")
	eventResponseCut = telemetry.Define(2313, "response-cut", "A response ended before it was whole, by this node's decision or as its caller left; gives the version of the configuration in force and its age.")
	eventPanicked    = telemetry.Define(2315, "handler-panicked", "The handler of a caller's request panicked; the request is answered as one that may have run, or cut off if its response has begun.")
)

const (
	// defaultRetryAfter is the Retry-After of responses without a better estimate.
	defaultRetryAfter = 200 * time.Millisecond
	// writeGracePeriod is how long after its deadline a response may still be written.
	writeGracePeriod = time.Second
	// callTimeout bounds batch calls without a deadline.
	callTimeout = 3 * time.Second
	// callMargin is the part of a caller's deadline reserved for the response.
	callMargin = 150 * time.Millisecond
	// defaultMaxBody bounds bodies if the configuration doesn't.
	defaultMaxBody = 8 << 20
	// defaultBodyTimeout bounds the time to read a body of a request without a deadline.
	defaultBodyTimeout = 30 * time.Second
	// writeStallTimeout is how long a caller may leave a response unread before it is
	// aborted; a caller that reads takes an event within two seconds.
	writeStallTimeout = 10 * time.Second
	// jobCopies is how many copies of a batch job's body are in memory while it is submitted:
	// as received, decoded, and encoded for the leader.
	jobCopies = 3
	// maxStackBytes bounds the stack in the log line on a panic.
	maxStackBytes = 4 << 10
)

// CallKind is the kind of a call about a batch job.
type CallKind uint8

// Kinds of calls.
const (
	CallRead CallKind = iota + 1
	CallBody
	CallEnd
)

// Call is a caller's call about a submitted batch job, unlike upstream.Call, which is a request
// to an engine.
type Call struct {
	Kind  CallKind
	Job   string
	Item  string
	Since int
	Wait  time.Duration
}

// Dialect translates between HTTP and the callers' formats.
type Dialect interface {
	// ParseRequest parses a request except for its body.
	ParseRequest(r *http.Request, arrived time.Time) (forward.Request, error)
	// Call parses a call about a batch job; false if the request is none.
	Call(r *http.Request) (Call, bool)
	// Job parses a submitted batch job.
	Job(r *http.Request, body []byte) (*batchwork.Job, error)
	// WritePage writes the response to a read.
	WritePage(w http.ResponseWriter, page batchwork.Page) error
}

// Jobs gives access to the batch jobs of the fleet.
type Jobs interface {
	Submit(ctx context.Context, job *batchwork.Job) error
	End(ctx context.Context, tenant, job string) error
	Read(ctx context.Context, tenant, job string, since int, wait time.Duration) (batchwork.Page, error)
	Body(ctx context.Context, tenant, job, item string) ([]byte, error)
}

// Edge is the HTTP handler for callers.
type Edge struct {
	Dialect  Dialect
	Snapshot func() *catalog.Snapshot
	// ConfigurationCurrent reports whether the configuration is new enough to reject unknown
	// keys.
	ConfigurationCurrent func() bool
	// ConfigurationExpired reports whether the configuration was not confirmed for so long
	// that keys are no longer accepted, as they may have been revoked.
	ConfigurationExpired func() bool
	Forwarder            *forward.Forwarder
	// Admit decides whether a request is within its tenant's limit, and Withdraw uncounts
	// a request that was admitted at the given time and reached no engine.
	Admit    func(ctx context.Context, tenant *catalog.Tenant) quota.Decision
	Withdraw func(tenant *catalog.Tenant, admitted time.Time)
	// Share decides whether a tenant's request for a route exceeds the tenant's share of the
	// room; nil refuses none.
	Share func(tenant *catalog.Tenant, route *catalog.Route) fairshare.Decision
	// RetryAfter returns when the caller of a request that exceeds a share should retry. It
	// must be set with Share.
	RetryAfter func(refusal returns.Refusal) time.Duration
	// Refused is called for each request of a tenant that is refused before it is forwarded,
	// with the rule that refused it; may be nil.
	Refused func(tenant, rule string)
	Jobs    Jobs
	// MemoryBudget bounds the memory held for callers; nil means no bound.
	MemoryBudget *MemoryBudget
	// State describes the node in log lines, as key and value in turn; may be nil.
	State func() []any
	// Stopping reports whether the node stops, so that responses announce the end of their connections;
	// may be nil.
	Stopping func() bool
	refusing atomic.Bool
	panics   atomic.Int64
	inFlight atomic.Int64
}

// RefuseAll refuses all requests that are read from now on, as the node has no time left for them. Batch jobs whose
// head was read before are still taken.
func (e *Edge) RefuseAll() { e.refusing.Store(true) }

// InFlight returns the number of requests being served.
func (e *Edge) InFlight() int64 { return e.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (e *Edge) ServeHTTP(netWriter http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	w := callerconn.NewResponseWriter(netWriter, e.Stopping)
	defer e.recoverPanic(w, r)
	arrived := clock.Now()
	if e.refusing.Load() {
		e.rejectStopping(w, r)
		return
	}
	configuration := e.Snapshot().Configuration
	if configuration == nil {
		e.reject(w, r, http.StatusServiceUnavailable, "no configuration is known yet")
		return
	}
	if limit := configuration.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		e.reject(w, r, http.StatusRequestHeaderFieldsTooLarge, "the head is longer than "+strconv.Itoa(limit)+" bytes")
		return
	}
	if call, isCall := e.Dialect.Call(r); isCall {
		if from, known := e.authenticate(w, r, configuration, callAllowsAnonymous(configuration, r.Host)); known {
			e.serveCall(w, r, call, from, arrived)
		}
		return
	}
	route := configuration.Match(r.Host, r.URL.EscapedPath())
	if route == nil {
		e.serveUnrouted(w, r, configuration, arrived)
		return
	}
	if from, known := e.authenticate(w, r, configuration, route.Public); known {
		e.serveRequest(w, r, configuration, route, from, arrived)
	}
}

// recoverPanic is deferred: it answers a request whose handler panicked, which may have run. A response
// that has begun is cut off.
func (e *Edge) recoverPanic(w *callerconn.ResponseWriter, r *http.Request) {
	fault := recover()
	if fault == nil {
		return
	}
	if err, ok := fault.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	e.panics.Add(1)
	parsed, _ := e.Dialect.ParseRequest(r, clock.Now()) // fields that can't be parsed stay empty
	stack := debug.Stack()
	eventPanicked.Error(fmt.Errorf("panic: %v", fault), "request", parsed.ID, "begun", w.Begun(), "stack", string(stack[:min(len(stack), maxStackBytes)]))
	if w.Begun() {
		panic(http.ErrAbortHandler)
	}
	clear(w.Header()) // it may have an engine's
	writeError(w, http.StatusBadGateway, "this node failed; the request may have run")
}

// Panics returns how many requests ended as their handlers panicked.
func (e *Edge) Panics() int64 { return e.panics.Load() }

// serveRequest serves a request whose route and caller are known.
func (e *Edge) serveRequest(
	w http.ResponseWriter, r *http.Request, configuration *catalog.Configuration, route *catalog.Route, from caller, arrived time.Time,
) {
	request, err := e.Dialect.ParseRequest(r, arrived)
	if err != nil {
		e.reject(w, r, http.StatusBadRequest, err.Error())
		return
	}
	if conn := callerconn.Of(r.Context()); conn != nil {
		conn.Handling(request.ID)
		defer conn.Handling("")
	}
	request.Tenant, request.Priority, request.Regions = from.name(), route.PriorityOf(from.tenant), route.RegionsOf(from.tenant)
	body, reserved, ok := e.readBody(w, r, configuration.Limits.BodyBytes, route.Kind, request.Deadline)
	defer e.MemoryBudget.Release(reserved)
	if !ok {
		return
	}
	if route.Kind == catalog.KindBatch {
		e.submitJob(w, r, route, body, &request)
		return
	}
	if e.refusing.Load() { // the body may have come late
		e.rejectStopping(w, r)
		return
	}
	request.Body = body
	checkedAt := clock.Now() // stands for the time of admission in Withdraw
	if from.tenant.Limited() && !e.checkLimit(w, r, from.tenant, &request) {
		return
	}
	sent := e.checkShare(w, from.tenant, route, &request) && e.forward(w, r, route, &request)
	if !sent && from.tenant.Limited() {
		e.Withdraw(from.tenant, checkedAt)
	}
}

// headerBytes returns the approximate size of the request's head as received.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(": \r\n") + len(value)
		}
	}
	return size
}

func (e *Edge) reject(w http.ResponseWriter, r *http.Request, status int, reason string) {
	e.logRejected(r, status, reason)
	writeError(w, status, reason)
}

// rejectRetryAfter rejects a request as not run and tells its caller when to retry.
func (e *Edge) rejectRetryAfter(w http.ResponseWriter, r *http.Request, reason string, retryAfter time.Duration) {
	e.logRejected(r, http.StatusServiceUnavailable, reason)
	writeErrorRetryAfter(w, http.StatusServiceUnavailable, reason, retryAfter)
}

func (e *Edge) rejectStopping(w http.ResponseWriter, r *http.Request) {
	e.rejectRetryAfter(w, r, "this node is stopping; the request has not run", 0)
}

func (e *Edge) logRejected(r *http.Request, status int, reason string) {
	parsed, _ := e.Dialect.ParseRequest(r, clock.Now()) // fields that can't be parsed stay empty
	eventRejected.Info("request", parsed.ID, "status", status, "reason", reason, "host", r.Host, "path", r.URL.Path)
}

// writeError writes a short error response.
func writeError(w http.ResponseWriter, status int, reason string) {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		writeErrorRetryAfter(w, status, reason, defaultRetryAfter)
		return
	}
	writeText(w, status, reason)
}

// writeErrorRetryAfter writes a short error response with a Retry-After.
func writeErrorRetryAfter(w http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	setRetryAfter(w, retryAfter)
	writeText(w, status, reason)
}

func writeText(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, reason+"\n")
}

func setRetryAfter(w http.ResponseWriter, retryAfter time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
}

// readBody reads the whole body within the limit. reserved is the memory reserved for it, to
// be released with the body.
func (e *Edge) readBody(
	w http.ResponseWriter, r *http.Request, limit int64, kind catalog.Kind, deadline time.Time,
) (body []byte, reserved int64, ok bool) {
	limit = bodyLimit(limit)
	if r.ContentLength > limit {
		discardBody(w, r)
		e.reject(w, r, http.StatusRequestEntityTooLarge, "the body is longer than "+strconv.FormatInt(limit, 10)+" bytes")
		return nil, 0, false
	}
	size := r.ContentLength
	if size < 0 {
		size = limit // unknown length
	}
	reserved = bodyMemory(size, kind)
	if !e.MemoryBudget.Reserve(reserved) {
		discardBody(w, r)
		e.reject(w, r, http.StatusServiceUnavailable, "this node keeps as much for callers as it may; the request has not run")
		return nil, 0, false
	}
	if r.ContentLength == 0 {
		return nil, reserved, true
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(connectionDeadline(bodyTimeout(deadline)))
	body, ok = e.readLimited(w, r, limit)
	if ok { // after a failure the deadline keeps the server from waiting for the rest
		_ = controller.SetReadDeadline(time.Time{})
	}
	needed := bodyMemory(int64(len(body)), kind)
	e.MemoryBudget.Release(reserved - needed)
	return body, needed, ok
}

// bodyLimit returns the bound on bodies for the configured one, which may be missing.
func bodyLimit(configured int64) int64 {
	if configured <= 0 {
		return defaultMaxBody
	}
	return configured
}

// bodyTimeout returns how long the request's body may take to arrive.
func bodyTimeout(deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return defaultBodyTimeout
	}
	return clock.Until(deadline)
}

// connectionDeadline returns a deadline by the monotonic clock, which connections use.
func connectionDeadline(after time.Duration) time.Time { return time.Now().Add(after) }

// bodyMemory returns the memory to reserve for a body of the given size.
func bodyMemory(size int64, kind catalog.Kind) int64 {
	if kind == catalog.KindBatch {
		return jobCopies * size
	}
	return size
}

func (e *Edge) readLimited(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case err == nil:
		return body, true
	case errors.As(err, &tooLarge):
		e.reject(w, r, http.StatusRequestEntityTooLarge, "the body is longer than "+strconv.FormatInt(limit, 10)+" bytes")
	case errors.As(err, &timeout) && timeout.Timeout():
		e.reject(w, r, http.StatusRequestTimeout, "the body did not come in time")
	default:
		e.reject(w, r, http.StatusBadRequest, "the body can't be read: "+err.Error())
	}
	return nil, false
}

// readAll reads a body, in one allocation if its length is known.
func readAll(body io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(body)
	}
	content := make([]byte, length)
	_, err := io.ReadFull(body, content)
	return content, err
}

// Bounds on reading a rejected body, so that the caller sees the response and not a closed
// connection.
const (
	maxDiscardBytes = 1 << 20
	discardTimeout  = 200 * time.Millisecond
)

func discardBody(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(connectionDeadline(discardTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes)
	_ = controller.SetReadDeadline(time.Time{})
}

func (e *Edge) forward(w http.ResponseWriter, r *http.Request, route *catalog.Route, request *forward.Request) (sent bool) {
	request.Header = endToEndHeader(r.Header)
	sink := &responseSink{writer: w, controller: http.NewResponseController(w)}
	if !request.Deadline.IsZero() {
		sink.writeDeadline = request.Deadline.Add(writeGracePeriod)
	}
	sent = e.Forwarder.Serve(r.Context(), request, route, sink)
	if sink.aborted {
		e.reportCut(request, route)
		panic(http.ErrAbortHandler)
	}
	_ = sink.controller.SetWriteDeadline(time.Time{})
	return sent
}

// reportCut logs a response that ends before it is whole.
func (e *Edge) reportCut(request *forward.Request, route *catalog.Route) {
	fields := []any{"request", request.ID, "route", route.Name, "held", clock.Since(request.Arrived)}
	if e.State != nil {
		fields = append(fields, e.State()...)
	}
	eventResponseCut.Info(fields...)
}

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEndHeader copies a header without its hop-by-hop fields.
func endToEndHeader(header http.Header) http.Header {
	result := header.Clone()
	RemoveHopByHop(result)
	return result
}

// RemoveHopByHop removes the hop-by-hop fields of a header.
func RemoveHopByHop(header http.Header) {
	for _, listed := range header.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
