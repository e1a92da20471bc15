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

// maxApplyDelay is the longest time until an accepted change is in force at every
// node of a deployment of the target size (docs/DEVELOPERS.md).
const maxApplyDelay = 13 * time.Second

// runControl runs chutelockctl against a node's operator address.
func runControl(n *node, verb string, arguments ...string) (string, error) {
	arguments = append([]string{verb, "-server", "http://" + n.operators}, arguments...)
	output, err := exec.Command(controlBinary, arguments...).CombinedOutput()
	return string(output), err
}

// applyTenant creates a tenant with a key.
func applyTenant(d *deployment, n *node, name, key string) {
	ginkgo.GinkgoHelper()
	file := d.writeFile(name+".yaml", fmt.Sprintf("path: fleet/ulaanbaatar/placement/drafting/%s\nkind: tenant\nkeys: [%s]\n", name, key))
	output, err := runControl(n, "apply", "-wait", "-f", file)
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), output)
}

// acceptsKey reports whether a node accepts a caller's key.
func acceptsKey(d *deployment, n *node, key string) bool {
	response, err := d.http.R().SetAuthToken(key).Get("http://" + n.callers + "/v1/models")
	return err == nil && response.StatusCode() == http.StatusOK
}

func expectKeyAccepted(d *deployment, key string) {
	ginkgo.GinkgoHelper()
	for _, n := range d.nodes {
		gomega.Expect(acceptsKey(d, n, key)).To(gomega.BeTrue(), "%s rejects %s", n.name, key)
	}
}

var _ = ginkgo.Describe("An accepted configuration", func() {
	ginkgo.It("is in force at every node within seconds and never reverts", func() {
		d := newDeployment(fiveReplicas)
		checkpoint, err := d.http.R().Post("http://" + d.platform.Control + "/control/checkpoints/old")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(checkpoint.IsSuccess()).To(gomega.BeTrue(), checkpoint.String())

		const key = "key-of-a-new-tenant"
		gomega.Expect(acceptsKey(d, d.nodes[0], key)).To(gomega.BeFalse())
		began := time.Now()
		applyTenant(d, d.nodes[0], "new-tenant", key)
		expectKeyAccepted(d, key)
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", maxApplyDelay))

		ginkgo.By("restoring an old copy of the store")
		d.injectFault(d.platform, `{"kind":"restore","target":"old"}`)
		sleep(5 * time.Second)
		expectKeyAccepted(d, key)

		ginkgo.By("restarting nodes meanwhile, one of them without its disk")
		for i, n := range d.nodes[1:3] {
			n.kill()
			if i == 0 {
				n.removeData()
			}
			d.startNode(n)
			d.waitNodeReady(n)
			gomega.Expect(acceptsKey(d, n, key)).To(gomega.BeTrue(), "%s reverted", n.name)
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
			gomega.Eventually(func() bool { return acceptsKey(d, n, key) }, eventTimeout, "100ms").Should(gomega.BeTrue(), n.name)
		}
	})

	ginkgo.It("comes from one of two concurrent operators, and the other gets a conflict", func() {
		d := newDeployment(fiveReplicas)
		output, err := runControl(d.nodes[0], "get", "-yaml", "fleet/ulaanbaatar/placement/drafting")
		gomega.Expect(err).NotTo(gomega.HaveOccurred(), output)
		read := strings.TrimSuffix(strings.TrimSpace(output), "---")
		one, err := runControl(d.nodes[1], "apply", "-wait", "-by", "first", "-f", d.writeFile("first.yaml", read+"\nqueueTimeout: 7s\n"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred(), one)
		two, err := runControl(d.nodes[2], "apply", "-wait", "-by", "second", "-f", d.writeFile("second.yaml", read+"\nqueueTimeout: 9s\n"))
		gomega.Expect(err).To(gomega.HaveOccurred(), two)
		gomega.Expect(two).To(gomega.And(gomega.ContainSubstring("first"), gomega.ContainSubstring("7s"), gomega.ContainSubstring("9s")))
		explained, err := runControl(d.nodes[3], "explain", "fleet/ulaanbaatar/placement/drafting")
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
