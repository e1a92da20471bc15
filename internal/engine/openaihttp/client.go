package openaihttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/engine"
)

// Errors of Generate, inside an *engine.Error.
var (
	// ErrCrossed: the engine answered with another request's events.
	ErrCrossed = errors.New("openaihttp: answer of another request")
	// ErrGap: a token is missing.
	ErrGap = errors.New("openaihttp: token missing in the answer")
	// ErrTruncated: the answer ended before its last event.
	ErrTruncated = errors.New("openaihttp: answer truncated")
	// ErrRefused: the engine answered with an error.
	ErrRefused = errors.New("openaihttp: refused by the engine")
	// ErrFenced: an order's token is lower than one that the engine has seen.
	ErrFenced = errors.New("openaihttp: order fenced off")
)

const (
	requestIDHeader = "X-Request-Id"
	// tenantHeader names the tenant for the engine's own logs.
	tenantHeader = "X-Tenant"
	// attemptSeparator stands between a request's ID and the attempt's number.
	attemptSeparator = "#"
	chatPath         = "/v1/chat/completions"
	// codeNotRun in an error says that the engine refused before running.
	codeNotRun = "not_run"
	// codeFailed in an error says that the engine ran the request in vain.
	codeFailed = "failed"
	codeFenced = "fenced"
)

// Options tune a Client.
type Options struct {
	// ConnectTimeout bounds the time to establish a connection.
	ConnectTimeout time.Duration
	// ControlTimeout bounds suspends, orders and reading the load.
	ControlTimeout time.Duration
	// Transport is shared by the clients of many engines; nil makes an own one.
	Transport *http.Transport
}

// Defaults of Options.
const (
	DefaultConnectTimeout = time.Second
	DefaultControlTimeout = 2 * time.Second
)

// maxIdlePerEngine bounds the idle connections kept to one engine.
const maxIdlePerEngine = 256

