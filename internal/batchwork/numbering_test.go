package batchwork

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/gomega"
)

// scriptedEngine answers the runs of one item by scripts in turn, whose words are the numbers of events,
// "plain" for one without a number, "comment" for one without data too, and "break" to close the connection.
type scriptedEngine struct {
	mutex   sync.Mutex
	scripts []string
	after   []string // where the runs were asked to continue
}

// ServeHTTP implements http.Handler.
func (e *scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	script := e.scripts[min(len(e.after), len(e.scripts)-1)]
	e.after = append(e.after, r.Header.Get("X-After"))
	e.mutex.Unlock()
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	for _, word := range strings.Fields(script) {
		switch word {
		case "break":
			panic(http.ErrAbortHandler)
		case "comment":
			fmt.Fprint(w, ": waiting\n\n")
		case "plain":
			fmt.Fprint(w, "data: plain\n\n")
		default:
			fmt.Fprintf(w, "id: %s\ndata: %s\n\n", word, word)
		}
		_ = http.NewResponseController(w).Flush()
	}
}

func (e *scriptedEngine) runs() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return strings.Join(e.after, "|")
}

// Guards against texts with an event missing or from a run that was not asked for it, as an engine's events are misnumbered.
func TestMisnumberedRunIsNotCommitted(t *testing.T) {
	for name, test := range map[string]struct{ scripts, after string }{
		"skips a number":               {"1 2 4 5|3 4 5", "|2"},
		"repeats a number":             {"1 2 2 3|3 4 5", "|2"},
		"begins with a later event":    {"2 3|1 2 3 4 5", "|"},
		"continued run starts over":    {"1 2 break|1 2 3 4 5|3 4 5", "|2|2"},
		"continued run skips a number": {"1 2 break|4 5|3 4 5", "|2|2"},
		"a piece has no number":        {"1 plain 2 3 4 5|2 3 4 5", "|1"},
		"comments are no pieces":       {"1 comment 2 3 4 5", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engine := &scriptedEngine{scripts: strings.Split(test.scripts, "|")}
			server := httptest.NewServer(engine)
			t.Cleanup(server.Close)
			p := startRunnerAndExecutor(t, server, 0)
			p.submit(1)
			p.g.Eventually(func() int { return len(p.page().Results) }).Should(gomega.Equal(1))
			p.g.Expect(string(p.page().Results[0].Text)).To(gomega.Equal("1\n2\n3\n4\n5"))
			p.g.Expect(engine.runs()).To(gomega.Equal(test.after))
		})
	}
}
