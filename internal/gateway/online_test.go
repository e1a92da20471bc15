package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/onsi/gomega/types"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	dto "github.com/prometheus/client_model/go"

	"chutelock.dev/chutelock/internal/gateway/apierror"
	"chutelock.dev/chutelock/internal/settings"
)

// waitTimeout limits waits that succeed earlier unless the test fails.
const waitTimeout = 20 * time.Second

// Guards against responses that OpenAI's Go client can't read.
func TestOpenAIClient(t *testing.T) {
	g := gomega.NewWithT(t)
	engines := newFakeFleet(3)
	engines.plan = func(_ string, attempt uint32) behaviour {
		return []behaviour{cutStream, refuseConnection, behaveWell}[min(attempt-1, 2)]
	}
	server := newTestServer(engines, settings.Tenant{}, Config{})
	defer server.Close()
	client := openai.NewClient(option.WithBaseURL(server.URL+"/v1/"), option.WithAPIKey(testKey), option.WithMaxRetries(0))
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()

	models, err := client.Models.List(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(models.Data).To(gomega.HaveLen(1))
	g.Expect(models.Data[0].ID).To(gomega.Equal(testModel))

	const prompt = "draft a reply"
	expected := strings.Join(expectedTokens(prompt), "")
	params := openai.ChatCompletionNewParams{Model: testModel, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)}}
	whole, err := client.Chat.Completions.New(ctx, params)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(whole.Choices[0].Message.Content).To(gomega.Equal(expected))
	g.Expect(whole.Choices[0].FinishReason).To(gomega.Equal("stop"))
	g.Expect(whole.Usage.CompletionTokens).To(gomega.BeEquivalentTo(len(expectedTokens(prompt))))

	params.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	accumulated := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		g.Expect(accumulated.AddChunk(stream.Current())).To(gomega.BeTrue())
	}
	g.Expect(stream.Err()).NotTo(gomega.HaveOccurred())
	g.Expect(accumulated.Choices[0].Message.Content).To(gomega.Equal(expected))
	g.Expect(accumulated.Usage.TotalTokens).To(gomega.BeEquivalentTo(7 + len(expectedTokens(prompt))))

	completion, err := client.Completions.New(ctx, openai.CompletionNewParams{Model: testModel, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(completion.Choices[0].Text).To(gomega.Equal(expected))

	_, err = client.Completions.New(ctx, openai.CompletionNewParams{Model: "nothing", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)}})
	var failure *openai.Error
	g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
	g.Expect(failure.Code).To(gomega.Equal("model_not_found"))
	g.Expect(failure.Param).To(gomega.Equal("model"))
}

// Guards against an automatic retry by OpenAI's client of a non-repeatable request.
func TestOpenAIClientDoesNotRetryUnknownOutcome(t *testing.T) {
	g := gomega.NewWithT(t)
	engines := newFakeFleet(3)
	engines.plan = func(string, uint32) behaviour { return loseAnswer }
	server := newTestServer(engines, settings.Tenant{}, Config{})
	defer server.Close()
	client := openai.NewClient(option.WithBaseURL(server.URL+"/v1/"), option.WithAPIKey(testKey), option.WithMaxRetries(3), option.WithHeader(HeaderRepeatable, "false"))
	_, err := client.Completions.New(context.Background(), openai.CompletionNewParams{Model: testModel, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("sign")}})
	var failure *openai.Error
	g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
	g.Expect(failure.Code).To(gomega.Equal("outcome_unknown"))
	g.Expect(engines.ran("sign")).To(gomega.Equal(1))
}

