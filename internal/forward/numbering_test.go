package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/upstream"
)

const (
	scriptBreak   = "break"   // the connection is closed
	scriptComment = "comment" // an event without a number and without data
	scriptPlain   = "plain"   // an event without a number
)

// scriptedEngines answer the requests for one stream by scripts in turn, at whichever engine they arrive.
// The words of a script are the numbers of events, or one of the constants.
type scriptedEngines struct {
	*Forwarder
	route *catalog.Route

	mutex   sync.Mutex
	scripts []string
	after   []string // where the runs were asked to continue
}

func newScriptedEngines(t *testing.T, scripts ...string) *scriptedEngines {
	s := &scriptedEngines{scripts: scripts}
	var engines []catalog.Engine
	for range scripts {
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		engines = append(engines, catalog.Engine{ID: fmt.Sprint("e", len(engines)), Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8})
	}
	snapshot := catalog.NewSnapshot(nil, engines)
	s.Forwarder = &Forwarder{
		Pool: upstream.NewPool(streamDialect{}), Balancer: balance.New(func() *catalog.Snapshot { return snapshot }), Usable: snapshot.Usable,
	}
	s.route = &catalog.Route{
		Name: "r", Kind: catalog.KindStream, Resumable: true, Attempts: len(scripts), Target: time.Second, Backends: []catalog.Backend{{Service: "s", Weight: 1}},
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *scriptedEngines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	script := s.scripts[len(s.after)]
	s.after = append(s.after, r.Header.Get("X-After"))
	s.mutex.Unlock()
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	for _, word := range strings.Fields(script) {
		switch word {
		case scriptBreak:
			panic(http.ErrAbortHandler)
		case scriptComment:
			fmt.Fprint(w, ": waiting\n\n")
		case scriptPlain:
			fmt.Fprint(w, "data: plain\n\n")
		default:
			fmt.Fprintf(w, "id: %s\ndata: %s\n\n", word, word)
		}
		_ = http.NewResponseController(w).Flush()
	}
}

func (s *scriptedEngines) serve(lastEvent uint64) *streamSink {
	sink := &streamSink{}
	now := time.Now()
	s.Serve(context.Background(), &Request{
		ID: "one", Method: http.MethodGet, URI: "/", Host: "h", Arrived: now, Deadline: now.Add(10 * time.Second), LastEvent: lastEvent,
	}, s.route, sink)
	return sink
}

// Guards against streams passed on with a piece missing, or with one twice, as an engine's events are misnumbered.
func TestMisnumberedAnswerIsNotPassedOn(t *testing.T) {
	for name, test := range map[string]struct {
		scripts   string // separated by |
		lastEvent uint64
		once      bool   // the stream may not be resumed
		events    string // passed on
		after     string // of the runs, separated by |
		cut       bool   // the stream is aborted
	}{
		"skips a number":                      {scripts: "1 2 4 5|3 4 5", events: "1 2 3 4 5", after: "|2"},
		"repeats a number":                    {scripts: "1 2 2 3|3 4 5", events: "1 2 3 4 5", after: "|2"},
		"goes back":                           {scripts: "1 2 1 2 3|3 4 5", events: "1 2 3 4 5", after: "|2"},
		"begins with a later event":           {scripts: "2 3|1 2 3", events: "1 2 3", after: "|"},
		"continued run starts over":           {scripts: "1 2 break|1 2 3 4|3 4", events: "1 2 3 4", after: "|2|2"},
		"continued run skips a number":        {scripts: "1 2 break|4 5|3 4 5", events: "1 2 3 4 5", after: "|2|2"},
		"continued request starts over":       {scripts: "1 2 3 4|3 4", lastEvent: 2, events: "3 4", after: "|"},
		"continued request skips a number":    {scripts: "4 5|3 4 5", lastEvent: 2, events: "3 4 5", after: "|"},
		"every run skips a number":            {scripts: "1 2 4|4 5", events: "1 2", after: "|2", cut: true},
		"skips a number in a stream run once": {scripts: "1 2 4|3 4", once: true, events: "1 2", after: "", cut: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			s := newScriptedEngines(t, strings.Split(test.scripts, "|")...)
			s.route.Resumable = !test.once
			sink := s.serve(test.lastEvent)
			g.Expect(strings.Join(sink.events, " ")).To(gomega.Equal(test.events))
			g.Expect(strings.Join(s.after, "|")).To(gomega.Equal(test.after))
			g.Expect(sink.aborted).To(gomega.Equal(test.cut))
			g.Expect(sink.ended).To(gomega.Equal(!test.cut))
		})
	}
}

// Guards against streams whose events without a number come twice, as the next run can't be asked to continue after them.
func TestStreamIsNotContinuedAfterPieceWithoutNumber(t *testing.T) {
	for name, test := range map[string]struct {
		scripts string // separated by |
		events  string // passed on
		after   string // of the runs, separated by |
		cut     bool   // the stream is aborted
	}{
		"after numbered ones":        {scripts: "1 plain break|plain 2 3", events: "1 plain", after: "", cut: true},
		"in place of numbered ones":  {scripts: "plain plain break|plain plain plain", events: "plain plain", after: "", cut: true},
		"whole":                      {scripts: "plain plain", events: "plain plain", after: ""},
		"a number comes after it":    {scripts: "1 plain 2 break|3 4", events: "1 plain 2 3 4", after: "|2"},
		"comments are no pieces":     {scripts: "1 comment break|2 3", events: "1  2 3", after: "|1"},
		"comment before a new event": {scripts: "comment break|1 2", events: "1 2", after: "|"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			s := newScriptedEngines(t, strings.Split(test.scripts, "|")...)
			sink := s.serve(0)
			g.Expect(strings.Join(sink.events, " ")).To(gomega.Equal(test.events))
			g.Expect(strings.Join(s.after, "|")).To(gomega.Equal(test.after))
			g.Expect(sink.aborted).To(gomega.Equal(test.cut))
			g.Expect(sink.ended).To(gomega.Equal(!test.cut))
		})
	}
}
