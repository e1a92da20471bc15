package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/gateway/apierror"
	"chutelock.dev/chutelock/internal/gateway/relay"
	"chutelock.dev/chutelock/internal/settings"
)

// caller is one request of a hostile run.
type caller struct {
	prompt     string
	path       string
	stream     bool
	repeatable bool
	patience   time.Duration // after which the caller leaves; 0 is endless
	timeout    string        // asked of the gateway
	plan       [relay.MaxAttempts]behaviour
	reply      reply
	err        error
}

func drawCaller(t *rapid.T, number int) *caller {
	c := &caller{
		prompt:     fmt.Sprintf("family %d asks for a seat", number),
		path:       rapid.SampledFrom([]string{PathChatCompletions, PathCompletions}).Draw(t, "path"),
		stream:     rapid.Bool().Draw(t, "stream"),
		repeatable: rapid.Bool().Draw(t, "repeatable"),
	}
	c.patience = rapid.SampledFrom([]time.Duration{0, 0, 0, 10 * time.Millisecond}).Draw(t, "patience")
	c.timeout = rapid.SampledFrom([]string{"", "", "", "20ms"}).Draw(t, "timeout")
	for i := range c.plan {
		c.plan[i] = behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(t, "behaviour"))
	}
	return c
}

// ask sends the request and keeps what comes.
func (c *caller) ask(server *testServer) {
	ctx := context.Background()
	if c.patience > 0 {
		limited, cancel := context.WithTimeout(ctx, c.patience)
		defer cancel()
		ctx = limited
	}
	headers := map[string]string{HeaderRepeatable: fmt.Sprint(c.repeatable), HeaderTimeout: c.timeout}
	c.reply, c.err = server.askWithin(ctx, http.MethodPost, c.path, completionBody(c.path, c.prompt, c.stream), headers)
}

// judge holds what a caller got against the truth.
func (c *caller) judge(runs int) error {
	expected := strings.Join(expectedTokens(c.prompt), "")
	switch {
	case !c.repeatable && runs > 1:
		return fmt.Errorf("ran %d times, and it isn't repeatable", runs)
	case c.err != nil && c.patience > 0:
		return nil // left
	case c.err != nil:
		return fmt.Errorf("no readable answer: %w", c.err)
	case c.reply.header.Get(apierror.HeaderRequestID) == "":
		return fmt.Errorf("no request id")
	case c.reply.whole && c.reply.text != expected:
		return fmt.Errorf("got %q as the whole answer, want %q", c.reply.text, expected)
	case c.reply.whole && c.reply.code != "":
		return fmt.Errorf("a whole answer with error %q", c.reply.code)
	case !c.reply.whole && c.reply.code == "":
		return fmt.Errorf("neither whole nor an error: status %d, %q", c.reply.status, c.reply.text)
	case !strings.HasPrefix(expected, c.reply.text):
		return fmt.Errorf("got %q, which doesn't begin %q", c.reply.text, expected)
	case c.reply.code == apierror.CodeNotRun && runs > 0:
		return fmt.Errorf("ran %d times, and the caller was told not_run", runs)
	case c.reply.code == apierror.CodeNotRun && c.reply.header.Get("Retry-After") == "":
		return fmt.Errorf("not_run without Retry-After")
	}
	return nil
}

func TestHostileEnginesNeverFoolACaller(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		callers := map[string]*caller{}
		for i := range rapid.IntRange(1, 12).Draw(t, "callers") {
			drawn := drawCaller(t, i)
			callers[drawn.prompt] = drawn
		}
		engines := newFakeFleet(rapid.IntRange(1, 6).Draw(t, "engines"))
		engines.plan = func(prompt string, attempt uint32) behaviour { return callers[prompt].plan[attempt-1] }
		server := newTestServer(engines, settings.Tenant{}, Config{HedgeAfter: hedgeFor(t)})
		var group sync.WaitGroup
		for _, one := range callers {
			group.Go(func() { one.ask(server) })
		}
		group.Wait()
		server.Close()
		for _, one := range callers {
			if err := one.judge(engines.ran(one.prompt)); err != nil {
				t.Fatalf("%+v: %v", *one, err)
			}
		}
		for _, endpoint := range engines.snapshot.Endpoints {
			if left := server.gateway.placement.router.InFlight(endpoint.Name); left != 0 {
				t.Fatalf("%d attempts left on %s", left, endpoint.Name)
			}
		}
	})
}
