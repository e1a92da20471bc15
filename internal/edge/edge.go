package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"chutelock.dev/chutelock/internal/batchwork"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/forward"
	"chutelock.dev/chutelock/internal/quota"
	"chutelock.dev/chutelock/internal/telemetry"
)

var eventRejected = telemetry.Define(2301, "request-rejected", "A request was turned away before it reached an engine.")

const (
	// comeBack is told to callers whom the node can't serve yet.
	comeBack = 200 * time.Millisecond
	// writeSlack is how long after its deadline an answer may still be written.
	writeSlack = time.Second
	// callTimeout bounds batch calls whose caller names no deadline.
	callTimeout = 3 * time.Second
	// callMargin is kept of a caller's deadline to answer in time.
	callMargin = 150 * time.Millisecond
	// bodyMost bounds bodies while no configuration says less.
	bodyMost = 8 << 20
	// bodyTime bounds how long a body may take to come of a caller that names no deadline.
	bodyTime = 30 * time.Second
	// stallTime is how long a caller may leave an answer unread before it is cut. Callers
	// that read at all take an event within a second or two.
	stallTime = 10 * time.Second
	// jobCopies is how many times a batch job's body is there while it is read and handed
	// on: as it came, decoded, and encoded for the leader.
	jobCopies = 3
)

// CallKind is a call about a batch job.
type CallKind uint8

// Calls about batch jobs.
const (
	CallRead CallKind = iota + 1
	CallBody
	CallEnd
)

// Call is a call about a batch job that was submitted before.
type Call struct {
	Kind  CallKind
	Job   string
	Item  string
	Since int
	Wait  time.Duration
}

// Dialect spells requests, calls and answers as the callers do.
type Dialect interface {
	// Facts reads the typed facts of a request; its body is added later.
	Facts(r *http.Request, arrived time.Time) (forward.Request, error)
	// Call reads a call about a batch job; false if the request is none.
	Call(r *http.Request) (Call, bool)
	// Job reads a submitted batch job.
	Job(r *http.Request, body []byte) (*batchwork.Job, error)
	// WritePage answers a read.
	WritePage(w http.ResponseWriter, page batchwork.Page) error
}

// Jobs are the batch jobs of the fleet.
type Jobs interface {
	Submit(ctx context.Context, job *batchwork.Job) error
	End(ctx context.Context, tenant, job string) error
	Read(ctx context.Context, tenant, job string, since int, wait time.Duration) (batchwork.Page, error)
	Body(ctx context.Context, tenant, job, item string) ([]byte, error)
}

// Edge is the callers' handler.
type Edge struct {
	Dialect  Dialect
	Snapshot func() *catalog.Snapshot
	// Current says whether the configuration is known to be new enough for its
	// answer to count that a key doesn't exist.
	Current func() bool
	// Lapsed says whether the configuration was not confirmed for so long that a key
	// that was taken away since must not work any more.
	Lapsed    func() bool
	Forwarder *forward.Forwarder
	// Admit decides whether a request fits its tenant's limit, and Withdraw takes one
	// back that was admitted at a time and reached no engine.
	Admit    func(ctx context.Context, tenant *catalog.Tenant) quota.Decision
	Withdraw func(tenant *catalog.Tenant, admitted time.Time)
	Jobs     Jobs
	// Room is what may be kept for callers; nil is no bound.
	Room     *Room
	inFlight atomic.Int64
}

// InFlight is the number of requests that are being answered.
func (e *Edge) InFlight() int64 { return e.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	arrived := clock.Now()
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
		if from, known := e.identify(w, r, configuration, openCall(configuration, r.Host)); known {
			e.serveCall(w, r, call, from, arrived)
		}
		return
	}
	route := configuration.Match(r.Host, r.URL.EscapedPath())
	if route == nil {
		e.reject(w, r, http.StatusNotFound, "no route for this host and path")
		return
	}
	if from, known := e.identify(w, r, configuration, route.Public); known {
		e.serveRequest(w, r, configuration, route, from, arrived)
	}
}

// serveRequest serves a request that has its route and its tenant.
func (e *Edge) serveRequest(
	w http.ResponseWriter, r *http.Request, configuration *catalog.Configuration, route *catalog.Route, from caller, arrived time.Time,
) {
	request, err := e.Dialect.Facts(r, arrived)
	if err != nil {
		e.reject(w, r, http.StatusBadRequest, err.Error())
		return
	}
	request.Tenant, request.Priority, request.Regions = from.name(), route.PriorityOf(from.tenant), route.RegionsOf(from.tenant)
	body, taken, ok := e.readBody(w, r, configuration.Limits.BodyBytes, route.Kind, request.Deadline)
	defer e.Room.Give(taken)
	if !ok {
		return
	}
	if route.Kind == catalog.KindBatch {
		e.submit(w, r, route, body, &request)
		return
	}
	request.Body = body
	if !from.tenant.Limited() {
		e.forward(w, r, route, &request)
		return
	}
	admitted := clock.Now()
	if !e.fits(w, r, from.tenant, &request) {
		return
	}
	if sent := e.forward(w, r, route, &request); !sent {
		e.Withdraw(from.tenant, admitted)
	}
}

