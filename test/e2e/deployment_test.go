package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/platform/objecthttp"
	"chutelock.dev/chutelock/internal/settings/tree"
	"chutelock.dev/chutelock/internal/standin/truth"
)

const (
	region      = "ulaanbaatar"
	model       = "placement-draft"
	onlineKey   = "demo-caseworkers-key"
	batchKey    = "demo-heads-key"
	otherKey    = "demo-other-key"
	settingsDir = "../../examples/nairamdal/settings"
)

var zones = []string{"bayanzurkh", "songino", "khan-uul"}

// standin is a process that stands in for the platform or an engine.
type standin struct {
	*process
	arguments []string
	Address   string `json:"address"`
	Control   string `json:"control"`
}

// node is a chutelock process with its addresses and folders.
type node struct {
	*process
	name      string
	zone      string
	callers   string
	operators string
	peers     string
	data      string
	settings  string
	// ready is set once the node has written its ready file after the last start.
	ready bool
}

// deploymentConfig holds the size of a deployment and additional settings.
type deploymentConfig struct {
	nodes          int
	enginesPerZone int
	// engineSettings is appended to each engine's settings file.
	engineSettings string
	// nodeSettings is appended to each node's settings file.
	nodeSettings string
}

// deployment is a platform, engines and nodes as processes on loopback.
type deployment struct {
	folder   string
	config   deploymentConfig
	platform *standin
	engines  []*standin
	nodes    []*node
	http     *resty.Client
}

// newDeployment starts a deployment, waits until every node is ready, and stops
// it after the spec.
func newDeployment(config deploymentConfig) *deployment {
	ginkgo.GinkgoHelper()
	d := &deployment{folder: ginkgo.GinkgoT().TempDir(), config: config, http: resty.New().SetTimeout(eventTimeout)}
	ginkgo.DeferCleanup(d.stopAll)
	d.writeFile("keys", "00112233445566778899aabbccddeeff\n")
	d.writeFile("platform.yaml", "name: platform\nrequest_rate: 400\n")
	d.platform = d.startStandin("platform", "platform", "-folder", filepath.Join(d.folder, "platform.state"), "-listen", freeAddress())
	d.writeSettings()
	for i := range config.enginesPerZone * len(zones) {
		d.addEngine(fmt.Sprintf("engine-%d", i+1), zones[i%len(zones)])
	}
	for i := range config.nodes {
		d.nodes = append(d.nodes, d.newNode(fmt.Sprintf("node-%d", i+1), zones[i%len(zones)]))
	}
	for _, n := range d.nodes {
		d.startNode(n)
	}
	for _, n := range d.nodes {
		d.waitNodeReady(n)
	}
	return d
}

func (d *deployment) stopAll() {
	if ginkgo.CurrentSpecReport().Failed() {
		d.showLogs()
	}
	all := []*process{d.platform.process}
	for _, e := range d.engines {
		all = append(all, e.process)
	}
	for _, n := range d.nodes {
		all = append(all, n.process)
	}
	for _, p := range all {
		if p != nil && p.running() {
			p.kill()
		}
	}
}

// showLogs adds the end of each node's log to the report.
func (d *deployment) showLogs() {
	const tail = 3000
	for _, n := range d.nodes {
		content, _ := os.ReadFile(filepath.Join(d.folder, n.name+".log"))
		ginkgo.AddReportEntry(n.name, string(content[max(0, len(content)-tail):]))
	}
}

func (d *deployment) writeFile(name, content string) string {
	ginkgo.GinkgoHelper()
	path := filepath.Join(d.folder, name)
	gomega.Expect(os.WriteFile(path, []byte(content), 0o600)).To(gomega.Succeed())
	return path
}

// startStandin starts a stand-in whose settings file is NAME.yaml.
func (d *deployment) startStandin(verb, name string, arguments ...string) *standin {
	ginkgo.GinkgoHelper()
	s := &standin{arguments: append([]string{verb, "-config", filepath.Join(d.folder, name+".yaml"),
		"-truth-log", d.truthLog(name)}, arguments...)}
	s.process = startProcess(d.folder, name, labBinary, s.arguments...)
	s.waitReady(s)
	return s
}

// restartStandin starts a stopped stand-in again with the same arguments.
func (d *deployment) restartStandin(s *standin) {
	ginkgo.GinkgoHelper()
	s.process = startProcess(d.folder, s.name, labBinary, s.arguments...)
	s.waitReady(s)
}

