package fault

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const testTimeout = 10 * time.Second

// Guards against faults taken outside their duration, count, selection or
// probability.
func TestTakeSelectsFaultsInForce(t *testing.T) {
	start := time.Unix(0, 0)
	post := Target{Method: "POST", Path: "/v1/completions", Request: "a#1"}
	for name, tested := range map[string]struct {
		fault  Fault
		target Target
		// taken holds y or n for each second from 0: whether Take finds the fault.
		taken string
	}{
		"no limit":               {Fault{}, post, "yyyyyy"},
		"count":                  {Fault{Count: 2}, post, "yynnnn"},
		"duration":               {Fault{Duration: Duration(3 * time.Second)}, post, "yyynnn"},
		"delayed start":          {Fault{After: Duration(2 * time.Second), Duration: Duration(time.Second)}, post, "nnynnn"},
		"other method":           {Fault{Method: "GET"}, post, "nnnnnn"},
		"matching path":          {Fault{Path: "/v1/"}, post, "yyyyyy"},
		"other path":             {Fault{Path: "/v2/"}, post, "nnnnnn"},
		"matching request":       {Fault{Request: "a#"}, post, "yyyyyy"},
		"other request":          {Fault{Request: "b#"}, post, "nnnnnn"},
		"probability":            {Fault{Probability: 0.5}, post, "ynnnyn"},
		"probability with count": {Fault{Probability: 0.5, Count: 1}, post, "ynnnnn"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			injector := NewInjector(1)
			tested.fault.Kind = Slow
			g.Expect(injector.Add(start, tested.fault)).To(gomega.Succeed())
			taken := ""
			for second := range len(tested.taken) {
				now := start.Add(time.Duration(second) * time.Second)
				_, other := injector.Take(now, Failing, tested.target)
				g.Expect(other).To(gomega.BeFalse())
				_, found := injector.Take(now, Slow, tested.target)
				taken += map[bool]string{true: "y", false: "n"}[found]
			}
			g.Expect(taken).To(gomega.Equal(tested.taken))
		})
	}
}

// Guards against a control endpoint that accepts invalid faults, adds part of a
// rejected array, or lists and clears the wrong faults.
func TestControlValidatesListsAndClearsFaults(t *testing.T) {
	injector := NewInjector(1)
	server := httptest.NewServer(injector.Control())
	defer server.Close()
	call := func(method, path, body string) (int, string) {
		request, _ := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		text, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(text)
	}
	for _, tested := range []struct {
		body string
		want int
	}{
		{`{"kind":"slow","latency":"5ms"}`, http.StatusOK},
		{`[{"kind":"error","status":503,"count":1}]`, http.StatusOK},
		{`{"kind":"unheard of"}`, http.StatusBadRequest},
		{`{"kind":"slow","latency":"soon"}`, http.StatusBadRequest},
		{`{"kind":"pause"}`, http.StatusBadRequest},
		{`{"kind":"slow","probability":2}`, http.StatusBadRequest},
		{`{"kind":"slow","count":-1}`, http.StatusBadRequest},
		{`{"kind":"slow","laetncy":"5ms"}`, http.StatusBadRequest},
		{`[{"kind":"late"},{"kind":"slow","count":"x"}]`, http.StatusBadRequest},
		{`[{"kind":"late"},{"kind":"unheard of"}]`, http.StatusBadRequest},
		{`{`, http.StatusBadRequest},
	} {
		status, text := call(http.MethodPost, "/control/faults", tested.body)
		if status != tested.want {
			t.Errorf("%s: %d %s, want %d", tested.body, status, text, tested.want)
		}
	}
	g := gomega.NewWithT(t)
	_, listed := call(http.MethodGet, "/control/faults", "")
	g.Expect(listed).To(gomega.MatchJSON(`[{"kind":"slow","latency":"5ms"},{"kind":"error","status":503,"count":1}]`))
	call(http.MethodDelete, "/control/faults?kind=slow", "")
	_, listed = call(http.MethodGet, "/control/faults", "")
	g.Expect(listed).To(gomega.MatchJSON(`[{"kind":"error","status":503,"count":1}]`))
}

// Guards against a Wait that outlasts its fault, its context or a Clear.
func TestWaitEndsWithFaultContextOrClear(t *testing.T) {
	g := gomega.NewWithT(t)
	injector := NewInjector(1)
	g.Expect(injector.Wait(t.Context(), Pause)).To(gomega.Succeed())
	began := time.Now()
	g.Expect(injector.Add(began, Fault{Kind: Pause, Duration: Duration(30 * time.Millisecond)})).To(gomega.Succeed())
	g.Expect(injector.Wait(t.Context(), Pause)).To(gomega.Succeed())
	g.Expect(time.Since(began)).To(gomega.BeNumerically(">=", 30*time.Millisecond))

	g.Expect(injector.Add(time.Now(), Fault{Kind: Pause, Duration: Duration(time.Hour)})).To(gomega.Succeed())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	g.Expect(injector.Wait(ctx, Pause)).To(gomega.MatchError(context.DeadlineExceeded))
	waiting := make(chan error, 1)
	go func() { waiting <- injector.Wait(t.Context(), Pause) }()
	injector.Clear("")
	g.Eventually(waiting, testTimeout).Should(gomega.Receive(gomega.Succeed()))
}

// Guards against responses sent during a pause by requests already in progress.
func TestPauseDelaysResponsesInProgress(t *testing.T) {
	g := gomega.NewWithT(t)
	injector := NewInjector(1)
	begun, finish := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(injector.Middleware(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-finish
		_, _ = io.WriteString(writer, "done")
	})))
	defer func() {
		server.CloseClientConnections()
		server.Close()
	}()
	answered := make(chan error, 1)
	go func() {
		response, err := http.Get(server.URL)
		if err == nil {
			_ = response.Body.Close()
		}
		answered <- err
	}()
	<-begun
	g.Expect(injector.Add(time.Now(), Fault{Kind: Pause, Duration: Duration(time.Hour)})).To(gomega.Succeed())
	close(finish)
	g.Consistently(answered, "50ms").ShouldNot(gomega.Receive())
	injector.Clear(Pause)
	g.Eventually(answered, testTimeout).Should(gomega.Receive(gomega.Succeed()))
}

// Guards against a listener that accepts or keeps connections while down, or
// doesn't serve the same address again afterwards, twice in a row.
func TestListenerClosesWhileDownAndComesUp(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := Listen("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	get := func() error {
		response, err := http.Get("http://" + listener.Addr().String())
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	}
	for range 2 {
		g.Expect(get()).To(gomega.Succeed())
		open, err := net.Dial("tcp", listener.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		listener.Down(time.Hour)
		_, err = net.Dial("tcp", listener.Addr().String())
		g.Expect(err).To(gomega.HaveOccurred(), "refused while down")
		_ = open.SetReadDeadline(time.Now().Add(testTimeout))
		_, err = open.Read(make([]byte, 1))
		g.Expect(err).NotTo(gomega.MatchError(os.ErrDeadlineExceeded), "closed while down")
		_ = open.Close()
		listener.Up()
		g.Eventually(get, testTimeout).Should(gomega.Succeed())
	}
	g.Expect(server.Close()).To(gomega.Succeed())
	g.Eventually(served, testTimeout).Should(gomega.Receive(gomega.MatchError(http.ErrServerClosed)))
}
