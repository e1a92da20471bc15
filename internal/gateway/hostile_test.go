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
	"chutelock.dev/chutelock/internal/settings"
)

// maxHostileEngines is the maximum number of engines in TestResponsesWithFaultyEngines, each of
// which a request is sent to once at most.
const maxHostileEngines = 6

// caller is one request of TestResponsesWithFaultyEngines and its reply.
type caller struct {
	prompt     string
	path       string
	stream     bool
	repeatable bool
	leaveAfter time.Duration // time until the caller disconnects; 0 means never
	timeout    string        // value of HeaderTimeout
	plan       [maxHostileEngines]behaviour
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
	c.leaveAfter = rapid.SampledFrom([]time.Duration{0, 0, 0, 10 * time.Millisecond}).Draw(t, "patience")
	c.timeout = rapid.SampledFrom([]string{"", "", "", "20ms"}).Draw(t, "timeout")
	for i := range c.plan {
		c.plan[i] = behaviour(rapid.IntRange(0, int(behaviourCount)-1).Draw(t, "behaviour"))
	}
	return c
}

// ask sends the request and records the reply.
func (c *caller) ask(server *testServer) {
	ctx := context.Background()
	if c.leaveAfter > 0 {
		limited, cancel := context.WithTimeout(ctx, c.leaveAfter)
		defer cancel()
		ctx = limited
	}
	headers := map[string]string{HeaderRepeatable: fmt.Sprint(c.repeatable), HeaderTimeout: c.timeout}
	c.reply, c.err = server.askWithin(ctx, http.MethodPost, c.path, completionBody(c.path, c.prompt, c.stream), headers)
}

// check returns an error if the reply is wrong or contradicts the number of runs.
func (c *caller) check(runs int) error {
	expected := strings.Join(expectedTokens(c.prompt), "")
	switch {
	case !c.repeatable && runs > 1:
		return fmt.Errorf("non-repeatable request ran %d times", runs)
	case c.err != nil && c.leaveAfter > 0:
		return nil // the caller disconnected
	case c.err != nil:
		return fmt.Errorf("no valid response: %w", c.err)
	case c.reply.header.Get(apierror.HeaderRequestID) == "":
		return fmt.Errorf("no request ID")
	case c.reply.whole && c.reply.text != expected:
		return fmt.Errorf("got complete response %q, want %q", c.reply.text, expected)
	case c.reply.whole && c.reply.code != "":
		return fmt.Errorf("complete response with error %q", c.reply.code)
	case !c.reply.whole && c.reply.code == "":
		return fmt.Errorf("neither complete nor an error: status %d, %q", c.reply.status, c.reply.text)
	case !strings.HasPrefix(expected, c.reply.text):
		return fmt.Errorf("got %q, which is not a prefix of %q", c.reply.text, expected)
	case c.reply.code == apierror.CodeNotRun && runs > 0:
		return fmt.Errorf("ran %d times, but the response is not_run", runs)
	case c.reply.code == apierror.CodeNotRun && c.reply.header.Get("Retry-After") == "":
		return fmt.Errorf("not_run without Retry-After")
	}
	return nil
}

// Guards against wrong or incomplete responses and leaked attempts when engines
// misbehave.
func TestResponsesWithFaultyEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		callers := map[string]*caller{}
		for i := range rapid.IntRange(1, 12).Draw(t, "callers") {
			drawn := drawCaller(t, i)
			callers[drawn.prompt] = drawn
		}
		engines := newFakeFleet(rapid.IntRange(1, maxHostileEngines).Draw(t, "engines"))
		engines.plan = func(prompt string, attempt uint32) behaviour { return callers[prompt].plan[attempt-1] }
		server := newTestServer(engines, settings.Tenant{}, Config{HedgeAfter: drawHedgeAfter(t)})
		var group sync.WaitGroup
		for _, one := range callers {
			group.Go(func() { one.ask(server) })
		}
		group.Wait()
		server.Close()
		for _, one := range callers {
			if err := one.check(engines.ran(one.prompt)); err != nil {
				t.Fatalf("%+v: %v", *one, err)
			}
		}
		for _, endpoint := range engines.snapshot.Endpoints {
			if left := server.gateway.placement.router.InFlight(endpoint.Name); left != 0 {
				t.Fatalf("%d attempts still in flight on %s", left, endpoint.Name)
			}
		}
	})
}
