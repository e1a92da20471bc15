package batchwork

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/upstream"
)

// Guards against items that stay at an engine whose bytes bring them no further.
func TestRunLeavesEngineWithoutProgress(t *testing.T) {
	for _, test := range []struct{ name, repeated string }{
		{"comments", ": more\n\n"},
		{"events without a number", "data: more\n\n"},
		{"one event again and again", "id: 1\ndata: x\n\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			closed := make(chan struct{})
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				defer close(closed)
				w.Header().Set("X-Id", r.Header.Get("X-Id"))
				_, err := io.WriteString(w, "id: 1\ndata: x\n\n")
				for err == nil {
					_ = http.NewResponseController(w).Flush()
					time.Sleep(10 * time.Millisecond)
					_, err = io.WriteString(w, test.repeated)
				}
			}))
			defer engine.Close()
			var last uint64
			node := &runNode{
				pool: upstream.NewPool(testDialect{}), readStart: clock.Now(),
				commit: func(_ context.Context, u itemUpdate) error { last = u.to; return nil },
				usable: func(string, string) bool { return true }, open: func(string, uint32) bool { return true },
			}
			run := &itemRun{
				node: node, engine: catalog.Engine{ID: "e", Address: strings.TrimPrefix(engine.URL, "http://")}, maxFailures: 3,
				item: openItem{job: "a", host: "h", giveUp: time.Now().Add(time.Hour)},
			}
			ctx, cancel := context.WithTimeout(t.Context(), 2*engineSilenceTimeout)
			defer cancel()
			result := run.run(ctx, &Item{ID: "a-0", Path: "/x"})
			g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "the run must end by the engine's silence")
			g.Expect(result.engine).To(gomega.Equal(engineFailed))
			g.Expect(last).To(gomega.BeEquivalentTo(1), "its text must be kept")
			g.Eventually(closed).Should(gomega.BeClosed())
		})
	}
}
