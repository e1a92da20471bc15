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

// testDialect is the protocol of countingEngine.
type testDialect struct{}

func (testDialect) Header(call *upstream.Call, _ time.Time) http.Header {
	return http.Header{"X-Id": {call.ID}}
}

func (testDialect) Facts(_ int, header http.Header) upstream.Facts {
	return upstream.Facts{ID: header.Get("X-Id"), Signed: true}
}

// countingEngine responds to all requests and counts them.
func countingEngine(t *testing.T, id, zone string, arrived *atomic.Int32) catalog.Engine {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
	}))
	t.Cleanup(server.Close)
	return catalog.Engine{ID: id, Service: "s", Zone: zone, Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8}
}

// recordingSink implements Sink and records the response.
type recordingSink struct {
	status     int
	verdict    Verdict
	refused    bool
	retryAfter time.Duration
}

func (s *recordingSink) WriteResponse(status int, _ http.Header, _ []byte) error {
	s.status = status
	return nil
}
func (s *recordingSink) BeginStream(int, http.Header) error { return nil }
func (s *recordingSink) WriteEvent([]byte) error            { return nil }
func (s *recordingSink) EndStream() error                   { return nil }
func (s *recordingSink) Abort()                             {}
func (s *recordingSink) Refuse(verdict Verdict, retryAfter time.Duration) error {
	s.refused, s.verdict, s.retryAfter = true, verdict, retryAfter
	return nil
}

func serve(f *Forwarder, services ...string) *recordingSink {
	return serveArrived(f, time.Now(), time.Hour, services...)
}

func serveArrived(f *Forwarder, arrived time.Time, target time.Duration, services ...string) *recordingSink {
	route := &catalog.Route{Name: "r", Attempts: 1, Target: target}
	for _, service := range services {
		route.Backends = append(route.Backends, catalog.Backend{Service: service, Weight: 1})
	}
	sink := &recordingSink{}
	request := &Request{ID: "one", Method: http.MethodPost, URI: "/", Host: "h", Arrived: arrived}
	f.Serve(context.Background(), request, route, sink)
	return sink
}

// An engine that is drained between its choice and the send, as during a connect, must get
// nothing, and must not be ejected for it.
func TestForwarderSkipsEngineDrainedBeforeSend(t *testing.T) {
	g := gomega.NewWithT(t)
	var near, far atomic.Int32
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{countingEngine(t, "near", "z1", &near), countingEngine(t, "far", "z2", &far)})
	checks := 0
	f := &Forwarder{
		Pool: upstream.NewPool(testDialect{}), Balancer: balance.New(func() *catalog.Snapshot { return snapshot }), Zone: "z1",
		Usable: func(id, _ string) bool {
			if id == "near" {
				checks++
			}
			return id != "near" || checks != 2
		},
	}
	g.Expect(serve(f, "s").status).To(gomega.Equal(http.StatusOK))
	g.Expect(near.Load()).To(gomega.BeZero())
	g.Expect(far.Load()).To(gomega.Equal(int32(1)))
	g.Expect(serve(f, "s").status).To(gomega.Equal(http.StatusOK))
	g.Expect(near.Load()).To(gomega.Equal(int32(1)), "the engine must not be ejected")
}

// With all engines drained, a request is refused at once as not run, and its caller retries
// only after noEngineRetryAfter.
func TestForwarderRefusesWhenAllEnginesDrained(t *testing.T) {
	g := gomega.NewWithT(t)
	var arrived atomic.Int32
	engine := countingEngine(t, "e", "z1", &arrived)
	engine.Drained = true
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{engine})
	f := &Forwarder{Pool: upstream.NewPool(testDialect{}), Balancer: balance.New(func() *catalog.Snapshot { return snapshot }), Usable: snapshot.Usable}
	sink := serve(f, "s")
	g.Expect(sink.refused).To(gomega.BeTrue())
	g.Expect(sink.verdict).To(gomega.Equal(VerdictNotRun))
	g.Expect(sink.retryAfter).To(gomega.BeNumerically(">=", noEngineRetryAfter))
	g.Expect(sink.retryAfter).To(gomega.BeNumerically("<=", 2*noEngineRetryAfter))
	g.Expect(arrived.Load()).To(gomega.BeZero())
}

// A request whose service has no engines must wait for a slot at the route's other service.
func TestForwarderWaitsForOtherService(t *testing.T) {
	g := gomega.NewWithT(t)
	var arrived atomic.Int32
	other := countingEngine(t, "other", "z2", &arrived)
	other.Service, other.Slots = "t", 1
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{{ID: "drained", Service: "s", Drained: true}, other})
	balancer := balance.New(func() *catalog.Snapshot { return snapshot })
	var leases []*balance.Lease
	for {
		lease, err := balancer.Acquire(context.Background(), balance.Wish{Service: "t"}, 0, 0, nil)
		if err != nil {
			break
		}
		leases = append(leases, lease)
	}
	f := &Forwarder{Pool: upstream.NewPool(testDialect{}), Balancer: balancer, Usable: snapshot.Usable}
	done := make(chan *recordingSink)
	// The arrival lies in the future, so that the wait outlasts the test.
	go func() { done <- serveArrived(f, time.Now().Add(time.Hour), 0, "s", "t") }()
	g.Eventually(balancer.Waiting, 30*time.Second).Should(gomega.Equal(1))
	for _, lease := range leases {
		lease.Release()
	}
	g.Expect((<-done).status).To(gomega.Equal(http.StatusOK))
	g.Expect(arrived.Load()).To(gomega.Equal(int32(1)))
}
