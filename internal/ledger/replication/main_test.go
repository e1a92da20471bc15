package replication

import (
	"flag"
	"os"
	"testing"
)

// longRun selects long test runs with random seeds.
var longRun = os.Getenv("CHUTELOCK_CAMPAIGN") != ""

func TestMain(m *testing.M) {
	flag.Parse()
	settings := map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.steps": "80", "rapid.nofailfile": "true"}
	if longRun {
		settings = map[string]string{"rapid.checks": "10000", "rapid.steps": "80"}
	}
	explicit := map[string]bool{}
	flag.Visit(func(set *flag.Flag) { explicit[set.Name] = true })
	for name, value := range settings {
		if explicit[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
