package routing

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seed, checks := "20260302", "500"
	if os.Getenv("CHUTELOCK_CAMPAIGN") != "" {
		seed, checks = "0", "50000"
	}
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"} {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}
