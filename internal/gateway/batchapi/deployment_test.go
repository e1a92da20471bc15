package batchapi_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/apikey"
	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/gateway/batchapi"
	"chutelock.dev/chutelock/internal/jobs/dispatch"
	"chutelock.dev/chutelock/internal/jobs/service"
	"chutelock.dev/chutelock/internal/ledger/local"
	"chutelock.dev/chutelock/internal/settings"
)

const (
	testModel   = "placement"
	testKey     = "key-a"
	otherKey    = "key-b"
	testShards  = 4
	testAddress = "127.0.0.1:1"
)

// fakeEngine echoes each prompt word by word. Words in the prompt select failures:
// "refuse" (status 400), "poison" (status 500), "lose" (connection reset).
type fakeEngine struct {
	mutex       sync.Mutex
	runs        map[string]int // attempts started, by prompt
	attemptTime time.Duration  // duration of an attempt
}

func (f *fakeEngine) Generate(ctx context.Context, request engine.Request, sink func(engine.Chunk) error) (engine.Finish, error) {
	var body struct {
		Prompt string `json:"prompt"`
	}
	_ = json.Unmarshal(request.Body, &body)
	f.mutex.Lock()
	f.runs[body.Prompt]++
	f.mutex.Unlock()
	select {
	case <-time.After(f.attemptTime):
	case <-ctx.Done():
		return engine.Finish{}, &engine.Error{Step: "read", Err: ctx.Err()}
	}
	switch {
	case strings.Contains(body.Prompt, "refuse"):
		return engine.Finish{}, &engine.Error{Step: "generate", Fate: engine.FateFailed, Status: 400, Err: errors.New("bad prompt")}
	case strings.Contains(body.Prompt, "poison"):
		return engine.Finish{}, &engine.Error{Step: "generate", Fate: engine.FateFailed, Status: 500, Err: errors.New("crash")}
	case strings.Contains(body.Prompt, "lose"):
		return engine.Finish{}, &engine.Error{Step: "read", Fate: engine.FateUnknown, Err: errors.New("connection reset")}
	}
	words := strings.Fields(body.Prompt)
	for i := request.ResumeFrom; i < len(words); i++ {
		if err := sink(engine.Chunk{Index: i, Text: words[i] + " "}); err != nil {
			return engine.Finish{}, &engine.Error{Step: "sink", Err: err}
		}
	}
	return engine.Finish{Reason: "stop", PromptTokens: len(words), CompletionTokens: len(words)}, nil
}

func (f *fakeEngine) Suspend(context.Context, string) error     { return nil }
func (f *fakeEngine) Load(context.Context) (engine.Load, error) { return engine.Load{}, nil }
func (f *fakeEngine) Order(context.Context, engine.Order) error { return nil }
func (f *fakeEngine) Client(*fleet.Endpoint) engine.Client      { return f }
func (f *fakeEngine) Current() *settings.Snapshot               { return testSettings }
func (f *fakeEngine) attempts(prompt string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.runs[prompt]
}

var testSettings = settings.NewSnapshot(1, map[apikey.Hash]*settings.Tenant{
	apikey.HashKey(testKey):  {Name: "a", MaxJobItems: 200_000},
	apikey.HashKey(otherKey): {Name: "b", Models: []string{"other"}},
}, map[string]*settings.Service{testModel: {Model: testModel}, "other": {Model: "other"}})

// deployment is one node with an unreplicated ledger.
type deployment struct {
	engine     *fakeEngine
	server     *httptest.Server
	client     openai.Client
	dispatcher *dispatch.Dispatcher
	stop       func()
}

func newDeployment(t *testing.T, dispatching bool) *deployment {
	t.Helper()
	g := gomega.NewWithT(t)
	node := service.New()
	directory, err := local.Open(local.Options{Shards: testShards, Address: testAddress, NewMachine: node.NewMachine})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	node.Connect(testAddress, directory, nil, nil)

	d := &deployment{engine: &fakeEngine{runs: map[string]int{}}}
	d.dispatcher = dispatch.New(dispatch.Dependencies{
		Name: "node-1", Work: node.Work, Policy: batch.NewFixed(16, true), Clients: d.engine,
	})
	d.server = httptest.NewServer(batchapi.New(batchapi.Dependencies{
		Files: node.Files, Jobs: node.Jobs, Queries: node.Queries, Settings: d.engine,
	}))
	d.client = d.clientOf(testKey)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { node.Run(ctx) })
	if dispatching {
		running.Go(func() { d.dispatcher.Run(ctx) })
		d.assignEngine()
	}
	d.stop = func() {
		cancel()
		running.Wait()
		d.server.Close()
		g.Expect(directory.Close()).To(gomega.Succeed())
	}
	t.Cleanup(d.stop)
	return d
}

// assignEngine repeatedly makes the node the home of an engine, since the dispatcher
// may not be running yet.
func (d *deployment) assignEngine() {
	endpoint := &fleet.Endpoint{Name: "engine-1", Load: engine.Load{Models: []string{testModel}}}
	go func() {
		for range 100 {
			d.dispatcher.HomeEvent(time.Now(), fleet.HomeEvent{Kind: fleet.HomeGained, Endpoint: endpoint})
			time.Sleep(10 * time.Millisecond)
		}
	}()
}

func (d *deployment) clientOf(key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(d.server.URL+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func line(customID, prompt string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/completions","body":{"model":%q,"prompt":%q}}`+"\n",
		customID, testModel, prompt)
}

func (d *deployment) upload(lines string) (*openai.FileObject, error) {
	return d.client.Files.New(context.Background(), openai.FileNewParams{
		File: openai.File(strings.NewReader(lines), "items.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	})
}

func (d *deployment) submit(fileID string, options ...option.RequestOption) (*openai.Batch, error) {
	return d.client.Batches.New(context.Background(), openai.BatchNewParams{
		InputFileID: fileID, Endpoint: openai.BatchNewParamsEndpointV1Completions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	}, options...)
}

func withKey(key string) option.RequestOption { return option.WithHeader("Idempotency-Key", key) }

func (d *deployment) get(g gomega.Gomega, id string) *openai.Batch {
	found, err := d.client.Batches.Get(context.Background(), id)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return found
}

type outputLine struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		StatusCode int             `json:"status_code"`
		Body       json.RawMessage `json:"body"`
	} `json:"response"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

func (d *deployment) lines(g gomega.Gomega, fileID string) []outputLine {
	content, err := d.client.Files.Content(context.Background(), fileID)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = content.Body.Close() }()
	var lines []outputLine
	decoder := json.NewDecoder(content.Body)
	for decoder.More() {
		var next outputLine
		g.Expect(decoder.Decode(&next)).To(gomega.Succeed())
		lines = append(lines, next)
	}
	return lines
}

// apiError returns the HTTP status and code of an API error.
func apiError(err error) (status int, code string) {
	var failure *openai.Error
	if !errors.As(err, &failure) {
		return 0, fmt.Sprint(err)
	}
	return failure.StatusCode, failure.Code
}
