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

// leases are the folders whose leases, windows, deadlines and ages must not stand still
// while a machine is suspended.
var leases = []string{
	"balance", "batchwork", "catalog", "edge", "forward", "ledger/replica", "ledger/replication", "loadshare", "mirror", "quota",
	"slowstart", "system", "transport", "upstream",
}

// steady are the uses of the steady clock or of dates in them that are meant.
var steady = map[string]string{
	"batchwork/calls.go job.Submitted =":       "a date that other machines read",
	"batchwork/calls.go marshal(fixedCommand":  "a date that other machines read",
	"batchwork/calls.go encodeEnd(":            "a date that other machines read",
	"batchwork/plan.go timed(":                 "dates are turned into times here",
	"batchwork/runner.go dates are compared":   "of closed jobs",
	"batchwork/runner.go encodeAdvanced(":      "a date that other machines read",
	"edge/edge.go connectionDeadline(":         "a connection's deadline",
	"mirror/follow.go watchTime(":              "the time of day that watchers share",
	"system/core.go UnixMilli()":               "a date that other machines read",
	"system/front.go bounded &&":               "a context's deadline",
	"transport/node.go time.Until(deadline)":   "a context's deadline",
	"transport/connection.go SetDeadline(":     "a connection's deadline",
	"transport/connection.go SetWriteDeadline": "a connection's deadline",
	"transport/connection.go now := time.Now":  "how long a peer left pings unanswered while this side ran",
}

var use = regexp.MustCompile(`\btime\.(Now|Since|Until)\(`)

func TestLeasesWindowsAndAgesGoByThisClock(t *testing.T) {
	used := map[string]bool{}
	for _, folder := range leases {
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
				if use.MatchString(line) && !isMeant(folder+"/"+file, line, used) {
					t.Errorf("%s/%s:%d reads a clock that stands still while the machine is suspended: %s", folder, file, number+1, strings.TrimSpace(line))
				}
			}
		}
	}
	for place := range steady {
		if !used[place] {
			t.Errorf("%q is used no more", place)
		}
	}
}

func isMeant(file, line string, used map[string]bool) bool {
	for place := range steady {
		var name, part string
		if _, err := fmt.Sscanf(place, "%s", &name); err != nil {
			return false
		}
		part = strings.TrimPrefix(place, name+" ")
		if name == file && strings.Contains(line, part) {
			used[place] = true
			return true
		}
	}
	return false
}
