package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/gateway/apierror"
)

// indexed names an element of a list.
func indexed(param string, index int) string {
	return param + "[" + strconv.Itoa(index) + "]"
}

// answer is how a caller gets a completion. Its methods are called under the
// exchange's lock.
type answer interface {
	// token takes the next token's text. An error means that the caller left.
	token(text string) error
	// finish ends the answer with success.
	finish(finish engine.Finish, tokens int) error
	// fail ends the answer with an error.
	fail(failure *apierror.Error)
}

// shape is what all parts of one answer have in common.
type shape struct {
	chat    bool
	id      string
	model   string
	created int64
}

func newShape(path, requestID, model string, now time.Time) shape {
	prefix := "cmpl-"
	if path == PathChatCompletions {
		prefix = "chatcmpl-"
	}
	return shape{chat: path == PathChatCompletions, id: prefix + requestID, model: model, created: now.Unix()}
}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func newUsage(finish engine.Finish, tokens int) usage {
	return usage{
		PromptTokens:     finish.PromptTokens,
		CompletionTokens: tokens,
		TotalTokens:      finish.PromptTokens + tokens,
		Details:          usageDetails{CachedTokens: finish.CachedTokens},
	}
}

type message struct {
	Role    string  `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	Logprobs     *string  `json:"logprobs"`
	FinishReason string   `json:"finish_reason"`
}

type wholeCompletion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

// wholeAnswer collects all tokens and answers once: with the whole text or
// with an error, never with part of the text.
type wholeAnswer struct {
	shape
	writer http.ResponseWriter
	text   []byte
}

func (a *wholeAnswer) token(text string) error {
	a.text = append(a.text, text...)
	return nil
}

func (a *wholeAnswer) finish(finish engine.Finish, tokens int) error {
	text := string(a.text)
	only := choice{FinishReason: finish.Reason}
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
		only.Message = &message{Role: "assistant", Content: text}
	} else {
		only.Text = &text
	}
	body, err := json.Marshal(wholeCompletion{ID: a.id, Object: object, Created: a.created, Model: a.model, Choices: []choice{only}, Usage: newUsage(finish, tokens)})
	if err != nil {
		return err
	}
	a.writer.Header().Set("Content-Type", "application/json")
	a.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err = a.writer.Write(body)
	return err
}

func (a *wholeAnswer) fail(failure *apierror.Error) { apierror.Write(a.writer, failure) }

// deadlineStep is how seldom the write deadline of a stream is moved.
const deadlineStep = time.Second

// streamAnswer relays tokens as server-sent events.
type streamAnswer struct {
	shape
	writer       http.ResponseWriter
	control      *http.ResponseController
	timeout      time.Duration
	includeUsage bool

	begun         bool
	deadlineSet   time.Time
	before, after []byte // the constant parts of a token's event
	buffer        []byte
}

func newStreamAnswer(shape shape, writer http.ResponseWriter, timeout time.Duration, includeUsage bool) *streamAnswer {
	a := &streamAnswer{shape: shape, writer: writer, control: http.NewResponseController(writer), timeout: timeout, includeUsage: includeUsage}
	if a.chat {
		a.before = append(a.head(), `{"index":0,"delta":{"content":`...)
		a.after = []byte(`},"logprobs":null,"finish_reason":null}]}` + "\n\n")
	} else {
		a.before = append(a.head(), `{"index":0,"text":`...)
		a.after = []byte(`,"logprobs":null,"finish_reason":null}]}` + "\n\n")
	}
	return a
}

// head is the beginning of an event, up to its choices.
func (a *streamAnswer) head() []byte {
	object := "text_completion"
	if a.chat {
		object = "chat.completion.chunk"
	}
	out := []byte(`data: {"id":`)
	out = appendString(out, a.id)
	out = append(out, `,"object":"`+object+`","created":`...)
	out = strconv.AppendInt(out, a.created, 10)
	out = append(out, `,"model":`...)
	out = appendString(out, a.model)
	return append(out, `,"choices":[`...)
}

func (a *streamAnswer) begin() {
	a.begun = true
	header := a.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	a.writer.WriteHeader(http.StatusOK)
	if a.chat {
		a.buffer = append(a.buffer, a.head()...)
		a.buffer = append(a.buffer, `{"index":0,"delta":{"role":"assistant","content":""},"logprobs":null,"finish_reason":null}]}`+"\n\n"...)
	}
}

func (a *streamAnswer) token(text string) error {
	a.buffer = a.buffer[:0]
	if !a.begun {
		a.begin()
	}
	a.buffer = append(a.buffer, a.before...)
	a.buffer = appendString(a.buffer, text)
	a.buffer = append(a.buffer, a.after...)
	return a.send()
}

func (a *streamAnswer) finish(finish engine.Finish, tokens int) error {
	a.buffer = a.buffer[:0]
	if !a.begun {
		a.begin()
	}
	a.buffer = append(a.buffer, a.head()...)
	if a.chat {
		a.buffer = append(a.buffer, `{"index":0,"delta":{},"logprobs":null,"finish_reason":`...)
	} else {
		a.buffer = append(a.buffer, `{"index":0,"text":"","logprobs":null,"finish_reason":`...)
	}
	a.buffer = appendString(a.buffer, finish.Reason)
	a.buffer = append(a.buffer, "}]}\n\n"...)
	if a.includeUsage {
		encoded, err := json.Marshal(newUsage(finish, tokens))
		if err != nil {
			return err
		}
		a.buffer = append(a.buffer, a.head()...)
		a.buffer = append(a.buffer, `],"usage":`...)
		a.buffer = append(a.buffer, encoded...)
		a.buffer = append(a.buffer, "}\n\n"...)
	}
	a.buffer = append(a.buffer, "data: [DONE]\n\n"...)
	return a.send()
}

// fail ends the stream with an error event and without [DONE].
func (a *streamAnswer) fail(failure *apierror.Error) {
	if !a.begun {
		apierror.Write(a.writer, failure)
		return
	}
	a.buffer = append(a.buffer[:0], "data: "...)
	a.buffer = append(a.buffer, failure.JSON(a.writer.Header().Get(apierror.HeaderRequestID))...)
	a.buffer = append(a.buffer, "\n\n"...)
	_ = a.send()
}

func (a *streamAnswer) send() error {
	if now := time.Now(); now.Sub(a.deadlineSet) > deadlineStep {
		a.deadlineSet = now
		_ = a.control.SetWriteDeadline(now.Add(a.timeout))
	}
	if _, err := a.writer.Write(a.buffer); err != nil {
		return err
	}
	return a.control.Flush()
}

// appendString appends text as a JSON string; most tokens need no escape.
func appendString(out []byte, text string) []byte {
	for i := 0; i < len(text); i++ {
		if c := text[i]; c < 0x20 || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			return appendEscaped(out, text)
		}
	}
	out = append(out, '"')
	out = append(out, text...)
	return append(out, '"')
}

func appendEscaped(out []byte, text string) []byte {
	encoded, err := json.Marshal(text)
	if err != nil { // a string always encodes
		panic(err)
	}
	return append(out, encoded...)
}
