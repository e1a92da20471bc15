package openaihttp_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/engine/openaihttp"
	standin "chutelock.dev/chutelock/internal/standin/engine"
	"chutelock.dev/chutelock/internal/standin/engine/scheduler"
	"chutelock.dev/chutelock/internal/standin/fault"
	"chutelock.dev/chutelock/internal/standin/standintest"
	"chutelock.dev/chutelock/internal/standin/truth"
)

const (
	patience       = 10 * time.Second
	completionPath = "/v1/completions"
	chatPath       = "/v1/chat/completions"
)

func completion(id, prompt string, maxTokens int) engine.Request {
	return engine.Request{
		ID:      id,
		Attempt: 1,
		Path:    completionPath,
		Model:   standintest.Model,
		Body:    fmt.Appendf(nil, `{"prompt":%q,"max_tokens":%d,"stream":false}`, prompt, maxTokens),
	}
}

func expected(prompt string, maxTokens int) string {
	return truth.ExpectedText(standintest.Model, prompt, maxTokens)
}

// collect runs a request and joins the text of its chunks.
func collect(ctx context.Context, client engine.Client, request engine.Request) (string, engine.Finish, error) {
	var text strings.Builder
	finish, err := client.Generate(ctx, request, func(chunk engine.Chunk) error {
		text.WriteString(chunk.Text)
		if !json.Valid(chunk.Data) {
			return fmt.Errorf("chunk %d is not JSON: %s", chunk.Index, chunk.Data)
		}
		return nil
	})
	return text.String(), finish, err
}

func fateOf(err error) engine.Fate {
	var failure *engine.Error
	if !errors.As(err, &failure) {
		return -1
	}
	return failure.Fate
}

func TestGenerate(t *testing.T) {
	running := standintest.Engine(t, nil)
	client := openaihttp.New("e", running.Address, openaihttp.Options{})
	chat := completion("b", "", 0)
	chat.Path = chatPath
	chat.Body = []byte(` {"messages":[{"role":"system","content":"one "},{"role":"user","content":[{"type":"text","text":"two"}]}],"max_completion_tokens":30} `)
	resumed := completion("c", "three", 9)
	resumed.ResumeFrom = 4
	for name, tested := range map[string]struct {
		request engine.Request
		text    string
		prompt  int
		output  int
	}{
		"completion": {completion(`a"\é`, "zero", 20), expected("zero", 20), 1, 20},
		"chat":       {chat, expected("one two", 30), 2, 30},
		"resumed":    {resumed, expected("three", 9)[len(expected("three", 4)):], 2, 9},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			text, finish, err := collect(t.Context(), client, tested.request)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(text).To(gomega.Equal(tested.text))
			g.Expect(finish).To(gomega.Equal(engine.Finish{Reason: "length", PromptTokens: tested.prompt, CompletionTokens: tested.output}))
		})
	}
}

// TestFates: "not run" is said only when it is true, judged by the engine's
// own log; everything else is unknown.
func TestFates(t *testing.T) {
	for name, tested := range map[string]struct {
		fault  *fault.Fault
		change func(*engine.Request)
		edit   func(*standin.Config)
		fate   engine.Fate
		ran    bool
		cause  error
	}{
		"model not loaded":       {change: func(r *engine.Request) { r.Model = "other" }, fate: engine.FateNotRun, cause: openaihttp.ErrRefused},
		"too long":               {change: func(r *engine.Request) { r.Body = []byte(`{"prompt":"x","max_tokens":99999}`) }, fate: engine.FateNotRun, cause: openaihttp.ErrRefused},
		"malformed":              {change: func(r *engine.Request) { r.Body = []byte(`{"prompt":7}`) }, fate: engine.FateNotRun, cause: openaihttp.ErrRefused},
		"not an object":          {change: func(r *engine.Request) { r.Body = []byte(`[]`) }, fate: engine.FateNotRun},
		"refused at once":        {fault: &fault.Fault{Kind: fault.Failing, Status: 503}, fate: engine.FateUnknown, cause: openaihttp.ErrRefused},
		"never answered":         {fault: &fault.Fault{Kind: fault.Silent}, fate: engine.FateUnknown, cause: context.DeadlineExceeded},
		"run, never answered":    {fault: &fault.Fault{Kind: fault.Silent, Effect: true}, fate: engine.FateUnknown, ran: true, cause: context.DeadlineExceeded},
		"answer lost":            {fault: &fault.Fault{Kind: fault.LostAnswer}, fate: engine.FateUnknown, ran: true},
		"answer cut":             {fault: &fault.Fault{Kind: fault.LostAnswer, AfterTokens: 3}, fate: engine.FateUnknown, ran: true, cause: openaihttp.ErrTruncated},
		"answer of another":      {fault: &fault.Fault{Kind: fault.Crossed}, fate: engine.FateUnknown, ran: true, cause: openaihttp.ErrCrossed},
		"paused, then cancelled": {fault: &fault.Fault{Kind: fault.Pause, Duration: fault.Duration(time.Hour)}, fate: engine.FateUnknown, cause: context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			running := standintest.Engine(t, tested.edit)
			client := openaihttp.New("e", running.Address, openaihttp.Options{})
			if tested.fault != nil {
				running.Inject(*tested.fault)
			}
			request := completion("a", "prompt", 10)
			if tested.change != nil {
				tested.change(&request)
			}
			limit := patience
			if tested.cause == context.DeadlineExceeded {
				limit = time.Second
			}
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			_, _, err := collect(ctx, client, request)
			g.Expect(fateOf(err)).To(gomega.Equal(tested.fate), "%v", err)
			if tested.cause != nil {
				g.Expect(err).To(gomega.MatchError(tested.cause))
			}
			ran := func() bool { return truth.Runs(running.Truth(), "a") > 0 }
			if tested.ran {
				g.Eventually(ran, patience).Should(gomega.BeTrue())
			} else {
				g.Expect(ran()).To(gomega.BeFalse())
			}
		})
	}
}

func TestNoConnectionMeansNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(listener.Close()).To(gomega.Succeed())
	client := openaihttp.New("e", listener.Addr().String(), openaihttp.Options{})
	_, _, err = collect(t.Context(), client, completion("a", "prompt", 1))
	g.Expect(fateOf(err)).To(gomega.Equal(engine.FateNotRun))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err = collect(ctx, client, completion("a", "prompt", 1))
	g.Expect(fateOf(err)).To(gomega.Equal(engine.FateNotRun))
	g.Expect(err).To(gomega.MatchError(context.Canceled))
}

func TestDownMeansNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	running := standintest.Engine(t, nil)
	client := openaihttp.New("e", running.Address, openaihttp.Options{})
	running.Inject(fault.Fault{Kind: fault.Down, Duration: fault.Duration(2 * time.Second)})
	_, _, err := collect(t.Context(), client, completion("a", "prompt", 3))
	g.Expect(fateOf(err)).To(gomega.Equal(engine.FateNotRun))
	g.Eventually(func() error {
		_, _, err := collect(t.Context(), client, completion("b", "prompt", 3))
		return err
	}, patience).Should(gomega.Succeed())
	g.Expect(truth.Runs(running.Truth(), "a")).To(gomega.BeZero())
}

// TestPauseInsideAnAnswer: a stream that stands still for a while goes on.
func TestPauseInsideAnAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	running := standintest.Engine(t, nil)
	client := openaihttp.New("e", running.Address, openaihttp.Options{})
	const pause = 200 * time.Millisecond
	var text strings.Builder
	var longest time.Duration
	last := time.Now()
	_, err := client.Generate(t.Context(), completion("a", "prompt", 100), func(chunk engine.Chunk) error {
		if chunk.Index == 3 {
			running.Inject(fault.Fault{Kind: fault.Pause, Duration: fault.Duration(pause)})
		}
		longest = max(longest, time.Since(last))
		last = time.Now()
		text.WriteString(chunk.Text)
		return nil
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(text.String()).To(gomega.Equal(expected("prompt", 100)))
	g.Expect(longest).To(gomega.BeNumerically(">", pause/2))
}

func TestLateAndDuplicateAnswersAreRight(t *testing.T) {
	g := gomega.NewWithT(t)
	running := standintest.Engine(t, nil)
	client := openaihttp.New("e", running.Address, openaihttp.Options{})
	running.Inject(fault.Fault{Kind: fault.Duplicate}, fault.Fault{Kind: fault.Late, Latency: fault.Duration(5 * time.Millisecond)})
	text, finish, err := collect(t.Context(), client, completion("a", "prompt", 12))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(text).To(gomega.Equal(expected("prompt", 12)))
	g.Expect(finish.CompletionTokens).To(gomega.Equal(12))
}

// TestConnectionsAreUsedAgain: an answer that was read to its end gives its
// connection back.
func TestConnectionsAreUsedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	running := standintest.Engine(t, nil)
	transport := openaihttp.NewTransport(0)
	dial := transport.DialContext
	dials := 0
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return dial(ctx, network, address)
	}
	client := openaihttp.New("e", running.Address, openaihttp.Options{Transport: transport})
	for i := range 20 {
		_, _, err := collect(t.Context(), client, completion(fmt.Sprint(i), "prompt", 3))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(dials).To(gomega.Equal(1))
}

