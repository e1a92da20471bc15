// Package apierror defines the error responses of the API: JSON in OpenAI's
// format with a code that tells whether the request may have run.
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

// Headers of responses.
const (
	// HeaderRequestID carries the request ID in every response.
	HeaderRequestID = "Chutelock-Request-Id"
	// HeaderShouldRetry tells OpenAI clients whether to retry automatically.
	HeaderShouldRetry = "X-Should-Retry"
)

// Code is a machine-readable error code.
type Code string

// Values of Code.
const (
	// CodeNotRun means that no engine ran any of the request.
	CodeNotRun Code = "not_run"
	// CodeOutcomeUnknown means that an engine may have run some or all of the request.
	CodeOutcomeUnknown Code = "outcome_unknown"
	// CodeEngineFailed means that an engine ran the request and returned an error.
	CodeEngineFailed Code = "engine_failed"
	// CodeStreamBroken means that a stream failed after its first token.
	CodeStreamBroken Code = "stream_broken"
	// CodeDeadlineExceeded means that the deadline passed after an engine may have
	// run some of the request.
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

// Type is OpenAI's error type, which is coarser than Code.
type Type string

// Values of Type.
const (
	TypeInvalidRequest Type = "invalid_request_error"
	TypeAuthentication Type = "authentication_error"
	TypeRateLimit      Type = "rate_limit_error"
	TypeServer         Type = "server_error"
)

// Error is an error response. It must not be modified once it is in use.
type Error struct {
	Status  int
	Code    Code
	Type    Type
	Message string
	// Param names the invalid field or line, if any.
	Param string
	// RetryAfter is the suggested delay before a retry; zero omits it.
	RetryAfter time.Duration
	// NoRetry tells clients not to retry automatically.
	NoRetry bool
	// Cause is logged and never sent to callers.
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

// Invalid returns the error for an invalid field or line of the input.
func Invalid(param, format string, arguments ...any) *Error {
	return &Error{Status: http.StatusBadRequest, Code: CodeInvalidValue, Type: TypeInvalidRequest, Param: param, Message: fmt.Sprintf(format, arguments...)}
}

// InvalidJSON returns the error for a body that is not the expected JSON.
func InvalidJSON(param, format string, arguments ...any) *Error {
	return &Error{Status: http.StatusBadRequest, Code: CodeInvalidJSON, Type: TypeInvalidRequest, Param: param, Message: fmt.Sprintf(format, arguments...)}
}

// InvalidKey returns the error for a missing or unknown API key.
func InvalidKey(message string) *Error {
	return &Error{Status: http.StatusUnauthorized, Code: CodeInvalidAPIKey, Type: TypeAuthentication, Message: message}
}

// ModelNotFound returns the error for a model that is unknown or not allowed for
// the tenant.
func ModelNotFound(model string) *Error {
	return &Error{Status: http.StatusNotFound, Code: CodeModelNotFound, Type: TypeInvalidRequest, Param: "model", Message: fmt.Sprintf("the model %q does not exist or you may not use it", model)}
}

// NotFound returns the error for a resource that does not exist.
func NotFound(format string, arguments ...any) *Error {
	return &Error{Status: http.StatusNotFound, Code: CodeNotFound, Type: TypeInvalidRequest, Message: fmt.Sprintf(format, arguments...)}
}

// MethodNotAllowed returns the error for a path that needs another method.
func MethodNotAllowed(method, allowed string) *Error {
	return &Error{Status: http.StatusMethodNotAllowed, Code: CodeMethodNotAllowed, Type: TypeInvalidRequest, Message: fmt.Sprintf("%s is not allowed here, use %s", method, allowed)}
}

// Conflict returns the error for a request that conflicts with an earlier one.
func Conflict(param, format string, arguments ...any) *Error {
	return &Error{Status: http.StatusConflict, Code: CodeConflict, Type: TypeInvalidRequest, Param: param, Message: fmt.Sprintf(format, arguments...), NoRetry: true}
}

// BodyTooLarge returns the error for a body larger than limit bytes.
func BodyTooLarge(limit int64) *Error {
	return &Error{Status: http.StatusRequestEntityTooLarge, Code: CodeBodyTooLarge, Type: TypeInvalidRequest, Message: fmt.Sprintf("the body is larger than %d bytes", limit)}
}

// BodyTimeout returns the error for a body that did not arrive within limit.
func BodyTimeout(limit time.Duration) *Error {
	return &Error{Status: http.StatusRequestTimeout, Code: CodeBodyTimeout, Type: TypeInvalidRequest, Message: fmt.Sprintf("the body did not arrive within %s", limit), NoRetry: true}
}

// NotRun returns the error for a request that no engine ran, with a retry delay
// of at least a millisecond. Status is 429 for a tenant's limit, otherwise 503.
func NotRun(status int, retryAfter time.Duration, format string, arguments ...any) *Error {
	kind := TypeServer
	if status == http.StatusTooManyRequests {
		kind = TypeRateLimit
	}
	return &Error{Status: status, Code: CodeNotRun, Type: kind, RetryAfter: max(retryAfter, time.Millisecond), Message: fmt.Sprintf(format, arguments...)}
}

// ErrStopping is the cause with which a request's context ends if its node has no time left for it.
var ErrStopping = errors.New("the node is stopping")

// stoppingRetryAfter is the retry delay of requests that a stopping node refuses; other nodes take them
// at once.
const stoppingRetryAfter = 100 * time.Millisecond

// Stopping returns the error for a request that a stopping node has no time for and did not run.
func Stopping() *Error {
	return NotRun(http.StatusServiceUnavailable, stoppingRetryAfter, "this node is stopping; the request was not run")
}

// OutcomeUnknown returns the error for a request that an engine may have run in
// part or in full. Clients are told not to retry it.
func OutcomeUnknown(cause error) *Error {
	return &Error{Status: http.StatusBadGateway, Code: CodeOutcomeUnknown, Type: TypeServer, Message: "the request was sent to an engine and its outcome is not known", NoRetry: true, Cause: cause}
}

// EngineFailed returns the error for a request that an engine ran and answered
// with an error.
func EngineFailed(cause error) *Error {
	return &Error{Status: http.StatusBadGateway, Code: CodeEngineFailed, Type: TypeServer, Message: "an engine ran the request and failed", Cause: cause}
}

// StreamBroken returns the error for a stream that failed after its first token.
func StreamBroken(cause error) *Error {
	return &Error{Status: http.StatusBadGateway, Code: CodeStreamBroken, Type: TypeServer, Message: "the stream broke off and could not be finished; what was sent before is not the whole answer", Cause: cause}
}

// DeadlineExceeded returns the error for a request whose deadline passed after an
// engine may have run some of it.
func DeadlineExceeded(cause error) *Error {
	return &Error{Status: http.StatusGatewayTimeout, Code: CodeDeadlineExceeded, Type: TypeServer, Message: "the request's time passed; an engine may have run some of it", NoRetry: true, Cause: cause}
}

// From returns the *Error in err's chain, or else an internal error that hides err
// from the caller.
func From(err error) *Error {
	var apiError *Error
	if errors.As(err, &apiError) {
		return apiError
	}
	return &Error{Status: http.StatusInternalServerError, Code: CodeOutcomeUnknown, Type: TypeServer, Message: "an internal error occurred", NoRetry: true, Cause: err}
}

type errorDetail struct {
	Message   string  `json:"message"`
	Type      Type    `json:"type"`
	Param     *string `json:"param"`
	Code      Code    `json:"code"`
	RequestID string  `json:"request_id,omitempty"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

// JSON returns the response body in OpenAI's format.
func (e *Error) JSON(requestID string) []byte {
	detail := errorDetail{Message: e.Message, Type: e.Type, Code: e.Code, RequestID: requestID}
	if e.Param != "" {
		detail.Param = &e.Param
	}
	out, err := json.Marshal(errorBody{Error: detail})
	if err != nil { // unreachable: the body has only strings
		panic(err)
	}
	return out
}

// Write writes the error response. The header HeaderRequestID must be set in w; its
// value is repeated in the body.
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
