package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Paths of the API, and the response header with the request ID.
const (
	completionsPath = "/v1/completions"
	chatPath        = "/v1/chat/completions"
	requestIDHeader = "Chutelock-Request-Id"
)

// notRunSuffix ends the outcomes of error responses that guarantee that the request did not run.
const notRunSuffix = "_not_run"

// Limits on the size of a response.
const (
	maxResponseBytes = 64 << 20
	maxLineBytes     = 1 << 20
)

// call is one request to send.
type call struct {
	targets   []string // in order of failover
	prompt    string
	maxTokens int
	scheduled time.Time
}

// callResult is the outcome of a call.
type callResult struct {
	target     string
	requestID  string
	scheduled  time.Time
	ended      time.Time
	outcome    string
	detail     string
	failovers  int // number of failovers
	text       string
	tokenTimes []time.Time
}

// client sends calls over shared connections.
type client struct {
	config Config
	http   *http.Client
}

func newClient(config Config) *client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConns = config.MaxInFlight
	transport.MaxIdleConnsPerHost = config.MaxInFlight
	transport.DisableCompression = true
	return &client{config: config, http: &http.Client{Transport: transport}}
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type requestBody struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream,omitempty"`
}

type choice struct {
	Text    string  `json:"text"`
	Delta   message `json:"delta"`
	Message message `json:"message"`
}

func (c choice) content() string { return c.Text + c.Delta.Content + c.Message.Content }

type responseBody struct {
	Choices []choice `json:"choices"`
	Error   *struct {
		Code    any    `json:"code"`
		Type    string `json:"type"`
		Message string `json:"message"`
	} `json:"error"`
}

func (r responseBody) errorCode() string {
	if r.Error == nil {
		return "no_code"
	}
	if r.Error.Code != nil {
		return fmt.Sprint(r.Error.Code)
	}
	return r.Error.Type
}

// do sends a call, with failover, and returns its result, which includes any failure.
func (c *client) do(ctx context.Context, call call) callResult {
	ctx, cancel := context.WithDeadline(ctx, call.scheduled.Add(c.config.Timeout))
	defer cancel()
	var result callResult
	for failovers, target := range call.targets {
		var notRun bool
		result, notRun = c.try(ctx, call, target)
		result.failovers = failovers
		if !notRun {
			break
		}
	}
	if result.outcome == OutcomeOK {
		c.checkText(call, &result)
	}
	return result
}

// try sends a call to one target; notRun reports that the call certainly did not run.
func (c *client) try(ctx context.Context, call call, target string) (result callResult, notRun bool) {
	result = callResult{target: target, scheduled: call.scheduled}
	err := c.exchange(ctx, call, &result)
	result.ended = time.Now()
	if result.outcome == "" {
		result.outcome = outcomeOf(err)
	}
	if err != nil && result.detail == "" {
		result.detail = err.Error()
	}
	var network *net.OpError
	notConnected := errors.As(err, &network) && network.Op == "dial"
	return result, notConnected || strings.HasSuffix(result.outcome, notRunSuffix)
}

func outcomeOf(err error) string {
	switch {
	case err == nil:
		return OutcomeOK
	case errors.Is(err, context.DeadlineExceeded):
		return OutcomeTimeout
	case errors.Is(err, io.ErrUnexpectedEOF):
		return OutcomeTruncated
	default:
		return OutcomeTransport
	}
}

func (c *client) exchange(ctx context.Context, call call, result *callResult) error {
	request, err := c.newRequest(ctx, call, result.target)
	if err != nil {
		return trace.Wrap(err, "build request to %v", result.target)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return trace.Wrap(err, "send to %v", result.target)
	}
	defer func() { _ = response.Body.Close() }()
	result.requestID = response.Header.Get(requestIDHeader)
	if response.StatusCode != http.StatusOK {
		return readErrorResponse(response, result)
	}
	if c.config.Stream {
		return readEventStream(response.Body, result)
	}
	return readFullResponse(response.Body, result)
}

func (c *client) newRequest(ctx context.Context, call call, target string) (*http.Request, error) {
	body := requestBody{Model: c.config.Model, MaxTokens: call.maxTokens, Stream: c.config.Stream}
	path := completionsPath
	if c.config.Chat {
		path = chatPath
		body.Messages = []message{{Role: "user", Content: call.prompt}}
	} else {
		body.Prompt = call.prompt
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Key)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func readErrorResponse(response *http.Response, result *callResult) error {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
	if err != nil {
		return trace.Wrap(err, "read error response")
	}
	var body responseBody
	_ = json.Unmarshal(raw, &body) // an undecodable body counts as "no_code"
	result.outcome = fmt.Sprintf("http_%d_%s", response.StatusCode, body.errorCode())
	result.detail = string(raw)
	return nil
}

func readFullResponse(body io.Reader, result *callResult) error {
	var decoded responseBody
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&decoded); err != nil {
		return trace.Wrap(err, "read response")
	}
	result.tokenTimes = append(result.tokenTimes, time.Now())
	for _, choice := range decoded.Choices {
		result.text += choice.content()
	}
	return nil
}

// readEventStream reads server-sent events up to [DONE]. A stream that ends
// without it is truncated.
func readEventStream(body io.Reader, result *callResult) error {
	lines := bufio.NewScanner(io.LimitReader(body, maxResponseBytes))
	lines.Buffer(nil, maxLineBytes)
	var text strings.Builder
	defer func() { result.text = text.String() }()
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data:")
		if !isData {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return nil
		}
		if err := readEvent(data, &text, result); err != nil || result.outcome != "" {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return trace.Wrap(err, "read stream")
	}
	return trace.Wrap(io.ErrUnexpectedEOF, "stream ended without [DONE]")
}

func readEvent(data string, text *strings.Builder, result *callResult) error {
	var event responseBody
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return trace.Wrap(err, "decode stream event")
	}
	if event.Error != nil {
		result.outcome = "stream_" + event.errorCode()
		result.detail = data
		return nil
	}
	content := ""
	for _, choice := range event.Choices {
		content += choice.content()
	}
	if content != "" {
		text.WriteString(content)
		result.tokenTimes = append(result.tokenTimes, time.Now())
	}
	return nil
}

// checkText sets OutcomeWrongText if the text is not the expected one.
func (c *client) checkText(call call, result *callResult) {
	if c.config.Expected == nil {
		return
	}
	expected := c.config.Expected(c.config.Model, call.prompt, call.maxTokens)
	if result.text != expected {
		result.outcome = OutcomeWrongText
		result.detail = fmt.Sprintf("got %q, want %q", truncate(result.text), truncate(expected))
	}
}

// maxQuotedLength is the maximum length in bytes of texts quoted in examples.
const maxQuotedLength = 120

func truncate(text string) string {
	if len(text) <= maxQuotedLength {
		return text
	}
	return text[:maxQuotedLength] + "…"
}