// NewTransport returns a transport fit for streams to many engines.
func NewTransport(connectTimeout time.Duration) *http.Transport {
	if connectTimeout <= 0 {
		connectTimeout = DefaultConnectTimeout
	}
	return &http.Transport{
		DialContext:         dialer(connectTimeout),
		MaxIdleConnsPerHost: maxIdlePerEngine,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}

// Client speaks to one engine.
type Client struct {
	name    string
	base    string
	streams *http.Client
	control *resty.Client
}

var _ engine.Client = (*Client)(nil)

// New returns a client of the engine at address, an IP number with a port. The
// name stands in errors.
func New(name, address string, options Options) *Client {
	if options.ControlTimeout <= 0 {
		options.ControlTimeout = DefaultControlTimeout
	}
	transport := options.Transport
	if transport == nil {
		transport = NewTransport(options.ConnectTimeout)
	}
	base := "http://" + address
	control := resty.NewWithClient(&http.Client{Transport: transport}).
		SetBaseURL(base).
		SetTimeout(options.ControlTimeout)
	return &Client{
		name:    name,
		base:    base,
		streams: &http.Client{Transport: transport},
		control: control,
	}
}

func (c *Client) fail(step string, fate engine.Fate, err error) *engine.Error {
	return &engine.Error{Engine: c.name, Step: step, Fate: fate, Err: err}
}

// Generate implements engine.Client.
func (c *Client) Generate(ctx context.Context, request engine.Request, sink func(engine.Chunk) error) (engine.Finish, error) {
	// Cancelling on return closes the stream, which cancels the request at the
	// engine unless it is over.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := c.send(ctx, request)
	if err != nil {
		return engine.Finish{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return engine.Finish{}, c.refusal("generate", response)
	}
	relay := newRelay(request, sink)
	defer relay.release()
	finish, err := relay.run(response.Body)
	if err == nil {
		return finish, nil
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return engine.Finish{}, c.fail("read the answer", engine.FateUnknown, err)
}

// send posts the request; its fate is "not run" only if no connection to the
// engine came about, so that no byte can have been sent.
func (c *Client) send(ctx context.Context, request engine.Request) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	body, err := Body(request)
	if err != nil {
		return nil, c.fail("encode", engine.FateNotRun, err)
	}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+request.Path, bytes.NewReader(body))
	if err != nil {
		return nil, c.fail("encode", engine.FateNotRun, err)
	}
	outgoing.Header.Set("Content-Type", "application/json")
	outgoing.Header.Set(requestIDHeader, AttemptID(request.ID, request.Attempt))
	if request.Tenant != "" {
		outgoing.Header.Set(tenantHeader, request.Tenant)
	}
	response, err := c.streams.Do(outgoing)
	if err == nil {
		return response, nil
	}
	if !connected.Load() {
		return nil, c.fail("connect", engine.FateNotRun, err)
	}
	return nil, c.fail("send", engine.FateUnknown, err)
}

// AttemptID is how an attempt is named towards the engine.
func AttemptID(requestID string, attempt uint32) string {
	return requestID + attemptSeparator + strconv.FormatUint(uint64(attempt), 10)
}

// errNotAnObject is returned for a body that can't be extended.
var errNotAnObject = errors.New("openaihttp: the body is not a JSON object")

// Body returns the caller's JSON object with the adapter's fields behind its
// own, where they override fields of the same name.
func Body(request engine.Request) ([]byte, error) {
	object := bytes.TrimSpace(request.Body)
	if len(object) < 2 || object[0] != '{' || object[len(object)-1] != '}' {
		return nil, errNotAnObject
	}
	inner := object[:len(object)-1]
	body := make([]byte, 0, len(object)+len(request.Model)+128)
	body = append(body, inner...)
	if len(bytes.TrimSpace(inner)) > 1 {
		body = append(body, ',')
	}
	if request.Model != "" {
		model, err := json.Marshal(request.Model)
		if err != nil {
			return nil, err
		}
		body = append(body, `"model":`...)
		body = append(body, model...)
		body = append(body, ',')
	}
	body = append(body, `"stream":true,"stream_options":{"include_usage":true},"priority":`...)
	body = strconv.AppendInt(body, int64(request.Priority), 10)
	if request.ResumeFrom > 0 {
		body = append(body, `,"resume_from":`...)
		body = strconv.AppendInt(body, int64(request.ResumeFrom), 10)
	}
	return append(body, '}'), nil
}

// maxErrorBody bounds what is read of an engine's error, in bytes.
const maxErrorBody = 64 << 10

// refusal turns an engine's error answer into an error with its fate: "not
// run" and "failed" only if the engine says so itself.
func (c *Client) refusal(step string, response *http.Response) error {
	var answer struct {
		Error struct {
			Message string `json:"message"`
			Type    string `json:"type"`
			Code    any    `json:"code"`
		} `json:"error"`
	}
	decoder := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxErrorBody))
	fate := engine.FateUnknown
	if decoder.Decode(&answer) == nil {
		switch answer.Error.Code {
		case codeNotRun:
			fate = engine.FateNotRun
		case codeFailed:
			fate = engine.FateFailed
		}
	}
	failure := c.fail(step, fate, fmt.Errorf("%w: %s: %s (%s)", ErrRefused, response.Status, answer.Error.Message, answer.Error.Type))
	failure.Status = response.StatusCode
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	return failure
}

// Suspend implements engine.Client.
func (c *Client) Suspend(ctx context.Context, requestID string) error {
	response, err := c.control.R().SetContext(ctx).Post("/v1/requests/" + url.PathEscape(requestID) + "/suspend")
	return c.checkControl("suspend", response, err)
}

// Cancel ends a request at the engine and drops its suspended state, if there
// is any. A running Generate is cancelled by its context; this is for requests
// that were suspended and will not go on here.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	response, err := c.control.R().SetContext(ctx).Post("/v1/requests/" + url.PathEscape(requestID) + "/cancel")
	return c.checkControl("cancel", response, err)
}

// Order implements engine.Client; a fenced order fails with ErrFenced.
func (c *Client) Order(ctx context.Context, order engine.Order) error {
	response, err := c.control.R().SetContext(ctx).SetBody(order).Post("/v1/orders")
	return c.checkControl("order "+string(order.Verb), response, err)
}

func (c *Client) checkControl(step string, response *resty.Response, err error) error {
	if err != nil {
		return c.fail(step, engine.FateUnknown, trace.Wrap(err))
	}
	if response.IsSuccess() {
		return nil
	}
	cause := ErrRefused
	if response.StatusCode() == http.StatusConflict && bytes.Contains(response.Body(), []byte(codeFenced)) {
		cause = ErrFenced
	}
	failure := c.fail(step, engine.FateUnknown, fmt.Errorf("%w: %s", cause, response.Status()))
	failure.Status = response.StatusCode()
	return failure
}
