package apierror

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestWriteSetsBodyAndRetryHeaders(t *testing.T) {
	for name, test := range map[string]struct {
		err        *Error
		status     int
		body       string
		retryAfter string
		noRetry    string
	}{
		"not run":  {NotRun(http.StatusTooManyRequests, 1200*time.Millisecond, "too many"), 429, `{"error":{"message":"too many","type":"rate_limit_error","param":null,"code":"not_run","request_id":"r1"}}`, "2", ""},
		"no hint":  {NotRun(http.StatusServiceUnavailable, 0, "busy"), 503, `{"error":{"message":"busy","type":"server_error","param":null,"code":"not_run","request_id":"r1"}}`, "1", ""},
		"field":    {Invalid("n", "must be 1"), 400, `{"error":{"message":"must be 1","type":"invalid_request_error","param":"n","code":"invalid_value","request_id":"r1"}}`, "", ""},
		"unknown":  {From(OutcomeUnknown(errors.New("cut"))), 502, `{"error":{"message":"the request was sent to an engine and its outcome is not known","type":"server_error","param":null,"code":"outcome_unknown","request_id":"r1"}}`, "", "false"},
		"wrapped":  {From(fmt.Errorf("step: %w", InvalidKey("no key"))), 401, `{"error":{"message":"no key","type":"authentication_error","param":null,"code":"invalid_api_key","request_id":"r1"}}`, "", ""},
		"internal": {From(errors.New("secret")), 500, `{"error":{"message":"an internal error occurred","type":"server_error","param":null,"code":"outcome_unknown","request_id":"r1"}}`, "", "false"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			recorder := httptest.NewRecorder()
			recorder.Header().Set(HeaderRequestID, "r1")
			Write(recorder, test.err)
			g.Expect(recorder.Code).To(gomega.Equal(test.status))
			g.Expect(recorder.Body.String()).To(gomega.Equal(test.body))
			g.Expect(recorder.Header().Get("Retry-After")).To(gomega.Equal(test.retryAfter))
			g.Expect(recorder.Header().Get(HeaderShouldRetry)).To(gomega.Equal(test.noRetry))
		})
	}
}
