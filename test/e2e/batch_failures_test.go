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

// fiveCopies is a fleet whose shards have five replicas on five nodes; it
// keeps its promises through any two losses.
var fiveCopies = shape{nodes: 5, enginesPerZone: 2, nodeSettings: "ledger: {copies: 5, shards: 4, replace_after: 3s}\n"}

// cancelBound is how long after the answer to a cancel an item may still
// start, by the promise.
const cancelBound = 2 * time.Second

var _ = ginkgo.Describe("Accepted batch items", func() {
	var d *deployment
	var items int

	// inFlight submits a job and waits until a part of it is done.
	inFlight := func(n *node, key string) string {
		ginkgo.GinkgoHelper()
		accepted := submit(n, items, key)
		waitStarted(d, accepted.ID)
		return accepted.ID
	}

	expectSameJob := func(id, key string) {
		ginkgo.GinkgoHelper()
		again := submit(d.liveNode(), items, key)
		gomega.Expect(again.ID).To(gomega.Equal(id), "a resent job is the same job")
	}

	ginkgo.BeforeEach(func() {
		d = newDeployment(fiveCopies)
		items = itemCount(3000)
	})

	ginkgo.It("complete once when any node is killed", func() {
		for i, n := range d.nodes {
			key := fmt.Sprint("kill-", i)
			id := inFlight(n, key)
			n.kill()
			expectSameJob(id, key)
			expectWholeJob(d, id, items)
			d.startNode(n)
			d.waitNode(n)
		}
	})

	ginkgo.It("complete once when two disks are lost within a second of the answer", func() {
		// Several jobs, so that shards with replicas on the lost disks are met.
		const jobs = 6
		loseDisks := func(round string, lost []*node) {
			ginkgo.GinkgoHelper()
			ids := map[string]string{}
			for i := range jobs {
				key := fmt.Sprint(round, "-", i)
				ids[key] = submit(d.nodes[0], items, key).ID
			}
			for _, n := range lost {
				n.kill()
				n.wipe()
				d.startNode(n)
			}
			for key, id := range ids {
				expectSameJob(id, key)
				expectWholeJob(d, id, items)
			}
		}
		items = itemCount(1000)
		loseDisks("first", d.nodes[:2])
		for _, n := range d.nodes[:2] {
			d.waitNode(n)
		}
		ginkgo.By("and once more, after the two were replaced")
		loseDisks("second", d.nodes[3:])
	})

	ginkgo.It("are accepted and completed while the platform is down", func() {
		before := inFlight(d.nodes[0], "before")
		d.platform.kill()
		during := submit(d.nodes[1], items, "during").ID
		expectWholeJob(d, before, items)
		expectWholeJob(d, during, items)
		gomega.Expect(ask(d.nodes[2], "online meanwhile", 10, nil).right(10)).To(gomega.BeTrue())
		d.restart(d.platform)
		expectSameJob(during, "during")
	})

	ginkgo.It("complete once when a node is frozen past its leases and goes on", func() {
		id := inFlight(d.nodes[0], "frozen")
		d.nodes[0].pause()
		d.nodes[1].pause()
		settle(8 * time.Second)
		d.nodes[0].resume()
		d.nodes[1].resume()
		expectSameJob(id, "frozen")
		expectWholeJob(d, id, items)
	})

	ginkgo.It("complete once when the whole fleet restarts from its disks", func() {
		id := inFlight(d.nodes[0], "fleet")
		for _, n := range d.nodes {
			n.kill()
		}
		for _, n := range d.nodes {
			d.startNode(n)
		}
		for _, n := range d.nodes {
			d.waitNode(n)
		}
		expectSameJob(id, "fleet")
		expectWholeJob(d, id, items)
	})

	ginkgo.It("complete once when engines die, lose answers and cross them", func() {
		d.fault(d.engines[0], `{"kind":"lost_answer","probability":0.2,"duration":"20s"}`)
		d.fault(d.engines[1], `{"kind":"crossed","probability":0.2,"duration":"20s"}`)
		d.fault(d.engines[2], `{"kind":"duplicate","duration":"20s"}`)
		id := inFlight(d.nodes[0], "engines")
		d.engines[3].kill()
		expectWholeJob(d, id, items)
	})
})

var _ = ginkgo.Describe("A cancelled job", func() {
	ginkgo.It("starts nothing after two seconds and records nothing", func() {
		d := newDeployment(fiveCopies)
		accepted := submit(d.nodes[0], 20000, "cancel")
		waitStarted(d, accepted.ID)
		c := d.http.R().SetAuthToken(batchKey)
		response, err := c.Post("http://" + d.nodes[1].callers + "/v1/batches/" + accepted.ID + "/cancel")
		answered := time.Now()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode()).To(gomega.Equal(http.StatusOK), response.String())
		atCancel := waitJob(d, accepted.ID)
		gomega.Expect(string(atCancel.Status)).To(gomega.Equal("cancelled"))
		settle(5 * time.Second)
		after, err := job(d.nodes[2], accepted.ID)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(after.RequestCounts).To(gomega.Equal(atCancel.RequestCounts))
		gomega.Expect(after.RequestCounts.Completed).To(gomega.BeNumerically("<", 20000))
		ran := 0
		for _, entry := range d.truth() {
			if entry.Kind != truth.KindAccepted {
				continue
			}
			ran++
			gomega.Expect(entry.At).To(gomega.BeTemporally("<", answered.Add(cancelBound)), "started after the cancel: %s", entry.Attempt)
		}
		gomega.Expect(ran).To(gomega.BeNumerically(">", 0))
	})
})

var _ = ginkgo.Describe("A non-repeatable item", func() {
	ginkgo.It("is sent to an engine at most once, whatever fails", func() {
		d := newDeployment(fiveCopies)
		items := itemCount(2000)
		for _, engine := range d.engines[:3] {
			d.fault(engine, `{"kind":"lost_answer","probability":0.1}`)
		}
		file := input(items, nil)
		fileID := upload(d.nodes[0], file)
		accepted, err := create(d.nodes[0], fileID, "once", option.WithHeader("Chutelock-Repeatable", "false"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		waitStarted(d, accepted.ID)
		d.nodes[1].kill()
		d.engines[4].kill()
		batch := waitJob(d, accepted.ID)
		gomega.Expect(batch.RequestCounts.Completed + batch.RequestCounts.Failed).To(gomega.BeEquivalentTo(items))
		times := map[string]int{}
		for _, entry := range d.truth() {
			if entry.Kind == truth.KindAccepted {
				times[entry.Request]++
			}
		}
		for request, count := range times {
			gomega.Expect(count).To(gomega.Equal(1), "%s ran %d times", request, count)
		}
		good := results(d.liveNode(), batch.OutputFileID)
		var bad map[string]resultLine
		if batch.ErrorFileID != "" {
			bad = results(d.liveNode(), batch.ErrorFileID)
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
