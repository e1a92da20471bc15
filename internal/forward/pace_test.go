package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/upstream"
)

func TestStreamPace(t *testing.T) {
	g := gomega.NewWithT(t)
	pace, now := streamPace{}, start
	for event := 1; event <= 3*paceCheckEvents+1; event++ {
		g.Expect(pace.add(now)).To(gomega.Equal(event > 1 && event%paceCheckEvents == 1), "event %d", event)
		now = now.Add(100 * time.Millisecond)
	}
	g.Expect(pace.endsLate(10, 1100*time.Millisecond)).To(gomega.BeFalse())
	g.Expect(pace.endsLate(10, 900*time.Millisecond)).To(gomega.BeTrue())
}

// streamDialect is the protocol of streamingEngine.
type streamDialect struct{}

func (streamDialect) Header(call *upstream.Call, _ time.Time) http.Header {
	header := http.Header{"X-Id": {call.ID}}
	if after := call.Header.Get("X-After"); after != "" {
		header.Set("X-After", after)
	}
	if call.Resume {
		header.Set("X-After", fmt.Sprint(call.ResumeAfter))
	}
	return header
}

func (streamDialect) Facts(_ int, header http.Header) upstream.Facts {
	return upstream.Facts{ID: header.Get("X-Id"), Signed: true, Load: &upstream.Load{Slots: 8, Slowdown: 1, ReportsSlowdown: true}}
}

const streamEvents = 20

// streamingEngine sends streams of streamEvents events. It stops after stopAfter of them, if
// that isn't 0, until the connection closes, which it counts in closed.
func streamingEngine(t *testing.T, id string, withIDs bool, stopAfter int, closed *atomic.Int32) catalog.Engine {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		after := 0
		_, _ = fmt.Sscan(r.Header.Get("X-After"), &after)
		for event := after + 1; event <= streamEvents; event++ {
			if withIDs {
				fmt.Fprintf(w, "id: %d\n", event)
			}
			fmt.Fprintf(w, "data: %d\n\n", event)
			_ = http.NewResponseController(w).Flush()
			if event == stopAfter {
				<-r.Context().Done()
				closed.Add(1)
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
	}))
	t.Cleanup(server.Close)
	return catalog.Engine{ID: id, Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8}
}

// streamSink records the events of a stream.
type streamSink struct {
	recordingSink
	events         []string
	ended, aborted bool
}

func (s *streamSink) WriteEvent(raw []byte) error {
	_, data, _ := strings.Cut(string(raw), "data: ")
	s.events = append(s.events, strings.TrimSpace(data))
	return nil
}

func (s *streamSink) EndStream() error {
	s.ended = true
	return nil
}

func (s *streamSink) Abort() { s.aborted = true }

