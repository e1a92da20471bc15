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

// indexed returns the parameter name of a list element.
func indexed(param string, index int) string {
	return param + "[" + strconv.Itoa(index) + "]"
}

// answer writes a completion to the caller. Its methods are called with
// exchange.mutex held.
type answer interface {
	// token adds the text of the next token. An error means that the caller
	// disconnected.
	token(text string) error
	// finish completes the response after tokens output tokens.
	finish(finish engine.Finish, tokens int) error
	// fail ends the response with an error.
	fail(failure *apierror.Error)
}

// shape has the fields that all objects of a response share.
type responseInfo struct {
	chat    bool
	id      string
	model   string
	created int64
}

func newResponseInfo(path, requestID, model string, now time.Time) responseInfo {
	prefix := "cmpl-"
	if path == PathChatCompletions {
		prefix = "chatcmpl-"
	}
	return responseInfo{chat: path == PathChatCompletions, id: prefix + requestID, model: model, created: now.Unix()}
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

// wholeAnswer buffers all tokens and sends either the complete text or an error,
// never a part of the text.
type wholeAnswer struct {
	responseInfo
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

// deadlineStep is the minimum time between updates of a stream's write deadline.
const deadlineStep = time.Second

// streamAnswer sends tokens as server-sent events.
type streamAnswer struct {
	responseInfo
	writer       http.ResponseWriter
	control      *http.ResponseController
	timeout      time.Duration
	includeUsage bool

	begun                    bool
	deadlineSet              time.Time
	tokenPrefix, tokenSuffix []byte // constant parts of a token event
	buffer                   []byte
}

func newStreamAnswer(info responseInfo, writer http.ResponseWriter, timeout time.Duration, includeUsage bool) *streamAnswer {
	a := &streamAnswer{responseInfo: info, writer: writer, control: http.NewResponseController(writer), timeout: timeout, includeUsage: includeUsage}
	if a.chat {
		a.tokenPrefix = append(a.head(), `{"index":0,"delta":{"content":`...)
		a.tokenSuffix = []byte(`},"logprobs":null,"finish_reason":null}]}` + "\n\n")
	} else {
		a.tokenPrefix = append(a.head(), `{"index":0,"text":`...)
		a.tokenSuffix = []byte(`,"logprobs":null,"finish_reason":null}]}` + "\n\n")
	}
	return a
}

// head returns the start of an event, up to its choices.
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
	a.buffer = append(a.buffer, a.tokenPrefix...)
	a.buffer = appendString(a.buffer, text)
	a.buffer = append(a.buffer, a.tokenSuffix...)
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

// fail sends an error response, or an error event without [DONE] if the stream has
// begun.
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

// appendString appends text as a JSON string, with a fast path for text that needs
// no escapes.
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
	if err != nil { // unreachable for strings
		panic(err)
	}
	return append(out, encoded...)
}
