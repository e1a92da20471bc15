package storage

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the rapid tests. With CHUTELOCK_CAMPAIGN set, they
// run more checks with random seeds, which rapid prints on failure.
func TestMain(m *testing.M) {
	flag.Parse()
	settings := map[string]string{"rapid.seed": "1", "rapid.checks": "200"}
	if os.Getenv("CHUTELOCK_CAMPAIGN") != "" {
		settings = map[string]string{"rapid.checks": "5000"}
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
