package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"chutelock.dev/chutelock/internal/standin/truth"
)

// itemTokens is the length of a batch item's output in tokens.
const itemTokens = 12

// client returns the published OpenAI client for a node, without retries.
func client(n *node, key string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+n.callers+"/v1"),
		option.WithAPIKey(key),
		option.WithMaxRetries(0),
		option.WithRequestTimeout(eventTimeout),
	)
}

func itemPrompt(index int) string { return fmt.Sprintf("assign child %d to a seat", index) }

func customID(index int) string { return fmt.Sprintf("child-%d", index) }

// jobInput returns a JSONL file of items; change, if not nil, may alter each line.
func jobInput(items int, change func(index int, line map[string]any)) []byte {
	var file bytes.Buffer
	encoder := json.NewEncoder(&file)
	for i := range items {
		line := map[string]any{
			"custom_id": customID(i), "method": "POST", "url": "/v1/completions",
			"body": map[string]any{"model": model, "prompt": itemPrompt(i), "max_tokens": itemTokens},
		}
		if change != nil {
			change(i, line)
		}
		gomega.Expect(encoder.Encode(line)).To(gomega.Succeed())
	}
	return file.Bytes()
}

// uploadInput stores an input file and returns its id.
func uploadInput(n *node, file []byte) string {
	ginkgo.GinkgoHelper()
	c := client(n, batchKey)
	stored, err := c.Files.New(context.Background(), openai.FileNewParams{
		File: openai.File(bytes.NewReader(file), "items.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return stored.ID
}

// createJob submits a job with an idempotency key.
func createJob(n *node, fileID, key string, options ...option.RequestOption) (*openai.Batch, error) {
	c := client(n, batchKey)
	return c.Batches.New(context.Background(), openai.BatchNewParams{
		InputFileID:      fileID,
		Endpoint:         openai.BatchNewParamsEndpointV1Completions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	}, append(options, option.WithHeader("Idempotency-Key", key))...)
}

// submitJob uploads an input file and submits a job, with retries under the same
// key until it is accepted.
func submitJob(n *node, items int, key string) *openai.Batch {
	ginkgo.GinkgoHelper()
	fileID := uploadInput(n, jobInput(items, nil))
	var job *openai.Batch
	gomega.Eventually(func() (err error) {
		job, err = createJob(n, fileID, key)
		return err
	}, eventTimeout, "200ms").Should(gomega.Succeed())
	return job
}

func getJob(n *node, id string) (*openai.Batch, error) {
	c := client(n, batchKey)
	return c.Batches.Get(context.Background(), id)
}

// waitFinal waits until the job is final.
func waitFinal(d *deployment, id string) *openai.Batch {
	ginkgo.GinkgoHelper()
	var last *openai.Batch
	gomega.Eventually(func() (string, error) {
		batch, err := getJob(d.liveNode(), id)
		if err != nil {
			return "", err
		}
		last = batch
		return string(batch.Status), nil
	}, eventTimeout, "200ms").Should(gomega.BeElementOf("completed", "cancelled", "expired", "failed"), "job %s", id)
	return last
}

// waitPartlyDone waits until some items of the job have results.
func waitPartlyDone(d *deployment, id string) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func() (int64, error) {
		batch, err := getJob(d.liveNode(), id)
		if err != nil {
			return 0, err
		}
		return batch.RequestCounts.Completed, nil
	}, eventTimeout, "20ms").Should(gomega.BeNumerically(">", 0))
}

// resultLine is a line of an output or error file.
type resultLine struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		StatusCode int `json:"status_code"`
		Body       struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
			Error *struct {
				Code string `json:"code"`
			} `json:"error"`
		} `json:"body"`
	} `json:"response"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// readResults returns the lines of an output or error file by custom id.
func readResults(n *node, fileID string) map[string]resultLine {
	ginkgo.GinkgoHelper()
	c := client(n, batchKey)
	response, err := c.Files.Content(context.Background(), fileID)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	lines := map[string]resultLine{}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var line resultLine
		gomega.Expect(json.Unmarshal(scanner.Bytes(), &line)).To(gomega.Succeed())
		gomega.Expect(lines).NotTo(gomega.HaveKey(line.CustomID), "an item has two results")
		lines[line.CustomID] = line
	}
	gomega.Expect(scanner.Err()).NotTo(gomega.HaveOccurred())
	return lines
}

// expectCompleteJob waits for the job, then checks at every running node that each
// item has exactly one result, with the expected text.
func expectCompleteJob(d *deployment, id string, items int) {
	ginkgo.GinkgoHelper()
	batch := waitFinal(d, id)
	gomega.Expect(string(batch.Status)).To(gomega.Equal("completed"))
	gomega.Expect(batch.RequestCounts).To(gomega.And(
		gomega.HaveField("Total", gomega.BeEquivalentTo(items)),
		gomega.HaveField("Completed", gomega.BeEquivalentTo(items)),
		gomega.HaveField("Failed", gomega.BeEquivalentTo(0))))
	for _, n := range d.nodes {
		if !n.running() || !n.ready {
			continue
		}
		lines := readResults(n, batch.OutputFileID)
		gomega.Expect(lines).To(gomega.HaveLen(items))
		for i := range items {
			line, ok := lines[customID(i)]
			gomega.Expect(ok).To(gomega.BeTrue(), "item %d is lost", i)
			gomega.Expect(line.Response.Body.Choices).To(gomega.HaveLen(1))
			gomega.Expect(line.Response.Body.Choices[0].Text).To(gomega.Equal(
				truth.ExpectedText(model, itemPrompt(i), itemTokens)), "item %d has a wrong text", i)
		}
	}
}

// completion is the outcome of an online request.
type completion struct {
	prompt    string
	requestID string
	status    int
	code      string
	text      string
	complete  bool
	err       error
	duration  time.Duration
}

// correct reports whether the caller got the complete, expected text.
func (c completion) correct(tokens int) bool {
	return c.complete && c.text == truth.ExpectedText(model, c.prompt, tokens)
}

// sendCompletion sends a streamed completion request and reads the response.
func sendCompletion(n *node, prompt string, tokens int, headers map[string]string) completion {
	start := time.Now()
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": true})
	request, err := http.NewRequest(http.MethodPost, "http://"+n.callers+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return completion{prompt: prompt, err: err}
	}
	request.Header.Set("Authorization", "Bearer "+onlineKey)
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return completion{prompt: prompt, err: err}
	}
	defer response.Body.Close()
	c := completion{prompt: prompt, status: response.StatusCode, requestID: response.Header.Get("Chutelock-Request-Id")}
	c.read(bufio.NewScanner(response.Body))
	c.duration = time.Since(start)
	return c
}

func (c *completion) read(lines *bufio.Scanner) {
	for lines.Scan() {
		data, isEvent := strings.CutPrefix(lines.Text(), "data: ")
		if data == "[DONE]" {
			c.complete = true
			continue
		}
		if !isEvent {
			data = lines.Text()
		}
		var event struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
			Error *struct {
				Code string `json:"code"`
			} `json:"error"`
		}
		if json.Unmarshal([]byte(data), &event) != nil {
			continue
		}
		if event.Error != nil {
			c.code = event.Error.Code
		}
		for _, choice := range event.Choices {
			c.text += choice.Text
		}
	}
	c.err = lines.Err()
}
