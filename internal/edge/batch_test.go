package edge

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/batchwork"
	"chutelock.dev/chutelock/internal/catalog"
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

// jobDialect reads a job whose ID is its body.
type jobDialect struct{ plainDialect }

func (jobDialect) Job(_ *http.Request, body []byte) (*batchwork.Job, error) {
	return &batchwork.Job{ID: string(body)}, nil
}

// fakeJobs answers reads with an error.
type fakeJobs struct {
	Jobs
	err error
}

func (j fakeJobs) Read(context.Context, string, string, int, time.Duration) (batchwork.Page, error) {
	return batchwork.Page{}, j.err
}

// Guards against a kept job that is denied for good as its route is gone and no data node answers.
func TestUnansweredQuestionForJobIsNoProofThatItIsNotKept(t *testing.T) {
	for _, test := range []struct {
		err    error
		status int
	}{
		{nil, http.StatusAccepted},
		{batchwork.ErrNoJob, http.StatusNotFound},
		{batchwork.ErrUnknown, http.StatusServiceUnavailable},
		{batchwork.ErrNotTaken, http.StatusServiceUnavailable},
		{batchwork.ErrOwnerUnknown, http.StatusServiceUnavailable},
		{errors.New("other"), http.StatusServiceUnavailable},
	} {
		e := &Edge{Dialect: jobDialect{}, Jobs: fakeJobs{err: test.err}, Snapshot: func() *catalog.Snapshot {
			return catalog.NewSnapshot(&catalog.Configuration{}, nil)
		}}
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/jobs/a", strings.NewReader("a"))
		request.Header.Set("Content-Type", "application/json")
		e.ServeHTTP(recorder, request)
		gomega.NewWithT(t).Expect(recorder.Code).To(gomega.Equal(test.status), "%v", test.err)
	}
}
