package gateway

import (
	"flag"
	"os"
	"testing"

	"github.com/go-logr/logr"
	"k8s.io/klog/v2"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seed, checks := "20260302", "100"
	if os.Getenv("CHUTELOCK_CAMPAIGN") != "" {
		seed, checks = "0", "2000"
	}
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"} {
		_ = flag.Set(name, value)
	}
	klog.SetLogger(logr.Discard())
	os.Exit(m.Run())
}
