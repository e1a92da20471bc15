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

// A request whose time ran out while the machine was suspended is not sent again: its
// engine would work for a caller who left, and be told of time that there isn't.
func TestARequestIsNotSentAgainAfterASuspensionThatTookItsTime(t *testing.T) {
	const lasted = 20 * time.Second
	var arrived atomic.Int32
	engineOf := func(id string) catalog.Engine {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			if arrived.Add(1) == 1 {
				clock.Skip(lasted)
			}
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(server.Close)
		return catalog.Engine{ID: id, Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8}
	}
	defer clock.Skip(-lasted)
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{engineOf("a"), engineOf("b")})
	f := &Forwarder{Pool: upstream.NewPool(testDialect{}), Balancer: balance.New(func() *catalog.Snapshot { return snapshot }), Usable: snapshot.Usable}
	route := &catalog.Route{Name: "r", Attempts: 3, Repeatable: true, Target: time.Second, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}
	now := clock.Now()
	sink := &answered{}
	f.Serve(context.Background(), &Request{ID: "one", Method: http.MethodGet, URI: "/", Host: "h", Arrived: now, Deadline: now.Add(lasted / 2)}, route, sink)
	if arrived.Load() != 1 {
		t.Errorf("engines got the request %d times", arrived.Load())
	}
	if !sink.refused || sink.verdict == VerdictNotRun {
		t.Errorf("answered %+v", sink)
	}
}
