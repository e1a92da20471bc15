package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"strings"
	"unicode/utf8"

	"chutelock.dev/chutelock/internal/gateway/apierror"
)

// Paths of the online API.
const (
	PathChatCompletions = "/v1/chat/completions"
	PathCompletions     = "/v1/completions"
	PathModels          = "/v1/models"
)

// Limits of request fields.
const (
	maxModelName     = 256
	maxStopSequences = 4
	maxOutputTokens  = 1 << 20
	maxMessages      = 4096
)

// Completion is a validated completion request.
type Completion struct {
	Model string
	// Prompt is the prompt, or the concatenated roles and texts of all messages.
	Prompt       string
	Stream       bool
	IncludeUsage bool
	// Body is the caller's JSON object, unchanged.
	Body []byte
}

// ParseCompletion parses and validates the body of a request to path. Errors name
// the invalid field.
func ParseCompletion(path string, body []byte) (*Completion, *apierror.Error) {
	if !utf8.Valid(body) {
		return nil, apierror.InvalidJSON("", "the body is not valid UTF-8")
	}
	fields, failure := objectFields("", body)
	if failure != nil {
		return nil, failure
	}
	completion := &Completion{Body: body}
	if failure := completion.readCommon(fields); failure != nil {
		return nil, failure
	}
	if path == PathChatCompletions {
		failure = completion.readMessages(fields)
	} else {
		failure = completion.readPrompt(fields)
	}
	if failure != nil {
		return nil, failure
	}
	return completion, nil
}

type rawFields map[string]json.RawMessage

// present reports whether the field exists and is not null.
func (f rawFields) present(name string) bool {
	raw, ok := f[name]
	return ok && !bytes.Equal(raw, []byte("null"))
}

// objectFields returns the fields of a JSON object. It rejects duplicate fields,
// which the engine might resolve differently from the gateway.
func objectFields(param string, raw []byte) (rawFields, *apierror.Error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	opening, err := decoder.Token()
	if err != nil {
		return nil, malformed(param, err)
	}
	if opening != json.Delim('{') {
		return nil, apierror.InvalidJSON(param, "expected a JSON object")
	}
	fields := rawFields{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, malformed(param, err)
		}
		name, _ := token.(string)
		if _, twice := fields[name]; twice {
			return nil, apierror.InvalidJSON(joined(param, name), "the field is given twice")
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return nil, malformed(joined(param, name), err)
		}
		fields[name] = value
	}
	if _, err := decoder.Token(); err != nil {
		return nil, malformed(param, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, apierror.InvalidJSON(param, "there is something after the JSON object")
	}
	return fields, nil
}

func joined(param, name string) string {
	if param == "" {
		return name
	}
	return param + "." + name
}

func malformed(param string, err error) *apierror.Error {
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &syntax):
		return apierror.InvalidJSON(param, "malformed JSON at byte %d: %v", syntax.Offset, syntax)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return apierror.InvalidJSON(param, "the JSON ends too early")
	}
	return apierror.InvalidJSON(param, "malformed JSON: %v", err)
}

// unsupported lists fields that change the response in ways that the gateway can't
// relay. They are rejected rather than ignored.
var unsupported = []string{"tools", "tool_choice", "functions", "function_call", "audio", "modalities", "logprobs", "top_logprobs", "response_format", "suffix"}

// reserved lists fields that only the gateway may set.
var reserved = []string{"priority", "request_id", "resume_from", "kv_transfer_params"}

// numberRange is the allowed range of a numeric field.
type numberRange struct {
	name     string
	min, max float64
	integer  bool
}

var numberRanges = []numberRange{
	{"max_tokens", 1, maxOutputTokens, true},
	{"max_completion_tokens", 1, maxOutputTokens, true},
	{"temperature", 0, 2, false},
	{"top_p", 0, 1, false},
	{"presence_penalty", -2, 2, false},
	{"frequency_penalty", -2, 2, false},
	{"seed", math.MinInt64, math.MaxInt64, true},
	{"n", 1, 1, true},
	{"best_of", 1, 1, true},
}

func (c *Completion) readCommon(fields rawFields) *apierror.Error {
	if failure := c.readModel(fields); failure != nil {
		return failure
	}
	for _, name := range unsupported {
		if fields.present(name) {
			return apierror.Invalid(name, "the field is not supported here")
		}
	}
	for _, name := range reserved {
		if fields.present(name) {
			return apierror.Invalid(name, "the field is reserved")
		}
	}
	for _, allowed := range numberRanges {
		if failure := checkNumber(fields, allowed); failure != nil {
			return failure
		}
	}
	if failure := readBool(fields, "stream", &c.Stream); failure != nil {
		return failure
	}
	if failure := c.readStreamOptions(fields); failure != nil {
		return failure
	}
	return checkStop(fields)
}

func (c *Completion) readModel(fields rawFields) *apierror.Error {
	if !fields.present("model") {
		return apierror.Invalid("model", "the field is required")
	}
	if json.Unmarshal(fields["model"], &c.Model) != nil || c.Model == "" || len(c.Model) > maxModelName {
		return apierror.Invalid("model", "expected a string of 1 to %d bytes", maxModelName)
	}
	return nil
}

