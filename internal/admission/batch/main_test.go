package batch

import (
	"flag"
	"os"
	"testing"
)

// campaignVariable turns the fuzzing from a fixed small set into a campaign.
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
