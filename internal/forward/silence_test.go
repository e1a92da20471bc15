package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/upstream"
)

// silentEngine sends streams of streamEvents events. It stops after half of the events, and before the
// last one, until spoken or the connection is closed, and counts the streams that it began.
func silentEngine(t *testing.T, id string, slots int, spoken <-chan struct{}, begun *atomic.Int32) catalog.Engine {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun.Add(1)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		after := 0
		_, _ = fmt.Sscan(r.Header.Get("X-After"), &after)
		for event := after + 1; event <= streamEvents; event++ {
			fmt.Fprintf(w, "id: %d\ndata: %d\n\n", event, event)
			_ = http.NewResponseController(w).Flush()
			if event == streamEvents/2 || event == streamEvents-1 {
				select {
				case <-spoken:
				case <-r.Context().Done():
					return
				}
			}
		}
	}))
	t.Cleanup(server.Close)
	return catalog.Engine{ID: id, Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Slots: slots}
}

// silenceFixture forwards streams to the engine a, which falls silent, while b is ejected.
type silenceFixture struct {
	*Forwarder
	g       *gomega.WithT
	spoken  chan struct{}
	begun   [2]atomic.Int32 // at a and b
	route   *catalog.Route
	streams sync.WaitGroup
	sinks   []*streamSink
}

func newSilenceFixture(t *testing.T, slotsOfB int, bFallsSilent bool) *silenceFixture {
	f := &silenceFixture{g: gomega.NewWithT(t), spoken: make(chan struct{})}
	spokenByB := f.spoken
	if !bFallsSilent {
		spokenByB = make(chan struct{})
		close(spokenByB)
	}
	engines := []catalog.Engine{silentEngine(t, "a", 8, f.spoken, &f.begun[0]), silentEngine(t, "b", slotsOfB, spokenByB, &f.begun[1])}
	snapshot := catalog.NewSnapshot(nil, engines)
	f.Forwarder = &Forwarder{
		Pool: upstream.NewPool(streamDialect{}), Balancer: balance.New(func() *catalog.Snapshot { return snapshot }), Usable: snapshot.Usable,
	}
	f.route = &catalog.Route{
		Name: "r", Kind: catalog.KindStream, Resumable: true, Attempts: 3, Target: time.Second, Backends: []catalog.Backend{{Service: "s", Weight: 1}},
	}
	f.Balancer.RecordFailure("b", nil)
	return f
}

// begin begins streams at a and ends the ejection of b.
func (f *silenceFixture) begin(streams int) {
	for i := range streams {
		sink := &streamSink{}
		f.sinks = append(f.sinks, sink)
		f.streams.Go(func() {
			now := time.Now()
			f.Serve(context.Background(), &Request{ID: fmt.Sprint(i), Method: http.MethodGet, URI: "/", Host: "h", Arrived: now, Deadline: now.Add(20 * time.Second)}, f.route, sink)
		})
	}
	f.g.Eventually(f.begun[0].Load, 10*time.Second).Should(gomega.BeEquivalentTo(streams))
	f.Balancer.RecordSuccess("b")
}

// expectWhole expects all streams to be whole, with no place left taken.
func (f *silenceFixture) expectWhole() {
	f.streams.Wait()
	for _, sink := range f.sinks {
		f.g.Expect(sink.ended).To(gomega.BeTrue())
		f.g.Expect(sink.events).To(gomega.HaveLen(streamEvents))
	}
	f.g.Eventually(f.Balancer.OwnReport, 10*time.Second).Should(gomega.BeEmpty())
}

// Guards against streams of a silent engine that all leave it for the same free place.
func TestSilentEngineLeftByAsManyStreamsAsPlacesAreFree(t *testing.T) {
	t.Parallel()
	f := newSilenceFixture(t, 1, true)
	f.begin(3)
	hold, err := f.Balancer.Acquire(context.Background(), balance.Wish{Service: "s", Avoid: []string{"a"}}, 0, 0, nil)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.g.Consistently(f.begun[1].Load, silenceTimeout+500*time.Millisecond).Should(gomega.BeZero())
	hold.Release()
	f.g.Eventually(f.begun[1].Load, 10*time.Second).Should(gomega.BeNumerically(">", 0))
	close(f.spoken)
	f.expectWhole()
	f.g.Expect(f.begun[0].Load()).To(gomega.BeEquivalentTo(3))
	f.g.Expect(f.begun[1].Load()).To(gomega.BeNumerically("<", 3))
}

// Guards against places, taken by streams that look for another one, that stay taken or that two hold.
func TestSilenceThatEndsWhilePlacesAreSought(t *testing.T) {
	t.Parallel()
	for range 4 {
		f := newSilenceFixture(t, 8, false)
		f.begin(8)
		time.Sleep(silenceTimeout - 50*time.Millisecond)
		close(f.spoken)
		f.expectWhole()
	}
}

// Guards against streams that leave a silent engine for one that can't be reached.
func TestSilentEngineNotLeftForUnreachableOne(t *testing.T) {
	t.Parallel()
	f := newSilenceFixture(t, 8, false)
	unreachable := catalog.Engine{ID: "b", Service: "s", Address: "127.0.0.1:1", Slots: 8}
	snapshot := catalog.NewSnapshot(nil, []catalog.Engine{silentEngine(t, "a", 8, f.spoken, &f.begun[0]), unreachable})
	f.Balancer = balance.New(func() *catalog.Snapshot { return snapshot })
	f.Balancer.RecordFailure("b", nil)
	f.begin(1)
	time.Sleep(silenceTimeout + 300*time.Millisecond)
	close(f.spoken)
	f.expectWhole()
	f.g.Expect(f.begun[0].Load()).To(gomega.BeEquivalentTo(1))
}

// Guards against a sound engine that is ejected for a silence.
func TestEngineNotEjectedForSilence(t *testing.T) {
	t.Parallel()
	f := newSilenceFixture(t, 8, false)
	f.begin(1)
	f.g.Eventually(f.begun[1].Load, 10*time.Second).Should(gomega.BeEquivalentTo(1))
	f.expectWhole()
	f.g.Expect(f.Balancer.Occupancy([]string{"s"}).Services["s"].Slots).To(gomega.Equal(16))
}

// slowSink takes a while to write one of the events.
type slowSink struct {
	streamSink
	slow func()
}

func (s *slowSink) WriteEvent(raw []byte) error {
	if len(s.events) == streamEvents/2 {
		s.slow()
	}
	return s.streamSink.WriteEvent(raw)
}

// Guards against streams that leave their engine as their caller is slow to read.
func TestSlowCallerIsNoSilenceOfEngine(t *testing.T) {
	t.Parallel()
	f := newSilenceFixture(t, 8, false)
	close(f.spoken)
	sink := &slowSink{slow: func() {
		f.Balancer.RecordSuccess("b")
		time.Sleep(silenceTimeout + 400*time.Millisecond)
	}}
	now := time.Now()
	f.Serve(context.Background(), &Request{ID: "one", Method: http.MethodGet, URI: "/", Host: "h", Arrived: now, Deadline: now.Add(20 * time.Second)}, f.route, sink)
	f.g.Expect(sink.ended).To(gomega.BeTrue())
	f.g.Expect(sink.events).To(gomega.HaveLen(streamEvents))
	f.g.Expect(f.begun[1].Load()).To(gomega.BeZero())
	f.g.Eventually(f.Balancer.OwnReport, 10*time.Second).Should(gomega.BeEmpty())
}
