package objecthttp_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/httpconn/httpconntest"
	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/platform/objecthttp"
)

// calls are calls of the platform, by name.
var calls = map[string]func(ctx context.Context, client *objecthttp.Client) error{
	"get": func(ctx context.Context, client *objecthttp.Client) error {
		_, err := client.Get(ctx, platform.KindEngine, "a")
		return err
	},
	"list": func(ctx context.Context, client *objecthttp.Client) error {
		_, _, err := client.List(ctx, platform.KindEngine)
		return err
	},
	"delete": func(ctx context.Context, client *objecthttp.Client) error {
		return client.Delete(ctx, platform.KindEngine, "a", 0)
	},
	"watch": func(ctx context.Context, client *objecthttp.Client) error {
		return client.Watch(ctx, platform.KindEngine, 0, func(platform.Event) error { return nil })
	},
}

// Guards against answers of the platform whose head isn't valid and that count.
func TestAnswerWithInvalidHeadFailsCall(t *testing.T) {
	const body = `{"metadata":{"name":"a","resourceVersion":"7"},"items":[]}`
	for _, response := range httpconntest.InvalidHeads("Content-Type: application/json\r\n") {
		t.Run(response.Name, func(t *testing.T) {
			t.Parallel()
			address := httpconntest.Serve(t, func(c *httpconntest.Conn) bool {
				c.ReadBody()
				_, _ = io.WriteString(c, strings.ReplaceAll(response.Bytes, "Content-Length: 4\r\n\r\nbody", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)))
				return true
			})
			for name, call := range calls {
				g := gomega.NewWithT(t)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				g.Expect(call(ctx, objecthttp.New(address, objecthttp.Options{}))).NotTo(gomega.Succeed(), name)
				g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "%s must fail at once", name)
				cancel()
			}
		})
	}
}

// Guards against nodes whose memory the platform fills, and calls that don't end before their time.
func TestCallGivesUpAnswerWithoutEnd(t *testing.T) {
	const wanted = 160 << 20 // bytes until an answer is given up
	for name, begin := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX-More: ", "body": "HTTP/1.1 200 OK\r\n\r\n{\"items\":[\"", "failure": "HTTP/1.1 500 X\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address, sent := httpconntest.ServeWithoutEnd(t, begin, wanted)
			for call := range calls {
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				g.Expect(calls[call](ctx, objecthttp.New(address, objecthttp.Options{Timeout: 20 * time.Second}))).NotTo(gomega.Succeed(), call)
				g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "%s must be given up before its time", call)
				cancel()
				g.Eventually(sent, 10*time.Second).Should(gomega.Receive(gomega.BeNumerically("<", wanted)), call)
			}
		})
	}
}
