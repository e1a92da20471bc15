package edge

import (
	"context"
	"errors"
	"math"
	"mime"
	"net/http"
	"strconv"
	"time"

	"chutelock.dev/chutelock/internal/apikey"
	"chutelock.dev/chutelock/internal/batchwork"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/forward"
	"chutelock.dev/chutelock/internal/telemetry"
)

var eventJobCallFailed = telemetry.Define(2302, "job-call-failed", "A call about a batch job failed; gives the cause.")

// pageCopies is how many copies of a page's text are in memory while it is written.
const pageCopies = 2

// callContext returns a context that leaves time to respond before the caller's deadline.
func callContext(parent context.Context, deadline time.Time, wait time.Duration) (context.Context, context.CancelFunc) {
	limit := clock.Now().Add(callTimeout + wait)
	if !deadline.IsZero() && deadline.Add(-callMargin).Before(limit) {
		limit = deadline.Add(-callMargin)
	}
	return context.WithTimeout(parent, clock.Until(limit))
}

func (e *Edge) submitJob(w http.ResponseWriter, r *http.Request, route *catalog.Route, body []byte, request *forward.Request) {
	if r.Method != http.MethodPost {
		e.reject(w, r, http.StatusNotFound, "a batch job is submitted by POST")
		return
	}
	job, err := e.Dialect.Job(r, body)
	if err != nil {
		e.reject(w, r, http.StatusBadRequest, err.Error())
		return
	}
	job.Host, job.Path, job.Route, job.Tenant = r.Host, r.URL.EscapedPath(), route.Name, request.Tenant
	job.Regions = request.Regions
	job.QueuedTokens, job.Retention, job.Completion = route.QueuedTokens, route.Retention, route.Completion
	ctx, cancel := callContext(r.Context(), request.Deadline, 0)
	defer cancel()
	err = e.Jobs.Submit(ctx, job)
	if err != nil {
		e.writeJobError(w, "submit", job.ID, err, request.Arrived)
		return
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusAccepted)
}

// serveUnrouted answers a request without a route: 404, unless it submits again a job that was accepted
// while there was one. Its caller may have missed the answer.
func (e *Edge) serveUnrouted(w http.ResponseWriter, r *http.Request, configuration *catalog.Configuration, arrived time.Time) {
	if mayBeSubmission(r) && r.ContentLength <= bodyLimit(configuration.Limits.BodyBytes) {
		body, reserved, ok := e.readBody(w, r, configuration.Limits.BodyBytes, catalog.KindBatch, arrived.Add(callTimeout))
		defer e.MemoryBudget.Release(reserved)
		if !ok {
			return
		}
		if job, err := e.Dialect.Job(r, body); err == nil && e.serveKeptJob(w, r, configuration, job.ID, arrived) {
			return
		}
	}
	e.reject(w, r, http.StatusNotFound, "no route for this host and path")
}

// mayBeSubmission reports whether a request may submit a job, by its head.
func mayBeSubmission(r *http.Request) bool {
	mediaType, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return r.Method == http.MethodPost && r.ContentLength > 0 && mediaType == "application/json"
}

// serveKeptJob answers a request that submits again a job of its caller that may have been accepted; false
// if there is none.
func (e *Edge) serveKeptJob(w http.ResponseWriter, r *http.Request, configuration *catalog.Configuration, job string, arrived time.Time) bool {
	var from caller
	if configuration.KeyRequired() {
		key, presence := apikey.Read(r.Header)
		if presence != apikey.Given || e.ConfigurationExpired() {
			return false
		}
		if from.tenant = configuration.TenantOf(key); from.tenant == nil {
			return false
		}
	}
	parsed, _ := e.Dialect.ParseRequest(r, arrived) // fields that can't be parsed stay empty
	ctx, cancel := callContext(r.Context(), parsed.Deadline, 0)
	defer cancel()
	_, err := e.Jobs.Read(ctx, from.name(), job, math.MaxInt32, 0)
	switch {
	case err == nil:
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusAccepted)
	case errors.Is(err, batchwork.ErrNoJob):
		return false
	default: // callers don't repeat what gets 404
		e.writeJobError(w, "submit-again", job, err, arrived)
	}
	return true
}

