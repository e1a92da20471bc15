package experiment_test

import (
	"bytes"
	"encoding/csv"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/lab/experiment"
)

const experimentsDir = "../../../experiments"

// Guards against experiment files in the repository that no longer load.
func TestLoadAcceptsCommittedExperiments(t *testing.T) {
	g := gomega.NewWithT(t)
	paths, err := filepath.Glob(filepath.Join(experimentsDir, "*.yaml"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(paths).NotTo(gomega.BeEmpty())
	for _, path := range paths {
		_, err := experiment.Load(path)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
}

// Guards against invalid experiment files that load without an error.
func TestLoadRejectsInvalidFiles(t *testing.T) {
	valid, err := os.ReadFile(filepath.Join(experimentsDir, "nairamdal.yaml"))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for name, change := range map[string][2]string{
		"unknown field":       {"seeds:", "surprise: 1\nseeds:"},
		"unknown policy kind": {"kind: fifo", "kind: lifo"},
		"unknown reference":   {"reference: controller", "reference: nobody"},
		"no engine slots":     {"max_running: 64", "max_running: 0"},
		"negative duration":   {"step_base: 5ms", "step_base: -5ms"},
		"no seeds":            {"count: 10", "count: 0"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			changed := strings.Replace(string(valid), change[0], change[1], 1)
			g.Expect(changed).NotTo(gomega.Equal(string(valid)))
			path := filepath.Join(t.TempDir(), "experiment.yaml")
			g.Expect(os.WriteFile(path, []byte(changed), 0o600)).To(gomega.Succeed())
			_, err := experiment.Load(path)
			g.Expect(err).To(gomega.HaveOccurred())
		})
	}
}

// Guards against policies run on different traffic and against incomplete CSV or HTML reports.
func TestRunAndReportWriters(t *testing.T) {
	g := gomega.NewWithT(t)
	file, err := experiment.Load(filepath.Join(experimentsDir, "nairamdal.yaml"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	file.Seeds.Count = 2
	file.Run.Warmup, file.Run.Duration = time.Second, 4*time.Second
	outcome, err := experiment.Run(file, 2)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	baseline, ok := outcome.Estimate("without-batch", "harm_ttft_p99")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(baseline).To(gomega.Equal(experiment.Estimate{Mean: 1, HalfWidth: 0}))
	wrong, ok := outcome.Estimate("fifo", "online_wrong")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(wrong.Mean).To(gomega.BeZero())
	var table, page bytes.Buffer
	g.Expect(outcome.WriteCSV(&table)).To(gomega.Succeed())
	recorded := table.String()
	restored, err := experiment.ReadCSV(strings.NewReader(recorded), file.Reference)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	measured, _ := outcome.Estimate("controller", "harm_ttft_p99")
	read, known := restored.Estimate("controller", "harm_ttft_p99")
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(read.Mean).To(gomega.BeNumerically("~", measured.Mean, 1e-3*measured.Mean), "equal up to rounding")
	_, err = experiment.ReadCSV(strings.NewReader(strings.Replace(recorded, "fifo", "lifo", 1)), file.Reference)
	g.Expect(err).To(gomega.HaveOccurred(), "seeds with different policies")
	_, err = experiment.ReadCSV(strings.NewReader(strings.Replace(recorded, "harvest", "yield", 1)), file.Reference)
	g.Expect(err).To(gomega.HaveOccurred(), "unknown column")
	lines, err := csv.NewReader(&table).ReadAll()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lines).To(gomega.HaveLen(1 + 2*(1+len(file.Policies))))
	g.Expect(outcome.WriteHTML(&page)).To(gomega.Succeed())
	g.Expect(page.String()).To(gomega.ContainSubstring("<svg"))
	g.Expect(page.String()).NotTo(gomega.ContainSubstring("src="), "the page must not load other files")
	g.Expect(math.IsInf(baseline.HalfWidth, 0)).To(gomega.BeFalse())
}
