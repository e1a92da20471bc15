package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/upstream"
)

// originFixture forwards requests to engines of two releases.
type originFixture struct {
	*Forwarder
	engines []catalog.Engine
	route   *catalog.Route
	origin  catalog.Release
	known   bool // the origin
	records bool // whether origins are recorded
	began   []catalog.Release
	beganOf []string // streams, by their first requests
}

func newOriginFixture(t *testing.T, versions ...string) *originFixture {
	f := &originFixture{}
	var closed atomic.Int32
	for i, version := range versions {
		engine := streamingEngine(t, string(rune('a'+i)), true, 0, &closed)
		engine.Version = version
		f.engines = append(f.engines, engine)
	}
	snapshot := catalog.NewSnapshot(nil, append([]catalog.Engine(nil), f.engines...))
	f.Forwarder = &Forwarder{
		Pool: upstream.NewPool(streamDialect{}), Balancer: balance.New(func() *catalog.Snapshot { return snapshot }), Usable: snapshot.Usable,
		Origin: func(context.Context, *Request, *catalog.Route) (catalog.Release, bool) { return f.origin, f.known },
		Began: func(request *Request, _ *catalog.Route, release catalog.Release) bool {
			f.began, f.beganOf = append(f.began, release), append(f.beganOf, request.Stream())
			return f.records
		},
	}
	f.route = &catalog.Route{
		Name: "r", Kind: catalog.KindStream, Resumable: true, Attempts: 3, Target: time.Second, Backends: []catalog.Backend{{Service: "s", Weight: 1}},
	}
	return f
}

func (f *originFixture) serve(request Request) (sink *streamSink, sent bool) {
	sink = &streamSink{}
	request.Method, request.URI, request.Host = http.MethodGet, "/", "h"
	if request.LastEvent > 0 {
		request.Header = http.Header{"X-After": {fmt.Sprint(request.LastEvent)}}
	}
	request.Arrived = time.Now()
	request.Deadline = request.Arrived.Add(5 * time.Second)
	sent = f.Serve(context.Background(), &request, f.route, sink)
	return sink, sent
}

func TestStreamContinuedAtReleaseThatBeganIt(t *testing.T) {
	for _, version := range []string{"1", "2"} {
		g := gomega.NewWithT(t)
		f := newOriginFixture(t, "1", "2", "1", "2")
		f.origin, f.known = catalog.Release{Service: "s", Version: version}, true
		for range 8 {
			var resumed []catalog.Release
			f.Resumed = func(began, next catalog.Release) { resumed = append(resumed, began, next) }
			sink, _ := f.serve(Request{ID: "again", Resumes: "first", LastEvent: 3})
			g.Expect(sink.ended).To(gomega.BeTrue())
			g.Expect(resumed).To(gomega.Equal([]catalog.Release{f.origin, f.origin}))
		}
		g.Expect(f.began).To(gomega.HaveEach(f.origin))
		g.Expect(f.beganOf).To(gomega.HaveEach("first"), "a third request names the first one as well")
	}
}

func TestStreamRefusedAtOnceWhenItCannotContinue(t *testing.T) {
	for name, test := range map[string]struct {
		origin catalog.Release
		known  bool
	}{
		"unknown":            {catalog.Release{}, false},
		"no engine left":     {catalog.Release{Service: "s", Version: "0"}, true},
		"service moved away": {catalog.Release{Service: "former", Version: "1"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newOriginFixture(t, "1", "2")
			f.origin, f.known = test.origin, test.known
			began := time.Now()
			sink, sent := f.serve(Request{ID: "again", Resumes: "first", LastEvent: 3})
			g.Expect(sent).To(gomega.BeFalse())
			g.Expect(sink.refused).To(gomega.BeTrue())
			g.Expect(sink.verdict).To(gomega.Equal(VerdictNotRun))
			g.Expect(sink.retryAfter).To(gomega.BeZero(), "another try would fail too")
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second))
			g.Expect(f.began).To(gomega.BeEmpty())
		})
	}
}

func TestOriginRecordedBeforeFirstEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newOriginFixture(t, "1")
	sink := &streamSink{}
	eventsBefore := -1
	f.Began = func(*Request, *catalog.Route, catalog.Release) bool {
		eventsBefore = len(sink.events)
		return true
	}
	now := time.Now()
	f.Serve(context.Background(), &Request{ID: "one", Method: http.MethodGet, URI: "/", Host: "h", Arrived: now, Deadline: now.Add(5 * time.Second)}, f.route, sink)
	g.Expect(sink.ended).To(gomega.BeTrue())
	g.Expect(eventsBefore).To(gomega.BeZero())
}

// An engine chosen by whatever rule must not get a stream that another release began.
func TestAttemptChecksRelease(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newOriginFixture(t, "1", "2")
	lease, err := f.Balancer.Acquire(context.Background(), balance.Wish{Service: "s"}, 0, 0, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	fl := &inflight{Forwarder: f.Forwarder, request: &Request{ID: "one"}, route: f.route, attempts: NewAttempts(f.route)}
	fl.began = catalog.Release{Service: "s", Version: "3"}
	result, done := fl.attempt(context.Background(), lease)
	g.Expect(done).To(gomega.BeFalse())
	g.Expect(result.withheld).To(gomega.BeTrue())
	g.Expect(errors.Is(result.cause, errRelease)).To(gomega.BeTrue())
}

// Guards against a stream that begins while its release is the only one and has no record once
// there are two.
func TestOriginOfRunningStreamRecordedOnceNeeded(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newOriginFixture(t, "1")
	fl := &inflight{Forwarder: f.Forwarder, request: &Request{ID: "one"}, route: f.route}
	calls := func() int {
		fl.recordOrigin(f.engines[0])
		return len(f.began)
	}
	g.Expect(calls()).To(gomega.Equal(1))
	g.Expect(calls()).To(gomega.Equal(1), "checked again after an interval only")
	fl.recordAt = time.Now()
	f.records = true
	g.Expect(calls()).To(gomega.Equal(2))
	g.Expect(fl.recordAt).To(gomega.BeTemporally("~", time.Now().Add(originInterval), time.Second))
	g.Expect(calls()).To(gomega.Equal(2))
}
