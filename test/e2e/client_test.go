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

// itemTokens is the length of a batch item's output.
const itemTokens = 12

// client is the published client, pointed at a node.
func client(n *node, key string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+n.callers+"/v1"),
		option.WithAPIKey(key),
		option.WithMaxRetries(0),
		option.WithRequestTimeout(patience),
	)
}

func itemPrompt(index int) string { return fmt.Sprintf("assign child %d to a seat", index) }

func customID(index int) string { return fmt.Sprintf("child-%d", index) }

// input is a JSONL file of items; change may alter a line's fields.
func input(items int, change func(index int, line map[string]any)) []byte {
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

// upload stores an input file.
func upload(n *node, file []byte) string {
	ginkgo.GinkgoHelper()
	c := client(n, batchKey)
	stored, err := c.Files.New(context.Background(), openai.FileNewParams{
		File: openai.File(bytes.NewReader(file), "items.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return stored.ID
}

// create submits a job under an idempotency key.
func create(n *node, fileID, key string, options ...option.RequestOption) (*openai.Batch, error) {
	c := client(n, batchKey)
	return c.Batches.New(context.Background(), openai.BatchNewParams{
		InputFileID:      fileID,
		Endpoint:         openai.BatchNewParamsEndpointV1Completions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	}, append(options, option.WithHeader("Idempotency-Key", key))...)
}

// submit uploads and creates, and sends again until it is answered: what a
// caller does who must not lose a job.
func submit(n *node, items int, key string) *openai.Batch {
	ginkgo.GinkgoHelper()
	fileID := upload(n, input(items, nil))
	var job *openai.Batch
	gomega.Eventually(func() (err error) {
		job, err = create(n, fileID, key)
		return err
	}, patience, "200ms").Should(gomega.Succeed())
	return job
}

func job(n *node, id string) (*openai.Batch, error) {
	c := client(n, batchKey)
	return c.Batches.Get(context.Background(), id)
}

// waitJob waits until the job is final at any node that answers.
func waitJob(d *deployment, id string) *openai.Batch {
	ginkgo.GinkgoHelper()
	var last *openai.Batch
	gomega.Eventually(func() (string, error) {
		batch, err := job(d.liveNode(), id)
		if err != nil {
			return "", err
		}
		last = batch
		return string(batch.Status), nil
	}, patience, "200ms").Should(gomega.BeElementOf("completed", "cancelled", "expired", "failed"), "job %s", id)
	return last
}

// waitStarted waits until some items of the job have results.
func waitStarted(d *deployment, id string) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func() (int64, error) {
		batch, err := job(d.liveNode(), id)
		if err != nil {
			return 0, err
		}
		return batch.RequestCounts.Completed, nil
	}, patience, "20ms").Should(gomega.BeNumerically(">", 0))
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

// results reads an output file whole.
func results(n *node, fileID string) map[string]resultLine {
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

// expectWholeJob checks that every item has exactly one result, its own, at
// every running node.
func expectWholeJob(d *deployment, id string, items int) {
	ginkgo.GinkgoHelper()
	batch := waitJob(d, id)
	gomega.Expect(string(batch.Status)).To(gomega.Equal("completed"))
	gomega.Expect(batch.RequestCounts).To(gomega.And(
		gomega.HaveField("Total", gomega.BeEquivalentTo(items)),
		gomega.HaveField("Completed", gomega.BeEquivalentTo(items)),
		gomega.HaveField("Failed", gomega.BeEquivalentTo(0))))
	for _, n := range d.nodes {
		if !n.running() || !n.ready {
			continue
		}
		lines := results(n, batch.OutputFileID)
		gomega.Expect(lines).To(gomega.HaveLen(items))
		for i := range items {
			line, ok := lines[customID(i)]
			gomega.Expect(ok).To(gomega.BeTrue(), "item %d is lost", i)
			gomega.Expect(line.Response.Body.Choices).To(gomega.HaveLen(1))
			gomega.Expect(line.Response.Body.Choices[0].Text).To(gomega.Equal(
				truth.ExpectedText(model, itemPrompt(i), itemTokens)), "item %d has another answer", i)
		}
	}
}

// answer is how one online request ended.
type answer struct {
	prompt    string
	requestID string
	status    int
	code      string
	text      string
	whole     bool
	err       error
	took      time.Duration
}

// right says whether the caller got the whole answer to its own request.
func (a answer) right(tokens int) bool {
	return a.whole && a.text == truth.ExpectedText(model, a.prompt, tokens)
}

// ask sends one streamed completion and reads it to its end.
func ask(n *node, prompt string, tokens int, headers map[string]string) answer {
	started := time.Now()
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": true})
	request, err := http.NewRequest(http.MethodPost, "http://"+n.callers+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return answer{prompt: prompt, err: err}
	}
	request.Header.Set("Authorization", "Bearer "+onlineKey)
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{prompt: prompt, err: err}
	}
	defer response.Body.Close()
	a := answer{prompt: prompt, status: response.StatusCode, requestID: response.Header.Get("Chutelock-Request-Id")}
	a.read(bufio.NewScanner(response.Body))
	a.took = time.Since(started)
	return a
}

func (a *answer) read(lines *bufio.Scanner) {
	for lines.Scan() {
		data, isEvent := strings.CutPrefix(lines.Text(), "data: ")
		if data == "[DONE]" {
			a.whole = true
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
			a.code = event.Error.Code
		}
		for _, choice := range event.Choices {
			a.text += choice.Text
		}
	}
	a.err = lines.Err()
}