// jobRetryAfter returns the Retry-After of a refused job: the predicted time at which there is
// room, if it is known.
func jobRetryAfter(err error) time.Duration {
	var refused *batchwork.RefusedError
	if errors.As(err, &refused) && refused.RetryAfter > 0 {
		return refused.RetryAfter
	}
	return defaultRetryAfter
}

func (e *Edge) writeJobError(w http.ResponseWriter, call, job string, err error, arrived time.Time) {
	var invalid *batchwork.InvalidJobError
	eventJobCallFailed.Info("call", call, "job", job, "cause", err, "held", clock.Since(arrived))
	switch {
	case errors.Is(err, batchwork.ErrNoJob):
		writeError(w, http.StatusNotFound, "no such batch job or item")
	case errors.Is(err, batchwork.ErrTenantMismatch):
		writeError(w, http.StatusConflict, "the identifier is taken")
	case errors.Is(err, batchwork.ErrQueueFull):
		writeErrorRetryAfter(w, http.StatusTooManyRequests, "the queue is full", jobRetryAfter(err))
	case errors.Is(err, batchwork.ErrTooLate):
		writeErrorRetryAfter(w, http.StatusTooManyRequests, "the batch job can't be done in time; it was not accepted", jobRetryAfter(err))
	case errors.As(err, &invalid):
		writeError(w, http.StatusBadRequest, "the batch job was not accepted: "+invalid.Cause)
	case errors.Is(err, batchwork.ErrNoHome):
		writeError(w, http.StatusServiceUnavailable, "no region in which the job may be kept has the data nodes for it")
	case errors.Is(err, batchwork.ErrNotTaken):
		writeError(w, http.StatusServiceUnavailable, "batch jobs can't be reached")
	case errors.Is(err, batchwork.ErrOwnerUnknown) && call != "submit":
		writeError(w, http.StatusServiceUnavailable, "the tenant of the batch job is not in the configuration")
	case call == "submit":
		writeError(w, http.StatusGatewayTimeout, "it is not known whether the job was taken")
	default:
		writeError(w, http.StatusServiceUnavailable, "batch jobs did not answer")
	}
}

// writePage writes a page of results if the memory limit allows it.
func (e *Edge) writePage(w http.ResponseWriter, page batchwork.Page) {
	size := int64(0)
	for _, result := range page.Results {
		size += pageCopies * int64(len(result.Text))
	}
	if !e.MemoryBudget.Reserve(size) {
		writeError(w, http.StatusServiceUnavailable, "this node keeps as much for callers as it may")
		return
	}
	defer e.MemoryBudget.Release(size)
	_ = http.NewResponseController(w).SetWriteDeadline(connectionDeadline(writeStallTimeout))
	_ = e.Dialect.WritePage(w, page)
}

func (e *Edge) serveCall(w http.ResponseWriter, r *http.Request, call Call, from caller, arrived time.Time) {
	request, err := e.Dialect.ParseRequest(r, arrived)
	deadline := request.Deadline
	if err != nil {
		deadline = time.Time{}
	}
	ctx, cancel := callContext(r.Context(), deadline, call.Wait)
	defer cancel()
	switch call.Kind {
	case CallRead:
		page, err := e.Jobs.Read(ctx, from.name(), call.Job, call.Since, call.Wait)
		if err != nil {
			e.writeJobError(w, "read", call.Job, err, arrived)
			return
		}
		e.writePage(w, page)
	case CallBody:
		body, err := e.Jobs.Body(ctx, from.name(), call.Job, call.Item)
		if err != nil {
			e.writeJobError(w, "body", call.Job, err, arrived)
			return
		}
		_ = http.NewResponseController(w).SetWriteDeadline(connectionDeadline(writeStallTimeout))
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	case CallEnd:
		if err := e.Jobs.End(ctx, from.name(), call.Job); err != nil {
			e.writeJobError(w, "end", call.Job, err, arrived)
			return
		}
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
	}
}
