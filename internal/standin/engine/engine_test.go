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

const testTimeout = 10 * time.Second

// Guards against output or errors that the official OpenAI client can't read.
func TestOpenAIClientReadsExpectedOutput(t *testing.T) {
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

// generate runs a completion of one token.
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
		t.Fatalf("KV event stream ended: %v", lines.Err())
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

// smallCache configures a cache of three blocks of two tokens (eight prompt bytes) each.
func smallCache(config *engine.Config) {
	config.Scheduler = scheduler.Config{BlockTokens: 2, Blocks: 3}
}

func hashesOf(prompt string) []string {
	var texts []string
	for _, hash := range scheduler.HashBlocks(standintest.Model, []byte(prompt), 2, truth.TokenBytes) {
		texts = append(texts, engine.FormatHash(hash))
	}
	return texts
}

// Guards against wrong block hashes in KV events and against lost events that
// leave no sequence gap.
func TestKVEventsReportBlocksAndSequenceGaps(t *testing.T) {
	g := gomega.NewWithT(t)
	running := standintest.Engine(t, smallCache)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
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

	// A second prompt evicts the first: the removed event is lost to the gap,
	// the stored event follows.
	running.Inject(fault.Fault{Kind: fault.EventGap, Count: 1})
	generate(t, running, otherPrompt)
	stored = nextEvent(t, lines)
	g.Expect(stored.Sequence).To(gomega.BeEquivalentTo(3), "event 2 is lost")
	g.Expect(stored.Blocks).To(gomega.Equal(hashesOf(otherPrompt)))
}

// Guards against KV events that arrive before EventLag has passed.
func TestKVEventsDelayedByEventLag(t *testing.T) {
	g := gomega.NewWithT(t)
	const lag = 100 * time.Millisecond
	running := standintest.Engine(t, func(config *engine.Config) {
		smallCache(config)
		config.EventLag = lag
	})
	response, err := http.Get("http://" + running.Address + "/v1/kv/events")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	generate(t, running, longPrompt)
	event := nextEvent(t, bufio.NewScanner(response.Body))
	g.Expect(time.Since(event.At)).To(gomega.BeNumerically(">=", lag))
}

// Guards against exported blocks that another engine can't import, and against
// the import of blocks of a different size.
func TestKVExportImportCopiesBlocks(t *testing.T) {
	g := gomega.NewWithT(t)
	from, to := standintest.Engine(t, smallCache), standintest.Engine(t, smallCache)
	smaller := standintest.Engine(t, func(config *engine.Config) {
		smallCache(config)
		config.BlockBytes = 7
	})
	generate(t, from, longPrompt)
	selected, _ := json.Marshal(map[string]string{"model": standintest.Model, "prompt": longPrompt})
	post := func(running *standintest.Standin, path string, body []byte) (int, []byte) {
		response, err := http.Post("http://"+running.Address+path, "", bytes.NewReader(body))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		content, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return response.StatusCode, content
	}
	_, blocks := post(from, "/v1/kv/export", selected)
	g.Expect(blocks).NotTo(gomega.BeEmpty())
	_, none := post(to, "/v1/kv/export", selected)
	g.Expect(none).To(gomega.BeEmpty())
	_, content := post(to, "/v1/kv/import", blocks)
	g.Expect(string(content)).To(gomega.MatchJSON(`{"blocks":2}`))
	_, copied := post(to, "/v1/kv/export", selected)
	g.Expect(copied).To(gomega.Equal(blocks))
	status, _ := post(smaller, "/v1/kv/import", blocks)
	g.Expect(status).To(gomega.Equal(http.StatusBadRequest), "blocks of another size")
}

// Guards against refused requests that run or lack the code not_run.
func TestRefusedRequestsDoNotRun(t *testing.T) {
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
		text, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(text)
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
	g.Eventually(started, testTimeout).Should(gomega.BeTrue())
	go post(ctx, long)
	g.Eventually(accepted, testTimeout).Should(gomega.Equal(2))
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
		status, text := post(t.Context(), refused.body)
		g.Expect(status).To(gomega.Equal(refused.status), text)
		g.Expect(text).To(gomega.And(gomega.ContainSubstring(`"not_run"`), gomega.ContainSubstring(refused.kind)))
	}
	running.Post("/control/drain", nil)
	_, text := post(t.Context(), valid)
	g.Expect(text).To(gomega.ContainSubstring("draining"))
	g.Expect(accepted()).To(gomega.Equal(2))
}

// Guards against a machine list that misses an engine or its draining state, or
// keeps it after its stop.
func TestRegisterUpdatesMachineList(t *testing.T) {
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
		g.Eventually(machines, testTimeout).Should(gomega.Equal([]platform.Machine{want}))
		running.Post("/control/drain", nil)
		want.Leaving = true
		g.Eventually(machines, testTimeout).Should(gomega.Equal([]platform.Machine{want}))
	})
	g.Expect(machines()).To(gomega.BeEmpty())
}

// Guards against an engine object that stays missing after the platform lost
// its disk.
func TestRegisterRewritesObjectAfterDiskLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	store := standintest.Platform(t, nil)
	client := objecthttp.New(store.Address, objecthttp.Options{})
	standintest.Engine(t, func(config *engine.Config) { config.Name, config.Platform = "e1", store.Address })
	read := func() error {
		_, err := client.Get(t.Context(), platform.KindEngine, "e1")
		return err
	}
	g.Eventually(read, testTimeout).Should(gomega.Succeed())
	store.Inject(fault.Fault{Kind: fault.DiskLoss})
	g.Expect(read()).To(gomega.MatchError(platform.ErrNotFound))
	g.Eventually(read, 2*testTimeout).Should(gomega.Succeed())
}

// Guards against models that are listed although their weights couldn't be fetched.
func TestLoadModelRequiresWeights(t *testing.T) {
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
	g.Eventually(models, testTimeout).Should(gomega.ContainSubstring(`"fine"`))
	g.Consistently(models, "50ms").ShouldNot(gomega.ContainSubstring(`"broken"`))
}

// Guards against a request logged before the engine's start: readers take a start for a restart
// after a crash, discard earlier attempts and never see that request end.
func TestNewLogsStartBeforeRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, disconnect := context.WithCancel(t.Context())
	log := disconnectingLog{disconnect: disconnect}
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

// disconnectingLog stores a truth log in memory and disconnects the client when
// a request is accepted.
type disconnectingLog struct {
	lines      bytes.Buffer
	disconnect func()
}

// Write implements io.Writer.
func (l *disconnectingLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(truth.KindAccepted)) {
		l.disconnect()
	}
	return l.lines.Write(line)
}
