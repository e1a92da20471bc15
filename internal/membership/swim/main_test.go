package swim

import (
	"flag"
	"os"
	"testing"
)

// campaignVariable names the variable that sets the number of rapid checks of a long
// run with random seeds, and lengthens other tests.
const campaignVariable = "CHUTELOCK_CAMPAIGN"

func TestMain(m *testing.M) {
	flag.Parse()
	settings := map[string]string{"rapid.seed": "20261202", "rapid.checks": "12", "rapid.nofailfile": "true"}
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
