package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
)

const (
	largeItems = 120_000
	// largeLineBytes is the length of an input line; the file has about 100 MB.
	largeLineBytes = 870
	// maxMemoryGrowth is how much a node's memory may grow while it accepts the
	// job, in bytes.
	maxMemoryGrowth = 64 << 20
)

// residentBytes returns a memory field of /proc/PID/status, in bytes.
func residentBytes(p *process, field string) int64 {
	ginkgo.GinkgoHelper()
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		value, found := strings.CutPrefix(lines.Text(), field+":")
		if !found {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return kilobytes << 10
	}
	ginkgo.Fail("no " + field)
	return 0
}

// writeLargeInput writes the job's input, then closes the writer.
func writeLargeInput(writer *io.PipeWriter) {
	filler := strings.Repeat("x", largeLineBytes)
	for i := range largeItems {
		line := fmt.Sprintf(`{"custom_id":"%s","method":"POST","url":"/v1/completions","body":{"model":"%s","prompt":"%s","max_tokens":1}}`,
			customID(i), model, filler[:largeLineBytes-120])
		if _, err := fmt.Fprintln(writer, line); err != nil {
			return
		}
	}
	writer.Close()
}

var _ = ginkgo.Describe("A job of the largest size", func() {
	ginkgo.It("is accepted in bounded memory", func() {
		d := newDeployment(deploymentConfig{nodes: 3, enginesPerZone: 1, nodeSettings: "ledger: {copies: 3, shards: 2}\n"})
		n := d.nodes[0]
		before := residentBytes(n.process, "RssAnon")
		reader, writer := io.Pipe()
		go writeLargeInput(writer)
		c := client(n, batchKey)
		stored, err := c.Files.New(context.Background(), openai.FileNewParams{
			File: openai.File(reader, "large.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		accepted, err := createJob(n, stored.ID, "large")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(accepted.RequestCounts.Total).To(gomega.BeEquivalentTo(largeItems))
		for _, each := range d.nodes {
			// File pages are not counted: they grow with the code that has run,
			// and the kernel can reclaim them.
			growth := residentBytes(each.process, "VmHWM") - residentBytes(each.process, "RssFile") - before
			ginkgo.AddReportEntry(each.name+" grew by", growth)
			gomega.Expect(growth).To(gomega.BeNumerically("<", maxMemoryGrowth), each.name)
		}
		response, err := d.http.R().SetAuthToken(batchKey).Post("http://" + n.callers + "/v1/batches/" + accepted.ID + "/cancel")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.IsSuccess()).To(gomega.BeTrue(), response.String())
	})
})
