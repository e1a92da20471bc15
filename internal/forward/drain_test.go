package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/upstream"
)

// testDialect spells what countingEngine understands.
type testDialect struct{}

func (testDialect) Header(call *upstream.Call, _ time.Time) http.Header {
	return http.Header{"X-Id": {call.ID}}
}

func (testDialect) Facts(_ int, header http.Header) upstream.Facts {
	return upstream.Facts{ID: header.Get("X-Id"), Signed: true}
}

// countingEngine answers all requests and counts them.
func countingEngine(t *testing.T, id, zone string, arrived *atomic.Int32) catalog.Engine {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
	}))
	t.Cleanup(server.Close)
	return catalog.Engine{ID: id, Service: "s", Zone: zone, Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8}
}

// answered implements Sink: it keeps what the answer was.
type answered struct {
	status  int
	verdict Verdict
	refused bool
	after   time.Duration
}

func (a *answered) Whole(status int, _ http.Header, _ []byte) error { a.status = status; return nil }
func (a *answered) Begin(int, http.Header) error                    { return nil }
func (a *answered) Event([]byte) error                              { return nil }
func (a *answered) End() error                                      { return nil }
func (a *answered) Abort()                                          {}
func (a *answered) Refuse(verdict Verdict, after time.Duration) error {
	a.refused, a.verdict, a.after = true, verdict, after
	return nil
}

func serve(f *Forwarder, services ...string) *answered {
	return serveFrom(f, time.Now(), time.Hour, services...)
}

func serveFrom(f *Forwarder, arrived time.Time, target time.Duration, services ...string) *answered {
	route := &catalog.Route{Name: "r", Attempts: 1, Target: target}
	for _, service := range services {
		route.Backends = append(route.Backends, catalog.Backend{Service: service, Weight: 1})
	}
	sink := &answered{}
	request := &Request{ID: "one", Method: http.MethodPost, URI: "/", Host: "h", Arrived: arrived}
	f.Serve(context.Background(), request, route, sink)
	return sink
}

// An engine whose zone is drained between its choice and the send, as while a
// connection is opened, gets nothing; it is no failure of the engine's, which is the
// first choice again once its zone is back.
func TestAnEngineDrainedBeforeTheSendGetsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	var near, far atomic.Int32
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{countingEngine(t, "near", "z1", &near), countingEngine(t, "far", "z2", &far)})
	asked := 0
	f := &Forwarder{
		Pool: upstream.NewPool(testDialect{}), Balancer: balance.New(func() *catalog.Snapshot { return snapshot }), Zone: "z1",
		Usable: func(id, _ string) bool {
			if id == "near" {
				asked++
			}
			return id != "near" || asked != 2
		},
	}
	g.Expect(serve(f, "s").status).To(gomega.Equal(http.StatusOK))
	g.Expect(near.Load()).To(gomega.BeZero())
	g.Expect(far.Load()).To(gomega.Equal(int32(1)))
	g.Expect(serve(f, "s").status).To(gomega.Equal(http.StatusOK))
	g.Expect(near.Load()).To(gomega.Equal(int32(1)), "it wasn't set aside")
}

// With all engines drained a request is refused at once, as not run, and its caller
// comes back no sooner than that may have changed.
func TestARequestWithoutEnginesIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	var arrived atomic.Int32
	engine := countingEngine(t, "e", "z1", &arrived)
	engine.Drained = true
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{engine})
	f := &Forwarder{Pool: upstream.NewPool(testDialect{}), Balancer: balance.New(func() *catalog.Snapshot { return snapshot }), Usable: snapshot.Usable}
	sink := serve(f, "s")
	g.Expect(sink.refused).To(gomega.BeTrue())
	g.Expect(sink.verdict).To(gomega.Equal(VerdictNotRun))
	g.Expect(sink.after).To(gomega.BeNumerically(">=", noEngineBack))
	g.Expect(sink.after).To(gomega.BeNumerically("<=", 2*noEngineBack))
	g.Expect(arrived.Load()).To(gomega.BeZero())
}

// A request whose service has no engine left waits for room at its route's other one,
// as any request without a target does.
func TestARequestWaitsForRoomAtTheOtherService(t *testing.T) {
	g := gomega.NewWithT(t)
	var arrived atomic.Int32
	other := countingEngine(t, "other", "z2", &arrived)
	other.Service, other.Slots = "t", 1
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{{ID: "drained", Service: "s", Drained: true}, other})
	balancer := balance.New(func() *catalog.Snapshot { return snapshot })
	var holding []*balance.Lease
	for {
		lease, err := balancer.Acquire(context.Background(), balance.Wish{Service: "t"}, 0, 0, nil)
		if err != nil {
			break
		}
		holding = append(holding, lease)
	}
	f := &Forwarder{Pool: upstream.NewPool(testDialect{}), Balancer: balancer, Usable: snapshot.Usable}
	done := make(chan *answered)
	// It came in an hour, so that its patience outlasts the test.
	go func() { done <- serveFrom(f, time.Now().Add(time.Hour), 0, "s", "t") }()
	g.Eventually(balancer.Waiting, 30*time.Second).Should(gomega.Equal(1))
	for _, lease := range holding {
		lease.Release()
	}
	g.Expect((<-done).status).To(gomega.Equal(http.StatusOK))
	g.Expect(arrived.Load()).To(gomega.Equal(int32(1)))
}