func checkNumber(fields rawFields, allowed numberRange) *apierror.Error {
	if !fields.present(allowed.name) {
		return nil
	}
	var value float64
	if json.Unmarshal(fields[allowed.name], &value) != nil {
		return apierror.Invalid(allowed.name, "expected a number")
	}
	if allowed.integer && value != math.Trunc(value) {
		return apierror.Invalid(allowed.name, "expected a whole number")
	}
	if value < allowed.min || value > allowed.max {
		return apierror.Invalid(allowed.name, "expected a number from %g to %g", allowed.min, allowed.max)
	}
	return nil
}

func readBool(fields rawFields, name string, into *bool) *apierror.Error {
	if !fields.present(name) {
		return nil
	}
	if json.Unmarshal(fields[name], into) != nil {
		return apierror.Invalid(name, "expected true or false")
	}
	return nil
}

func (c *Completion) readStreamOptions(fields rawFields) *apierror.Error {
	if !fields.present("stream_options") {
		return nil
	}
	if !c.Stream {
		return apierror.Invalid("stream_options", "the field goes with stream: true only")
	}
	options, failure := objectFields("stream_options", fields["stream_options"])
	if failure != nil {
		return failure
	}
	if failure := readBool(options, "include_usage", &c.IncludeUsage); failure != nil {
		return apierror.Invalid("stream_options.include_usage", "expected true or false")
	}
	return nil
}

func checkStop(fields rawFields) *apierror.Error {
	if !fields.present("stop") {
		return nil
	}
	var one string
	var many []string
	raw := fields["stop"]
	if json.Unmarshal(raw, &one) == nil {
		return nil
	}
	if json.Unmarshal(raw, &many) != nil || len(many) > maxStopSequences {
		return apierror.Invalid("stop", "expected a string or up to %d strings", maxStopSequences)
	}
	return nil
}

// readPrompt accepts a string or a list of one string.
func (c *Completion) readPrompt(fields rawFields) *apierror.Error {
	if !fields.present("prompt") {
		return apierror.Invalid("prompt", "the field is required")
	}
	var many []string
	raw := fields["prompt"]
	switch {
	case json.Unmarshal(raw, &c.Prompt) == nil:
	case json.Unmarshal(raw, &many) == nil && len(many) == 1:
		c.Prompt = many[0]
	default:
		return apierror.Invalid("prompt", "expected a string; several prompts go into several requests")
	}
	if c.Prompt == "" {
		return apierror.Invalid("prompt", "the prompt is empty")
	}
	if fields.present("echo") && string(fields["echo"]) != "false" {
		return apierror.Invalid("echo", "the field is not supported here")
	}
	return nil
}

// messageRoles has the allowed roles of a message.
var messageRoles = map[string]bool{"system": true, "developer": true, "user": true, "assistant": true}

func (c *Completion) readMessages(fields rawFields) *apierror.Error {
	if !fields.present("messages") {
		return apierror.Invalid("messages", "the field is required")
	}
	var messages []json.RawMessage
	if json.Unmarshal(fields["messages"], &messages) != nil {
		return apierror.Invalid("messages", "expected a list of messages")
	}
	if len(messages) == 0 || len(messages) > maxMessages {
		return apierror.Invalid("messages", "expected 1 to %d messages", maxMessages)
	}
	var prompt strings.Builder
	for i, raw := range messages {
		if failure := readMessage(indexed("messages", i), raw, &prompt); failure != nil {
			return failure
		}
	}
	c.Prompt = prompt.String()
	return nil
}

func readMessage(param string, raw json.RawMessage, prompt *strings.Builder) *apierror.Error {
	fields, failure := objectFields(param, raw)
	if failure != nil {
		return failure
	}
	var role string
	if json.Unmarshal(fields["role"], &role) != nil || !messageRoles[role] {
		return apierror.Invalid(param+".role", "expected system, developer, user or assistant")
	}
	prompt.WriteString(role)
	prompt.WriteByte('\n')
	if !fields.present("content") {
		return apierror.Invalid(param+".content", "the field is required")
	}
	if failure := readContent(param+".content", fields["content"], prompt); failure != nil {
		return failure
	}
	prompt.WriteByte('\n')
	return nil
}

// readContent accepts a string or a list of text parts.
func readContent(param string, raw json.RawMessage, prompt *strings.Builder) *apierror.Error {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		prompt.WriteString(text)
		return nil
	}
	var parts []struct {
		Type string  `json:"type"`
		Text *string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil || len(parts) == 0 {
		return apierror.Invalid(param, "expected a string or a list of text parts")
	}
	for i, part := range parts {
		if part.Type != "text" || part.Text == nil {
			return apierror.Invalid(indexed(param, i), `expected {"type": "text", "text": "..."}`)
		}
		prompt.WriteString(*part.Text)
	}
	return nil
}
