package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/apikey"
	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/gateway/apierror"
	"chutelock.dev/chutelock/internal/settings"
)

const (
	testModel = "placement"
	testKey   = "key-of-nairamdal"
)

// expectedTokens returns the tokens that every engine generates for a prompt.
func expectedTokens(prompt string) []string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(prompt))
	tokens := make([]string, 3+hash.Sum32()%6)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%08x\"%d ", hash.Sum32(), i)
	}
	return tokens
}

// behaviour is a fake engine's behaviour in one attempt.
type behaviour int

const (
	behaveWell behaviour = iota
	refuseConnection
	loseRequest     // doesn't run, and the outcome is unknown
	loseAnswer      // runs to the end, but the response is lost
	cutStream       // fails after some tokens
	neverAnswer     // accepts the request and never responds
	duplicateTokens // sends every token twice and repeats old ones
	answerLate      // fails, but continues to send tokens
	finishEarly     // reports success before the last token
	skipToken       // omits a token
	panicMidway
	returnError    // runs and returns an error
	behaviourCount // number of the behaviours that random tests draw from
	// loseEnd fails after the last token.
	loseEnd
)

// fakeFleet is a fleet of fake engines and implements fleet.Source and
// fleet.Clients. plan selects the behaviour of each attempt of a prompt.
type fakeFleet struct {
	snapshot *fleet.Snapshot
	plan     func(prompt string, attempt uint32) behaviour
	// faulty has the engines with a fixed behaviour, by name.
	faulty map[string]behaviour
	// hold, if set, is called before each token except the first.
	hold func(ctx context.Context, prompt string)
	// endless makes all streams run until they are cancelled.
	endless bool

	mutex    sync.Mutex
	runs     map[string]int // attempts that ran, by prompt
	attempts int
	active   atomic.Int32 // running attempts and late senders
}

func newFakeFleet(engines int) *fakeFleet {
	f := &fakeFleet{snapshot: &fleet.Snapshot{}, runs: map[string]int{}, plan: func(string, uint32) behaviour { return behaveWell }}
	for i := range engines {
		f.snapshot.Endpoints = append(f.snapshot.Endpoints, &fleet.Endpoint{
			Name: fmt.Sprintf("engine-%02d", i), Zone: "z", Region: "r",
			Load: engine.Load{At: time.Now(), Models: []string{testModel}},
		})
	}
	return f
}

func (f *fakeFleet) Snapshot() *fleet.Snapshot { return f.snapshot }

func (f *fakeFleet) Client(endpoint *fleet.Endpoint) engine.Client {
	return &fakeEngine{fleet: f, name: endpoint.Name}
}

func (f *fakeFleet) ran(prompt string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.runs[prompt]
}

type fakeEngine struct {
	engine.Client
	fleet *fakeFleet
	name  string
}

func (e *fakeEngine) fail(fate engine.Fate, err error) (engine.Finish, error) {
	return engine.Finish{}, &engine.Error{Engine: e.name, Step: "generate", Fate: fate, Err: err}
}

