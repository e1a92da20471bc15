// Package scripts tests the scripts of the checks.
package scripts

import (
	"fmt"
	"os/exec"
	"strings"
	"testing"
)

// reportFailures returns what scripts/report-failures.sh repeats of the output of go test.
func reportFailures(t *testing.T, output string) string {
	t.Helper()
	command := exec.Command("../../scripts/report-failures.sh")
	command.Stdin = strings.NewReader(output)
	reported, err := command.Output()
	if err != nil {
		t.Fatal(err)
	}
	copied, failures, _ := strings.Cut(string(reported), "\nFailures:\n")
	if !strings.HasPrefix(copied, strings.TrimSuffix(output, "\n")) {
		t.Errorf("the output is not copied: got %q", copied)
	}
	return failures
}

func TestLastLinesOfLongFailureAreReported(t *testing.T) {
	var output strings.Builder
	output.WriteString("--- FAIL: TestLong (2.33s)\n    --- FAIL: TestLong/#06 (9.00s)\n        long_test.go:1: statistics\n")
	for i := range 1000 {
		fmt.Fprintf(&output, "            event %d\n", i)
		fmt.Fprintf(&output, "I1207 node line %d\n", i)
	}
	output.WriteString("        long_test.go:9: 100 failures:\n")
	for i := range 100 {
		fmt.Fprintf(&output, "            failure %d\n", i)
	}
	output.WriteString("FAIL\nFAIL\texample.org/long\t9.1s\nok  \texample.org/short\t0.1s\n")
	failures := reportFailures(t, output.String())
	for _, want := range []string{"TestLong/#06", "statistics", "100 failures:", "failure 0\n", "failure 99\n", "FAIL\texample.org/long"} {
		if !strings.Contains(failures, want) {
			t.Errorf("%q is not reported: got\n%s", want, failures)
		}
	}
	if strings.Contains(failures, "node line") || strings.Contains(failures, "event 500") {
		t.Errorf("log lines or the middle of the output are reported: got\n%s", failures)
	}
}

func TestEachFailureIsReported(t *testing.T) {
	failures := reportFailures(t, `=== RUN   TestA
--- FAIL: TestA (0.00s)
    a_test.go:1: first cause
--- PASS: TestB (0.00s)
    b_test.go:1: no failure
--- FAIL: TestC (0.00s)
    c_test.go:1: second cause
panic: third cause

goroutine 1 [running]:
	c_test.go:2
FAIL	example.org/a	0.1s
`)
	want := `--- FAIL: TestA (0.00s)
    a_test.go:1: first cause
--- FAIL: TestC (0.00s)
    c_test.go:1: second cause
panic: third cause

goroutine 1 [running]:
	c_test.go:2
FAIL	example.org/a	0.1s
`
	if failures != want {
		t.Errorf("got failures\n%s\nwant\n%s", failures, want)
	}
}
