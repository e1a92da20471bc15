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
