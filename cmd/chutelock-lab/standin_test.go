package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/standin/process"
	"chutelock.dev/chutelock/internal/standin/truth"
)

// argumentsEnv makes the test binary run as chutelock-lab with these arguments.
const argumentsEnv = "CHUTELOCK_LAB_TEST_ARGUMENTS"

const testTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	if arguments := os.Getenv(argumentsEnv); arguments != "" {
		os.Args = append(os.Args[:1], strings.Split(arguments, "\n")...)
		main()
	}
	os.Exit(m.Run())
}

// standinProcess is a stand-in that runs as a child process.
type standinProcess struct {
	process.Ready
	command *exec.Cmd
	output  *bytes.Buffer
}

// startReady starts a stand-in and reads its ready file.
func startReady(t *testing.T, arguments ...string) *standinProcess {
	t.Helper()
	readyFile := filepath.Join(t.TempDir(), "ready")
	started := newStandinProcess(t, append(arguments, "-ready-file", readyFile)...)
	if err := started.command.Start(); err != nil {
		t.Fatalf("start: %v", err)
	}
	t.Cleanup(func() { _ = started.command.Process.Kill() })
	for start := time.Now(); time.Since(start) < testTimeout; time.Sleep(10 * time.Millisecond) {
		content, err := os.ReadFile(readyFile)
		if err != nil {
			continue
		}
		if err := json.Unmarshal(content, &started.Ready); err != nil {
			t.Fatalf("ready file %s: %v", content, err)
		}
		return started
	}
	t.Fatalf("not ready: %s", started.output)
	return nil
}

func newStandinProcess(t *testing.T, arguments ...string) *standinProcess {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	prepared := &standinProcess{command: exec.CommandContext(ctx, os.Args[0]), output: &bytes.Buffer{}}
	prepared.command.Env = append(os.Environ(), argumentsEnv+"="+strings.Join(arguments, "\n"))
	prepared.command.Stdout = prepared.output
	prepared.command.Stderr = prepared.output
	return prepared
}

// waitExit waits for the process to exit and returns its exit code.
func (p *standinProcess) waitExit(t *testing.T) int {
	t.Helper()
	err := p.command.Wait()
	var exited *exec.ExitError
	if err != nil && !errors.As(err, &exited) {
		t.Fatalf("wait: %v", err)
	}
	return p.command.ProcessState.ExitCode()
}

func post(t *testing.T, address, path, body string) string {
	t.Helper()
	response, err := http.Post("http://"+address+path, "application/json", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(response.Body)
	return string(answer)
}

func writeFile(t *testing.T, content string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
		t.Fatalf("settings: %v", err)
	}
	return name
}

// Guards against invalid flags or settings that are accepted or not named.
func TestStandinExitCodes(t *testing.T) {
	for name, tested := range map[string]struct {
		arguments []string
		code      int
		output    string
	}{
		"help":           {[]string{"engine", "-h"}, exitOK, "-truth-log"},
		"unknown flag":   {[]string{"platform", "-x"}, exitUsage, "-x"},
		"extra argument": {[]string{"engine", "x"}, exitUsage, `unexpected argument "x"`},
		"no file":        {[]string{"engine", "-config", "/nonexistent/file"}, exitFailure, "/nonexistent/file"},
		"unknown field":  {[]string{"engine", "-config", writeFile(t, "scheduler: {speed: 7}")}, exitFailure, "speed"},
		"wrong type":     {[]string{"engine", "-config", writeFile(t, "report_lag: soon")}, exitFailure, "report_lag"},
		"out of range":   {[]string{"platform", "-config", writeFile(t, "watch_limit: 0")}, exitFailure, "WatchLimit"},
		"unknown fault":  {[]string{"platform", "-config", writeFile(t, "faults: [{kind: boredom}]")}, exitFailure, "boredom"},
		"no address":     {[]string{"engine", "-listen", "127.0.0.1:99999"}, exitFailure, "99999"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			started := newStandinProcess(t, tested.arguments...)
			g.Expect(started.command.Start()).To(gomega.Succeed())
			g.Expect(started.waitExit(t)).To(gomega.Equal(tested.code), started.output.String())
			g.Expect(started.output.String()).To(gomega.ContainSubstring(tested.output))
		})
	}
}

const slowEngine = "models: [draft]\nscheduler: {step_base: 10ms}\nfaults: [{kind: slow, latency: 1ms}]\n"

// Guards against a stopped engine that drops requests in flight, and against a
// truth log that records crashed requests as finished.
func TestEngineFinishesRequestsUnlessCrashed(t *testing.T) {
	for name, tested := range map[string]struct {
		stop     func(*testing.T, *standinProcess)
		tokens   int
		code     int
		finished bool
	}{
		"planned": {
			func(_ *testing.T, p *standinProcess) { _ = p.command.Process.Signal(syscall.SIGTERM) }, 50, exitOK, true,
		},
		"crash": {
			func(t *testing.T, p *standinProcess) { post(t, p.Control, "/control/faults", `{"kind":"crash"}`) }, 3000, process.CrashExitCode, false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			truthLog := filepath.Join(t.TempDir(), "truth")
			running := startReady(t, "engine", "-name", "e7", "-config", writeFile(t, slowEngine), "-truth-log", truthLog)
			g.Expect(running.Name).To(gomega.Equal("e7"))
			answered := make(chan string, 1)
			go func() {
				answered <- post(t, running.Address, "/v1/completions", fmt.Sprintf(`{"model":"draft","prompt":"x","max_tokens":%d}`, tested.tokens))
			}()
			attempts := func() []truth.Attempt {
				entries, err := truth.ReadFiles(truthLog)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				return truth.Attempts(entries)
			}
			g.Eventually(attempts, testTimeout).Should(gomega.HaveLen(1))
			tested.stop(t, running)
			g.Expect(running.waitExit(t)).To(gomega.Equal(tested.code), running.output.String())
			answer := <-answered
			g.Expect(strings.Contains(answer, truth.ExpectedText("draft", "x", tested.tokens))).To(gomega.Equal(tested.finished), answer)
			g.Expect(attempts()[0].Cause == truth.CauseFinished).To(gomega.Equal(tested.finished))
		})
	}
}

// Guards against the loss of acknowledged writes at SIGKILL.
func TestPlatformKeepsAcknowledgedWritesAfterSIGKILL(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	running := startReady(t, "platform", "-folder", folder)
	put := func(value int) {
		request, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/apis/chutelock.dev/v1/settings/n%d", running.Address, value), strings.NewReader(`{"spec":1}`))
		response, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.Body.Close()).To(gomega.Succeed())
		g.Expect(response.StatusCode).To(gomega.Equal(http.StatusCreated))
	}
	const written = 20
	for value := range written {
		put(value)
	}
	g.Expect(running.command.Process.Kill()).To(gomega.Succeed())
	running.waitExit(t)
	running = startReady(t, "platform", "-folder", folder)
	response, err := http.Get("http://" + running.Address + "/apis/chutelock.dev/v1/settings")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var list struct {
		Items []any `json:"items"`
	}
	g.Expect(json.NewDecoder(response.Body).Decode(&list)).To(gomega.Succeed())
	g.Expect(list.Items).To(gomega.HaveLen(written))
}
