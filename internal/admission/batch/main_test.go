package batch

import (
	"flag"
	"os"
	"testing"
)

// campaignVariable is the environment variable that selects a long fuzzing run.
const campaignVariable = "CHUTELOCK_CAMPAIGN"

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv(campaignVariable) == "" {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "60")
	} else {
		_ = flag.Set("rapid.checks", "5000")
	}
	os.Exit(m.Run())
}
