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

const patience = 10 * time.Second

func TestTake(t *testing.T) {
	start := time.Unix(0, 0)
	post := Target{Method: "POST", Path: "/v1/completions", Request: "a#1"}
	for name, tested := range map[string]struct {
		fault  Fault
		target Target
		// taken tells for each second from 0 on whether the fault is taken.
		taken string
	}{
		"always":        {Fault{}, post, "yyyyyy"},
		"twice":         {Fault{Count: 2}, post, "yynnnn"},
		"for a time":    {Fault{Duration: Duration(3 * time.Second)}, post, "yyynnn"},
		"later":         {Fault{After: Duration(2 * time.Second), Duration: Duration(time.Second)}, post, "nnynnn"},
		"of a method":   {Fault{Method: "GET"}, post, "nnnnnn"},
		"of a path":     {Fault{Path: "/v1/"}, post, "yyyyyy"},
		"of another":    {Fault{Path: "/v2/"}, post, "nnnnnn"},
		"of a request":  {Fault{Request: "a#"}, post, "yyyyyy"},
		"of others":     {Fault{Request: "b#"}, post, "nnnnnn"},
		"now and then":  {Fault{Probability: 0.5}, post, "ynnnyn"},
		"seldom enough": {Fault{Probability: 0.5, Count: 1}, post, "ynnnnn"},
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

func TestControl(t *testing.T) {
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
		answer, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(answer)
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
		status, answer := call(http.MethodPost, "/control/faults", tested.body)
		if status != tested.want {
			t.Errorf("%s: %d %s, want %d", tested.body, status, answer, tested.want)
		}
	}
	g := gomega.NewWithT(t)
	_, listed := call(http.MethodGet, "/control/faults", "")
	g.Expect(listed).To(gomega.MatchJSON(`[{"kind":"slow","latency":"5ms"},{"kind":"error","status":503,"count":1}]`))
	call(http.MethodDelete, "/control/faults?kind=slow", "")
	_, listed = call(http.MethodGet, "/control/faults", "")
	g.Expect(listed).To(gomega.MatchJSON(`[{"kind":"error","status":503,"count":1}]`))
}

func TestWaitEndsWithTheFault(t *testing.T) {
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
	g.Eventually(waiting, patience).Should(gomega.Receive(gomega.Succeed()))
}

// TestPauseHoldsAnswersBack: a request that is in progress when the pause begins
// is not answered before its end.
func TestPauseHoldsAnswersBack(t *testing.T) {
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
	g.Eventually(answered, patience).Should(gomega.Receive(gomega.Succeed()))
}

// TestListenerDownAndUp: while down, connections are refused and the open ones
// cut; then the same address serves again, also after a second time down.
func TestListenerDownAndUp(t *testing.T) {
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
		_ = open.SetReadDeadline(time.Now().Add(patience))
		_, err = open.Read(make([]byte, 1))
		g.Expect(err).NotTo(gomega.MatchError(os.ErrDeadlineExceeded), "cut while down")
		_ = open.Close()
		listener.Up()
		g.Eventually(get, patience).Should(gomega.Succeed())
	}
	g.Expect(server.Close()).To(gomega.Succeed())
	g.Eventually(served, patience).Should(gomega.Receive(gomega.MatchError(http.ErrServerClosed)))
}
