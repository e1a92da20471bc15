package forward

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/upstream"
)

// An engine's error status that tells callers that the request has not run must not be
// forwarded if the request ran and must not be repeated.
func TestForwarderReplacesMisleadingNotRunStatus(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, repeatable := range []bool{false, true} {
			g := gomega.NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Id", r.Header.Get("X-Id"))
				w.WriteHeader(status)
			}))
			engine := catalog.Engine{ID: "e", Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8}
			snapshot := catalog.NewSnapshot(nil, []catalog.Engine{engine})
			f := &Forwarder{
				Pool: upstream.NewPool(testDialect{}), Balancer: balance.New(func() *catalog.Snapshot { return snapshot }), Usable: snapshot.Usable,
			}
			route := &catalog.Route{Name: "r", Attempts: 1, Target: time.Hour, Repeatable: repeatable, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}
			sink := &recordingSink{}
			f.Serve(t.Context(), &Request{ID: "one", Method: http.MethodPost, URI: "/", Host: "h", Arrived: time.Now()}, route, sink)
			server.Close()
			if repeatable {
				g.Expect(sink.status).To(gomega.Equal(status))
				continue
			}
			g.Expect(sink.refused).To(gomega.BeTrue(), "status %d", status)
			g.Expect(sink.verdict).To(gomega.Equal(VerdictUnknown), "status %d", status)
		}
	}
}