// TestSuspendAndResume parks a stream and goes on with it, here or elsewhere.
func TestSuspendAndResume(t *testing.T) {
	const maxTokens = 1000
	first := standintest.Engine(t, nil)
	second := standintest.Engine(t, nil)
	for name, resumeAt := range map[string]*standintest.Standin{"here": first, "elsewhere": second} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			client := openaihttp.New("e", first.Address, openaihttp.Options{})
			request := completion("request "+name, "prompt", maxTokens)
			request.Priority = engine.PriorityBatch
			var text strings.Builder
			tokens := 0
			sink := func(chunk engine.Chunk) error {
				g.Expect(chunk.Index).To(gomega.Equal(tokens))
				tokens++
				text.WriteString(chunk.Text)
				if tokens == 5 {
					return client.Suspend(t.Context(), request.ID)
				}
				return nil
			}
			finish, err := client.Generate(t.Context(), request, sink)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(finish.Reason).To(gomega.Equal("suspended"))
			g.Expect(finish.CompletionTokens).To(gomega.Equal(tokens))
			g.Expect(tokens).To(gomega.BeNumerically("<", maxTokens))

			suspended := func() int { return metric(first, "engine_requests_suspended") }
			g.Eventually(suspended, patience).Should(gomega.Equal(1), "the state is kept")
			made := metric(resumeAt, "engine_output_tokens_total")

			request.Attempt++
			request.ResumeFrom = tokens
			sink = func(chunk engine.Chunk) error {
				text.WriteString(chunk.Text)
				return nil
			}
			finish, err = openaihttp.New("e", resumeAt.Address, openaihttp.Options{}).Generate(t.Context(), request, sink)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(finish.Reason).To(gomega.Equal("length"))
			g.Expect(text.String()).To(gomega.Equal(expected("prompt", maxTokens)))
			g.Expect(client.Suspend(t.Context(), request.ID)).NotTo(gomega.Succeed(), "nothing runs any more")
			madeSince := func() int { return metric(resumeAt, "engine_output_tokens_total") - made }
			g.Eventually(madeSince, patience).Should(gomega.Equal(maxTokens-request.ResumeFrom), "no token is made again")
			if resumeAt != first {
				g.Expect(client.Cancel(t.Context(), request.ID)).To(gomega.Succeed(), "drops the kept state")
			}
			g.Eventually(suspended, patience).Should(gomega.Equal(0))
		})
	}
}

// metric reads a metric without labels.
func metric(running *standintest.Standin, name string) int {
	for line := range strings.Lines(string(running.Call("GET", "/metrics"))) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			number, _ := strconv.Atoi(strings.TrimSpace(value))
			return number
		}
	}
	return -1
}

func TestLeavingCancelsAtTheEngine(t *testing.T) {
	errLeft := errors.New("left")
	for name, leave := range map[string]func(cancel func()) error{
		"context":    func(cancel func()) error { cancel(); return nil },
		"sink error": func(func()) error { return errLeft },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			running := standintest.Engine(t, nil)
			client := openaihttp.New("e", running.Address, openaihttp.Options{})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			_, err := client.Generate(ctx, completion("a", "prompt", 3000), func(engine.Chunk) error { return leave(cancel) })
			g.Expect(err).To(gomega.Or(gomega.MatchError(errLeft), gomega.MatchError(context.Canceled)))
			g.Expect(fateOf(err)).To(gomega.Equal(engine.FateUnknown))
			g.Eventually(func() []truth.Attempt { return truth.Attempts(running.Truth()) }, patience).
				Should(gomega.ContainElement(gomega.HaveField("Cause", truth.CauseDisconnected)))
			g.Expect(truth.Attempts(running.Truth())[0].Tokens).To(gomega.BeNumerically("<", 3000))
		})
	}
}

