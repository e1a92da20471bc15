package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/upstream"
)

// A request whose deadline passed while the machine was suspended must not be retried.
func TestForwarderNoRetryAfterSuspensionPastDeadline(t *testing.T) {
	const suspension = 20 * time.Second
	var arrived atomic.Int32
	newEngine := func(id string) catalog.Engine {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			if arrived.Add(1) == 1 {
				clock.SimulateSuspension(suspension)
			}
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(server.Close)
		return catalog.Engine{ID: id, Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8}
	}
	defer clock.SimulateSuspension(-suspension)
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{newEngine("a"), newEngine("b")})
	f := &Forwarder{Pool: upstream.NewPool(testDialect{}), Balancer: balance.New(func() *catalog.Snapshot { return snapshot }), Usable: snapshot.Usable}
	route := &catalog.Route{Name: "r", Attempts: 3, Repeatable: true, Target: time.Second, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}
	now := clock.Now()
	sink := &recordingSink{}
	f.Serve(context.Background(), &Request{ID: "one", Method: http.MethodGet, URI: "/", Host: "h", Arrived: now, Deadline: now.Add(suspension / 2)}, route, sink)
	if arrived.Load() != 1 {
		t.Errorf("engines received the request %d times, want 1", arrived.Load())
	}
	if !sink.refused || sink.verdict == VerdictNotRun {
		t.Errorf("got response %+v, want a refusal that doesn't guarantee not run", sink)
	}
}
