package standintest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/standin/engine"
	"chutelock.dev/chutelock/internal/standin/engine/scheduler"
	"chutelock.dev/chutelock/internal/standin/fault"
	"chutelock.dev/chutelock/internal/standin/platform"
	"chutelock.dev/chutelock/internal/standin/process"
	"chutelock.dev/chutelock/internal/standin/truth"
)

// TestingT is the subset of testing.T and GinkgoT used by this package.
type TestingT interface {
	Helper()
	Fatalf(format string, arguments ...any)
	Cleanup(func())
}

// Model is the model loaded by the engines that Engine starts.
const Model = "draft"

// Standin is a running stand-in.
type Standin struct {
	process.Ready
	t     TestingT
	truth *logBuffer
}

// logBuffer stores a truth log in memory.
type logBuffer struct {
	mutex sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.lines.Write(line)
}

// Truth returns the entries of the truth log so far.
func (s *Standin) Truth() []truth.Entry {
	s.t.Helper()
	s.truth.mutex.Lock()
	defer s.truth.mutex.Unlock()
	entries, err := truth.Read(bytes.NewReader(s.truth.lines.Bytes()))
	if err != nil {
		s.t.Fatalf("truth log: %v", err)
	}
	return entries
}

// Inject adds faults through the control endpoint.
func (s *Standin) Inject(faults ...fault.Fault) {
	s.t.Helper()
	s.Post("/control/faults", faults)
}

// Post sends body as JSON to a path of the control endpoint.
func (s *Standin) Post(path string, body any) {
	s.t.Helper()
	s.call(http.MethodPost, path, body)
}

// Polling interval and timeout of AwaitWatches.
const (
	statusPollInterval = 5 * time.Millisecond
	awaitTimeout       = 10 * time.Second
)

// AwaitWatches waits until the platform has the given number of open watches.
func (s *Standin) AwaitWatches(want int) {
	s.t.Helper()
	for began := time.Now(); time.Since(began) < awaitTimeout; time.Sleep(statusPollInterval) {
		var status platform.Status
		if err := json.Unmarshal(s.call(http.MethodGet, "/control/status", nil), &status); err != nil {
			s.t.Fatalf("status: %v", err)
		}
		if status.Watches == want {
			return
		}
	}
	s.t.Fatalf("timed out waiting for %d open watches", want)
}

// Delete sends a DELETE request to a path of the control endpoint.
func (s *Standin) Delete(path string) {
	s.t.Helper()
	s.call(http.MethodDelete, path, nil)
}

// Call sends a request to the stand-in's API and returns the response body.
func (s *Standin) Call(method, path string) []byte {
	s.t.Helper()
	return s.send(method, "http://"+s.Address+path, nil)
}

func (s *Standin) call(method, path string, body any) []byte {
	s.t.Helper()
	return s.send(method, "http://"+s.Control+path, body)
}

func (s *Standin) send(method, address string, body any) []byte {
	s.t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		s.t.Fatalf("encode: %v", err)
	}
	request, err := http.NewRequest(method, address, bytes.NewReader(encoded))
	if err != nil {
		s.t.Fatalf("%s: %v", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatalf("%s: %v", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode >= http.StatusMultipleChoices {
		s.t.Fatalf("%s: %s: %s", address, response.Status, text)
	}
	return text
}

// Engine starts an engine with short steps and no delays. If edit isn't nil, it
// changes the configuration first.
func Engine(t TestingT, edit func(*engine.Config)) *Standin {
	t.Helper()
	config := engine.DefaultConfig()
	config.Models = []string{Model}
	config.ReportEvery = time.Millisecond
	config.ReportLag = 0
	config.EventLag = 0
	config.Scheduler = scheduler.Config{MaxRunning: 8, Blocks: 256, StepBase: time.Millisecond}
	if edit != nil {
		edit(&config)
	}
	log := &logBuffer{}
	server, err := engine.New(config, truth.NewLog(log, config.Name, time.Now))
	if err != nil {
		t.Fatalf("engine: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { server.Run(ctx) })
	host := start(t, process.Service{
		Name:           config.Name,
		Listen:         config.Listen,
		Control:        config.Control,
		Handler:        server.Handler(),
		ControlHandler: server.ControlHandler(),
		Injector:       server.Injector(),
	})
	tasks.Go(func() { server.Register(ctx, host.Ready().Address) })
	t.Cleanup(func() {
		cancel()
		host.Close()
		tasks.Wait()
	})
	return &Standin{Ready: host.Ready(), t: t, truth: log}
}

// Platform starts a platform without delays, with a request rate limit too high
// for a test to reach. If edit isn't nil, it changes the configuration first.
func Platform(t TestingT, edit func(*platform.Config)) *Standin {
	t.Helper()
	config := platform.DefaultConfig()
	config.MachineLag = 0
	config.RequestRate = 1e6
	config.RequestBurst = 1e6
	config.BookmarkEvery = 10 * time.Millisecond
	config.Sync = false
	if edit != nil {
		edit(&config)
	}
	log := &logBuffer{}
	server, err := platform.New(config, truth.NewLog(log, config.Name, time.Now))
	if err != nil {
		t.Fatalf("platform: %v", err)
	}
	host := start(t, process.Service{
		Name:           config.Name,
		Listen:         config.Listen,
		Control:        config.Control,
		Handler:        server.Handler(),
		ControlHandler: server.ControlHandler(),
		Injector:       server.Injector(),
	})
	t.Cleanup(func() {
		host.Close()
		_ = server.Close()
	})
	return &Standin{Ready: host.Ready(), t: t, truth: log}
}

func start(t TestingT, service process.Service) *process.Host {
	t.Helper()
	service.Crash = func() { panic(fmt.Sprintf("stand-in %s: crash injected into the test process", service.Name)) }
	host, err := process.Start(service)
	if err != nil {
		t.Fatalf("start: %v", err)
	}
	return host
}
