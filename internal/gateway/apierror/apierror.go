// Package apierror gives the errors that callers see: OpenAI-shaped JSON with
// a code that says what is known of the request.
package apierror

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers that chutelock adds to answers.
const (
	// HeaderRequestID carries the request's id on every answer.
	HeaderRequestID = "Chutelock-Request-Id"
	// HeaderShouldRetry tells OpenAI's clients whether to resend by themselves.
	HeaderShouldRetry = "X-Should-Retry"
)

// Code is the machine-readable kind of an error.
type Code string

// Codes of errors.
const (
	// CodeNotRun is said only when no engine saw the request.
	CodeNotRun Code = "not_run"
	// CodeOutcomeUnknown: an engine may have run some or all of the request.
	CodeOutcomeUnknown Code = "outcome_unknown"
	// CodeEngineFailed: an engine ran the request and answered with an error.
	CodeEngineFailed Code = "engine_failed"
	// CodeStreamBroken: a stream could not be finished after its first token.
	CodeStreamBroken Code = "stream_broken"
	// CodeDeadlineExceeded: the request's time passed after an engine saw it.
	CodeDeadlineExceeded Code = "deadline_exceeded"

	CodeInvalidAPIKey    Code = "invalid_api_key"
	CodeModelNotFound    Code = "model_not_found"
	CodeNotFound         Code = "not_found"
	CodeMethodNotAllowed Code = "method_not_allowed"
	CodeInvalidValue     Code = "invalid_value"
	CodeInvalidJSON      Code = "invalid_json"
	CodeBodyTooLarge     Code = "body_too_large"
	CodeHeaderTimeout    Code = "header_timeout"
	CodeBodyTimeout      Code = "body_timeout"
	CodeConflict         Code = "conflict"
	CodeUnsupportedMedia Code = "unsupported_media_type"
)

// Type is OpenAI's coarse class of an error.
type Type string

// Types of errors.
const (
	TypeInvalidRequest Type = "invalid_request_error"
	TypeAuthentication Type = "authentication_error"
	TypeRateLimit      Type = "rate_limit_error"
	TypeServer         Type = "server_error"
)