func (e *fakeEngine) Generate(ctx context.Context, request engine.Request, sink func(engine.Chunk) error) (engine.Finish, error) {
	var body struct {
		Prompt    string
		Messages  []struct{ Content string }
		MaxTokens int `json:"max_tokens"`
	}
	_ = json.Unmarshal(request.Body, &body)
	if body.MaxTokens > 0 && request.ResumeFrom >= body.MaxTokens {
		return engine.Finish{}, &engine.Error{Engine: e.name, Step: "generate", Fate: engine.FateNotRun, Status: http.StatusBadRequest, Err: errors.New("nothing left to generate")}
	}
	if len(body.Messages) > 0 {
		body.Prompt = body.Messages[len(body.Messages)-1].Content
	}
	e.fleet.active.Add(1)
	defer e.fleet.active.Add(-1)
	tokens := expectedTokens(body.Prompt)
	mode, faulty := e.fleet.faulty[e.name]
	if !faulty {
		mode = e.fleet.plan(body.Prompt, request.Attempt)
	}
	e.fleet.mutex.Lock()
	e.fleet.attempts++
	if mode != refuseConnection && mode != loseRequest {
		e.fleet.runs[body.Prompt]++
	}
	e.fleet.mutex.Unlock()
	middle := request.ResumeFrom + (len(tokens)-request.ResumeFrom)/2
	send := func(from, to int) error {
		for i := from; i < to; i++ {
			if i > from && e.fleet.hold != nil {
				e.fleet.hold(ctx, body.Prompt)
			}
			if err := sink(engine.Chunk{Index: i, Text: tokens[i]}); err != nil {
				return err
			}
		}
		return nil
	}
	for i := 0; e.fleet.endless; i++ {
		if err := sink(engine.Chunk{Index: i, Text: strings.Repeat("on and on ", 100)}); err != nil {
			return e.fail(engine.FateUnknown, err)
		}
	}
	done := engine.Finish{Reason: "stop", PromptTokens: 7, CompletionTokens: len(tokens)}
	broken := errors.New("connection reset")
	switch mode {
	case refuseConnection:
		return e.fail(engine.FateNotRun, errors.New("connection refused"))
	case loseRequest, loseAnswer:
		return e.fail(engine.FateUnknown, broken)
	case returnError:
		return e.fail(engine.FateFailed, errors.New("out of memory"))
	case cutStream:
		_ = send(request.ResumeFrom, middle)
		return e.fail(engine.FateUnknown, broken)
	case loseEnd:
		_ = send(request.ResumeFrom, len(tokens))
		return e.fail(engine.FateUnknown, broken)
	case neverAnswer:
		<-ctx.Done()
		return e.fail(engine.FateUnknown, ctx.Err())
	case duplicateTokens:
		for i := request.ResumeFrom; i < len(tokens); i++ {
			_ = send(max(0, i-1), i+1)
			_ = sink(engine.Chunk{Index: 0, Text: tokens[0]})
		}
		return done, nil
	case answerLate:
		_ = send(request.ResumeFrom, middle)
		e.fleet.active.Add(1)
		go func() {
			defer e.fleet.active.Add(-1)
			for i := range tokens {
				_ = sink(engine.Chunk{Index: i, Text: "LATE"})
				time.Sleep(time.Millisecond)
			}
		}()
		return e.fail(engine.FateUnknown, broken)
	case finishEarly:
		_ = send(request.ResumeFrom, len(tokens)-1)
		return done, nil
	case skipToken:
		_ = send(request.ResumeFrom, middle)
		if middle+1 < len(tokens) {
			_ = sink(engine.Chunk{Index: middle + 1, Text: tokens[middle+1]})
		}
		return done, nil
	case panicMidway:
		_ = send(request.ResumeFrom, middle)
		panic("engine client is broken")
	}
	if err := send(request.ResumeFrom, len(tokens)); err != nil {
		return e.fail(engine.FateUnknown, err)
	}
	return done, nil
}

type fixedSettings struct{ snapshot *settings.Snapshot }

func (f fixedSettings) Current() *settings.Snapshot { return f.snapshot }

func testService() *settings.Service {
	return &settings.Service{
		Model: testModel, QueueLimit: 100, QueueTimeout: 10 * time.Second,
		TimeToFirstToken: 5 * time.Millisecond, TimeBetweenTokens: time.Millisecond,
		RetryBudget: 0.1, SlotsPerEngine: 16, Adapters: []string{"kindergarten"},
	}
}

func testSettings(tenant settings.Tenant, service *settings.Service) settings.Source {
	tenant.Name = "nairamdal"
	other := &settings.Tenant{Name: "other", Models: []string{"another"}}
	return fixedSettings{settings.NewSnapshot(1,
		map[apikey.Hash]*settings.Tenant{apikey.HashKey(testKey): &tenant, apikey.HashKey("other-key"): other},
		map[string]*settings.Service{service.Model: service})}
}

