package e2e

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// inForceBound is how long an accepted change may take to be in force at every
// node, by the target size (docs/DEVELOPERS.md).
const inForceBound = 13 * time.Second

// control runs chutelockctl against a node's operator port.
func control(n *node, verb string, arguments ...string) (string, error) {
	arguments = append([]string{verb, "-server", "http://" + n.operators}, arguments...)
	output, err := exec.Command(controlBinary, arguments...).CombinedOutput()
	return string(output), err
}

// applyTenant gives a new tenant its key.
func applyTenant(d *deployment, n *node, name, key string) {
	ginkgo.GinkgoHelper()
	file := d.write(name+".yaml", fmt.Sprintf("path: fleet/ulaanbaatar/placement/drafting/%s\nkind: tenant\nkeys: [%s]\n", name, key))
	output, err := control(n, "apply", "-wait", "-f", file)
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), output)
}

// knows says whether a node has a key in force.
func knows(d *deployment, n *node, key string) bool {
	response, err := d.http.R().SetAuthToken(key).Get("http://" + n.callers + "/v1/models")
	return err == nil && response.StatusCode() == http.StatusOK
}

func expectAllKnow(d *deployment, key string) {
	ginkgo.GinkgoHelper()
	for _, n := range d.nodes {
		gomega.Expect(knows(d, n, key)).To(gomega.BeTrue(), "%s lacks %s", n.name, key)
	}
}

var _ = ginkgo.Describe("An accepted configuration", func() {
	ginkgo.It("is in force at every node within seconds and never reverts", func() {
		d := newDeployment(fiveCopies)
		checkpoint, err := d.http.R().Post("http://" + d.platform.Control + "/control/checkpoints/old")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(checkpoint.IsSuccess()).To(gomega.BeTrue(), checkpoint.String())

		const key = "key-of-a-new-tenant"
		gomega.Expect(knows(d, d.nodes[0], key)).To(gomega.BeFalse())
		began := time.Now()
		applyTenant(d, d.nodes[0], "new-tenant", key)
		expectAllKnow(d, key)
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", inForceBound))

		ginkgo.By("restoring an old copy of the store")
		d.fault(d.platform, `{"kind":"restore","target":"old"}`)
		settle(5 * time.Second)
		expectAllKnow(d, key)

		ginkgo.By("restarting nodes meanwhile, one of them without its disk")
		for i, n := range d.nodes[1:3] {
			n.kill()
			if i == 0 {
				n.wipe()
			}
			d.startNode(n)
			d.waitNode(n)
			gomega.Expect(knows(d, n, key)).To(gomega.BeTrue(), "%s went back", n.name)
		}

		ginkgo.By("restarting the whole fleet from its disks with the store down")
		d.platform.kill()
		for _, n := range d.nodes {
			n.kill()
		}
		for _, n := range d.nodes {
			d.startNode(n)
		}
		for _, n := range d.nodes {
			gomega.Eventually(func() bool { return knows(d, n, key) }, patience, "100ms").Should(gomega.BeTrue(), n.name)
		}
	})

	ginkgo.It("comes from one of two racing operators, and the other is told", func() {
		d := newDeployment(fiveCopies)
		output, err := control(d.nodes[0], "get", "-yaml", "fleet/ulaanbaatar/placement/drafting")
		gomega.Expect(err).NotTo(gomega.HaveOccurred(), output)
		read := strings.TrimSuffix(strings.TrimSpace(output), "---")
		one, err := control(d.nodes[1], "apply", "-wait", "-by", "first", "-f", d.write("first.yaml", read+"\nqueueTimeout: 7s\n"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred(), one)
		two, err := control(d.nodes[2], "apply", "-wait", "-by", "second", "-f", d.write("second.yaml", read+"\nqueueTimeout: 9s\n"))
		gomega.Expect(err).To(gomega.HaveOccurred(), two)
		gomega.Expect(two).To(gomega.And(gomega.ContainSubstring("first"), gomega.ContainSubstring("7s"), gomega.ContainSubstring("9s")))
		explained, err := control(d.nodes[3], "explain", "fleet/ulaanbaatar/placement/drafting")
		gomega.Expect(err).NotTo(gomega.HaveOccurred(), explained)
		gomega.Expect(explained).To(gomega.ContainSubstring("7s"))
	})
})

var _ = ginkgo.Describe("The examples", func() {
	ginkgo.It("have valid settings files", func() {
		files, err := filepath.Glob("../../examples/*/nodes/*.yaml")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(files).NotTo(gomega.BeEmpty())
		for _, file := range files {
			output, err := exec.Command(nodeBinary, "-config", file, "-check").CombinedOutput()
			gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(output))
		}
	})
})
