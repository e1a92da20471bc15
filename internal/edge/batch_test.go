package edge

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/batchwork"
	"chutelock.dev/chutelock/internal/clock"
)

// A refused job is answered with the time at which there is room, if it is known.
func TestRefusedJobCarriesRetryAfter(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, c := range []struct {
		err        error
		status     int
		retryAfter string
	}{
		{batchwork.ErrQueueFull, http.StatusTooManyRequests, "0.2"},
		{&batchwork.RefusedError{Cause: batchwork.ErrQueueFull}, http.StatusTooManyRequests, "0.2"},
		{&batchwork.RefusedError{Cause: batchwork.ErrQueueFull, RetryAfter: 3 * time.Second}, http.StatusTooManyRequests, "3"},
		{&batchwork.RefusedError{Cause: batchwork.ErrTooLate, RetryAfter: 4500 * time.Millisecond}, http.StatusTooManyRequests, "4.5"},
		{&batchwork.InvalidJobError{Cause: "it has no items"}, http.StatusBadRequest, ""},
		{batchwork.ErrUnknown, http.StatusGatewayTimeout, ""},
		{errors.New("other"), http.StatusGatewayTimeout, ""},
	} {
		w := httptest.NewRecorder()
		(&Edge{}).writeJobError(w, "submit", "a", c.err, clock.Now())
		g.Expect(w.Code).To(gomega.Equal(c.status), "%v", c.err)
		g.Expect(w.Header().Get("Retry-After")).To(gomega.Equal(c.retryAfter), "%v", c.err)
	}
}