func TestFinalResponse(t *testing.T) {
	for name, test := range map[string]struct {
		engines    int
		plan       []behaviour
		repeatable string
		timeout    string
		tokenLimit time.Duration
		status     int
		code       apierror.Code
		attempts   int
	}{
		"no engine":                           {0, nil, "true", "", waitTimeout, 503, "not_run", 0},
		"every engine refuses":                {3, []behaviour{refuseConnection}, "false", "", waitTimeout, 503, "not_run", 3},
		"the deadline passes":                 {3, []behaviour{neverAnswer}, "true", "0.05", time.Hour, 504, "deadline_exceeded", 1},
		"the deadline passes, not repeatable": {3, []behaviour{neverAnswer}, "false", "50ms", time.Hour, 502, "outcome_unknown", 1},
		"silent engine, repeatable":           {3, []behaviour{neverAnswer, behaveWell}, "true", "", 50 * time.Millisecond, 200, "", 2},
		"silent engine, not repeatable":       {3, []behaviour{neverAnswer, behaveWell}, "false", "300ms", 50 * time.Millisecond, 502, "outcome_unknown", 1},
		"engine error, not repeatable":        {3, []behaviour{returnError}, "false", "", waitTimeout, 502, "engine_failed", 1},
		"engine error everywhere":             {3, []behaviour{returnError}, "true", "", waitTimeout, 502, "engine_failed", 3},
		"panic, then success":                 {3, []behaviour{panicMidway, behaveWell}, "true", "", waitTimeout, 200, "", 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			engines := newFakeFleet(test.engines)
			engines.plan = func(_ string, attempt uint32) behaviour { return test.plan[min(int(attempt), len(test.plan))-1] }
			server := newTestServer(engines, settings.Tenant{}, Config{MinTokenTimeout: test.tokenLimit, FirstTokenTimeout: time.Hour, NextTokenTimeout: time.Hour})
			defer server.Close()
			got, err := server.ask("POST", PathCompletions, completionBody(PathCompletions, "x", false), map[string]string{HeaderRepeatable: test.repeatable, HeaderTimeout: test.timeout})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got.status).To(gomega.Equal(test.status))
			g.Expect(got.code).To(gomega.Equal(test.code))
			g.Expect(engines.attempts).To(gomega.Equal(test.attempts))
		})
	}
}

// promptInTime is the prompt whose stream heldStreams doesn't hold.
const promptInTime = "in time"

// heldStreams returns a fleet whose streams, except those of promptInTime, stop
// after the first token until release is called.
func heldStreams(engines int) (f *fakeFleet, release func()) {
	f = newFakeFleet(engines)
	gate := make(chan struct{})
	f.hold = func(ctx context.Context, prompt string) {
		if prompt == promptInTime {
			return
		}
		select {
		case <-gate:
		case <-ctx.Done():
		}
	}
	return f, sync.OnceFunc(func() { close(gate) })
}

// beWhole returns a matcher of a reply with the complete text for its prompt. Matchers keep state: parallel
// tests can't share one.
func beWhole() types.GomegaMatcher {
	return gomega.WithTransform(func(r reply) bool {
		return r.whole && r.text == strings.Join(expectedTokens(r.prompt), "")
	}, gomega.BeTrue())
}

// askLater sends a streaming request on another goroutine.
func (s *testServer) askLater(prompt string) <-chan reply {
	answers := make(chan reply, 1)
	go func() {
		got, err := s.ask("POST", PathCompletions, completionBody(PathCompletions, prompt, true), nil)
		got.prompt = prompt
		if err != nil {
			got.message = err.Error()
		}
		answers <- got
	}()
	return answers
}

func (s *testServer) waitInFlight(g *gomega.WithT, count int) {
	inFlight := func() int {
		s.gateway.placement.mutex.Lock()
		defer s.gateway.placement.mutex.Unlock()
		total := 0
		for _, endpoint := range s.fleet.snapshot.Endpoints {
			total += s.gateway.placement.router.InFlight(endpoint.Name)
		}
		return total
	}
	g.Eventually(inFlight).WithTimeout(waitTimeout).Should(gomega.Equal(count))
}

func TestTenantLimitReturnsNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		tenant settings.Tenant
		text   string
	}{
		"in flight":  {settings.Tenant{MaxConcurrent: 1}, "in progress"},
		"per second": {settings.Tenant{RequestsPerSecond: 0.001, Burst: 1}, "per second"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			engines, release := heldStreams(2)
			server := newTestServer(engines, test.tenant, Config{NextTokenTimeout: time.Hour, MinTokenTimeout: time.Hour})
			defer server.Close()
			defer release()
			first := server.askLater("first")
			server.waitInFlight(g, 1)
			got, err := server.ask("POST", PathCompletions, completionBody(PathCompletions, "second", true), nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got.status).To(gomega.Equal(http.StatusTooManyRequests))
			g.Expect(got.code).To(gomega.Equal(apierror.CodeNotRun))
			g.Expect(got.message).To(gomega.ContainSubstring(test.text))
			g.Expect(got.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			release()
			g.Eventually(first).WithTimeout(waitTimeout).Should(gomega.Receive(beWhole()))
			g.Expect(engines.ran("second")).To(gomega.BeZero())
		})
	}
}

// Guards against a drain that interrupts running streams.
func TestDrainWaitsForStreams(t *testing.T) {
	g := gomega.NewWithT(t)
	engines, release := heldStreams(2)
	server := newTestServer(engines, settings.Tenant{}, Config{NextTokenTimeout: time.Hour, MinTokenTimeout: time.Hour, DrainSettle: time.Millisecond})
	defer server.Close()
	defer release()
	g.Expect(server.gateway.Ready()).To(gomega.BeTrue())
	held := server.askLater("held")
	server.waitInFlight(g, 1)
	var drained atomic.Bool
	ended := make(chan error, 1)
	go func() {
		ended <- server.gateway.Drain(context.Background())
		drained.Store(true)
	}()
	g.Eventually(server.gateway.Ready).WithTimeout(waitTimeout).Should(gomega.BeFalse())
	g.Eventually(func() apierror.Code {
		got, err := server.ask("POST", PathCompletions, completionBody(PathCompletions, promptInTime, false), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got.closed).To(gomega.BeTrue())
		return got.code
	}).WithTimeout(waitTimeout).Should(gomega.Equal(apierror.CodeNotRun))
	g.Expect(drained.Load()).To(gomega.BeFalse())
	release()
	g.Eventually(held).WithTimeout(waitTimeout).Should(gomega.Receive(beWhole()))
	g.Eventually(ended).WithTimeout(waitTimeout).Should(gomega.Receive(gomega.BeNil()))
}

func TestDrainStopsAtContextEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	engines, release := heldStreams(1)
	server := newTestServer(engines, settings.Tenant{}, Config{NextTokenTimeout: time.Hour, MinTokenTimeout: time.Hour, DrainSettle: time.Millisecond})
	defer server.Close()
	defer release()
	held := server.askLater("held")
	server.waitInFlight(g, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	g.Expect(server.gateway.Drain(ctx)).To(gomega.MatchError(context.DeadlineExceeded))
	release()
	g.Eventually(held).WithTimeout(waitTimeout).Should(gomega.Receive(beWhole()))
}

// Guards against attempts that continue after the caller disconnects or stops
// reading.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	for name, leave := range map[string]func(net.Conn){
		"hangs up":      func(connection net.Conn) { _ = connection.Close() },
		"stops reading": func(net.Conn) {},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			engines := newFakeFleet(1)
			engines.endless = true
			server := newTestServer(engines, settings.Tenant{}, Config{WriteTimeout: 100 * time.Millisecond, MinTokenTimeout: time.Hour})
			defer server.Close()
			connection, err := net.Dial("tcp", server.Listener.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = connection.Close() }()
			body := completionBody(PathCompletions, "x", true)
			request, _ := http.NewRequest("POST", server.URL+PathCompletions, strings.NewReader(body))
			request.Header.Set("Authorization", "Bearer "+testKey)
			g.Expect(request.Write(connection)).To(gomega.Succeed())
			_, err = io.ReadFull(connection, make([]byte, 100))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			leave(connection)
			server.waitInFlight(g, 0)
			g.Expect(engines.attempts).To(gomega.Equal(1))
			g.Eventually(server.gateway.inFlight.Load).WithTimeout(waitTimeout).Should(gomega.BeZero())
			left := server.gateway.metrics.requests.WithLabelValues(PathCompletions, codeCallerLeft)
			var metric dto.Metric
			g.Expect(left.Write(&metric)).To(gomega.Succeed())
			g.Expect(metric.GetCounter().GetValue()).To(gomega.Equal(1.0))
		})
	}
}