func TestLoadReport(t *testing.T) {
	g := gomega.NewWithT(t)
	running := standintest.Engine(t, func(config *standin.Config) {
		config.Adapters = []string{"tuned"}
		config.Scheduler.MaxRunning = 1
	})
	client := openaihttp.New("e", running.Address, openaihttp.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i := range 3 {
		request := completion(fmt.Sprint(i), "prompt", 3000)
		request.Priority = engine.PriorityBatch * engine.Priority(min(i, 1))
		go func() { _, _, _ = collect(ctx, client, request) }()
	}
	load := func() engine.Load {
		load, err := client.Load(t.Context())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return load
	}
	g.Eventually(func() int { return load().Waiting }, patience).Should(gomega.Equal(2))
	told := load()
	g.Expect(told.Running).To(gomega.Equal(1))
	g.Expect(told.RunningBatch + told.WaitingBatch).To(gomega.Equal(2))
	g.Expect(told.KVUse).To(gomega.BeNumerically(">", 0))
	g.Expect(told.StepTime).To(gomega.BeNumerically(">=", time.Millisecond))
	g.Expect(told.Models).To(gomega.Equal([]string{standintest.Model}))
	g.Expect(told.Adapters).To(gomega.Equal([]string{"tuned"}))
	g.Expect(told.Draining).To(gomega.BeFalse())

	running.Inject(fault.Fault{Kind: fault.ReportLag, Latency: fault.Duration(time.Hour)})
	running.Post("/control/drain", nil)
	g.Consistently(func() bool { return load().Draining }, "50ms").Should(gomega.BeFalse(), "the report lags")
	running.Delete("/control/faults")
	g.Eventually(func() bool { return load().Draining }, patience).Should(gomega.BeTrue())
}

func TestOrdersAreFenced(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := t.Context()
	running := standintest.Engine(t, func(config *standin.Config) { config.LoadTime = 100 * time.Millisecond })
	client := openaihttp.New("e", running.Address, openaihttp.Options{})
	models := func() []string {
		load, err := client.Load(ctx)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return load.Models
	}
	g.Expect(client.Order(ctx, engine.Order{Token: 7, Verb: engine.OrderLoadModel, Target: "new"})).To(gomega.Succeed())
	g.Expect(client.Order(ctx, engine.Order{Token: 6, Verb: engine.OrderUnloadModel, Target: standintest.Model})).
		To(gomega.MatchError(openaihttp.ErrFenced))
	g.Eventually(models, patience).Should(gomega.Equal([]string{standintest.Model, "new"}))
	g.Expect(client.Order(ctx, engine.Order{Token: 8, Verb: engine.OrderLoadModel, Target: "newer"})).To(gomega.Succeed())
	g.Expect(client.Order(ctx, engine.Order{Token: 8, Verb: engine.OrderUnloadModel, Target: "newer"})).To(gomega.Succeed())
	g.Expect(client.Order(ctx, engine.Order{Token: 8, Verb: engine.OrderUnloadModel, Target: "new"})).To(gomega.Succeed())
	g.Expect(client.Order(ctx, engine.Order{Token: 9, Verb: "dance", Target: "x"})).To(gomega.MatchError(openaihttp.ErrRefused))
	g.Eventually(models, patience).Should(gomega.Equal([]string{standintest.Model}))
	g.Consistently(models, "150ms").Should(gomega.Equal([]string{standintest.Model}), "a load that was overtaken stays void")
	load, err := client.Load(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(load.FencingToken).To(gomega.BeEquivalentTo(8))
}

// TestOnlineTakesKVFromBatch: with KV memory full of batch work, an online
// request preempts it, and the batch requests still get all their tokens.
func TestOnlineTakesKVFromBatch(t *testing.T) {
	g := gomega.NewWithT(t)
	running := standintest.Engine(t, func(config *standin.Config) {
		config.Scheduler = scheduler.Config{MaxRunning: 8, BlockTokens: 4, Blocks: 32, StepBase: 5 * time.Millisecond}
	})
	client := openaihttp.New("e", running.Address, openaihttp.Options{})
	const batchTokens = 60
	results := make(chan string, 4)
	for i := range cap(results) {
		request := completion(fmt.Sprint("batch ", i), fmt.Sprint("batch prompt ", i), batchTokens)
		request.Priority = engine.PriorityBatch
		go func() {
			text, _, err := collect(t.Context(), client, request)
			if err == nil && text != expected(fmt.Sprint("batch prompt ", i), batchTokens) {
				err = fmt.Errorf("wrong text %q", text)
			}
			results <- fmt.Sprint(err)
		}()
	}
	g.Eventually(func() float64 {
		load, err := client.Load(t.Context())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return load.KVUse
	}, patience, "1ms").Should(gomega.BeNumerically(">", 0.8))
	text, _, err := collect(t.Context(), client, completion("online", "online prompt", 40))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(text).To(gomega.Equal(expected("online prompt", 40)))
	for range cap(results) {
		g.Expect(<-results).To(gomega.Equal("<nil>"))
	}
}
