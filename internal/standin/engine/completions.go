package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"chutelock.dev/chutelock/internal/standin/fault"
	"chutelock.dev/chutelock/internal/standin/truth"
)

// apiFormat holds the fields that differ between the two completion APIs.
type apiFormat struct {
	idPrefix     string
	object       string
	streamObject string
	chat         bool
}

var (
	completionFormat = apiFormat{idPrefix: "cmpl-", object: "text_completion", streamObject: "text_completion"}
	chatFormat       = apiFormat{idPrefix: "chatcmpl-", object: "chat.completion", streamObject: "chat.completion.chunk", chat: true}
)

// codeNotRun marks a request that was refused before execution.
const codeNotRun = "not_run"

// retryAfterSeconds is the Retry-After value of 429 and 503 responses.
const retryAfterSeconds = "1"

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func writeError(writer http.ResponseWriter, status int, detail errorDetail) {
	writer.Header().Set("Content-Type", "application/json")
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		writer.Header().Set("Retry-After", retryAfterSeconds)
	}
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(errorBody{Error: detail})
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

// complete returns the handler of one completion API.
func (s *Server) complete(format apiFormat) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		attempt := request.Header.Get(fault.RequestIDHeader)
		if attempt == "" {
			attempt = uuid.NewString()
		}
		parsed, err := s.parse(writer, request)
		if err != nil {
			writeError(writer, http.StatusBadRequest, errorDetail{err.Error(), "invalid_request_error", codeNotRun})
			return
		}
		started, err := s.start(attempt, parsed)
		var refused *refusal
		if errors.As(err, &refused) {
			writeError(writer, refused.status, errorDetail{refused.message, refused.kind, codeNotRun})
			return
		}
		s.respond(writer, request, &response{
			format:  format,
			parsed:  parsed,
			stream:  started,
			source:  started,
			created: time.Now().Unix(),
		})
	}
}

func (s *Server) parse(writer http.ResponseWriter, request *http.Request) (truth.Request, error) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, s.config.MaxBody))
	if err != nil {
		return truth.Request{}, err
	}
	return truth.ParseRequest(body)
}

// response is the state of a response in progress.
type response struct {
	format  apiFormat
	parsed  truth.Request
	stream  *stream
	created int64
	// source is the stream whose ID and tokens are sent: stream itself, or that
	// of another request under a fault.Crossed.
	source     *stream
	duplicate  bool
	tokenDelay time.Duration
}

