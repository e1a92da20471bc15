package batchapi_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"

	"chutelock.dev/chutelock/internal/jobs/command"
)

const waitTimeout = "20s"

// Guards against lost, repeated or reordered items.
func TestBatchRunsItemsOnceInOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDeployment(t, true)
	var input strings.Builder
	const items = 300
	for i := range items {
		prompt := fmt.Sprintf("item %d", i)
		switch i {
		case 7:
			prompt = "refuse me"
		case 8:
			prompt = "poison me"
		}
		input.WriteString(line(fmt.Sprintf("c%d", i), prompt))
	}
	file, err := d.upload(input.String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	batch, err := d.submit(file.ID)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func(g gomega.Gomega) {
		g.Expect(string(d.get(g, batch.ID).Status)).To(gomega.Equal("completed"))
	}, waitTimeout).Should(gomega.Succeed())

	done := d.get(g, batch.ID)
	g.Expect(done.RequestCounts.Total).To(gomega.Equal(int64(items)))
	g.Expect(done.RequestCounts.Completed).To(gomega.Equal(int64(items - 2)))
	g.Expect(done.RequestCounts.Failed).To(gomega.Equal(int64(2)))
	output := d.lines(g, done.OutputFileID)
	g.Expect(output).To(gomega.HaveLen(items - 2))
	g.Expect(output[0].CustomID).To(gomega.Equal("c0"))
	g.Expect(output[7].CustomID).To(gomega.Equal("c9"))
	var completion openai.Completion
	g.Expect(json.Unmarshal(output[7].Response.Body, &completion)).To(gomega.Succeed())
	g.Expect(completion.Choices[0].Text).To(gomega.Equal("item 9 "))
	g.Expect(completion.Usage.CompletionTokens).To(gomega.Equal(int64(2)))
	failed := d.lines(g, done.ErrorFileID)
	g.Expect(failed).To(gomega.HaveLen(2))
	g.Expect(failed[0].Response.StatusCode).To(gomega.Equal(400))
	g.Expect(failed[1].Response.StatusCode).To(gomega.Equal(500))
	g.Expect(d.engine.attempts("refuse me")).To(gomega.Equal(1))
	g.Expect(d.engine.attempts("poison me")).To(gomega.Equal(3), "an item that fails at the engine has three attempts")
	for i := range items {
		if i != 7 && i != 8 {
			g.Expect(d.engine.attempts(fmt.Sprintf("item %d", i))).To(gomega.Equal(1), "item %d", i)
		}
	}
}