// Guards against a refusal while untried engines would take the request.
func TestRefusedByFourEnginesServedByNext(t *testing.T) {
	for _, streamed := range []bool{false, true} {
		g := gomega.NewWithT(t)
		engines := newFakeFleet(5)
		engines.plan = func(_ string, attempt uint32) behaviour {
			if attempt <= 4 {
				return refuseConnection
			}
			return behaveWell
		}
		server := newTestServer(engines, settings.Tenant{}, Config{})
		got, err := server.ask("POST", PathCompletions, completionBody(PathCompletions, "one of five", streamed), nil)
		server.Close()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got.whole).To(gomega.BeTrue(), got.message)
		g.Expect(engines.ran("one of five")).To(gomega.Equal(1))
	}
}

func TestResponseWhoseEndWasLostIsCompleted(t *testing.T) {
	for _, streamed := range []bool{false, true} {
		g := gomega.NewWithT(t)
		engines := newFakeFleet(3)
		engines.plan = func(_ string, attempt uint32) behaviour {
			if attempt == 1 {
				return loseEnd
			}
			return behaveWell
		}
		server := newTestServer(engines, settings.Tenant{}, Config{})
		tokens := expectedTokens("no end")
		body := fmt.Sprintf(`{"model":%q,"prompt":"no end","max_tokens":%d,"stream":%v}`, testModel, len(tokens), streamed)
		got, err := server.ask("POST", PathCompletions, body, nil)
		server.Close()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got.whole).To(gomega.BeTrue(), got.message)
		g.Expect(got.text).To(gomega.Equal(strings.Join(tokens, "")))
	}
}

// Guards against incomplete responses, and against retries above a tenth of the
// requests, while a third of the engines fail.
func TestRetriesWithThirdOfEnginesFailing(t *testing.T) {
	for name, mode := range map[string]behaviour{
		"refuse": refuseConnection, "lose the answer": loseAnswer, "cut streams": cutStream, "never answer": neverAnswer, "fail": returnError,
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			engines := newFakeFleet(12)
			engines.faulty = map[string]behaviour{"engine-01": mode, "engine-04": mode, "engine-05": mode, "engine-10": mode}
			server := newTestServer(engines, settings.Tenant{}, Config{MinTokenTimeout: 500 * time.Millisecond})
			defer server.Close()
			const requests, callers = 2000, 8
			var broken atomic.Int32
			var group sync.WaitGroup
			for c := range callers {
				group.Go(func() {
					for i := range requests / callers {
						prompt := fmt.Sprintf("caller %d request %d", c, i)
						got, err := server.ask("POST", PathCompletions, completionBody(PathCompletions, prompt, i%2 == 0), nil)
						if err != nil || !got.whole || got.text != strings.Join(expectedTokens(prompt), "") {
							broken.Add(1)
						}
					}
				})
			}
			group.Wait()
			amplification := float64(engines.attempts) / requests
			t.Logf("amplification %.4f, %d of %d requests failed", amplification, broken.Load(), requests)
			g.Expect(amplification).To(gomega.BeNumerically("<=", 1.1))
			g.Expect(broken.Load()).To(gomega.BeZero())
		})
	}
}
