// Package e2e tests a platform, engines and nodes that run as processes on
// loopback. It uses the public APIs and checks the results against the engines'
// truth logs.
package e2e

import (
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// Paths of the programs under test, built once per run.
var (
	nodeBinary    string
	labBinary     string
	controlBinary string
)

func TestEndToEnd(t *testing.T) {
	if testing.Short() {
		t.Skip("separate processes are left out of short runs")
	}
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "End to end")
}

var _ = ginkgo.BeforeSuite(func() {
	for program, path := range map[string]*string{
		"chutelock": &nodeBinary, "chutelock-lab": &labBinary, "chutelockctl": &controlBinary,
	} {
		built, err := gexec.Build("chutelock.dev/chutelock/cmd/" + program)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		*path = built
	}
})

var _ = ginkgo.AfterSuite(gexec.CleanupBuildArtifacts)

// itemCount returns the size of a job, which CHUTELOCK_CAMPAIGN sets to 20000.
func itemCount(normal int) int {
	if os.Getenv("CHUTELOCK_CAMPAIGN") != "" {
		return 20000
	}
	return normal
}
