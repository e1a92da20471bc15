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

// standin is a stand-in process and its addresses.
type standin struct {
	*process
	arguments []string
	Address   string `json:"address"`
	Control   string `json:"control"`
}

// node is a chutelock process and where it stands.
type node struct {
	*process
	name      string
	zone      string
	callers   string
	operators string
	peers     string
	data      string
	settings  string
	// ready is set once the node said so after its last start.
	ready bool
}

// shape is how large a deployment is, and its engines' speed.
type shape struct {
	nodes          int
	enginesPerZone int
	// engineSettings is added to each engine's settings file.
	engineSettings string
	// nodeSettings is added to each node's.
	nodeSettings string
}

// deployment is a whole fleet of separate processes on loopback.
type deployment struct {
	folder   string
	shape    shape
	platform *standin
	engines  []*standin
	nodes    []*node
	http     *resty.Client
}

// newDeployment starts a fleet, waits until every node is ready, and ends it
// after the spec.
func newDeployment(shape shape) *deployment {
	ginkgo.GinkgoHelper()
	d := &deployment{folder: ginkgo.GinkgoT().TempDir(), shape: shape, http: resty.New().SetTimeout(patience)}
	ginkgo.DeferCleanup(d.end)
	d.write("keys", "00112233445566778899aabbccddeeff\n")
	d.write("platform.yaml", "name: platform\nrequest_rate: 400\n")
	d.platform = d.startStandin("platform", "platform", "-folder", filepath.Join(d.folder, "platform.state"), "-listen", freeAddress())
	d.writeSettings()
	for i := range shape.enginesPerZone * len(zones) {
		d.addEngine(fmt.Sprintf("engine-%d", i+1), zones[i%len(zones)])
	}
	for i := range shape.nodes {
		d.nodes = append(d.nodes, d.describeNode(fmt.Sprintf("node-%d", i+1), zones[i%len(zones)]))
	}
	for _, n := range d.nodes {
		d.startNode(n)
	}
	for _, n := range d.nodes {
		d.waitNode(n)
	}
	return d
}

func (d *deployment) end() {
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

// showLogs adds the end of each node's log to a failure's report.
func (d *deployment) showLogs() {
	const tail = 3000
	for _, n := range d.nodes {
		content, _ := os.ReadFile(filepath.Join(d.folder, n.name+".log"))
		ginkgo.AddReportEntry(n.name, string(content[max(0, len(content)-tail):]))
	}
}

func (d *deployment) write(name, content string) string {
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

// restart starts a stand-in again at its addresses.
func (d *deployment) restart(s *standin) {
	ginkgo.GinkgoHelper()
	s.process = startProcess(d.folder, s.name, labBinary, s.arguments...)
	s.waitReady(s)
}

func (d *deployment) addEngine(name, zone string) *standin {
	ginkgo.GinkgoHelper()
	d.write(name+".yaml", fmt.Sprintf("name: %s\nzone: %s\nregion: %s\nmodels: [%s]\nplatform: %s\n%s",
		name, zone, region, model, d.platform.Address, d.shape.engineSettings))
	engine := d.startStandin("engine", name, "-listen", freeAddress())
	d.engines = append(d.engines, engine)
	return engine
}

func (d *deployment) truthLog(name string) string { return filepath.Join(d.folder, name+".truth") }

// truth reads what the engines really did, up to now.
func (d *deployment) truth() []truth.Entry {
	ginkgo.GinkgoHelper()
	var files []string
	for _, engine := range d.engines {
		files = append(files, d.truthLog(engine.name))
	}
	entries, err := truth.ReadFiles(files...)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return entries
}

// store is a client of the platform's object store.
func (d *deployment) store() *objecthttp.Client {
	return objecthttp.New(d.platform.Address, objecthttp.Options{})
}

// writeSettings puts the example's settings tree into the store.
func (d *deployment) writeSettings() {
	ginkgo.GinkgoHelper()
	nodes, problems, err := tree.ReadFolder(settingsDir)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(problems).To(gomega.BeEmpty())
	for _, n := range nodes {
		spec, err := tree.Encode(n)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = d.store().Put(context.Background(), platform.Object{
			Kind: platform.KindSetting, Name: tree.ObjectName(n.Path), Spec: spec})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	}
}

// describeNode chooses a node's addresses and folder.
func (d *deployment) describeNode(name, zone string) *node {
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
	d.write(n.name+".yaml", fmt.Sprintf(`node: {name: %s, zone: %s, region: %s}
listen: {callers: %q, operators: %q, peers: %q}
peers: {seeds: [%s], key_file: %q}
platform: {address: %q}
data: {folder: %q}
%s`, n.name, n.zone, region, n.callers, n.operators, n.peers, strings.Join(seeds, ", "),
		filepath.Join(d.folder, "keys"), d.platform.Address, n.data, d.shape.nodeSettings))
	n.ready = false
	n.process = startProcess(d.folder, n.name, nodeBinary, "-config", n.settings)
}

func (d *deployment) waitNode(n *node) {
	ginkgo.GinkgoHelper()
	var addresses struct{ Callers string }
	n.waitReady(&addresses)
	gomega.Expect(addresses.Callers).To(gomega.Equal(n.callers))
	n.ready = true
}

// wipe removes a stopped node's disk.
func (n *node) wipe() {
	ginkgo.GinkgoHelper()
	gomega.Expect(os.RemoveAll(n.data)).To(gomega.Succeed())
}

// fault sets a fault at a stand-in's control endpoint.
func (d *deployment) fault(s *standin, body string) {
	ginkgo.GinkgoHelper()
	response, err := d.http.R().SetHeader("Content-Type", "application/json").SetBody(body).
		Post("http://" + s.Control + "/control/faults")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(response.StatusCode()).To(gomega.BeNumerically("<", http.StatusMultipleChoices), response.String())
}

// liveNode returns a node that takes requests.
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

// settle is a pause in which nothing is expected to happen.
func settle(duration time.Duration) { time.Sleep(duration) }
