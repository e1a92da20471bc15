package input

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"unicode/utf8"

	"chutelock.dev/chutelock/internal/jobs"
)

// Endpoint paths allowed in an item's url field.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
)

// RepeatableHeader is the request header, also in an item's headers field, that
// tells whether a request may run more than once.
const RepeatableHeader = "Chutelock-Repeatable"

// maxCustomID is the longest custom_id, in bytes.
const maxCustomID = 512

// Error is a validation error with the line and field where it occurred.
type Error struct {
	Line  int // from 1; 0 when the error concerns no single line
	Field string
	Code  string
	Text  string
}

// Codes of input errors.
const (
	CodeInvalidJSON       = "invalid_json_line"
	CodeMissingField      = "missing_required_parameter"
	CodeInvalidField      = "invalid_value"
	CodeDuplicateCustomID = "duplicate_custom_id"
	CodeModelNotFound     = "model_not_found"
	CodeMismatchedModel   = "mismatched_model"
	CodeInvalidURL        = "invalid_url"
	CodeTooManyItems      = "too_many_tasks"
	CodeLineTooLong       = "line_too_long"
	CodeFileTooLarge      = "file_too_large"
	CodeEmptyFile         = "empty_file"
)

// Error implements error.
func (e *Error) Error() string {
	where := ""
	if e.Line > 0 {
		where = fmt.Sprintf("line %d: ", e.Line)
	}
	if e.Field != "" {
		where += e.Field + ": "
	}
	return where + e.Text
}

func newError(field, code, format string, arguments ...any) *Error {
	return &Error{Field: field, Code: code, Text: fmt.Sprintf(format, arguments...)}
}

// lineFields are the fields of an input line.
type lineFields struct {
	CustomID   *string           `json:"custom_id"`
	Method     string            `json:"method"`
	URL        string            `json:"url"`
	Body       json.RawMessage   `json:"body"`
	Headers    map[string]string `json:"headers"`
	Repeatable *bool             `json:"repeatable"`
}

// bodyFields are the validated fields of an item's body.
type bodyFields struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens json.RawMessage `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

// ParseLine parses and validates one line. The item does not alias line.
func ParseLine(line []byte) (item jobs.Item, model string, failure *Error) {
	var fields lineFields
	if err := json.Unmarshal(line, &fields); err != nil {
		return jobs.Item{}, "", newJSONError(err)
	}
	if failure := fields.check(); failure != nil {
		return jobs.Item{}, "", failure
	}
	repeatable, failure := fields.repeatable()
	if failure != nil {
		return jobs.Item{}, "", failure
	}
	body, failure := checkBody(fields.Body, fields.URL)
	if failure != nil {
		return jobs.Item{}, "", failure
	}
	item = jobs.Item{CustomID: *fields.CustomID, Path: fields.URL, Body: fields.Body, Repeatable: repeatable}
	return item, body.Model, nil
}

func newJSONError(err error) *Error {
	if typed, ok := err.(*json.UnmarshalTypeError); ok && typed.Field != "" {
		return newError(typed.Field, CodeInvalidField, "want %s, have %s", typed.Type, typed.Value)
	}
	return newError("", CodeInvalidJSON, "not a JSON object: %v", err)
}

func (f *lineFields) check() *Error {
	switch {
	case f.CustomID == nil || *f.CustomID == "":
		return newError("custom_id", CodeMissingField, "is missing")
	case len(*f.CustomID) > maxCustomID:
		return newError("custom_id", CodeInvalidField, "is longer than %d bytes", maxCustomID)
	case !utf8.ValidString(*f.CustomID):
		return newError("custom_id", CodeInvalidField, "is not UTF-8")
	case f.Method != "" && f.Method != http.MethodPost:
		return newError("method", CodeInvalidField, "is %q, want POST", f.Method)
	case f.URL == "":
		return newError("url", CodeMissingField, "is missing")
	case f.URL != PathCompletions && f.URL != PathChatCompletions:
		return newError("url", CodeInvalidURL, "%q is not allowed, want %s or %s", f.URL, PathCompletions, PathChatCompletions)
	case len(f.Body) == 0:
		return newError("body", CodeMissingField, "is missing")
	default:
		return nil
	}
}

// repeatable returns the repeatable field, else the header's value, else true.
func (f *lineFields) repeatable() (bool, *Error) {
	if f.Repeatable != nil {
		return *f.Repeatable, nil
	}
	for name, value := range f.Headers {
		if !strings.EqualFold(name, RepeatableHeader) {
			continue
		}
		repeatable, ok := ParseRepeatable(value)
		if !ok {
			return false, newError("headers."+name, CodeInvalidField, "is %q, want true or false", value)
		}
		return repeatable, nil
	}
	return true, nil
}

// ParseRepeatable parses a value of RepeatableHeader; empty means true.
func ParseRepeatable(value string) (repeatable, ok bool) {
	switch strings.ToLower(value) {
	case "", "true":
		return true, true
	case "false":
		return false, true
	default:
		return false, false
	}
}

func checkBody(encoded json.RawMessage, path string) (bodyFields, *Error) {
	var body bodyFields
	if encoded[0] != '{' {
		return body, newError("body", CodeInvalidField, "is not a JSON object")
	}
	if err := json.Unmarshal(encoded, &body); err != nil {
		failure := newJSONError(err)
		failure.Field = strings.TrimSuffix("body."+failure.Field, ".")
		return body, failure
	}
	switch {
	case body.Model == "":
		return body, newError("body.model", CodeMissingField, "is missing")
	case body.Stream:
		return body, newError("body.stream", CodeInvalidField, "must not be true in a batch")
	case path == PathCompletions && len(body.Prompt) == 0:
		return body, newError("body.prompt", CodeMissingField, "is missing")
	case path == PathChatCompletions && len(body.Messages) == 0:
		return body, newError("body.messages", CodeMissingField, "is missing")
	default:
		return body, nil
	}
}
