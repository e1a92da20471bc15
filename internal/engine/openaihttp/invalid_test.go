package openaihttp_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/engine/openaihttp"
	"chutelock.dev/chutelock/internal/httpconn/httpconntest"
)

// answerClient returns a client of an engine that answers each request with bytes, and keeps the connection.
func answerClient(t *testing.T, bytes string) *openaihttp.Client {
	address := httpconntest.Serve(t, func(c *httpconntest.Conn) bool {
		c.ReadBody()
		_, _ = io.WriteString(c, bytes)
		return true
	})
	return openaihttp.New("e", address, openaihttp.Options{ControlTimeout: 3 * time.Second})
}

// Guards against responses whose head isn't valid and that count, or that hold their request.
func TestResponseWithInvalidHeadFailsAtOnce(t *testing.T) {
	for _, response := range httpconntest.InvalidHeads("Content-Type: text/event-stream\r\n") {
		t.Run(response.Name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			client := answerClient(t, strings.ReplaceAll(response.Bytes, "Content-Length: 4\r\n\r\nbody",
				fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(wholeStream), wholeStream)))
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := client.Generate(ctx, completion("a", "x", 1), func(engine.Chunk) error { return nil })
			g.Expect(fateOf(err)).To(gomega.Equal(engine.FateUnknown))
			g.Expect(client.Cancel(ctx, "a")).NotTo(gomega.Succeed())
			_, err = client.Load(ctx)
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "it must be known at once")
		})
	}
}

// Guards against control requests that succeed though the end of their response isn't valid.
func TestControlResponseWithInvalidTrailerFails(t *testing.T) {
	for _, response := range httpconntest.InvalidTrailers("") {
		gomega.NewWithT(t).Expect(answerClient(t, response.Bytes).Cancel(t.Context(), "a")).NotTo(gomega.Succeed(), response.Name)
	}
}

func TestResponseWithUnusualHeadIsRead(t *testing.T) {
	for _, response := range httpconntest.ValidHeads("") {
		gomega.NewWithT(t).Expect(answerClient(t, response.Bytes).Cancel(t.Context(), "a")).To(gomega.Succeed(), response.Name)
	}
}

// Guards against a request that counts as not run by an error response that was reset during its upload, and
// against one that counts as unknown though its whole error response came early.
func TestErrorResponseResetDuringUploadTellsNothing(t *testing.T) {
	const notRun = `{"error":{"code":"not_run","message":"full"}}`
	for _, test := range []struct {
		name, head, body string
		end              func(c *httpconntest.Conn)
		fate             engine.Fate
	}{
		{"reset", "", notRun + strings.Repeat(" ", 100), (*httpconntest.Conn).Reset, engine.FateUnknown},
		{"reset before its length", "Content-Length: 200\r\n", notRun, (*httpconntest.Conn).Reset, engine.FateUnknown},
		{"whole, with a length", fmt.Sprintf("Content-Length: %d\r\n", len(notRun)), notRun, (*httpconntest.Conn).ReadBody, engine.FateNotRun},
		{"whole", "", notRun, func(c *httpconntest.Conn) {
			_ = c.CloseWrite()
			c.ReadBody()
		}, engine.FateNotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address := httpconntest.Serve(t, func(c *httpconntest.Conn) bool {
				fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nContent-Type: application/json\r\n%s\r\n%s", test.head, test.body)
				time.Sleep(5 * time.Millisecond)
				test.end(c)
				return false
			})
			for range 20 {
				client := openaihttp.New("e", address, openaihttp.Options{})
				_, err := client.Generate(t.Context(), completion("a", strings.Repeat("x", 1<<20), 1), func(engine.Chunk) error { return nil })
				g.Expect(fateOf(err)).To(gomega.Equal(test.fate), "%v", err)
			}
		})
	}
}
