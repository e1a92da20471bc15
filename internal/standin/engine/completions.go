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

// shape is what differs between the two completion APIs.
type shape struct {
	idPrefix     string
	object       string
	streamObject string
	chat         bool
}

var (
	completionShape = shape{idPrefix: "cmpl-", object: "text_completion", streamObject: "text_completion"}
	chatShape       = shape{idPrefix: "chatcmpl-", object: "chat.completion", streamObject: "chat.completion.chunk", chat: true}
)

// codeNotRun says that the request was refused before any of it ran.
const codeNotRun = "not_run"

// retryAfterSeconds is the hint with a refusal because of load.
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

// complete serves one of the completion APIs.
func (s *Server) complete(shape shape) http.HandlerFunc {
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
		s.answer(writer, request, &response{
			shape:   shape,
			parsed:  parsed,
			stream:  started,
			shown:   started,
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

// response is an answer in progress.
type response struct {
	shape   shape
	parsed  truth.Request
	stream  *stream
	created int64
	// shown is the stream whose id and tokens are given; it is another one
	// only when answers are crossed.
	shown     *stream
	duplicate bool
	late      time.Duration
}

// answer gives the tokens as they come, and cancels when the client leaves.
func (s *Server) answer(writer http.ResponseWriter, request *http.Request, answered *response) {
	defer s.cancel(answered.stream, truth.CauseDisconnected)
	s.distort(request, answered)
	var err error
	if answered.parsed.Stream {
		err = answered.writeStream(request.Context(), writer)
	} else {
		err = answered.writeWhole(request.Context(), writer)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// distort applies the faults that falsify an answer.
func (s *Server) distort(request *http.Request, answered *response) {
	target, now := fault.TargetOf(request), time.Now()
	if _, found := s.injector.Take(now, fault.Crossed, target); found {
		answered.shown = s.other(answered.stream)
	}
	if _, found := s.injector.Take(now, fault.Duplicate, target); found {
		answered.duplicate = true
	}
	if late, found := s.injector.Take(now, fault.Late, target); found {
		answered.late = time.Duration(late.Latency)
	}
}

// follow calls give with each new range of tokens until the stream ends.
func (r *response) follow(ctx context.Context, give func(from, to int) error) (finish, error) {
	next := r.stream.from
	for {
		// The ending is read before the tokens' number was, so that none is missed.
		available, ended := r.stream.progress()
		if available > next {
			if err := r.delay(ctx); err != nil {
				return finish{}, err
			}
			if err := give(next, available); err != nil {
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
	if r.late == 0 {
		return nil
	}
	sleepUntil(ctx, time.Now().Add(r.late))
	return ctx.Err()
}

func (r *response) id() string { return r.shape.idPrefix + r.shown.attempt }

// usage is the token count of an answer.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// usage counts the whole output, the part before resume_from included.
func (r *response) usage(ended finish) usage {
	completion := int(r.stream.available.Load())
	return usage{
		PromptTokens:     ended.promptTokens,
		CompletionTokens: completion,
		TotalTokens:      ended.promptTokens + completion,
		PromptDetails:    promptDetails{CachedTokens: ended.cachedTokens},
	}
}

// quote encodes a string as JSON.
func quote(text string) string {
	encoded, _ := json.Marshal(text)
	return string(encoded)
}

// writeStream answers with server-sent events. The order of the fields is
// fixed: a relay finds id, token_index and the text without decoding JSON.
func (r *response) writeStream(ctx context.Context, writer http.ResponseWriter) error {
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	controller := http.NewResponseController(writer)
	writer.WriteHeader(http.StatusOK)
	_ = controller.Flush()
	start := `data: {"id":` + quote(r.id()) + `,"token_index":`
	middle := `,"object":"` + r.shape.streamObject + `","created":` + strconv.FormatInt(r.created, 10) +
		`,"model":` + quote(r.parsed.Model) + `,"choices":[{"index":0,`
	textStart, textEnd := `"text":"`, `","logprobs":null,"finish_reason":null}]}`
	if r.shape.chat {
		textStart, textEnd = `"delta":{"content":"`, `"},"finish_reason":null}]}`
	}
	var event []byte
	ended, err := r.follow(ctx, func(from, to int) error {
		for index := from; index < to; index++ {
			event = append(event[:0], start...)
			event = strconv.AppendInt(event, int64(index), 10)
			event = append(event, middle...)
			event = append(event, textStart...)
			event = r.shown.generator.Append(event, index)
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
	if err := r.writeLast(writer, ended, start, middle); err != nil {
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

// writeLast ends a stream with the reason and the usage.
func (r *response) writeLast(writer io.Writer, ended finish, start, middle string) error {
	content := `"text":"","logprobs":null`
	if r.shape.chat {
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

// choice is the one choice of a whole answer.
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

type wholeAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

// writeWhole answers once with everything.
func (r *response) writeWhole(ctx context.Context, writer http.ResponseWriter) error {
	ended, err := r.follow(ctx, func(int, int) error { return nil })
	if err != nil {
		return err
	}
	text := r.shown.generator.Text(r.stream.from, int(r.stream.available.Load()))
	only := choice{FinishReason: ended.reason}
	if r.shape.chat {
		only.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		only.Text = &text
	}
	writeJSON(writer, http.StatusOK, wholeAnswer{
		ID:      r.id(),
		Object:  r.shape.object,
		Created: r.created,
		Model:   r.parsed.Model,
		Choices: []choice{only},
		Usage:   r.usage(ended),
	})
	return nil
}
