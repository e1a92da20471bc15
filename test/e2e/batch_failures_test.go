package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/openai/openai-go/v3/option"

	"chutelock.dev/chutelock/internal/standin/truth"
)

// fiveReplicas is a deployment with five replicas of each shard, which tolerates
// the loss of any two nodes.
var fiveReplicas = deploymentConfig{nodes: 5, enginesPerZone: 2, nodeSettings: "ledger: {copies: 5, shards: 4, replace_after: 3s}\n"}

// maxCancelDelay is the guaranteed time after the response to a cancel within
// which the last item may start.
const maxCancelDelay = 2 * time.Second

var _ = ginkgo.Describe("Accepted batch items", func() {
	var d *deployment
	var items int

	// submitRunning submits a job and waits until some items have results.
	submitRunning := func(n *node, key string) string {
		ginkgo.GinkgoHelper()
		accepted := submitJob(n, items, key)
		waitPartlyDone(d, accepted.ID)
		return accepted.ID
	}

	expectSameJob := func(id, key string) {
		ginkgo.GinkgoHelper()
		again := submitJob(d.liveNode(), items, key)
		gomega.Expect(again.ID).To(gomega.Equal(id), "a resubmitted job keeps its id")
	}

	ginkgo.BeforeEach(func() {
		d = newDeployment(fiveReplicas)
		items = itemCount(3000)
	})

	ginkgo.It("complete once when any node is killed", func() {
		for i, n := range d.nodes {
			key := fmt.Sprint("kill-", i)
			id := submitRunning(n, key)
			n.kill()
			expectSameJob(id, key)
			expectCompleteJob(d, id, items)
			d.startNode(n)
			d.waitNodeReady(n)
		}
	})

	ginkgo.It("complete once when two disks are lost within a second of the response", func() {
		// Several jobs, to reach shards with replicas on the lost disks.
		const jobs = 6
		loseDisks := func(round string, lost []*node) {
			ginkgo.GinkgoHelper()
			ids := map[string]string{}
			for i := range jobs {
				key := fmt.Sprint(round, "-", i)
				ids[key] = submitJob(d.nodes[0], items, key).ID
			}
			for _, n := range lost {
				n.kill()
				n.removeData()
				d.startNode(n)
			}
			for key, id := range ids {
				expectSameJob(id, key)
				expectCompleteJob(d, id, items)
			}
		}
		items = itemCount(1000)
		loseDisks("first", d.nodes[:2])
		for _, n := range d.nodes[:2] {
			d.waitNodeReady(n)
		}
		ginkgo.By("losing two other disks after the replicas were replaced")
		loseDisks("second", d.nodes[3:])
	})

	ginkgo.It("are accepted and completed while the platform is down", func() {
		before := submitRunning(d.nodes[0], "before")
		d.platform.kill()
		during := submitJob(d.nodes[1], items, "during").ID
		expectCompleteJob(d, before, items)
		expectCompleteJob(d, during, items)
		gomega.Expect(sendCompletion(d.nodes[2], "online meanwhile", 10, nil).correct(10)).To(gomega.BeTrue())
		d.restartStandin(d.platform)
		expectSameJob(during, "during")
	})

	ginkgo.It("complete once when two nodes are paused past their leases and resumed", func() {
		id := submitRunning(d.nodes[0], "frozen")
		d.nodes[0].pause()
		d.nodes[1].pause()
		sleep(8 * time.Second)
		d.nodes[0].resume()
		d.nodes[1].resume()
		expectSameJob(id, "frozen")
		expectCompleteJob(d, id, items)
	})

	ginkgo.It("complete once when the whole fleet restarts from its disks", func() {
		id := submitRunning(d.nodes[0], "fleet")
		for _, n := range d.nodes {
			n.kill()
		}
		for _, n := range d.nodes {
			d.startNode(n)
		}
		for _, n := range d.nodes {
			d.waitNodeReady(n)
		}
		expectSameJob(id, "fleet")
		expectCompleteJob(d, id, items)
	})

	ginkgo.It("complete once when engines die, and lose, swap and duplicate responses", func() {
		d.injectFault(d.engines[0], `{"kind":"lost_answer","probability":0.2,"duration":"20s"}`)
		d.injectFault(d.engines[1], `{"kind":"crossed","probability":0.2,"duration":"20s"}`)
		d.injectFault(d.engines[2], `{"kind":"duplicate","duration":"20s"}`)
		id := submitRunning(d.nodes[0], "engines")
		d.engines[3].kill()
		expectCompleteJob(d, id, items)
	})
})

