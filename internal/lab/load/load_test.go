package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/lab/arrivals"
	"chutelock.dev/chutelock/internal/lab/load"
)

const requests = 20

func echo(_, prompt string, _ int) string { return "<" + prompt + ">" }

func writeEvents(w http.ResponseWriter, text string, end string) {
	for _, part := range strings.SplitAfter(text, " ") {
		data, _ := json.Marshal(part)
		fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%s}]}\n\n", data)
	}
	fmt.Fprint(w, end)
}

// Guards against responses counted with the wrong outcome.
func TestRunClassifiesOutcomes(t *testing.T) {
	const streamEnd = "data: [DONE]\n\n"
	cases := map[string]struct {
		stream  bool
		answer  func(w http.ResponseWriter, prompt string)
		outcome string
	}{
		"complete stream": {true, func(w http.ResponseWriter, p string) { writeEvents(w, echo("", p, 0), streamEnd) }, load.OutcomeOK},
		"wrong text":      {true, func(w http.ResponseWriter, p string) { writeEvents(w, "other", streamEnd) }, load.OutcomeWrongText},
		"cut-off stream":  {true, func(w http.ResponseWriter, p string) { writeEvents(w, echo("", p, 0), "") }, load.OutcomeTruncated},
		"error in stream": {true, func(w http.ResponseWriter, p string) { writeEvents(w, "a", `data: {"error":{"code":"lost"}}`+"\n\n") }, "stream_lost"},
		"error response": {true, func(w http.ResponseWriter, p string) {
			w.WriteHeader(503)
			fmt.Fprint(w, `{"error":{"code":"not_run"}}`)
		}, "http_503_not_run"},
		"error, no JSON": {true, func(w http.ResponseWriter, p string) { w.WriteHeader(502) }, "http_502_no_code"},
		"no response":    {true, func(w http.ResponseWriter, p string) { time.Sleep(2 * time.Second) }, load.OutcomeTimeout},
		"full response": {false, func(w http.ResponseWriter, p string) {
			_ = json.NewEncoder(w).Encode(map[string]any{"choices": []any{map[string]any{"text": echo("", p, 0)}}})
		}, load.OutcomeOK},
		"cut-off response": {false, func(w http.ResponseWriter, p string) { fmt.Fprint(w, `{"choices":[{"text":`) }, load.OutcomeTruncated},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var body struct{ Prompt string }
				_ = json.NewDecoder(r.Body).Decode(&body)
				test.answer(w, body.Prompt)
			}))
			defer server.Close()
			summary, err := load.Run(context.Background(), load.Config{
				Targets: []string{server.URL}, Model: "m", Stream: test.stream, Seed: 1,
				Online: arrivals.Online{Rate: 1000, Prompts: arrivals.Prompts{
					Families: 2, SharedTokens: 3, OwnTokens: arrivals.Span{Min: 2, Max: 2}, OutputTokens: arrivals.Span{Min: 4, Max: 4}}},
				Duration: time.Minute, MaxRequests: requests, MaxInFlight: requests, Timeout: time.Second, Expected: echo,
			})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(summary.Outcomes).To(gomega.Equal(map[string]int{test.outcome: requests}))
		})
	}
}

// Guards against a retry of requests that may have run, which would run them twice.
func TestFailoverOnlyForRequestsNotRun(t *testing.T) {
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(503)
		fmt.Fprint(w, `{"error":{"code":"not_run"}}`)
	}))
	defer refusing.Close()
	failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(502) }))
	defer failing.Close()
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Prompt string }
		_ = json.NewDecoder(r.Body).Decode(&body)
		writeEvents(w, echo("", body.Prompt, 0), "data: [DONE]\n\n")
	}))
	defer good.Close()
	closed := httptest.NewServer(nil)
	closed.Close()
	for name, test := range map[string]struct {
		first     string
		outcome   string
		failovers int
	}{
		"not run":     {refusing.URL, load.OutcomeOK, 1},
		"unreachable": {closed.URL, load.OutcomeOK, 1},
		"failed":      {failing.URL, "http_502_no_code", 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			summary, err := load.Run(context.Background(), load.Config{
				Targets: []string{test.first, good.URL}, Model: "m", Stream: true, Seed: 1, Failover: true,
				Online: arrivals.Online{Rate: 1000, Prompts: arrivals.Prompts{
					Families: 2, SharedTokens: 3, OwnTokens: arrivals.Span{Min: 2, Max: 2}, OutputTokens: arrivals.Span{Min: 4, Max: 4}}},
				Duration: time.Minute, MaxRequests: 1, MaxInFlight: 1, Timeout: 10 * time.Second, Expected: echo,
			})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(summary.Outcomes).To(gomega.Equal(map[string]int{test.outcome: 1}))
			g.Expect(summary.Failovers).To(gomega.Equal(test.failovers))
		})
	}
}
