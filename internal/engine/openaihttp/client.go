package openaihttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/httpconn"
)

// Errors that Client wraps in an *engine.Error.
var (
	// ErrCrossed means that the response carries events of another attempt.
	ErrCrossed = errors.New("openaihttp: answer of another request")
	// ErrGap means that a token is missing.
	ErrGap = errors.New("openaihttp: token missing in the answer")
	// ErrTruncated means that the response ended before its final event.
	ErrTruncated = errors.New("openaihttp: answer truncated")
	// ErrRefused means that the engine responded with an error.
	ErrRefused = errors.New("openaihttp: refused by the engine")
	// ErrFenced means that the engine has seen a higher fencing token.
	ErrFenced = errors.New("openaihttp: fencing token of the order is outdated")
)

const (
	requestIDHeader = "X-Request-Id"
	// tenantHeader carries the tenant for the engine's logs.
	tenantHeader = "X-Tenant"
	// attemptSeparator separates the request ID from the attempt number.
	attemptSeparator = "#"
	chatPath         = "/v1/chat/completions"
	// codeNotRun reports that the engine rejected the request before running it.
	codeNotRun = "not_run"
	// codeFailed reports that the engine ran the request and it failed.
	codeFailed = "failed"
	codeFenced = "fenced"
)

// Options configures a Client.
type Options struct {
	// ConnectTimeout limits connection setup.
	ConnectTimeout time.Duration
	// ControlTimeout limits each suspend, cancel, order and load request.
	ControlTimeout time.Duration
	// Transport is one of NewTransport, and may be shared between clients; if nil, New creates one.
	Transport *http.Transport
}

// Default values of Options.
const (
	DefaultConnectTimeout = time.Second
	DefaultControlTimeout = 2 * time.Second
)

// maxIdlePerEngine limits the idle connections per engine.
const maxIdlePerEngine = 256

// maxControlBody bounds the body of a response to a control request, in bytes; a load report takes some KiB.
const maxControlBody = 1 << 20

// NewTransport returns a transport for streaming from many engines.
func NewTransport(connectTimeout time.Duration) *http.Transport {
	if connectTimeout <= 0 {
		connectTimeout = DefaultConnectTimeout
	}
	return &http.Transport{
		DialContext:            httpconn.Dialer(dialer(connectTimeout)),
		MaxIdleConnsPerHost:    maxIdlePerEngine,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
		MaxResponseHeaderBytes: httpconn.MaxHeadBytes,
	}
}

// Client implements engine.Client over HTTP.
type Client struct {
	name    string
	baseURL string
	streams *http.Client
	control *resty.Client
}

var _ engine.Client = (*Client)(nil)

// New returns a client of the engine at address, an IP address with a port. Its
// errors include name.
func New(name, address string, options Options) *Client {
	if options.ControlTimeout <= 0 {
		options.ControlTimeout = DefaultControlTimeout
	}
	transport := options.Transport
	if transport == nil {
		transport = NewTransport(options.ConnectTimeout)
	}
	base := "http://" + address
	checked := &httpconn.Transport{HTTP: transport}
	control := resty.NewWithClient(&http.Client{Transport: checked}).
		SetBaseURL(base).
		SetTimeout(options.ControlTimeout).
		SetResponseBodyLimit(maxControlBody)
	return &Client{
		name:    name,
		baseURL: base,
		streams: &http.Client{Transport: checked},
		control: control,
	}
}

func (c *Client) newError(step string, fate engine.Fate, err error) *engine.Error {
	return &engine.Error{Engine: c.name, Step: step, Fate: fate, Err: err}
}

// Generate implements engine.Client.
func (c *Client) Generate(ctx context.Context, request engine.Request, sink func(engine.Chunk) error) (engine.Finish, error) {
	// Cancelling on return closes the stream, so that the engine cancels an
	// unfinished request.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := c.send(ctx, request)
	if err != nil {
		return engine.Finish{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return engine.Finish{}, c.responseError("generate", response)
	}
	stream := newStreamReader(request, sink)
	defer stream.release()
	finish, err := stream.run(response.Body)
	if err == nil {
		return finish, nil
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return engine.Finish{}, c.newError("read the answer", engine.FateUnknown, err)
}

// send posts the request. A failure is FateNotRun only if no connection to the
// engine was established, so that no byte can have been sent.
func (c *Client) send(ctx context.Context, request engine.Request) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	body, err := Body(request)
	if err != nil {
		return nil, c.newError("encode", engine.FateNotRun, err)
	}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+request.Path, bytes.NewReader(body))
	if err != nil {
		return nil, c.newError("encode", engine.FateNotRun, err)
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
		return nil, c.newError("connect", engine.FateNotRun, err)
	}
	return nil, c.newError("send", engine.FateUnknown, err)
}

// AttemptID returns the ID that identifies an attempt to the engine.
func AttemptID(requestID string, attempt uint32) string {
	return requestID + attemptSeparator + strconv.FormatUint(uint64(attempt), 10)
}

var errNotAnObject = errors.New("openaihttp: the body is not a JSON object")

// Body returns the caller's JSON object with the client's fields appended,
// where they override fields of the same name.
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

// maxErrorBody is the maximum size of an engine's error body, in bytes.
const maxErrorBody = 64 << 10

// responseError converts an engine's error response. The result is FateNotRun or
// FateFailed only if the engine reports so in a whole response.
func (c *Client) responseError(step string, response *http.Response) error {
	var answer struct {
		Error struct {
			Message string `json:"message"`
			Type    string `json:"type"`
			Code    any    `json:"code"`
		} `json:"error"`
	}
	fate := engine.FateUnknown
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxErrorBody))
	if err == nil && json.Unmarshal(body, &answer) == nil {
		switch answer.Error.Code {
		case codeNotRun:
			fate = engine.FateNotRun
		case codeFailed:
			fate = engine.FateFailed
		}
	}
	failure := c.newError(step, fate, fmt.Errorf("%w: %s: %s (%s)", ErrRefused, response.Status, answer.Error.Message, answer.Error.Type))
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

// Cancel cancels a request at the engine and discards its suspended state. It is
// for suspended requests that won't resume at this engine; a running Generate is
// cancelled by its context.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	response, err := c.control.R().SetContext(ctx).Post("/v1/requests/" + url.PathEscape(requestID) + "/cancel")
	return c.checkControl("cancel", response, err)
}

// Order implements engine.Client; an outdated fencing token gives ErrFenced.
func (c *Client) Order(ctx context.Context, order engine.Order) error {
	response, err := c.control.R().SetContext(ctx).SetBody(order).Post("/v1/orders")
	return c.checkControl("order "+string(order.Verb), response, err)
}

func (c *Client) checkControl(step string, response *resty.Response, err error) error {
	if err != nil {
		return c.newError(step, engine.FateUnknown, trace.Wrap(err))
	}
	if response.IsSuccess() {
		return nil
	}
	cause := ErrRefused
	if response.StatusCode() == http.StatusConflict && bytes.Contains(response.Body(), []byte(codeFenced)) {
		cause = ErrFenced
	}
	failure := c.newError(step, engine.FateUnknown, fmt.Errorf("%w: %s", cause, response.Status()))
	failure.Status = response.StatusCode()
	return failure
}