// respond sends the tokens and cancels the stream if the client disconnects.
func (s *Server) respond(writer http.ResponseWriter, request *http.Request, resp *response) {
	defer s.cancel(resp.stream, truth.CauseDisconnected)
	s.applyFaults(request, resp)
	var err error
	if resp.parsed.Stream {
		err = resp.writeStream(request.Context(), writer)
	} else {
		err = resp.writeFull(request.Context(), writer)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// applyFaults applies the faults that corrupt or delay a response.
func (s *Server) applyFaults(request *http.Request, resp *response) {
	target, now := fault.TargetOf(request), time.Now()
	if _, found := s.injector.Take(now, fault.Crossed, target); found {
		resp.source = s.otherStream(resp.stream)
	}
	if _, found := s.injector.Take(now, fault.Duplicate, target); found {
		resp.duplicate = true
	}
	if late, found := s.injector.Take(now, fault.Late, target); found {
		resp.tokenDelay = time.Duration(late.Latency)
	}
}

// follow calls emit with each new range of tokens until the stream ends.
func (r *response) follow(ctx context.Context, emit func(from, to int) error) (finish, error) {
	next := r.stream.from
	for {
		available, ended := r.stream.progress()
		if available > next {
			if err := r.delay(ctx); err != nil {
				return finish{}, err
			}
			if err := emit(next, available); err != nil {
				return finish{}, err
			}
			next = available
		}
		if ended != nil {
			return *ended, nil
		}
		select {
		case <-r.stream.changed:
		case <-ctx.Done():
			return finish{}, ctx.Err()
		}
	}
}

func (r *response) delay(ctx context.Context) error {
	if r.tokenDelay == 0 {
		return nil
	}
	sleepUntil(ctx, time.Now().Add(r.tokenDelay))
	return ctx.Err()
}

func (r *response) id() string { return r.format.idPrefix + r.source.attempt }

// usage holds the token counts of a response.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// usage returns the token counts, including the tokens before resume_from.
func (r *response) usage(ended finish) usage {
	completion := int(r.stream.available.Load())
	return usage{
		PromptTokens:     ended.promptTokens,
		CompletionTokens: completion,
		TotalTokens:      ended.promptTokens + completion,
		PromptDetails:    promptDetails{CachedTokens: ended.cachedTokens},
	}
}

// quote returns text as a JSON string.
func quote(text string) string {
	encoded, _ := json.Marshal(text)
	return string(encoded)
}

// writeStream sends the tokens as server-sent events. The order of the fields
// is fixed, so a proxy finds id, token_index and text without decoding JSON.
func (r *response) writeStream(ctx context.Context, writer http.ResponseWriter) error {
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	controller := http.NewResponseController(writer)
	writer.WriteHeader(http.StatusOK)
	_ = controller.Flush()
	start := `data: {"id":` + quote(r.id()) + `,"token_index":`
	middle := `,"object":"` + r.format.streamObject + `","created":` + strconv.FormatInt(r.created, 10) +
		`,"model":` + quote(r.parsed.Model) + `,"choices":[{"index":0,`
	textStart, textEnd := `"text":"`, `","logprobs":null,"finish_reason":null}]}`
	if r.format.chat {
		textStart, textEnd = `"delta":{"content":"`, `"},"finish_reason":null}]}`
	}
	var event []byte
	ended, err := r.follow(ctx, func(from, to int) error {
		for index := from; index < to; index++ {
			event = append(event[:0], start...)
			event = strconv.AppendInt(event, int64(index), 10)
			event = append(event, middle...)
			event = append(event, textStart...)
			event = r.source.generator.Append(event, index)
			event = append(event, textEnd...)
			event = append(event, "\n\n"...)
			if err := r.writeEvent(writer, event); err != nil {
				return err
			}
		}
		return controller.Flush()
	})
	if err != nil {
		return err
	}
	if err := r.writeFinal(writer, ended, start, middle); err != nil {
		return err
	}
	return controller.Flush()
}

func (r *response) writeEvent(writer io.Writer, event []byte) error {
	if _, err := writer.Write(event); err != nil {
		return err
	}
	if !r.duplicate {
		return nil
	}
	_, err := writer.Write(event)
	return err
}

// writeFinal sends the last event, with finish_reason and usage, and [DONE].
func (r *response) writeFinal(writer io.Writer, ended finish, start, middle string) error {
	content := `"text":"","logprobs":null`
	if r.format.chat {
		content = `"delta":{}`
	}
	usage, err := json.Marshal(r.usage(ended))
	if err != nil {
		return err
	}
	last := start + strconv.FormatInt(r.stream.available.Load(), 10) + middle + content +
		`,"finish_reason":"` + ended.reason + `"}],"usage":` + string(usage) + "}\n\ndata: [DONE]\n\n"
	_, err = io.WriteString(writer, last)
	return err
}

// choice is the single choice of a non-streaming response.
type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason string       `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type fullResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

// writeFull sends the whole output in one non-streaming response.
func (r *response) writeFull(ctx context.Context, writer http.ResponseWriter) error {
	ended, err := r.follow(ctx, func(int, int) error { return nil })
	if err != nil {
		return err
	}
	text := r.source.generator.Text(r.stream.from, int(r.stream.available.Load()))
	only := choice{FinishReason: ended.reason}
	if r.format.chat {
		only.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		only.Text = &text
	}
	writeJSON(writer, http.StatusOK, fullResponse{
		ID:      r.id(),
		Object:  r.format.object,
		Created: r.created,
		Model:   r.parsed.Model,
		Choices: []choice{only},
		Usage:   r.usage(ended),
	})
	return nil
}
