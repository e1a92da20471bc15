package clock_test

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// checkedPackages have leases, windows, deadlines or ages that must include suspended time.
var checkedPackages = []string{
	"balance", "batchwork", "callerconn", "catalog", "edge", "forward", "ledger/replica", "ledger/replication", "loadshare", "mirror", "quota",
	"slowstart", "system", "transport", "upstream",
}

// allowedUses are the intended uses of package time in them, by file and a part of the line,
// with the reason.
var allowedUses = map[string]string{
	"batchwork/calls.go job.Submitted =":                 "a date that other machines read",
	"batchwork/calls.go marshal(fixedCommand":            "a date that other machines read",
	"batchwork/calls.go encodeEnd(":                      "a date that other machines read",
	"batchwork/machine.go openItemsAt(":                  "dates of submissions are compared with it",
	"batchwork/plan.go openItemsAt(":                     "dates of submissions are compared with it",
	"batchwork/runner.go compared with wall-clock times": "of closed jobs",
	"batchwork/runner.go encodeAdvanceFields(":           "a date that other machines read",
	"edge/edge.go connectionDeadline(":                   "a connection's deadline",
	"mirror/storereader.go watchHold(":                   "the time of day that watchers share",
	"system/core.go UnixMilli()":                         "a date that other machines read",
	"callerconn/conn.go readDeadline(":                   "a connection's deadline",
	"system/quotafile.go quota.Instant{":                 "a date that a later run reads",
	"system/stop.go time.Until(deadline)":                "a context's deadline",
	"transport/node.go time.Until(deadline)":             "a context's deadline",
	"transport/connection.go SetDeadline(":               "a connection's deadline",
	"transport/connection.go SetWriteDeadline":           "a connection's deadline",
	"transport/connection.go now := time.Now":            "how long a peer left pings unanswered while this side ran",
}

var timeCall = regexp.MustCompile(`\btime\.(Now|Since|Until)\(`)

// Guards against leases that survive their expiry on a suspended machine.
func TestPackagesUseSuspensionAwareClock(t *testing.T) {
	used := map[string]bool{}
	for _, folder := range checkedPackages {
		files, err := fs.Glob(os.DirFS(filepath.Join("..", folder)), "*.go")
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: no files, %v", folder, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			content, err := os.ReadFile(filepath.Join("..", folder, file))
			if err != nil {
				t.Fatal(err)
			}
			for number, line := range strings.Split(string(content), "\n") {
				if timeCall.MatchString(line) && !isAllowed(folder+"/"+file, line, used) {
					t.Errorf("%s/%s:%d reads a clock that stops while the machine is suspended: %s", folder, file, number+1, strings.TrimSpace(line))
				}
			}
		}
	}
	for allowed := range allowedUses {
		if !used[allowed] {
			t.Errorf("allowed use %q not found", allowed)
		}
	}
}

func isAllowed(file, line string, used map[string]bool) bool {
	for allowed := range allowedUses {
		var name, part string
		if _, err := fmt.Sscanf(allowed, "%s", &name); err != nil {
			return false
		}
		part = strings.TrimPrefix(allowed, name+" ")
		if name == file && strings.Contains(line, part) {
			used[allowed] = true
			return true
		}
	}
	return false
}