// A stream whose engine stops must go on at another one without a pause that the caller
// notices, but only if it may and another engine has room.
func TestStreamMovesFromPausingEngine(t *testing.T) {
	for _, test := range []struct {
		name      string
		resumable bool
		attempts  int
		useSpeeds bool
		ejected   bool   // the other engine
		withIDs   bool   // of events
		version   string // of the other engine
		moves     int64
	}{
		{"moves", true, 3, true, false, true, "", 1},
		{"not resumable", false, 3, true, false, true, "", 0},
		{"last attempt", true, 1, true, false, true, "", 0},
		{"speeds not used", true, 3, false, false, true, "", 0},
		{"no other engine", true, 3, true, true, true, "", 0},
		{"no event IDs", true, 3, true, false, false, "", 0},
		{"no other engine of the release", true, 3, true, false, true, "2", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			var closed atomic.Int32
			engines := []catalog.Engine{streamingEngine(t, "a", test.withIDs, 8, &closed), streamingEngine(t, "b", test.withIDs, 0, &closed)}
			engines[1].Version = test.version
			snapshot := catalog.NewSnapshot(nil, engines)
			balancer := balance.New(func() *catalog.Snapshot { return snapshot })
			balancer.UseSpeeds = func() bool { return test.useSpeeds }
			f := &Forwarder{Pool: upstream.NewPool(streamDialect{}), Balancer: balancer, Usable: snapshot.Usable}
			route := &catalog.Route{
				Name: "r", Kind: catalog.KindStream, Resumable: true, Attempts: test.attempts, Target: time.Second,
				GapTarget: 400 * time.Millisecond, Backends: []catalog.Backend{{Service: "s", Weight: 1}},
			}
			serve := func(wait time.Duration) *streamSink {
				sink := &streamSink{}
				now := time.Now()
				f.Serve(context.Background(), &Request{ID: "one", Method: http.MethodGet, URI: "/", Host: "h", Arrived: now, Deadline: now.Add(wait)}, route, sink)
				return sink
			}
			balancer.RecordFailure("a", nil) // the pace is learned at b
			g.Expect(serve(5 * time.Second).ended).To(gomega.BeTrue())
			balancer.RecordSuccess("a")
			balancer.RecordFailure("b", nil)
			if test.ejected {
				balancer.RecordFailure("b", nil) // for longer
				balancer.RecordFailure("b", nil)
			} else {
				time.AfterFunc(50*time.Millisecond, func() { balancer.RecordSuccess("b") })
			}
			route.Resumable = test.resumable
			begun := time.Now()
			sink := serve(700 * time.Millisecond)
			g.Expect(balancer.StreamsMoved.Load()).To(gomega.Equal(test.moves))
			g.Expect(sink.ended).To(gomega.Equal(test.moves > 0))
			g.Eventually(closed.Load).Should(gomega.BeEquivalentTo(1))
			g.Eventually(balancer.OwnReport, 5*time.Second).Should(gomega.BeEmpty(), "no place stays reserved")
			if test.moves > 0 {
				g.Expect(sink.events).To(gomega.HaveLen(streamEvents))
				for i, event := range sink.events {
					g.Expect(event).To(gomega.Equal(strconv.Itoa(i + 1)))
				}
				g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 600*time.Millisecond))
			}
		})
	}
}

// Guards against streams that leave a slow engine for one that they may not or can't be sent to.
func TestStreamStaysWhereFasterEngineIsOfNoUse(t *testing.T) {
	for name, test := range map[string]struct {
		address string          // of the faster engine, if not its own
		regions catalog.Regions // once the stream has begun
	}{
		"unreachable":                   {address: "127.0.0.1:1"},
		"in a region not allowed since": {regions: catalog.Regions{"of a"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			var closed atomic.Int32
			engines := []catalog.Engine{streamingEngine(t, "a", true, 8, &closed), streamingEngine(t, "b", true, 0, &closed)}
			engines[0].Region, engines[1].Region = "of a", "of b"
			var snapshot atomic.Pointer[catalog.Snapshot]
			snapshot.Store(catalog.NewSnapshot(nil, engines))
			balancer := balance.New(snapshot.Load)
			balancer.UseSpeeds = func() bool { return true }
			var regions atomic.Pointer[catalog.Regions]
			regions.Store(new(catalog.Regions))
			f := &Forwarder{
				Pool: upstream.NewPool(streamDialect{}), Balancer: balancer, Usable: func(id, service string) bool { return snapshot.Load().Usable(id, service) },
				Regions: func(*Request, *catalog.Route) catalog.Regions { return *regions.Load() },
			}
			route := &catalog.Route{
				Name: "r", Kind: catalog.KindStream, Resumable: true, Attempts: 3, Target: time.Second,
				GapTarget: 400 * time.Millisecond, Backends: []catalog.Backend{{Service: "s", Weight: 1}},
			}
			serve := func(wait time.Duration) {
				now := time.Now()
				f.Serve(context.Background(), &Request{ID: "one", Method: http.MethodGet, URI: "/", Host: "h", Arrived: now, Deadline: now.Add(wait)}, route, &streamSink{})
			}
			balancer.RecordFailure("a", nil) // the pace is learned at b
			serve(5 * time.Second)
			balancer.RecordSuccess("a")
			balancer.RecordFailure("b", nil)
			time.AfterFunc(50*time.Millisecond, func() {
				regions.Store(&test.regions)
				if test.address != "" {
					moved := append([]catalog.Engine{}, engines...)
					moved[1].Address = test.address
					snapshot.Store(catalog.NewSnapshot(nil, moved))
				}
				balancer.RecordSuccess("b")
			})
			serve(700 * time.Millisecond)
			g.Expect(balancer.StreamsMoved.Load()).To(gomega.BeZero())
			g.Eventually(closed.Load, 10*time.Second).Should(gomega.BeEquivalentTo(1))
			g.Eventually(balancer.OwnReport, 5*time.Second).Should(gomega.BeEmpty(), "no place stays reserved")
		})
	}
}