// Error is an error as callers see it. It is immutable once made.
type Error struct {
	Status  int
	Code    Code
	Type    Type
	Message string
	// Param names the field or line at fault; empty when none is.
	Param string
	// RetryAfter tells when to come back; zero when it makes no sense.
	RetryAfter time.Duration
	// NoRetry tells clients not to resend by themselves.
	NoRetry bool
	// Cause is logged, never shown to callers.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Code, e.Message, e.Cause)
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Invalid says that a field (or line) of the caller's input is wrong.
func Invalid(param, format string, arguments ...any) *Error {
	return &Error{Status: http.StatusBadRequest, Code: CodeInvalidValue, Type: TypeInvalidRequest, Param: param, Message: fmt.Sprintf(format, arguments...)}
}

// InvalidJSON says that the caller's body is not the JSON that was expected.
func InvalidJSON(param, format string, arguments ...any) *Error {
	return &Error{Status: http.StatusBadRequest, Code: CodeInvalidJSON, Type: TypeInvalidRequest, Param: param, Message: fmt.Sprintf(format, arguments...)}
}

// InvalidKey says that the request carries no key or one that names no tenant.
func InvalidKey(message string) *Error {
	return &Error{Status: http.StatusUnauthorized, Code: CodeInvalidAPIKey, Type: TypeAuthentication, Message: message}
}

// ModelNotFound says that the tenant can't use such a model.
func ModelNotFound(model string) *Error {
	return &Error{Status: http.StatusNotFound, Code: CodeModelNotFound, Type: TypeInvalidRequest, Param: "model", Message: fmt.Sprintf("the model %q does not exist or you may not use it", model)}
}

// NotFound says that there is no such resource.
func NotFound(format string, arguments ...any) *Error {
	return &Error{Status: http.StatusNotFound, Code: CodeNotFound, Type: TypeInvalidRequest, Message: fmt.Sprintf(format, arguments...)}
}

// MethodNotAllowed says that the path exists for another method.
func MethodNotAllowed(method, allowed string) *Error {
	return &Error{Status: http.StatusMethodNotAllowed, Code: CodeMethodNotAllowed, Type: TypeInvalidRequest, Message: fmt.Sprintf("%s is not allowed here, use %s", method, allowed)}
}

// Conflict says that the request contradicts an earlier one.
func Conflict(param, format string, arguments ...any) *Error {
	return &Error{Status: http.StatusConflict, Code: CodeConflict, Type: TypeInvalidRequest, Param: param, Message: fmt.Sprintf(format, arguments...), NoRetry: true}
}

// BodyTooLarge says that the body is over the limit, in bytes.
func BodyTooLarge(limit int64) *Error {
	return &Error{Status: http.StatusRequestEntityTooLarge, Code: CodeBodyTooLarge, Type: TypeInvalidRequest, Message: fmt.Sprintf("the body is larger than %d bytes", limit)}
}

// BodyTimeout says that the body did not arrive in time.
func BodyTimeout(limit time.Duration) *Error {
	return &Error{Status: http.StatusRequestTimeout, Code: CodeBodyTimeout, Type: TypeInvalidRequest, Message: fmt.Sprintf("the body did not arrive within %s", limit), NoRetry: true}
}

// NotRun says that no engine saw the request and when to come back. Status is
// 429 for a limit of the caller's own and 503 for everything else.
func NotRun(status int, retryAfter time.Duration, format string, arguments ...any) *Error {
	kind := TypeServer
	if status == http.StatusTooManyRequests {
		kind = TypeRateLimit
	}
	return &Error{Status: status, Code: CodeNotRun, Type: kind, RetryAfter: max(retryAfter, time.Millisecond), Message: fmt.Sprintf(format, arguments...)}
}

// OutcomeUnknown says that an engine may have run some or all of the request,
// which is not resent because the caller marked it as not repeatable.
func OutcomeUnknown(cause error) *Error {
	return &Error{Status: http.StatusBadGateway, Code: CodeOutcomeUnknown, Type: TypeServer, Message: "the request was sent to an engine and its outcome is not known", NoRetry: true, Cause: cause}
}

// EngineFailed says that an engine ran the request and answered with an error
// or that every attempt allowed has failed.
func EngineFailed(cause error) *Error {
	return &Error{Status: http.StatusBadGateway, Code: CodeEngineFailed, Type: TypeServer, Message: "an engine ran the request and failed", Cause: cause}
}

// StreamBroken says that a stream could not be finished.
func StreamBroken(cause error) *Error {
	return &Error{Status: http.StatusBadGateway, Code: CodeStreamBroken, Type: TypeServer, Message: "the stream broke off and could not be finished; what was sent before is not the whole answer", Cause: cause}
}

// DeadlineExceeded says that the request's time passed after an engine saw it.
func DeadlineExceeded(cause error) *Error {
	return &Error{Status: http.StatusGatewayTimeout, Code: CodeDeadlineExceeded, Type: TypeServer, Message: "the request's time passed; an engine may have run some of it", NoRetry: true, Cause: cause}
}

// From returns the *Error in err's chain, or an internal error that hides it.
func From(err error) *Error {
	var shown *Error
	if errors.As(err, &shown) {
		return shown
	}
	return &Error{Status: http.StatusInternalServerError, Code: CodeOutcomeUnknown, Type: TypeServer, Message: "an internal error occurred", NoRetry: true, Cause: err}
}

type detail struct {
	Message   string  `json:"message"`
	Type      Type    `json:"type"`
	Param     *string `json:"param"`
	Code      Code    `json:"code"`
	RequestID string  `json:"request_id,omitempty"`
}

type body struct {
	Error detail `json:"error"`
}

// JSON returns the OpenAI-shaped body of the error.
func (e *Error) JSON(requestID string) []byte {
	shown := detail{Message: e.Message, Type: e.Type, Code: e.Code, RequestID: requestID}
	if e.Param != "" {
		shown.Param = &e.Param
	}
	out, err := json.Marshal(body{Error: shown})
	if err != nil { // only strings inside, so it can't fail
		panic(err)
	}
	return out
}

// Write answers a request with the error. It takes the request id from the
// answer's HeaderRequestID, which the caller of Write has set before.
func Write(w http.ResponseWriter, e *Error) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Del("Content-Length")
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(int64(math.Ceil(e.RetryAfter.Seconds())), 10))
		header.Set("Retry-After-Ms", strconv.FormatInt(max(1, e.RetryAfter.Milliseconds()), 10))
	}
	if e.NoRetry {
		header.Set(HeaderShouldRetry, "false")
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(e.JSON(header.Get(HeaderRequestID)))
}
