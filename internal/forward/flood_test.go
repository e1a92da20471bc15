package forward

import (
	"fmt"
	"io"
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

// floodTest forwards to the engine a, which sends an answer, and to b, which is chosen only after it.
type floodTest struct {
	*Forwarder
	begun [2]atomic.Int32
	cut   atomic.Int32 // answers of a whose connection was closed
}

func newFloodTest(t *testing.T, answer func(w http.ResponseWriter, r *http.Request) error) *floodTest {
	f := &floodTest{}
	engines := []catalog.Engine{
		f.engine(t, 0, "a", func(w http.ResponseWriter, r *http.Request) {
			if answer(w, r) != nil {
				f.cut.Add(1)
			}
		}),
		f.engine(t, 1, "b", func(w http.ResponseWriter, r *http.Request) {
			after := 0
			_, _ = fmt.Sscan(r.Header.Get("X-After"), &after)
			_, _ = fmt.Fprintf(w, "id: %d\ndata: 1\n\n", after+1)
		}),
	}
	engines[0].Zone = "z1"
	snapshot := catalog.NewSnapshot(nil, engines)
	f.Forwarder = &Forwarder{
		Pool: upstream.NewPool(streamDialect{}), Balancer: balance.New(func() *catalog.Snapshot { return snapshot }), Usable: snapshot.Usable, Zone: "z1",
	}
	return f
}

func (f *floodTest) engine(t *testing.T, i int, id string, answer http.HandlerFunc) catalog.Engine {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.begun[i].Add(1)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		answer(w, r)
	}))
	t.Cleanup(server.Close)
	return catalog.Engine{ID: id, Service: "s", Zone: "z2", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8}
}

// send forwards a request of a route to the service.
func (f *floodTest) send(t *testing.T, route catalog.Route) *streamSink {
	route.Name, route.Target, route.Backends = "r", time.Hour, []catalog.Backend{{Service: "s", Weight: 1}}
	sink, now := &streamSink{}, time.Now()
	f.Serve(t.Context(), &Request{ID: "one", Method: http.MethodPost, URI: "/", Host: "h", Arrived: now, Deadline: now.Add(20 * time.Second)}, &route, sink)
	return sink
}

// repeat writes a text until size bytes are written, without end if size is 0, and returns the error of a
// closed connection.
func repeat(w io.Writer, text string, size int) error {
	block := strings.Repeat(text, 32<<10/len(text))
	for sent := 0; size == 0 || sent < size; {
		if size > 0 {
			block = block[:min(len(block), size-sent)]
		}
		n, err := io.WriteString(w, block)
		if err != nil {
			return err
		}
		sent += n
	}
	return nil
}

// Guards against a response that is cut at the bound and looks whole.
func TestBodyOverBoundIsNotWhole(t *testing.T) {
	for _, test := range []struct {
		name       string
		status     int
		size       int // without end if 0
		repeatable bool
	}{
		{"at the bound", http.StatusOK, maxBodyBytes, false},
		{"one byte more", http.StatusOK, maxBodyBytes + 1, false},
		{"one byte more, may run again", http.StatusOK, maxBodyBytes + 1, true},
		{"without end", http.StatusOK, 0, false},
		{"without end, may run again", http.StatusOK, 0, true},
		{"failure one byte more", http.StatusBadRequest, maxBodyBytes + 1, false},
		{"failure without end", http.StatusBadRequest, 0, false},
		{"failure without end, may run again", http.StatusInternalServerError, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFloodTest(t, func(w http.ResponseWriter, _ *http.Request) error {
				w.WriteHeader(test.status)
				return repeat(w, "more", test.size)
			})
			sink := f.send(t, catalog.Route{Attempts: 2, Repeatable: test.repeatable})
			g.Expect(f.begun[0].Load()).To(gomega.BeEquivalentTo(1))
			switch {
			case test.size == maxBodyBytes:
				g.Expect(sink.status).To(gomega.Equal(test.status))
				return
			case test.repeatable:
				g.Expect(sink.status).To(gomega.Equal(http.StatusOK))
				g.Expect(f.begun[1].Load()).To(gomega.BeEquivalentTo(1))
			default:
				g.Expect(sink.status).To(gomega.BeZero(), "part of the response must not look whole")
				g.Expect(sink.verdict).To(gomega.Equal(VerdictUnknown))
			}
			if test.size == 0 {
				g.Eventually(f.cut.Load).Should(gomega.BeEquivalentTo(1))
			}
			g.Expect(f.send(t, catalog.Route{Attempts: 1}).status).To(gomega.Equal(http.StatusOK))
			g.Expect(f.begun[0].Load()).To(gomega.BeEquivalentTo(1), "the engine must count as failing")
		})
	}
}

// countedMemory grants up to most bytes and notes the most that were held.
type countedMemory struct {
	mutex            sync.Mutex
	most, held, peak int64
}

func (m *countedMemory) reserve(bytes int64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.held+bytes > m.most {
		return false
	}
	m.held += bytes
	m.peak = max(m.peak, m.held)
	return true
}

func (m *countedMemory) release(bytes int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.held -= bytes
}

