package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/platform/objecthttp"
	"chutelock.dev/chutelock/internal/standin/engine"
	"chutelock.dev/chutelock/internal/standin/engine/scheduler"
	"chutelock.dev/chutelock/internal/standin/fault"
	"chutelock.dev/chutelock/internal/standin/standintest"
	"chutelock.dev/chutelock/internal/standin/truth"
)

const patience = 10 * time.Second

func TestPublishedClient(t *testing.T) {
	g := gomega.NewWithT(t)
	running := standintest.Engine(t, nil)
	client := openai.NewClient(option.WithBaseURL("http://"+running.Address+"/v1"), option.WithAPIKey("x"), option.WithMaxRetries(0))
	parameters := openai.ChatCompletionNewParams{
		Model:               standintest.Model,
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		MaxCompletionTokens: openai.Int(20),
	}
	want := truth.ExpectedText(standintest.Model, "hello", 20)
	whole, err := client.Chat.Completions.New(t.Context(), parameters)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(whole.Choices[0].Message.Content).To(gomega.Equal(want))
	g.Expect(whole.Choices[0].FinishReason).To(gomega.Equal("length"))
	g.Expect(whole.Usage.CompletionTokens).To(gomega.BeEquivalentTo(20))

	stream := client.Chat.Completions.NewStreaming(t.Context(), parameters)
	var streamed strings.Builder
	for stream.Next() {
		streamed.WriteString(stream.Current().Choices[0].Delta.Content)
	}
	g.Expect(stream.Err()).NotTo(gomega.HaveOccurred())
	g.Expect(streamed.String()).To(gomega.Equal(want))

	completion, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
		Model:     standintest.Model,
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("hello")},
		MaxTokens: openai.Int(20),
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(completion.Choices[0].Text).To(gomega.Equal(want))

	models, err := client.Models.List(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(models.Data).To(gomega.ContainElement(gomega.HaveField("ID", standintest.Model)))

	parameters.Model = "unknown"
	_, err = client.Chat.Completions.New(t.Context(), parameters)
	var refused *openai.Error
	g.Expect(errors.As(err, &refused)).To(gomega.BeTrue())
	g.Expect(refused.Code).To(gomega.Equal("not_run"))
}

// generate runs a completion to its end.
func generate(t *testing.T, running *standintest.Standin, prompt string) {
	t.Helper()
	body, _ := json.Marshal(map[string]any{"model": standintest.Model, "prompt": prompt, "max_tokens": 1})
	response, err := http.Post("http://"+running.Address+"/v1/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatalf("generate: %v", err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// nextEvent reads one KV event.
func nextEvent(t *testing.T, lines *bufio.Scanner) engine.KVEvent {
	t.Helper()
	if !lines.Scan() {
		t.Fatalf("the KV events ended: %v", lines.Err())
	}
	var event engine.KVEvent
	if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
		t.Fatalf("KV event %s: %v", lines.Bytes(), err)
	}
	return event
}

const (
	longPrompt  = "0123456789abcdef"
	otherPrompt = "fedcba9876543210"
)

// small has blocks of two tokens, which are eight bytes of a prompt.
func small(config *engine.Config) {
	config.Scheduler = scheduler.Config{BlockTokens: 2, Blocks: 3}
}

func hashesOf(prompt string) []string {
	var texts []string
	for _, hash := range scheduler.HashBlocks(standintest.Model, []byte(prompt), 2, truth.TokenBytes) {
		texts = append(texts, engine.FormatHash(hash))
	}
	return texts
}

func TestKVEventsTellTheCacheAndGaps(t *testing.T) {
	g := gomega.NewWithT(t)
	running := standintest.Engine(t, small)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+running.Address+"/v1/kv/events?after=0", nil)
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)

	generate(t, running, longPrompt)
	stored := nextEvent(t, lines)
	g.Expect(stored.Sequence).To(gomega.BeEquivalentTo(1))
	g.Expect(stored.Type).To(gomega.Equal(engine.KVStored))
	g.Expect(stored.Blocks).To(gomega.Equal(hashesOf(longPrompt)))

	// Another prompt of the same size needs the memory: one event for what is
	// removed, which the gap loses, and one for what is stored.
	running.Inject(fault.Fault{Kind: fault.EventGap, Count: 1})
	generate(t, running, otherPrompt)
	stored = nextEvent(t, lines)
	g.Expect(stored.Sequence).To(gomega.BeEquivalentTo(3), "2 is lost")
	g.Expect(stored.Blocks).To(gomega.Equal(hashesOf(otherPrompt)))
}