// headerBytes is the size of a head as it came, nearly.
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
	facts, _ := e.Dialect.Facts(r, clock.Now()) // what can't be read stays empty
	eventRejected.Info("request", facts.ID, "status", status, "reason", reason, "host", r.Host, "path", r.URL.Path)
	answer(w, status, reason)
}

// answer writes a short answer of the system's own.
func answer(w http.ResponseWriter, status int, reason string) {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		answerLater(w, status, reason, comeBack)
		return
	}
	write(w, status, reason)
}

// answerLater is answer with the time after which the caller may come back.
func answerLater(w http.ResponseWriter, status int, reason string, after time.Duration) {
	setRetryAfter(w, after)
	write(w, status, reason)
}

func write(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, reason+"\n")
}

func setRetryAfter(w http.ResponseWriter, after time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
}

// readBody reads the whole body within the limit. taken is what it takes of the room, to be
// given back with the body.
func (e *Edge) readBody(
	w http.ResponseWriter, r *http.Request, limit int64, kind catalog.Kind, deadline time.Time,
) (body []byte, taken int64, ok bool) {
	if limit <= 0 {
		limit = bodyMost
	}
	if r.ContentLength > limit {
		skipBody(w, r)
		e.reject(w, r, http.StatusRequestEntityTooLarge, "the body is longer than "+strconv.FormatInt(limit, 10)+" bytes")
		return nil, 0, false
	}
	size := r.ContentLength
	if size < 0 {
		size = limit // it doesn't tell
	}
	taken = bodyRoom(size, kind)
	if !e.Room.Take(taken) {
		skipBody(w, r)
		e.reject(w, r, http.StatusServiceUnavailable, "this node keeps as much for callers as it may; the request has not run")
		return nil, 0, false
	}
	if r.ContentLength == 0 {
		return nil, taken, true
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(connectionDeadline(bodyWait(deadline)))
	body, ok = e.readWhole(w, r, limit)
	if ok { // else the server would wait for the rest of the body
		_ = controller.SetReadDeadline(time.Time{})
	}
	kept := bodyRoom(int64(len(body)), kind)
	e.Room.Give(taken - kept)
	return body, kept, ok
}

// bodyWait is how long the body of a request may take to come.
func bodyWait(deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return bodyTime
	}
	return clock.Until(deadline)
}

// connectionDeadline is a deadline of a connection, which goes by the steady clock.
func connectionDeadline(after time.Duration) time.Time { return time.Now().Add(after) }

// bodyRoom is what a body of a size takes of the room.
func bodyRoom(size int64, kind catalog.Kind) int64 {
	if kind == catalog.KindBatch {
		return jobCopies * size
	}
	return size
}

func (e *Edge) readWhole(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
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

// readAll reads a body, of which the length may be known: then nothing more is kept for it.
func readAll(body io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(body)
	}
	whole := make([]byte, length)
	_, err := io.ReadFull(body, whole)
	return whole, err
}

// Bounds on what is read of a body that is refused, so that its sender sees
// the answer and not a broken connection.
const (
	skipMost = 1 << 20
	skipTime = 200 * time.Millisecond
)

func skipBody(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(connectionDeadline(skipTime))
	_, _ = io.CopyN(io.Discard, r.Body, skipMost)
	_ = controller.SetReadDeadline(time.Time{})
}

func (e *Edge) forward(w http.ResponseWriter, r *http.Request, route *catalog.Route, request *forward.Request) (sent bool) {
	request.Header = endToEnd(r.Header)
	sink := &responseSink{writer: w, controller: http.NewResponseController(w)}
	if !request.Deadline.IsZero() {
		sink.last = request.Deadline.Add(writeSlack)
	}
	sent = e.Forwarder.Serve(r.Context(), request, route, sink)
	if sink.aborted {
		panic(http.ErrAbortHandler)
	}
	_ = sink.controller.SetWriteDeadline(time.Time{})
	return sent
}

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd copies a header without what concerns one connection only.
func endToEnd(header http.Header) http.Header {
	result := header.Clone()
	RemoveHops(result)
	return result
}

// RemoveHops takes out of a header what concerns one connection only.
func RemoveHops(header http.Header) {
	for _, listed := range header.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}
