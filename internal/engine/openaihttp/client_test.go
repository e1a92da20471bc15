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
	waitTimeout    = 10 * time.Second
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

// collect runs a request and returns the concatenated text of its chunks.
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

// Guards against reporting FateNotRun for an attempt that the engine's log shows
// as run.
func TestGenerateErrorFate(t *testing.T) {
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
			limit := waitTimeout
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
				g.Eventually(ran, waitTimeout).Should(gomega.BeTrue())
			} else {
				g.Expect(ran()).To(gomega.BeFalse())
			}
		})
	}
}

func TestGenerateReportsNotRunWithoutConnection(t *testing.T) {
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

func TestGenerateReportsNotRunWhileEngineIsDown(t *testing.T) {
	g := gomega.NewWithT(t)
	running := standintest.Engine(t, nil)
	client := openaihttp.New("e", running.Address, openaihttp.Options{})
	running.Inject(fault.Fault{Kind: fault.Down, Duration: fault.Duration(2 * time.Second)})
	_, _, err := collect(t.Context(), client, completion("a", "prompt", 3))
	g.Expect(fateOf(err)).To(gomega.Equal(engine.FateNotRun))
	g.Eventually(func() error {
		_, _, err := collect(t.Context(), client, completion("b", "prompt", 3))
		return err
	}, waitTimeout).Should(gomega.Succeed())
	g.Expect(truth.Runs(running.Truth(), "a")).To(gomega.BeZero())
}

// Guards against failing a stream that pauses between tokens.
func TestGenerateContinuesAfterPause(t *testing.T) {
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

func TestGenerateWithLateAndDuplicateEvents(t *testing.T) {
	g := gomega.NewWithT(t)
	running := standintest.Engine(t, nil)
	client := openaihttp.New("e", running.Address, openaihttp.Options{})
	running.Inject(fault.Fault{Kind: fault.Duplicate}, fault.Fault{Kind: fault.Late, Latency: fault.Duration(5 * time.Millisecond)})
	text, finish, err := collect(t.Context(), client, completion("a", "prompt", 12))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(text).To(gomega.Equal(expected("prompt", 12)))
	g.Expect(finish.CompletionTokens).To(gomega.Equal(12))
}

// Guards against a new connection for each request.
func TestGenerateReusesConnection(t *testing.T) {
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

// Guards against lost or recomputed tokens when a suspended stream resumes at the
// same engine (here) or another one (elsewhere).
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
			g.Eventually(suspended, waitTimeout).Should(gomega.Equal(1), "the suspended state is kept")
			tokensBefore := metric(resumeAt, "engine_output_tokens_total")

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
			g.Expect(client.Suspend(t.Context(), request.ID)).NotTo(gomega.Succeed(), "the request has ended")
			newTokens := func() int { return metric(resumeAt, "engine_output_tokens_total") - tokensBefore }
			g.Eventually(newTokens, waitTimeout).Should(gomega.Equal(maxTokens-request.ResumeFrom), "no token is generated twice")
			if resumeAt != first {
				g.Expect(client.Cancel(t.Context(), request.ID)).To(gomega.Succeed(), "discards the suspended state")
			}
			g.Eventually(suspended, waitTimeout).Should(gomega.Equal(0))
		})
	}
}

// metric returns the value of a metric without labels, or -1.
func metric(running *standintest.Standin, name string) int {
	for line := range strings.Lines(string(running.Call("GET", "/metrics"))) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			number, _ := strconv.Atoi(strings.TrimSpace(value))
			return number
		}
	}
	return -1
}

func TestGenerateCancelsAtEngine(t *testing.T) {
	errStopped := errors.New("sink stopped")
	for name, stop := range map[string]func(cancel func()) error{
		"context":    func(cancel func()) error { cancel(); return nil },
		"sink error": func(func()) error { return errStopped },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			running := standintest.Engine(t, nil)
			client := openaihttp.New("e", running.Address, openaihttp.Options{})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			_, err := client.Generate(ctx, completion("a", "prompt", 3000), func(engine.Chunk) error { return stop(cancel) })
			g.Expect(err).To(gomega.Or(gomega.MatchError(errStopped), gomega.MatchError(context.Canceled)))
			g.Expect(fateOf(err)).To(gomega.Equal(engine.FateUnknown))
			g.Eventually(func() []truth.Attempt { return truth.Attempts(running.Truth()) }, waitTimeout).
				Should(gomega.ContainElement(gomega.HaveField("Cause", truth.CauseDisconnected)))
			g.Expect(truth.Attempts(running.Truth())[0].Tokens).To(gomega.BeNumerically("<", 3000))
		})
	}
}

func TestLoadReadsReport(t *testing.T) {
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
	g.Eventually(func() int { return load().Waiting }, waitTimeout).Should(gomega.Equal(2))
	report := load()
	g.Expect(report.Running).To(gomega.Equal(1))
	g.Expect(report.RunningBatch + report.WaitingBatch).To(gomega.Equal(2))
	g.Expect(report.KVUse).To(gomega.BeNumerically(">", 0))
	g.Expect(report.StepTime).To(gomega.BeNumerically(">=", time.Millisecond))
	g.Expect(report.Models).To(gomega.Equal([]string{standintest.Model}))
	g.Expect(report.Adapters).To(gomega.Equal([]string{"tuned"}))
	g.Expect(report.Draining).To(gomega.BeFalse())

	running.Inject(fault.Fault{Kind: fault.ReportLag, Latency: fault.Duration(time.Hour)})
	running.Post("/control/drain", nil)
	g.Consistently(func() bool { return load().Draining }, "50ms").Should(gomega.BeFalse(), "the report is delayed")
	running.Delete("/control/faults")
	g.Eventually(func() bool { return load().Draining }, waitTimeout).Should(gomega.BeTrue())
}

func TestOrderRejectsOutdatedToken(t *testing.T) {
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
	g.Eventually(models, waitTimeout).Should(gomega.Equal([]string{standintest.Model, "new"}))
	g.Expect(client.Order(ctx, engine.Order{Token: 8, Verb: engine.OrderLoadModel, Target: "newer"})).To(gomega.Succeed())
	g.Expect(client.Order(ctx, engine.Order{Token: 8, Verb: engine.OrderUnloadModel, Target: "newer"})).To(gomega.Succeed())
	g.Expect(client.Order(ctx, engine.Order{Token: 8, Verb: engine.OrderUnloadModel, Target: "new"})).To(gomega.Succeed())
	g.Expect(client.Order(ctx, engine.Order{Token: 9, Verb: "dance", Target: "x"})).To(gomega.MatchError(openaihttp.ErrRefused))
	g.Eventually(models, waitTimeout).Should(gomega.Equal([]string{standintest.Model}))
	g.Consistently(models, "150ms").Should(gomega.Equal([]string{standintest.Model}), "a load cancelled by a later unload must not finish")
	load, err := client.Load(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(load.FencingToken).To(gomega.BeEquivalentTo(8))
}

// Guards against an online request waiting for KV memory held by batch requests,
// and against preempted batch requests losing tokens.
func TestOnlineRequestPreemptsBatch(t *testing.T) {
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
	}, waitTimeout, "1ms").Should(gomega.BeNumerically(">", 0.8))
	text, _, err := collect(t.Context(), client, completion("online", "online prompt", 40))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(text).To(gomega.Equal(expected("online prompt", 40)))
	for range cap(results) {
		g.Expect(<-results).To(gomega.Equal("<nil>"))
	}
}