var _ = ginkgo.Describe("A cancelled job", func() {
	ginkgo.It("starts no items after two seconds and records no results", func() {
		d := newDeployment(fiveReplicas)
		accepted := submitJob(d.nodes[0], 20000, "cancel")
		waitPartlyDone(d, accepted.ID)
		c := d.http.R().SetAuthToken(batchKey)
		response, err := c.Post("http://" + d.nodes[1].callers + "/v1/batches/" + accepted.ID + "/cancel")
		answered := time.Now()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode()).To(gomega.Equal(http.StatusOK), response.String())
		atCancel := waitFinal(d, accepted.ID)
		gomega.Expect(string(atCancel.Status)).To(gomega.Equal("cancelled"))
		sleep(5 * time.Second)
		after, err := getJob(d.nodes[2], accepted.ID)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(after.RequestCounts).To(gomega.Equal(atCancel.RequestCounts))
		gomega.Expect(after.RequestCounts.Completed).To(gomega.BeNumerically("<", 20000))
		ran := 0
		for _, entry := range d.truthEntries() {
			if entry.Kind != truth.KindAccepted {
				continue
			}
			ran++
			gomega.Expect(entry.At).To(gomega.BeTemporally("<", answered.Add(maxCancelDelay)), "started after the cancel: %s", entry.Attempt)
		}
		gomega.Expect(ran).To(gomega.BeNumerically(">", 0))
	})
})

var _ = ginkgo.Describe("A non-repeatable item", func() {
	ginkgo.It("is sent to an engine at most once, whatever fails", func() {
		d := newDeployment(fiveReplicas)
		items := itemCount(2000)
		for _, engine := range d.engines[:3] {
			d.injectFault(engine, `{"kind":"lost_answer","probability":0.1}`)
		}
		file := jobInput(items, nil)
		fileID := uploadInput(d.nodes[0], file)
		accepted, err := createJob(d.nodes[0], fileID, "once", option.WithHeader("Chutelock-Repeatable", "false"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		waitPartlyDone(d, accepted.ID)
		d.nodes[1].kill()
		d.engines[4].kill()
		batch := waitFinal(d, accepted.ID)
		gomega.Expect(batch.RequestCounts.Completed + batch.RequestCounts.Failed).To(gomega.BeEquivalentTo(items))
		times := map[string]int{}
		for _, entry := range d.truthEntries() {
			if entry.Kind == truth.KindAccepted {
				times[entry.Request]++
			}
		}
		for request, count := range times {
			gomega.Expect(count).To(gomega.Equal(1), "%s ran %d times", request, count)
		}
		good := readResults(d.liveNode(), batch.OutputFileID)
		var bad map[string]resultLine
		if batch.ErrorFileID != "" {
			bad = readResults(d.liveNode(), batch.ErrorFileID)
		}
		gomega.Expect(len(good)+len(bad)).To(gomega.Equal(items), "every item has one result")
		for id, line := range bad {
			code := ""
			if line.Error != nil {
				code = line.Error.Code
			}
			gomega.Expect(code).To(gomega.Equal("outcome_unknown"), "%s: %+v", id, line)
		}
		for id, line := range good {
			var index int
			_, err := fmt.Sscanf(id, strings.Replace(customID(0), "0", "%d", 1), &index)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(line.Response.Body.Choices[0].Text).To(gomega.Equal(truth.ExpectedText(model, itemPrompt(index), itemTokens)))
		}
	})
})