func TestKVEventsAreLate(t *testing.T) {
	g := gomega.NewWithT(t)
	const lag = 100 * time.Millisecond
	running := standintest.Engine(t, func(config *engine.Config) {
		small(config)
		config.EventLag = lag
	})
	response, err := http.Get("http://" + running.Address + "/v1/kv/events")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	generate(t, running, longPrompt)
	event := nextEvent(t, bufio.NewScanner(response.Body))
	g.Expect(time.Since(event.At)).To(gomega.BeNumerically(">=", lag))
}

func TestKVBlocksMoveToAnotherEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	from, to := standintest.Engine(t, small), standintest.Engine(t, small)
	smaller := standintest.Engine(t, func(config *engine.Config) {
		small(config)
		config.BlockBytes = 7
	})
	generate(t, from, longPrompt)
	wanted, _ := json.Marshal(map[string]string{"model": standintest.Model, "prompt": longPrompt})
	post := func(running *standintest.Standin, path string, body []byte) (int, []byte) {
		response, err := http.Post("http://"+running.Address+path, "", bytes.NewReader(body))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		answer, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return response.StatusCode, answer
	}
	_, blocks := post(from, "/v1/kv/export", wanted)
	g.Expect(blocks).NotTo(gomega.BeEmpty())
	_, none := post(to, "/v1/kv/export", wanted)
	g.Expect(none).To(gomega.BeEmpty())
	_, answer := post(to, "/v1/kv/import", blocks)
	g.Expect(string(answer)).To(gomega.MatchJSON(`{"blocks":2}`))
	_, copied := post(to, "/v1/kv/export", wanted)
	g.Expect(copied).To(gomega.Equal(blocks))
	status, _ := post(smaller, "/v1/kv/import", blocks)
	g.Expect(status).To(gomega.Equal(http.StatusBadRequest), "blocks of another size")
}

// TestRefusals: what is refused is said to be not run, and did not.
func TestRefusals(t *testing.T) {
	g := gomega.NewWithT(t)
	running := standintest.Engine(t, func(config *engine.Config) {
		config.QueueLimit = 1
		config.MaxBody = 1000
		config.RefuseWhenDraining = true
		config.Scheduler = scheduler.Config{MaxRunning: 1, Blocks: 8192, StepBase: time.Millisecond}
	})
	post := func(ctx context.Context, body string) (int, string) {
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+running.Address+"/v1/completions", strings.NewReader(body))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, err.Error()
		}
		defer func() { _ = response.Body.Close() }()
		answer, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(answer)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	accepted := func() int { return len(truth.Attempts(running.Truth())) }
	started := func() bool {
		attempts := truth.Attempts(running.Truth())
		return len(attempts) > 0 && !attempts[0].First.IsZero()
	}
	const long = `{"model":"draft","prompt":"x","max_tokens":60000}`
	go post(ctx, long)
	g.Eventually(started, patience).Should(gomega.BeTrue())
	go post(ctx, long)
	g.Eventually(accepted, patience).Should(gomega.Equal(2))
	const valid = `{"model":"draft","prompt":"x","max_tokens":2}`
	for _, refused := range []struct {
		body   string
		status int
		kind   string
	}{
		{valid, http.StatusTooManyRequests, "overloaded"},
		{`{"model":"draft","prompt":"` + strings.Repeat("x", 1000) + `"}`, http.StatusBadRequest, "invalid_request_error"},
		{`{"model":"draft"`, http.StatusBadRequest, "invalid_request_error"},
		{`{"model":"other","prompt":"x"}`, http.StatusNotFound, "model_not_loaded"},
	} {
		status, answer := post(t.Context(), refused.body)
		g.Expect(status).To(gomega.Equal(refused.status), answer)
		g.Expect(answer).To(gomega.And(gomega.ContainSubstring(`"not_run"`), gomega.ContainSubstring(refused.kind)))
	}
	running.Post("/control/drain", nil)
	_, answer := post(t.Context(), valid)
	g.Expect(answer).To(gomega.ContainSubstring("draining"))
	g.Expect(accepted()).To(gomega.Equal(2))
}