func (d *deployment) addEngine(name, zone string) *standin {
	ginkgo.GinkgoHelper()
	d.writeFile(name+".yaml", fmt.Sprintf("name: %s\nzone: %s\nregion: %s\nmodels: [%s]\nplatform: %s\n%s",
		name, zone, region, model, d.platform.Address, d.config.engineSettings))
	engine := d.startStandin("engine", name, "-listen", freeAddress())
	d.engines = append(d.engines, engine)
	return engine
}

func (d *deployment) truthLog(name string) string { return filepath.Join(d.folder, name+".truth") }

// truthEntries reads the truth logs of all engines.
func (d *deployment) truthEntries() []truth.Entry {
	ginkgo.GinkgoHelper()
	var files []string
	for _, engine := range d.engines {
		files = append(files, d.truthLog(engine.name))
	}
	entries, err := truth.ReadFiles(files...)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return entries
}

// objectStore returns a client of the platform's object store.
func (d *deployment) objectStore() *objecthttp.Client {
	return objecthttp.New(d.platform.Address, objecthttp.Options{})
}

// writeSettings stores the example's settings tree on the platform.
func (d *deployment) writeSettings() {
	ginkgo.GinkgoHelper()
	nodes, problems, err := tree.ReadFolder(settingsDir)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(problems).To(gomega.BeEmpty())
	for _, n := range nodes {
		spec, err := tree.Encode(n)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = d.objectStore().Put(context.Background(), platform.Object{
			Kind: platform.KindSetting, Name: tree.ObjectName(n.Path), Spec: spec})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	}
}

// newNode assigns addresses and folders to a node without starting it.
func (d *deployment) newNode(name, zone string) *node {
	ginkgo.GinkgoHelper()
	return &node{
		name: name, zone: zone,
		callers: freeAddress(), operators: freeAddress(), peers: freeAddress(),
		data:     filepath.Join(d.folder, name+".data"),
		settings: filepath.Join(d.folder, name+".yaml"),
	}
}

// startNode writes the node's settings file and starts it.
func (d *deployment) startNode(n *node) {
	ginkgo.GinkgoHelper()
	var seeds []string
	for _, other := range d.nodes {
		seeds = append(seeds, fmt.Sprintf("%q", other.peers))
	}
	d.writeFile(n.name+".yaml", fmt.Sprintf(`node: {name: %s, zone: %s, region: %s}
listen: {callers: %q, operators: %q, peers: %q}
peers: {seeds: [%s], key_file: %q}
platform: {address: %q}
data: {folder: %q}
%s`, n.name, n.zone, region, n.callers, n.operators, n.peers, strings.Join(seeds, ", "),
		filepath.Join(d.folder, "keys"), d.platform.Address, n.data, d.config.nodeSettings))
	n.ready = false
	n.process = startProcess(d.folder, n.name, nodeBinary, "-config", n.settings)
}

func (d *deployment) waitNodeReady(n *node) {
	ginkgo.GinkgoHelper()
	var addresses struct{ Callers string }
	n.waitReady(&addresses)
	gomega.Expect(addresses.Callers).To(gomega.Equal(n.callers))
	n.ready = true
}

// removeData deletes a stopped node's data folder.
func (n *node) removeData() {
	ginkgo.GinkgoHelper()
	gomega.Expect(os.RemoveAll(n.data)).To(gomega.Succeed())
}

// injectFault adds a fault at a stand-in's control endpoint.
func (d *deployment) injectFault(s *standin, body string) {
	ginkgo.GinkgoHelper()
	response, err := d.http.R().SetHeader("Content-Type", "application/json").SetBody(body).
		Post("http://" + s.Control + "/control/faults")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(response.StatusCode()).To(gomega.BeNumerically("<", http.StatusMultipleChoices), response.String())
}

// liveNode returns the first node that is running and ready.
func (d *deployment) liveNode() *node {
	ginkgo.GinkgoHelper()
	for _, n := range d.nodes {
		if n.running() && n.ready {
			return n
		}
	}
	ginkgo.Fail("no node takes requests")
	return nil
}

// sleep lets faults take effect, or shows that nothing more happens.
func sleep(duration time.Duration) { time.Sleep(duration) }
