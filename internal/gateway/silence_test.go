package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/settings"
)

const (
	testTokenLimit = 50 * time.Millisecond
	testSilence    = 6 * testTokenLimit
)

// silentOnce returns a fleet in which each of the prompts falls silent once after its first token.
func silentOnce(engines int, prompts ...string) *fakeFleet {
	f := newFakeFleet(engines)
	var mutex sync.Mutex
	due := map[string]bool{}
	for _, prompt := range prompts {
		due[prompt] = true
	}
	f.hold = func(ctx context.Context, prompt string) {
		mutex.Lock()
		silent := due[prompt]
		due[prompt] = false
		mutex.Unlock()
		if !silent {
			return
		}
		select {
		case <-time.After(testSilence):
		case <-ctx.Done():
		}
	}
	return f
}

// Guards against the end of a run that may not be repeated, as its engine is silent for a while.
func TestSilentEngineKeepsRunThatMayNotBeRepeated(t *testing.T) {
	g := gomega.NewWithT(t)
	server := newTestServer(silentOnce(3, "once"), settings.Tenant{}, Config{MinTokenTimeout: testTokenLimit, FirstTokenTimeout: time.Hour, NextTokenTimeout: time.Hour})
	defer server.Close()
	got, err := server.ask("POST", PathCompletions, completionBody(PathCompletions, "once", true), map[string]string{HeaderRepeatable: "false"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	got.prompt = "once"
	g.Expect(got).To(beWhole())
	g.Expect(server.fleet.ran("once")).To(gomega.Equal(1))
}

// Guards against the end of a run, as its engine is silent for a while, that no other engine can take.
func TestSilentEngineKeepsRunWithoutPlaceElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		engines, others int // others are requests that take the rest of the places
		runs            int
	}{
		"one engine":      {1, 0, 1},
		"others are full": {2, 3, 1},
		"a place is free": {2, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			engines := silentOnce(test.engines, "silent")
			held, releaseHeld := heldStreams(0)
			silence := engines.hold
			engines.hold = func(ctx context.Context, prompt string) {
				silence(ctx, prompt)
				if prompt != "silent" {
					held.hold(ctx, prompt)
				}
			}
			service := testService()
			service.SlotsPerEngine = 2
			server := newServerOf(engines, settings.Tenant{}, service, Config{MinTokenTimeout: testTokenLimit, FirstTokenTimeout: time.Hour, NextTokenTimeout: time.Hour})
			defer server.Close()
			defer releaseHeld()
			for i := range test.others {
				server.askLater(string(rune('a' + i)))
			}
			server.waitInFlight(g, test.others)
			g.Eventually(server.askLater("silent")).WithTimeout(waitTimeout).Should(gomega.Receive(beWhole()))
			g.Expect(engines.ran("silent")).To(gomega.Equal(test.runs))
		})
	}
}

// Guards against streams of the only engine, which is sound, that end as it is silent for a while.
func TestSilenceOfOnlyEngineEndsNoStream(t *testing.T) {
	for name, repeatable := range map[string]string{"repeatable": "true", "not repeatable": "false"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			engines, release := heldStreams(1)
			usual := DefaultConfig()
			server := newTestServer(engines, settings.Tenant{}, Config{
				MinTokenTimeout: usual.MinTokenTimeout, FirstTokenTimeout: usual.FirstTokenTimeout, NextTokenTimeout: usual.NextTokenTimeout,
			})
			defer server.Close()
			defer release()
			time.AfterFunc(1800*time.Millisecond, release)
			got, err := server.ask("POST", PathCompletions, completionBody(PathCompletions, "held", true), map[string]string{HeaderRepeatable: repeatable})
			got.prompt = "held"
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got).To(beWhole())
		})
	}
}