// Guards against a second batch when a submission is repeated with its key.
func TestCreateBatchIsIdempotent(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDeployment(t, false)
	lines := line("a", "one") + line("b", "two")
	first, err := d.upload(lines)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	again, err := d.upload(lines)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	other, err := d.upload(lines + line("c", "three"))
	g.Expect(err).NotTo(gomega.HaveOccurred())

	batch, err := d.submit(first.ID, withKey("k"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, fileID := range []string{first.ID, again.ID} {
		resent, err := d.submit(fileID, withKey("k"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(resent.ID).To(gomega.Equal(batch.ID))
	}
	_, err = d.submit(other.ID, withKey("k"))
	status, code := apiError(err)
	g.Expect(status).To(gomega.Equal(409))
	g.Expect(code).To(gomega.Equal("conflict"))

	_, err = d.client.Files.Delete(context.Background(), first.ID)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resent, err := d.submit(first.ID, withKey("k"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resent.ID).To(gomega.Equal(batch.ID), "a deleted file must not change the batch")

	list, err := d.client.Batches.List(context.Background(), openai.BatchListParams{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(list.Data).To(gomega.HaveLen(1))
}

func TestUploadRejectsInvalidInput(t *testing.T) {
	d := newDeployment(t, false)
	good := line("a", "one")
	for name, test := range map[string]struct{ lines, code, message string }{
		"malformed":      {good + "{\n", "invalid_json_line", "line 2: "},
		"no custom_id":   {`{"url":"/v1/completions","body":{}}`, "missing_required_parameter", "line 1: custom_id: is missing"},
		"duplicate":      {good + good, "duplicate_custom_id", `line 2: custom_id: "a"`},
		"unknown model":  {strings.ReplaceAll(good, testModel, "nothing"), "model_not_found", "line 1: body.model: "},
		"other model":    {good + strings.ReplaceAll(line("b", "x"), testModel, "other"), "mismatched_model", "line 2: body.model: "},
		"wrong url":      {strings.ReplaceAll(good, "/v1/completions", "/v1/embeddings"), "invalid_url", "line 1: url: "},
		"mixed urls":     {good + `{"custom_id":"b","url":"/v1/chat/completions","body":{"model":"placement","messages":[]}}`, "invalid_url", "line 2: url: "},
		"wrong type":     {`{"custom_id":7}`, "invalid_value", "line 1: custom_id: want string"},
		"streaming":      {`{"custom_id":"a","url":"/v1/completions","body":{"model":"placement","prompt":"x","stream":true}}`, "invalid_value", "line 1: body.stream: "},
		"no prompt":      {`{"custom_id":"a","url":"/v1/completions","body":{"model":"placement"}}`, "missing_required_parameter", "line 1: body.prompt: "},
		"bad repeatable": {`{"custom_id":"a","url":"/v1/completions","headers":{"chutelock-repeatable":"no"},"body":{"model":"placement","prompt":"x"}}`, "invalid_value", "line 1: headers.chutelock-repeatable: "},
		"too long":       {good + line("b", strings.Repeat("x", 1<<20)), "line_too_long", "line 2: "},
		"empty":          {"\n", "empty_file", "file: has no items"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := d.upload(test.lines)
			status, code := apiError(err)
			g.Expect(status).To(gomega.Equal(400), "%v", err)
			g.Expect(code).To(gomega.Equal(test.code))
			var failure *openai.Error
			g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
			g.Expect(failure.Message).To(gomega.HavePrefix(test.message))
		})
	}
}

// Guards against access to another tenant's files and batches.
func TestTenantIsolation(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDeployment(t, false)
	file, err := d.upload(line("a", "one"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	batch, err := d.submit(file.ID)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx := context.Background()
	other, unknown := d.clientOf(otherKey), d.clientOf("no such key")
	for name, call := range map[string]func(openai.Client) error{
		"batch":   func(c openai.Client) error { _, err := c.Batches.Get(ctx, batch.ID); return err },
		"cancel":  func(c openai.Client) error { _, err := c.Batches.Cancel(ctx, batch.ID); return err },
		"file":    func(c openai.Client) error { _, err := c.Files.Get(ctx, file.ID); return err },
		"content": func(c openai.Client) error { _, err := c.Files.Content(ctx, file.ID); return err },
		"delete":  func(c openai.Client) error { _, err := c.Files.Delete(ctx, file.ID); return err },
	} {
		status, _ := apiError(call(other))
		g.Expect(status).To(gomega.Equal(404), name)
		status, _ = apiError(call(unknown))
		g.Expect(status).To(gomega.Equal(401), name)
		g.Expect(call(d.client)).To(gomega.Or(gomega.Succeed(), gomega.MatchError(gomega.ContainSubstring("404"))), name)
	}
}

// Guards against items that start or are recorded after a cancellation.
func TestCancelBatchStopsItems(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDeployment(t, true)
	d.engine.attemptTime = 100 * time.Millisecond // 160 items per second, so that the batch outlasts the test
	const items = 2000
	var input strings.Builder
	for i := range items {
		input.WriteString(line(fmt.Sprintf("c%d", i), fmt.Sprintf("held %d", i)))
	}
	file, err := d.upload(input.String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	batch, err := d.submit(file.ID)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	started := func() (count int) {
		d.engine.mutex.Lock()
		defer d.engine.mutex.Unlock()
		return len(d.engine.runs)
	}
	g.Eventually(started, waitTimeout).Should(gomega.BeNumerically(">", 16))
	cancelled, err := d.client.Batches.Cancel(context.Background(), batch.ID)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(cancelled.Status)).To(gomega.Equal("cancelled"))
	time.Sleep(command.StartValidity)
	last := started()
	g.Expect(last).To(gomega.BeNumerically("<", items))
	g.Consistently(started, "500ms").Should(gomega.Equal(last), "no item starts 2 s after the cancellation")
	final := d.get(g, batch.ID)
	g.Expect(final.RequestCounts.Completed).To(gomega.Equal(cancelled.RequestCounts.Completed))
	lines := d.lines(g, final.ErrorFileID)
	g.Expect(lines).To(gomega.HaveLen(items - int(cancelled.RequestCounts.Completed)))
	g.Expect(lines[len(lines)-1].Error.Code).To(gomega.Equal("batch_cancelled"))
}

func TestNonRepeatableItemRunsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDeployment(t, true)
	notRepeatable := func(customID, prompt string) string {
		return strings.Replace(line(customID, prompt), `{"custom_id"`, `{"repeatable":false,"custom_id"`, 1)
	}
	file, err := d.upload(notRepeatable("a", "lose a") + notRepeatable("b", "poison b") + notRepeatable("c", "fine c"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	batch, err := d.submit(file.ID)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func(g gomega.Gomega) {
		g.Expect(string(d.get(g, batch.ID).Status)).To(gomega.Equal("completed"))
	}, waitTimeout).Should(gomega.Succeed())
	for _, prompt := range []string{"lose a", "poison b", "fine c"} {
		g.Expect(d.engine.attempts(prompt)).To(gomega.Equal(1), prompt)
	}
	lines := d.lines(g, d.get(g, batch.ID).ErrorFileID)
	g.Expect(lines).To(gomega.HaveLen(2))
	g.Expect(lines[0].Error.Code).To(gomega.Equal("outcome_unknown"))
	g.Expect(lines[1].Response.StatusCode).To(gomega.Equal(500))
}

func TestCreateBatchValidatesDeadline(t *testing.T) {
	d := newDeployment(t, false)
	g := gomega.NewWithT(t)
	file, err := d.upload(line("a", "one"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for name, test := range map[string]struct {
		window   string
		metadata map[string]string
		code     string
	}{
		"passed":     {"24h", map[string]string{"deadline": "2020-01-01T00:00:00Z"}, "deadline_not_feasible"},
		"not a time": {"24h", map[string]string{"deadline": "tomorrow"}, "invalid_value"},
		"no window":  {"soon", nil, "invalid_value"},
		"minutes":    {"90m", nil, ""},
		"days":       {"7d", nil, ""},
	} {
		_, err := d.client.Batches.New(context.Background(), openai.BatchNewParams{
			InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1Completions, Metadata: test.metadata,
			CompletionWindow: openai.BatchNewParamsCompletionWindow(test.window),
		})
		if test.code == "" {
			g.Expect(err).NotTo(gomega.HaveOccurred(), name)
			continue
		}
		_, code := apiError(err)
		g.Expect(code).To(gomega.Equal(test.code), name)
	}
}

func TestBatchExpiresAtDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDeployment(t, true)
	d.engine.attemptTime = time.Hour
	file, err := d.upload(line("a", "one") + line("b", "two"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	batch, err := d.client.Batches.New(context.Background(), openai.BatchNewParams{
		InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1Completions, CompletionWindow: "1500ms",
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func(g gomega.Gomega) {
		found := d.get(g, batch.ID)
		g.Expect(string(found.Status)).To(gomega.Equal("expired"))
		lines := d.lines(g, found.ErrorFileID)
		g.Expect(lines).To(gomega.HaveLen(2))
		g.Expect(lines[0].Error.Code).To(gomega.Equal("batch_expired"))
	}, waitTimeout).Should(gomega.Succeed())
}
