package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/gateway/apierror"
	"chutelock.dev/chutelock/internal/settings"
)

// Guards against invalid requests reaching an engine or staying in the queue.
func TestInvalidRequestIsRejected(t *testing.T) {
	const limit = 4096
	engines := newFakeFleet(2)
	server := newTestServer(engines, settings.Tenant{}, Config{MaxBodyBytes: limit})
	defer server.Close()
	prompt := func(extra string) string { return `{"model":"placement","prompt":"x"` + extra + `}` }
	chat := func(messages string) string { return `{"model":"placement","messages":` + messages + `}` }
	type headers = map[string]string
	for name, test := range map[string]struct {
		method, path, body string
		headers            headers
		status             int
		code               apierror.Code
		param              string
	}{
		"no key":                  {"POST", PathCompletions, prompt(""), headers{"Authorization": ""}, 401, "invalid_api_key", ""},
		"wrong key":               {"POST", PathCompletions, prompt(""), headers{"Authorization": "Bearer nobody"}, 401, "invalid_api_key", ""},
		"wrong scheme":            {"POST", PathCompletions, prompt(""), headers{"Authorization": "Basic " + testKey}, 401, "invalid_api_key", ""},
		"empty key":               {"POST", PathCompletions, prompt(""), headers{"Authorization": "Bearer "}, 401, "invalid_api_key", ""},
		"models without a key":    {"GET", PathModels, "", headers{"Authorization": ""}, 401, "invalid_api_key", ""},
		"unknown path":            {"POST", "/v1/embeddings", prompt(""), nil, 404, "not_found", ""},
		"wrong method":            {"GET", PathCompletions, "", nil, 405, "method_not_allowed", ""},
		"models by POST":          {"POST", PathModels, "", nil, 405, "method_not_allowed", ""},
		"wrong media type":        {"POST", PathCompletions, prompt(""), headers{"Content-Type": "text/plain"}, 415, "unsupported_media_type", "Content-Type"},
		"compressed":              {"POST", PathCompletions, prompt(""), headers{"Content-Encoding": "gzip"}, 415, "unsupported_media_type", "Content-Encoding"},
		"too large":               {"POST", PathCompletions, prompt(`,"user":"` + strings.Repeat("x", limit) + `"`), nil, 413, "body_too_large", ""},
		"repeatable maybe":        {"POST", PathCompletions, prompt(""), headers{HeaderRepeatable: "maybe"}, 400, "invalid_value", HeaderRepeatable},
		"negative timeout":        {"POST", PathCompletions, prompt(""), headers{HeaderTimeout: "-1"}, 400, "invalid_value", HeaderTimeout},
		"infinite timeout":        {"POST", PathCompletions, prompt(""), headers{HeaderTimeout: "Inf"}, 400, "invalid_value", HeaderTimeout},
		"unreadable timeout":      {"POST", PathCompletions, prompt(""), headers{HeaderTimeout: "soon"}, 400, "invalid_value", HeaderTimeout},
		"empty body":              {"POST", PathCompletions, "", nil, 400, "invalid_json", ""},
		"cut off":                 {"POST", PathCompletions, `{"model":"placement","prompt":"x"`, nil, 400, "invalid_json", ""},
		"cut in a field":          {"POST", PathCompletions, `{"model":"placement","prompt":"x`, nil, 400, "invalid_json", "prompt"},
		"a list":                  {"POST", PathCompletions, `[]`, nil, 400, "invalid_json", ""},
		"something behind":        {"POST", PathCompletions, prompt("") + "{}", nil, 400, "invalid_json", ""},
		"trailing comma":          {"POST", PathCompletions, prompt(","), nil, 400, "invalid_json", ""},
		"not UTF-8":               {"POST", PathCompletions, "{\"model\":\"placement\",\"prompt\":\"\xff\"}", nil, 400, "invalid_json", ""},
		"a field twice":           {"POST", PathCompletions, prompt(`,"prompt":"y"`), nil, 400, "invalid_json", "prompt"},
		"no model":                {"POST", PathCompletions, `{"prompt":"x"}`, nil, 400, "invalid_value", "model"},
		"null model":              {"POST", PathCompletions, `{"model":null,"prompt":"x"}`, nil, 400, "invalid_value", "model"},
		"model is a number":       {"POST", PathCompletions, `{"model":7,"prompt":"x"}`, nil, 400, "invalid_value", "model"},
		"model too long":          {"POST", PathCompletions, `{"model":"` + strings.Repeat("m", maxModelName+1) + `","prompt":"x"}`, nil, 400, "invalid_value", "model"},
		"unknown model":           {"POST", PathCompletions, `{"model":"other","prompt":"x"}`, nil, 404, "model_not_found", "model"},
		"unknown adapter":         {"POST", PathCompletions, `{"model":"placement:none","prompt":"x"}`, nil, 404, "model_not_found", "model"},
		"another tenant's model":  {"POST", PathCompletions, prompt(""), headers{"Authorization": "Bearer other-key"}, 404, "model_not_found", "model"},
		"no prompt":               {"POST", PathCompletions, `{"model":"placement"}`, nil, 400, "invalid_value", "prompt"},
		"empty prompt":            {"POST", PathCompletions, `{"model":"placement","prompt":""}`, nil, 400, "invalid_value", "prompt"},
		"two prompts":             {"POST", PathCompletions, `{"model":"placement","prompt":["x","y"]}`, nil, 400, "invalid_value", "prompt"},
		"prompt of tokens":        {"POST", PathCompletions, `{"model":"placement","prompt":[1,2]}`, nil, 400, "invalid_value", "prompt"},
		"echo":                    {"POST", PathCompletions, prompt(`,"echo":true`), nil, 400, "invalid_value", "echo"},
		"stream is a string":      {"POST", PathCompletions, prompt(`,"stream":"yes"`), nil, 400, "invalid_value", "stream"},
		"options without stream":  {"POST", PathCompletions, prompt(`,"stream_options":{}`), nil, 400, "invalid_value", "stream_options"},
		"options are a list":      {"POST", PathCompletions, prompt(`,"stream":true,"stream_options":[]`), nil, 400, "invalid_json", "stream_options"},
		"usage is a number":       {"POST", PathCompletions, prompt(`,"stream":true,"stream_options":{"include_usage":1}`), nil, 400, "invalid_value", "stream_options.include_usage"},
		"no output":               {"POST", PathCompletions, prompt(`,"max_tokens":0`), nil, 400, "invalid_value", "max_tokens"},
		"half a token":            {"POST", PathCompletions, prompt(`,"max_tokens":1.5`), nil, 400, "invalid_value", "max_tokens"},
		"endless output":          {"POST", PathCompletions, prompt(`,"max_tokens":1e18`), nil, 400, "invalid_value", "max_tokens"},
		"hot temperature":         {"POST", PathCompletions, prompt(`,"temperature":2.1`), nil, 400, "invalid_value", "temperature"},
		"temperature as text":     {"POST", PathCompletions, prompt(`,"temperature":"1"`), nil, 400, "invalid_value", "temperature"},
		"top_p":                   {"POST", PathCompletions, prompt(`,"top_p":-0.1`), nil, 400, "invalid_value", "top_p"},
		"several choices":         {"POST", PathCompletions, prompt(`,"n":2`), nil, 400, "invalid_value", "n"},
		"best of several":         {"POST", PathCompletions, prompt(`,"best_of":3`), nil, 400, "invalid_value", "best_of"},
		"five stops":              {"POST", PathCompletions, prompt(`,"stop":["a","b","c","d","e"]`), nil, 400, "invalid_value", "stop"},
		"stop is a number":        {"POST", PathCompletions, prompt(`,"stop":1`), nil, 400, "invalid_value", "stop"},
		"own priority":            {"POST", PathCompletions, prompt(`,"priority":-100`), nil, 400, "invalid_value", "priority"},
		"own resume point":        {"POST", PathCompletions, prompt(`,"resume_from":1`), nil, 400, "invalid_value", "resume_from"},
		"logprobs":                {"POST", PathCompletions, prompt(`,"logprobs":3`), nil, 400, "invalid_value", "logprobs"},
		"tools":                   {"POST", PathChatCompletions, `{"model":"placement","messages":[],"tools":[]}`, nil, 400, "invalid_value", "tools"},
		"no messages":             {"POST", PathChatCompletions, `{"model":"placement"}`, nil, 400, "invalid_value", "messages"},
		"empty messages":          {"POST", PathChatCompletions, chat(`[]`), nil, 400, "invalid_value", "messages"},
		"messages as text":        {"POST", PathChatCompletions, chat(`"hello"`), nil, 400, "invalid_value", "messages"},
		"message as text":         {"POST", PathChatCompletions, chat(`["hello"]`), nil, 400, "invalid_json", "messages[0]"},
		"no role":                 {"POST", PathChatCompletions, chat(`[{"content":"x"}]`), nil, 400, "invalid_value", "messages[0].role"},
		"unknown role":            {"POST", PathChatCompletions, chat(`[{"role":"user","content":"x"},{"role":"clerk","content":"x"}]`), nil, 400, "invalid_value", "messages[1].role"},
		"no content":              {"POST", PathChatCompletions, chat(`[{"role":"user"}]`), nil, 400, "invalid_value", "messages[0].content"},
		"content is a number":     {"POST", PathChatCompletions, chat(`[{"role":"user","content":1}]`), nil, 400, "invalid_value", "messages[0].content"},
		"an image":                {"POST", PathChatCompletions, chat(`[{"role":"user","content":[{"type":"text","text":"x"},{"type":"image_url"}]}]`), nil, 400, "invalid_value", "messages[0].content[1]"},
		"message field twice":     {"POST", PathChatCompletions, chat(`[{"role":"user","role":"system","content":"x"}]`), nil, 400, "invalid_json", "messages[0].role"},
		"a prompt instead":        {"POST", PathChatCompletions, prompt(""), nil, 400, "invalid_value", "messages"},
		"messages for completion": {"POST", PathCompletions, chat(`[{"role":"user","content":"x"}]`), nil, 400, "invalid_value", "prompt"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			got, err := server.ask(test.method, test.path, test.body, test.headers)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got.status).To(gomega.Equal(test.status), got.message)
			g.Expect(got.code).To(gomega.Equal(test.code), got.message)
			g.Expect(got.param).To(gomega.Equal(test.param), got.message)
			g.Expect(got.message).NotTo(gomega.BeEmpty())
			g.Expect(got.header.Get(apierror.HeaderRequestID)).NotTo(gomega.BeEmpty())
		})
	}
	g := gomega.NewWithT(t)
	g.Expect(engines.attempts).To(gomega.BeZero())
	g.Eventually(server.gateway.inFlight.Load).Should(gomega.BeZero())
	g.Expect(server.gateway.gate.QueueLength()).To(gomega.BeEmpty())
}

