package registry

import (
	"flag"
	"os"
	"testing"
)

// campaignVariable sets the number of checks, with a random seed.
const campaignVariable = "CHUTELOCK_CAMPAIGN"

func TestMain(m *testing.M) {
	flag.Parse()
	settings := map[string]string{"rapid.seed": "20261202", "rapid.checks": "15", "rapid.nofailfile": "true"}
	if checks := os.Getenv(campaignVariable); checks != "" {
		settings = map[string]string{"rapid.checks": checks, "rapid.nofailfile": "true"}
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