// testServer is a gateway behind a real HTTP server.
type testServer struct {
	*httptest.Server
	gateway *Gateway
	fleet   *fakeFleet
}

func newTestServer(f *fakeFleet, tenant settings.Tenant, config Config) *testServer {
	return newServerOf(f, tenant, testService(), config)
}

func newServerOf(f *fakeFleet, tenant settings.Tenant, service *settings.Service, config Config) *testServer {
	if config.MinTokenTimeout == 0 {
		config.MinTokenTimeout = 50 * time.Millisecond
	}
	// Silent engines end their attempts as soon as they count as silent, unless a test says otherwise.
	setDefault(&config.FirstTokenTimeout, config.MinTokenTimeout)
	setDefault(&config.NextTokenTimeout, config.MinTokenTimeout)
	g := New(Dependencies{Settings: testSettings(tenant, service), Fleet: f, Clients: f, Config: config})
	server := httptest.NewUnstartedServer(nil)
	server.Listener = NewListener(server.Listener)
	server.Config = NewServer(g, g.config)
	server.Start()
	return &testServer{Server: server, gateway: g, fleet: f}
}

func (s *testServer) Close() {
	s.Server.Close()
	for s.gateway.inFlight.Load() > 0 || s.fleet.active.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// reply is the response that a caller received.
type reply struct {
	closed  bool // the server closes the connection
	prompt  string
	status  int
	header  http.Header
	text    string
	whole   bool // status 200 with a complete body, or a stream with [DONE]
	code    apierror.Code
	param   string
	message string
}

// ask sends a request and reads the response, streamed or not.
func (s *testServer) ask(method, path, body string, headers map[string]string) (reply, error) {
	return s.askWithin(context.Background(), method, path, body, headers)
}

// askWithin is like ask with a caller that disconnects when ctx ends.
func (s *testServer) askWithin(ctx context.Context, method, path, body string, headers map[string]string) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, method, s.URL+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
		if value == "" {
			request.Header.Del(name)
		}
	}
	response, err := s.Client().Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	r := reply{status: response.StatusCode, header: response.Header, closed: response.Close}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return r, r.readStream(response.Body)
	}
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return r, err
	}
	return r, r.readObject(raw)
}

type answerObject struct {
	Choices []struct {
		Text    string
		Message struct{ Content string }
		Delta   struct{ Content string }
	}
	Error *struct {
		Message string
		Code    apierror.Code
		Param   string
	}
}

func (r *reply) readObject(raw []byte) error {
	var object answerObject
	if err := json.Unmarshal(raw, &object); err != nil {
		return fmt.Errorf("%q: %w", raw, err)
	}
	if object.Error != nil {
		r.code, r.param, r.message = object.Error.Code, object.Error.Param, object.Error.Message
	}
	for _, choice := range object.Choices {
		r.text += choice.Text + choice.Message.Content + choice.Delta.Content
	}
	r.whole = r.status == http.StatusOK && object.Error == nil
	return nil
}

func (r *reply) readStream(body io.Reader) error {
	done := false
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case !isData:
		case done:
			return errors.New("event after [DONE]")
		case data == "[DONE]":
			done = true
		default:
			if err := r.readObject([]byte(data)); err != nil {
				return err
			}
		}
	}
	r.whole = done
	return scanner.Err()
}

// completionBody returns the JSON body of a request.
func completionBody(path, prompt string, stream bool) string {
	if path == PathChatCompletions {
		return fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"system","content":"you draft replies"},{"role":"user","content":%q}]}`, testModel, stream, prompt)
	}
	return fmt.Sprintf(`{"model":%q,"stream":%v,"prompt":%q}`, testModel, stream, prompt)
}

// drawHedgeAfter draws a value of Config.HedgeAfter.
func drawHedgeAfter(t *rapid.T) time.Duration {
	return rapid.SampledFrom([]time.Duration{0, time.Millisecond}).Draw(t, "hedge after")
}