// Guards against a stream that is cut off as no engine can be reached for a moment.
func TestStreamOutlivesMomentWithoutReachableEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	var closed atomic.Int32
	var snapshot atomic.Pointer[catalog.Snapshot]
	set := func(engine catalog.Engine) { snapshot.Store(catalog.NewSnapshot(nil, []catalog.Engine{engine})) }
	whole := streamingEngine(t, "a", true, 0, &closed)
	down := whole
	down.Address = "127.0.0.1:1"
	breaking := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		fmt.Fprint(w, "id: 1\ndata: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond)
		set(down)
		time.AfterFunc(300*time.Millisecond, func() { set(whole) })
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(breaking.Close)
	first := whole
	first.Address = strings.TrimPrefix(breaking.URL, "http://")
	set(first)
	f := &Forwarder{
		Pool: upstream.NewPool(streamDialect{}), Balancer: balance.New(snapshot.Load),
		Usable: func(id, service string) bool { return snapshot.Load().Usable(id, service) },
	}
	route := &catalog.Route{
		Name: "r", Kind: catalog.KindStream, Resumable: true, Attempts: 3, Target: time.Second, Backends: []catalog.Backend{{Service: "s", Weight: 1}},
	}
	sink := &streamSink{}
	now := time.Now()
	f.Serve(context.Background(), &Request{ID: "one", Method: http.MethodGet, URI: "/", Host: "h", Arrived: now, Deadline: now.Add(5 * time.Second)}, route, sink)
	g.Expect(sink.ended).To(gomega.BeTrue())
	g.Expect(sink.events).To(gomega.HaveLen(streamEvents))
}

// A stream without time for another attempt must not leave its engine.
func TestStreamStaysWithoutTimeLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	balancer := balance.New(func() *catalog.Snapshot { return catalog.NewSnapshot(nil, nil) })
	asked := false
	balancer.UseSpeeds = func() bool { asked = true; return true }
	balancer.RecordReport("a", upstream.Load{Slowdown: 1, ReportsSlowdown: true})
	move := func(left time.Duration) {
		fl := &inflight{Forwarder: &Forwarder{Balancer: balancer}, request: &Request{}, deadline: time.Now().Add(left)}
		(&paceWatch{fl: fl}).moveIfFaster(time.Second)
	}
	move(minAttemptTime / 2)
	g.Expect(asked).To(gomega.BeFalse())
	move(time.Minute)
	g.Expect(asked).To(gomega.BeTrue())
}

// Many streams that pause while no engine has room must not look for one all the time.
func TestPauseIsCheckedLessOften(t *testing.T) {
	g := gomega.NewWithT(t)
	balancer := balance.New(func() *catalog.Snapshot { return catalog.NewSnapshot(nil, nil) })
	var checks atomic.Int32
	balancer.UseSpeeds = func() bool { checks.Add(1); return true }
	balancer.RecordReport("a", upstream.Load{Slowdown: 1, ReportsSlowdown: true})
	fl := &inflight{Forwarder: &Forwarder{Balancer: balancer}, request: &Request{}, route: &catalog.Route{Resumable: true, Attempts: 2, GapTarget: 20 * time.Millisecond}}
	fl.attempts = NewAttempts(fl.route)
	lease, err := balance.New(func() *catalog.Snapshot {
		return catalog.NewSnapshot(nil, []catalog.Engine{{ID: "a", Service: "s", Slots: 1}})
	}).Acquire(context.Background(), balance.Wish{Service: "s"}, 0, 0, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	watch := fl.startPaceWatch(context.Background(), catalog.Engine{ID: "a", Service: "s"}, nil)
	watch.event(true)
	checks.Store(0)
	time.Sleep(300 * time.Millisecond)
	watch.stop(lease)
	g.Expect(checks.Load()).To(gomega.BeNumerically("~", 6, 3), "60 at a constant interval")
}