// Guards against nodes whose memory responses fill that are each within their bound.
func TestResponsesTogetherStayWithinMemory(t *testing.T) {
	for _, test := range []struct {
		name, text string
		route      catalog.Route
	}{
		{"bodies", "more", catalog.Route{Attempts: 2}},
		{"bodies that may run again", "more", catalog.Route{Attempts: 2, Repeatable: true}},
		{"lines", "more", catalog.Route{Kind: catalog.KindStream, Attempts: 1}},
		{"events", "data: more\n", catalog.Route{Kind: catalog.KindStream, Attempts: 1}},
		{"events that may run again", "data: more\n", catalog.Route{Kind: catalog.KindStream, Attempts: 2, Resumable: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFloodTest(t, func(w http.ResponseWriter, _ *http.Request) error { return repeat(w, test.text, 0) })
			memory := &countedMemory{most: 1 << 20}
			f.Memory = Memory{Reserve: memory.reserve, Release: memory.release}
			var requests sync.WaitGroup
			sinks := make([]*streamSink, 8)
			for i := range sinks {
				requests.Go(func() { sinks[i] = f.send(t, test.route) })
			}
			requests.Wait()
			failed := int32(0)
			for _, sink := range sinks {
				if sink.verdict == VerdictUnknown {
					failed++
				} else {
					g.Expect(sink.ended || sink.status == http.StatusOK).To(gomega.BeTrue())
				}
			}
			if test.route.MayRunAgain() {
				g.Expect(failed).To(gomega.BeZero())
			} else {
				g.Expect(failed).To(gomega.Equal(f.begun[0].Load()))
			}
			g.Expect(memory.peak).To(gomega.BeNumerically(">", freeBytes), "the responses must have been held")
			g.Expect(memory.held).To(gomega.BeZero(), "all memory must be released")
		})
	}
}

// Guards against responses of usual size that fail as others hold all memory, and long ones whose memory
// is held too briefly or counted once while it is copied.
func TestBufferReservesWhatItHolds(t *testing.T) {
	g := gomega.NewWithT(t)
	memory := &countedMemory{}
	b := buffer{memory: Memory{Reserve: memory.reserve, Release: memory.release}}
	for _, length := range []int64{-1, freeBytes - 1} {
		b.free()
		g.Expect(b.readAll(strings.NewReader(strings.Repeat("x", freeBytes-1)), length, maxBodyBytes)).To(gomega.Succeed())
		g.Expect(memory.peak).To(gomega.BeZero())
	}
	b.free()
	g.Expect(b.readAll(endless("x"), -1, maxBodyBytes)).To(gomega.MatchError(errNoMemory))
	memory.most = 8 * freeBytes
	b.free()
	g.Expect(b.readAll(strings.NewReader(strings.Repeat("x", 3*freeBytes)), -1, maxBodyBytes)).To(gomega.Succeed())
	g.Expect(b.bytes).To(gomega.HaveLen(3 * freeBytes))
	g.Expect(memory.held).To(gomega.BeEquivalentTo(cap(b.bytes)))
	g.Expect(memory.peak).To(gomega.BeEquivalentTo(cap(b.bytes) + 2*freeBytes))
	b.free()
	g.Expect(memory.held).To(gomega.BeZero())
}

// Guards against streams that stay at an engine whose bytes bring them no further.
func TestStreamLeavesEngineWithoutProgress(t *testing.T) {
	for _, test := range []struct {
		name, begin, repeated string
	}{
		{"comments", "", ": more\n\n"},
		{"blank lines", "", "\n"},
		{"comments after an event", "id: 1\ndata: 1\n\n", ": more\n\n"},
		{"one event again and again", "", "id: 1\ndata: 1\n\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := newFloodTest(t, func(w http.ResponseWriter, r *http.Request) error {
				if _, err := io.WriteString(w, test.begin); err != nil {
					return err
				}
				for {
					if _, err := io.WriteString(w, test.repeated); err != nil {
						return err
					}
					_ = http.NewResponseController(w).Flush()
					time.Sleep(10 * time.Millisecond)
				}
			})
			started := time.Now()
			sink := f.send(t, catalog.Route{Kind: catalog.KindStream, Attempts: 2, Resumable: true})
			g.Expect(sink.ended).To(gomega.BeTrue())
			g.Expect(f.begun[1].Load()).To(gomega.BeEquivalentTo(1))
			g.Expect(time.Since(started)).To(gomega.BeNumerically("<", 3*silenceTimeout))
			g.Eventually(f.cut.Load).Should(gomega.BeEquivalentTo(1))
		})
	}
}

// rawSink records the bytes of a stream.
type rawSink struct {
	recordingSink
	raw string
}

func (s *rawSink) WriteEvent(raw []byte) error {
	s.raw += string(raw)
	return nil
}

// Guards against comments that are lost or moved on their way.
func TestCommentsOfStreamPassedOn(t *testing.T) {
	const stream = ": one\n\n\n: two\n\nid: 1\ndata: 1\n\n: three\n\nid: 2\ndata: 2\n\n: four\n\n"
	g := gomega.NewWithT(t)
	f := newFloodTest(t, func(w http.ResponseWriter, _ *http.Request) error { return repeat(w, stream, len(stream)) })
	sink, route := &rawSink{}, &catalog.Route{Kind: catalog.KindStream, Attempts: 1, Target: time.Hour, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}
	f.Serve(t.Context(), &Request{ID: "one", Method: http.MethodPost, URI: "/", Host: "h", Arrived: time.Now()}, route, sink)
	g.Expect(sink.raw).To(gomega.Equal(stream))
}
