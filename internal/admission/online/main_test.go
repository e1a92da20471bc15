package online

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seed, checks := "20260302", "1000"
	if os.Getenv("CHUTELOCK_CAMPAIGN") != "" {
		seed, checks = "0", "100000"
	}
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"} {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}
