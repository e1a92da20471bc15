package openaihttp_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/engine/openaihttp"
)

// floodTimeout bounds the time for a response without end to be given up.
const floodTimeout = 3 * time.Second

// floodClient returns a client of an engine that sends begin and then repeats a text in the body of each
// response. closed is closed when a connection is.
func floodClient(t *testing.T, begin, repeated string) (client *openaihttp.Client, closed chan struct{}) {
	closed = make(chan struct{}, 1)
	block := strings.Repeat(repeated, 4096/len(repeated)+1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(w, begin)
		for err == nil {
			_, err = io.WriteString(w, block)
		}
		closed <- struct{}{}
	}))
	t.Cleanup(server.Close)
	return openaihttp.New("e", strings.TrimPrefix(server.URL, "http://"), openaihttp.Options{ControlTimeout: floodTimeout}), closed
}

// wholeStream is the response to a request for one token.
const wholeStream = `data: {"id":"cmpl-a#1","token_index":0,"choices":[{"index":0,"text":"x","finish_reason":null}]}

data: {"id":"cmpl-a#1","choices":[{"index":0,"text":"","finish_reason":"stop"}]}

data: {"id":"cmpl-a#1","choices":[],"usage":{"completion_tokens":1}}

data: [DONE]

`

// Guards against requests that read a line of their stream, or what comes behind it, without end.
func TestGenerateGivesUpStreamWithoutEnd(t *testing.T) {
	for _, test := range []struct{ name, begin, repeated string }{
		{"line", "data: ", "more"},
		{"lines behind the end", wholeStream, "more\n"},
		{"line behind the end", wholeStream, "more"},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			client, closed := floodClient(t, test.begin, test.repeated)
			ctx, cancel := context.WithTimeout(t.Context(), floodTimeout)
			defer cancel()
			_, err := client.Generate(ctx, completion("a", "x", 1), func(engine.Chunk) error { return nil })
			g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "it must be given up before its deadline")
			if test.begin == wholeStream {
				g.Expect(err).NotTo(gomega.HaveOccurred())
			} else {
				g.Expect(fateOf(err)).To(gomega.Equal(engine.FateUnknown))
			}
			g.Eventually(closed).Should(gomega.Receive())
		})
	}
}

// Guards against load reports that are read without end.
func TestLoadGivesUpReportWithoutEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	client, closed := floodClient(t, "", "engine_running 1\n")
	started := time.Now()
	_, err := client.Load(t.Context())
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(time.Since(started)).To(gomega.BeNumerically("<", floodTimeout), "it must be given up before its time")
	g.Eventually(closed).Should(gomega.Receive())
}

// Guards against heads up to the bound of net/http, 10 MiB.
func TestGenerateGivesUpLongHead(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := range 64 {
			w.Header().Set("X-More-"+strconv.Itoa(i), strings.Repeat("m", 1<<10))
		}
		_, _ = io.WriteString(w, wholeStream)
	}))
	defer server.Close()
	client := openaihttp.New("e", strings.TrimPrefix(server.URL, "http://"), openaihttp.Options{})
	_, err := client.Generate(t.Context(), completion("a", "x", 1), func(engine.Chunk) error { return nil })
	g.Expect(fateOf(err)).To(gomega.Equal(engine.FateUnknown))
}
