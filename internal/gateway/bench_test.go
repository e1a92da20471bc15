package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/engine/openaihttp"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/settings"
)

const tokensPerStream = 500

// processCPU returns the CPU time of the process, which depends less on other load
// than elapsed time does.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// tokenEngine returns an HTTP engine that streams tokens without delay, one per
// event.
func tokenEngine() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := "cmpl-" + r.Header.Get("X-Request-Id")
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for i := range tokensPerStream {
			_, _ = fmt.Fprintf(w, `data: {"id":%q,"token_index":%d,"object":"text_completion","choices":[{"index":0,"text":" token%d","finish_reason":null}]}`+"\n\n", id, i, i)
			_ = control.Flush()
		}
		_, _ = fmt.Fprintf(w, `data: {"id":%q,"token_index":%d,"choices":[{"index":0,"text":"","finish_reason":"stop"}],"usage":{"prompt_tokens":5,"completion_tokens":%d}}`+"\n\ndata: [DONE]\n\n", id, tokensPerStream, tokensPerStream)
	}))
}

type httpClients struct{ *fakeFleet }

func (c httpClients) Client(endpoint *fleet.Endpoint) engine.Client {
	return openaihttp.New(endpoint.Name, endpoint.Address, openaihttp.Options{Transport: benchTransport})
}

var benchTransport = openaihttp.NewTransport(time.Second)

// readStream reads a whole stream and fails if events are missing.
func readStream(b *testing.B, url string) {
	request, _ := http.NewRequest("POST", url+PathCompletions, strings.NewReader(completionBody(PathCompletions, "x", true)))
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("X-Request-Id", "direct")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	scanner, events := bufio.NewScanner(response.Body), 0
	for scanner.Scan() {
		if len(scanner.Bytes()) > 0 {
			events++
		}
	}
	if events < tokensPerStream {
		b.Fatalf("%d events: %v", events, scanner.Err())
	}
}

// BenchmarkStream compares reading a stream from the engine directly and through
// the gateway, over sockets. The difference in cpu-ns/token is the gateway's CPU
// time per token, including its I/O.
func BenchmarkStream(b *testing.B) {
	engineServer := tokenEngine()
	defer engineServer.Close()
	engines := newFakeFleet(1)
	engines.snapshot.Endpoints[0].Address = engineServer.Listener.Addr().String()
	g := New(Dependencies{Settings: testSettings(settings.Tenant{}, testService()), Fleet: engines, Clients: httpClients{engines}, Config: Config{MinTokenTimeout: time.Minute}})
	gatewayServer := httptest.NewServer(g)
	defer gatewayServer.Close()
	for name, url := range map[string]string{"direct": engineServer.URL, "gateway": gatewayServer.URL} {
		b.Run(name, func(b *testing.B) {
			before := processCPU()
			for b.Loop() {
				readStream(b, url)
			}
			b.ReportMetric(float64(processCPU()-before)/float64(b.N)/tokensPerStream, "cpu-ns/token")
		})
	}
}

// instantEngine generates tokens without a transport.
type instantEngine struct{ engine.Client }

func (instantEngine) Generate(_ context.Context, _ engine.Request, sink func(engine.Chunk) error) (engine.Finish, error) {
	for i := range tokensPerStream {
		if err := sink(engine.Chunk{Index: i, Text: " token"}); err != nil {
			return engine.Finish{}, err
		}
	}
	return engine.Finish{Reason: "stop", CompletionTokens: tokensPerStream}, nil
}

type instantClients struct{}

func (instantClients) Client(*fleet.Endpoint) engine.Client { return instantEngine{} }

// discardWriter is a response writer that never blocks.
type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header              { return w.header }
func (w discardWriter) Write(data []byte) (int, error)   { return len(data), nil }
func (w discardWriter) WriteHeader(int)                  {}
func (w discardWriter) Flush()                           {}
func (w discardWriter) SetWriteDeadline(time.Time) error { return nil }
func (w discardWriter) SetReadDeadline(time.Time) error  { return nil }

// BenchmarkRelay measures the gateway's CPU time per token without sockets.
func BenchmarkRelay(b *testing.B) {
	engines := newFakeFleet(12)
	g := New(Dependencies{Settings: testSettings(settings.Tenant{}, testService()), Fleet: engines, Clients: instantClients{}, Config: Config{MinTokenTimeout: time.Minute}})
	body := completionBody(PathChatCompletions, strings.Repeat("the rules of placement. ", 100), true)
	before := processCPU()
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequest("POST", PathChatCompletions, strings.NewReader(body))
		request.Header.Set("Authorization", "Bearer "+testKey)
		g.ServeHTTP(discardWriter{http.Header{}}, request)
	}
	b.ReportMetric(float64(processCPU()-before)/float64(b.N)/tokensPerStream, "cpu-ns/token")
}
