package batchwork

import (
	"context"
	"fmt"
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

// Events that wait to be read while commits take longer than an engine may be silent must
// neither end the process nor count against the engine.
func TestSlowCommitsAreNotSilenceOfEngine(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		_, _ = fmt.Fprint(w, "id: 1\ndata: x\n\n")
		w.(http.Flusher).Flush()
		time.Sleep(2 * firstCommitDelay)
		_, _ = fmt.Fprint(w, "id: 2\ndata: x\n\nid: 3\ndata: x\n\n")
	}))
	defer engine.Close()
	var last uint64
	slow := 2
	commit := func(_ context.Context, u itemUpdate) error {
		if slow > 0 {
			slow--
			time.Sleep(engineSilenceTimeout + 300*time.Millisecond)
		}
		last = u.to
		return nil
	}
	node := &runNode{
		pool: upstream.NewPool(testDialect{}), commit: commit, readStart: clock.Now(),
		usable: func(string, string) bool { return true }, open: func(string, uint32) bool { return true },
	}
	run := &itemRun{
		node: node, engine: catalog.Engine{ID: "e", Address: strings.TrimPrefix(engine.URL, "http://")}, maxFailures: 3,
		item: openItem{job: "a", host: "h", giveUp: time.Now().Add(time.Hour)},
	}
	result := run.run(context.Background(), &Item{ID: "a-0", Path: "/x"})
	g.Expect(slow).To(gomega.BeZero())
	g.Expect(result.cause).To(gomega.BeEmpty())
	g.Expect(result.engine).To(gomega.Equal(engineSucceeded))
	g.Expect(last).To(gomega.BeEquivalentTo(3))
}

// Guards against runs that end as a sound engine, which takes up to a second to an event, is silent for
// 1.8 s as well.
func TestRunOutlivesSilenceOnTopOfUsualPause(t *testing.T) {
	g := gomega.NewWithT(t)
	const pause = time.Second + 1800*time.Millisecond
	engine := newFakeEngine(t, 2, pause)
	firstLate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(pause)
		engine.ServeHTTP(w, r)
	}))
	defer firstLate.Close()
	node := &runNode{
		pool: upstream.NewPool(testDialect{}), readStart: clock.Now(),
		commit: func(context.Context, itemUpdate) error { return nil },
		usable: func(string, string) bool { return true }, open: func(string, uint32) bool { return true },
	}
	run := &itemRun{
		node: node, engine: catalog.Engine{ID: "e", Address: strings.TrimPrefix(firstLate.URL, "http://")}, maxFailures: 3,
		item: openItem{job: "a", host: "h", giveUp: time.Now().Add(time.Hour)},
	}
	result := run.run(context.Background(), &Item{ID: "a-0", Path: "/x"})
	g.Expect(result.cause).To(gomega.BeEmpty())
	g.Expect(result.engine).To(gomega.Equal(engineSucceeded))
	g.Expect(result.last).To(gomega.BeEquivalentTo(2))
}
