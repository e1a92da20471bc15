package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/batchwork"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/forward"
	"chutelock.dev/chutelock/internal/upstream"
)

// pipeListener accepts one connection.
type pipeListener struct {
	conn   chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conn:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A caller that reads nothing must not block its engine beyond writeStallTimeout; its response
// must not look complete.
func TestSinkAbortsStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		held := make(chan time.Duration, 1)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			started := time.Now()
			sink := &responseSink{writer: w, controller: http.NewResponseController(w)}
			err := sink.BeginStream(http.StatusOK, http.Header{})
			for err == nil {
				err = sink.WriteEvent([]byte("data: x\n\n"))
			}
			held <- time.Since(started)
			panic(http.ErrAbortHandler)
		})}
		listener := &pipeListener{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
		client, node := net.Pipe()
		listener.conn <- node
		go func() { _ = server.Serve(listener) }()
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(<-held).To(gomega.BeNumerically("~", writeStallTimeout, time.Second))
		_, err = http.ReadResponse(bufio.NewReader(client), nil)
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(server.Close()).To(gomega.Succeed())
	})
}

// A body that doesn't arrive must not be waited for beyond defaultBodyTimeout.
func TestEdgeBodyTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := &Edge{Dialect: plainDialect{}, Snapshot: func() *catalog.Snapshot {
			return catalog.NewSnapshot(&catalog.Configuration{Routes: []catalog.Route{{Host: "h", Prefix: "/"}}}, nil)
		}}
		server := &http.Server{Handler: e}
		listener := &pipeListener{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
		client, node := net.Pipe()
		listener.conn <- node
		go func() { _ = server.Serve(listener) }()
		started := time.Now()
		_, err := io.WriteString(client, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nsome")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.StatusCode).To(gomega.Equal(http.StatusRequestTimeout))
		g.Expect(time.Since(started)).To(gomega.BeNumerically("~", defaultBodyTimeout, time.Second))
		_ = client.Close()
		g.Expect(server.Close()).To(gomega.Succeed())
	})
}

// pageDialect writes the text of a page's first result.
type pageDialect struct{ plainDialect }

func (pageDialect) WritePage(w http.ResponseWriter, page batchwork.Page) error {
	_, err := w.Write(page.Results[0].Text)
	return err
}

// Bodies and pages beyond the memory limit must be refused as not run, and all memory be
// released at the end.
func TestMemoryLimitCoversBodiesAndPages(t *testing.T) {
	g := gomega.NewWithT(t)
	e := &Edge{Dialect: pageDialect{}, MemoryBudget: NewMemoryBudget(memoryDivisor * 1000)}
	body := func(size int, kind catalog.Kind) (int, int64) {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size)))
		read, reserved, ok := e.readBody(recorder, request, 0, kind, time.Time{})
		if !ok {
			return recorder.Code, 0
		}
		g.Expect(read).To(gomega.HaveLen(size))
		return http.StatusOK, reserved
	}
	status, first := body(600, catalog.KindStream)
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	status, _ = body(600, catalog.KindStream)
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	status, _ = body(300, catalog.KindBatch)
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable), "a job's body is held three times")
	page := batchwork.Page{Results: []batchwork.Result{{Text: []byte(strings.Repeat("y", 300))}}}
	recorder := httptest.NewRecorder()
	e.writePage(recorder, page)
	g.Expect(recorder.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	e.MemoryBudget.Release(first)
	status, second := body(300, catalog.KindBatch)
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	e.MemoryBudget.Release(second)
	recorder = httptest.NewRecorder()
	e.writePage(recorder, page)
	g.Expect(recorder.Code).To(gomega.Equal(http.StatusOK))
	g.Expect(e.MemoryBudget.Reserve(1000)).To(gomega.BeTrue(), "all memory must be released")
}

// Guards against responses that leave no memory for requests.
func TestHalfOfMemoryLimitLeavesTheRest(t *testing.T) {
	g := gomega.NewWithT(t)
	whole := NewMemoryBudget(memoryDivisor * 1000)
	half := whole.Half()
	g.Expect(half.Reserve(501)).To(gomega.BeFalse())
	g.Expect(half.Reserve(500)).To(gomega.BeTrue())
	g.Expect(whole.Reserve(501)).To(gomega.BeFalse(), "both are held in the same memory")
	g.Expect(whole.Reserve(500)).To(gomega.BeTrue())
	half.Release(500)
	g.Expect(whole.Reserve(200)).To(gomega.BeTrue())
	g.Expect(half.Reserve(301)).To(gomega.BeFalse())
	whole.Release(700)
	g.Expect(half.Reserve(500)).To(gomega.BeTrue(), "all memory must be released")
	var unbounded *MemoryBudget
	g.Expect(unbounded.Half().Reserve(1 << 40)).To(gomega.BeTrue())
}

// A body of unknown length must reserve the maximum only while it is read, then its own size.
func TestMemoryLimitShrinksToBodySize(t *testing.T) {
	g := gomega.NewWithT(t)
	e := &Edge{Dialect: plainDialect{}, MemoryBudget: NewMemoryBudget(memoryDivisor * 1000)}
	for range 5 {
		request := httptest.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader("some bytes")))
		g.Expect(request.ContentLength).To(gomega.BeNumerically("<", 0))
		_, reserved, ok := e.readBody(httptest.NewRecorder(), request, 900, catalog.KindStream, time.Time{})
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(reserved).To(gomega.BeEquivalentTo(len("some bytes")))
	}
}

// endlessDialect is the protocol of an engine whose stream never ends.
type endlessDialect struct{}

func (endlessDialect) Header(call *upstream.Call, _ time.Time) http.Header {
	return http.Header{"X-Id": {call.ID}}
}
func (endlessDialect) Facts(_ int, header http.Header) upstream.Facts {
	return upstream.Facts{ID: header.Get("X-Id"), Signed: true}
}

// BenchmarkStalledReaders measures heap and stack memory per caller that doesn't read its
// endless stream; callers and engine in the same process are included.
func BenchmarkStalledReaders(b *testing.B) {
	const readers = 1000
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		for id := 1; ; id++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", 1000)); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	}))
	defer engine.CloseClientConnections()
	configuration := &catalog.Configuration{Routes: []catalog.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: catalog.KindStream, Attempts: 1, Target: time.Hour, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}}}
	snapshot := catalog.NewSnapshot(configuration, []catalog.Engine{
		{ID: "e", Service: "s", Address: strings.TrimPrefix(engine.URL, "http://"), Slots: 2 * readers}})
	known := func() *catalog.Snapshot { return snapshot }
	node := httptest.NewServer(&Edge{Dialect: plainDialect{}, Snapshot: known, Forwarder: &forward.Forwarder{
		Pool: upstream.NewPool(endlessDialect{}), Balancer: balance.New(known), Usable: snapshot.Usable}})
	defer node.CloseClientConnections()
	for b.Loop() {
		before := memory()
		conns := make([]net.Conn, 0, readers)
		for range readers {
			conn, err := net.Dial("tcp", strings.TrimPrefix(node.URL, "http://"))
			if err != nil {
				b.Fatal(err)
			}
			conns = append(conns, conn)
			if _, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				b.Fatal(err)
			}
		}
		time.Sleep(3 * time.Second)
		b.ReportMetric(float64(memory()-before)/readers/1024, "KB/reader")
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

func memory() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