// Guards against slow or oversized requests that an HTTP client can't send.
func TestSlowOrOversizedRequestIsRejected(t *testing.T) {
	engines := newFakeFleet(1)
	server := newTestServer(engines, settings.Tenant{}, Config{MaxBodyBytes: 4096, HeaderTimeout: 300 * time.Millisecond, BodyTimeout: 300 * time.Millisecond})
	defer server.Close()
	head := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\n"
	for name, test := range map[string]struct {
		sent   string
		status int
		code   string
	}{
		"half a header":       {"POST /v1/completions HTTP/1.1\r\nHo", 408, "header_timeout"},
		"half a body":         {head + "Content-Length: 100\r\n\r\n{\"model\":", 408, "body_timeout"},
		"endless chunks":      {head + "Transfer-Encoding: chunked\r\n\r\n2000\r\n" + strings.Repeat("x", 0x2000) + "\r\n", 413, "body_too_large"},
		"claims a large body": {head + "Content-Length: 1000000\r\n\r\n", 413, "body_too_large"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			connection, err := net.Dial("tcp", server.Listener.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = connection.Close() }()
			_, err = fmt.Fprint(connection, test.sent)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(connection.SetReadDeadline(time.Now().Add(20 * time.Second))).To(gomega.Succeed())
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			body, err := io.ReadAll(response.Body)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(response.StatusCode).To(gomega.Equal(test.status))
			g.Expect(string(body)).To(gomega.ContainSubstring(test.code))
			g.Expect(response.Header.Get(apierror.HeaderRequestID)).NotTo(gomega.BeEmpty())
			g.Expect(response.Close).To(gomega.BeTrue())
		})
	}
	g := gomega.NewWithT(t)
	g.Expect(engines.attempts).To(gomega.BeZero())
}

func FuzzParseCompletion(f *testing.F) {
	f.Add(PathCompletions, `{"model":"m","prompt":"x","stop":["a"],"stream":true,"stream_options":{"include_usage":true}}`)
	f.Add(PathChatCompletions, `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`)
	f.Fuzz(func(t *testing.T, path, body string) {
		g := gomega.NewWithT(t)
		completion, failure := ParseCompletion(path, []byte(body))
		if failure != nil {
			g.Expect(failure.Status).To(gomega.BeNumerically("~", 450, 50))
			g.Expect(failure.Message).NotTo(gomega.BeEmpty())
			return
		}
		g.Expect(completion.Model).NotTo(gomega.BeEmpty())
		g.Expect(json.Valid(completion.Body)).To(gomega.BeTrue())
	})
}