// TestMachineList: the engine is listed, says that it is leaving, and is taken
// off in the end.
func TestMachineList(t *testing.T) {
	g := gomega.NewWithT(t)
	listing := standintest.Platform(t, nil)
	client := objecthttp.New(listing.Address, objecthttp.Options{})
	machines := func() []platform.Machine {
		listed, err := client.Machines(t.Context())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return listed
	}
	want := platform.Machine{Name: "e1", Zone: "z", Role: "engine"}
	t.Run("while it runs", func(t *testing.T) {
		running := standintest.Engine(t, func(config *engine.Config) {
			config.Name, config.Zone, config.Platform = "e1", "z", listing.Address
		})
		want.Address = running.Address
		g.Eventually(machines, patience).Should(gomega.Equal([]platform.Machine{want}))
		running.Post("/control/drain", nil)
		want.Leaving = true
		g.Eventually(machines, patience).Should(gomega.Equal([]platform.Machine{want}))
	})
	g.Expect(machines()).To(gomega.BeEmpty())
}

// TestObjectComesBack: the engine's object is written again after the platform
// lost it.
func TestObjectComesBack(t *testing.T) {
	g := gomega.NewWithT(t)
	store := standintest.Platform(t, nil)
	client := objecthttp.New(store.Address, objecthttp.Options{})
	standintest.Engine(t, func(config *engine.Config) { config.Name, config.Platform = "e1", store.Address })
	read := func() error {
		_, err := client.Get(t.Context(), platform.KindEngine, "e1")
		return err
	}
	g.Eventually(read, patience).Should(gomega.Succeed())
	store.Inject(fault.Fault{Kind: fault.DiskLoss})
	g.Expect(read()).To(gomega.MatchError(platform.ErrNotFound))
	g.Eventually(read, 2*patience).Should(gomega.Succeed())
}

// TestLoadReadsWeights: a model is usable only after its weights have come.
func TestLoadReadsWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	store := standintest.Platform(t, nil)
	running := standintest.Engine(t, func(config *engine.Config) { config.Platform = store.Address })
	models := func() string { return string(running.Call(http.MethodGet, "/v1/models")) }
	order := func(target string) {
		response, err := http.Post("http://"+running.Address+"/v1/orders", "application/json",
			strings.NewReader(`{"token":1,"verb":"load_model","target":"`+target+`"}`))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.Body.Close()).To(gomega.Succeed())
		g.Expect(response.StatusCode).To(gomega.Equal(http.StatusAccepted))
	}
	store.Inject(fault.Fault{Kind: fault.Failing, Path: "/weights/broken"})
	order("broken")
	order("fine")
	g.Eventually(models, patience).Should(gomega.ContainSubstring(`"fine"`))
	g.Consistently(models, "50ms").ShouldNot(gomega.ContainSubstring(`"broken"`))
}

// A request that comes as soon as the engine listens must not stand before the engine's start in
// the truth log: readers take a start for a crash, forget the attempts before it, and then know of
// no end of the request (TestLeavingCancelsAtTheEngine waited 10 s for it: accepted, no first
// token, no end, though the client had its first piece).
//
// Why: the start was written by the run loop, a goroutine that the listener doesn't wait for.
func TestAnEngineHasStartedBeforeItTakesRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, leave := context.WithCancel(t.Context())
	log := leavingLog{leave: leave}
	config := engine.DefaultConfig()
	config.Models = []string{standintest.Model}
	server, err := engine.New(config, truth.NewLog(&log, config.Name, time.Now))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	body := strings.NewReader(`{"model":"` + standintest.Model + `","prompt":"a","max_tokens":1}`)
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", body)
	g.Expect(func() { server.Handler().ServeHTTP(httptest.NewRecorder(), request) }).To(gomega.PanicWith(http.ErrAbortHandler))
	run, stop := context.WithCancel(t.Context())
	stop()
	server.Run(run)

	entries, err := truth.Read(&log.lines)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var kinds []truth.Kind
	for _, entry := range entries {
		kinds = append(kinds, entry.Kind)
	}
	g.Expect(kinds).To(gomega.Equal([]truth.Kind{truth.KindStarted, truth.KindAccepted, truth.KindEnded}))
}

// leavingLog is a truth log in memory; its client leaves once a request is accepted.
type leavingLog struct {
	lines bytes.Buffer
	leave func()
}

// Write implements io.Writer.
func (l *leavingLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(truth.KindAccepted)) {
		l.leave()
	}
	return l.lines.Write(line)
}
