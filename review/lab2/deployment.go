//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"chutelock.dev/chutelock/platform/standin"
)

// program is the program of both roles in the deploy file.
const program = "target/chutelock"

const (
	host  = "desk.example"
	zones = 3
)

// record is the file that tells what was sent, answered and done.
type record struct {
	mutex sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, begun: time.Now()}, err
}

func (r *record) printf(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.begun).Seconds()) + fmt.Sprintf(format, values...)
	fmt.Fprintln(r.file, line)
}

func (r *record) close() { _ = r.file.Close() }

// node is a machine of the deployment with its process.
type node struct {
	name, zone            string
	callers, ready, peers string
	metrics               string
	data                  string // empty for a front node
	command               *exec.Cmd
	exited                chan struct{}
	gone                  bool
}

type deployment struct {
	folder  string
	record  *record
	store   *standin.Store
	engines []*standin.Engine
	// processes are the engines that are processes of their own.
	processes []*engineProcess
	stores    []*node
	fronts    []*node
	all       []*node
	client    *http.Client
	jobs      []string
	next      int
	taken     map[string]bool // addresses of nodes
	told      map[string]bool // items whose wrong result is in the record
	stop      chan struct{}
	mutex     sync.Mutex // guards the nodes' processes and gone
}

func zone(i int) string { return fmt.Sprint("hall-", i%zones+1) }

// newDeployment starts a deployment, with engines that are processes of their own if separate is set.
func newDeployment(folder string, record *record, separate bool) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the program isn't built: %w", err)
	}
	d := &deployment{
		folder: folder, record: record, store: standin.NewStore(), taken: map[string]bool{}, told: map[string]bool{}, stop: make(chan struct{}),
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
	for i := range engineCount {
		if separate {
			address, err := d.freeAddress()
			if err != nil {
				return d, err
			}
			e := &engineProcess{address: address, zone: zone(i)}
			d.processes = append(d.processes, e)
			if err := d.startEngine(e, i); err != nil {
				return d, err
			}
			continue
		}
		e := standin.NewEngine(fmt.Sprint("i-", i), 8)
		e.SetDefaultPlan(standin.Plan{Pause: 15 * time.Millisecond})
		d.engines = append(d.engines, e)
		d.store.Write("servers", e.ID, e.Entry("placement-lm", zone(i), 8))
	}
	d.store.Write("config", "main", map[string]any{
		"version": 3,
		"routes": append(configuredStreams(), map[string]any{
			"name": "seat-match", "host": host, "pathPrefix": "/match/", "routeType": "batch", "timeoutMs": 30000, "targetLatencyMs": 400,
			"completionTargetMs": 20000, "retentionS": 60, "maxAttempts": 3, "maxQueuedTokens": 1600000, "priority": 2, "service": "placement-lm",
		}),
		"services": []map[string]any{{"name": "placement-lm", "healthPath": "/health", "maxConnections": 370}},
		"limits":   map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for i := range 3 {
		n, err := d.newNode(fmt.Sprint("store-", i+1), zone(i), true)
		if err != nil {
			return d, err
		}
		d.stores = append(d.stores, n)
	}
	for i := range 3 {
		n, err := d.newNode(fmt.Sprint("front-", i+1), zone(i), false)
		if err != nil {
			return d, err
		}
		d.fronts = append(d.fronts, n)
	}
	for _, n := range append(append([]*node{}, d.stores...), d.fronts...) {
		if err := d.start(n); err != nil {
			return d, err
		}
	}
	go d.watchRetirements()
	return d, nil
}

// Ports below the kernel's range for outgoing connections, in blocks so that several scripts at a time
// rarely try the same ones.
const (
	firstPort  = 20000
	portBlocks = 80
	blockPorts = 100
)

func configuredStreams() []map[string]any {
	var routes []map[string]any
	for _, r := range streamRoutes {
		routes = append(routes, map[string]any{
			"name": r.name, "host": host, "pathPrefix": "/" + r.name + "/", "routeType": "stream", "timeoutMs": r.deadline.Milliseconds(),
			"targetLatencyMs": r.target.Milliseconds(), "gapTargetMs": 250, "maxAttempts": r.attempts, "resumable": r.resumable,
			"priority": 0, "service": "placement-lm",
		})
	}
	return routes
}

// freeAddress returns a loopback address that is free for TCP and UDP, and not one that it returned before.
func (d *deployment) freeAddress() (string, error) {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+os.Getpid()%portBlocks*blockPorts+rand.IntN(blockPorts))
		if d.taken[address] {
			continue
		}
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp4", address)
		_ = listener.Close()
		if err == nil {
			_ = packets.Close()
			d.taken[address] = true
			return address, nil
		}
	}
	return "", fmt.Errorf("no port is free for TCP and UDP")
}

func (d *deployment) newNode(name, zone string, data bool) (*node, error) {
	n := &node{name: name, zone: zone}
	for _, address := range []*string{&n.callers, &n.ready, &n.peers, &n.metrics} {
		var err error
		if *address, err = d.freeAddress(); err != nil {
			return nil, err
		}
	}
	if data {
		var err error
		if n.data, err = d.newFolder(name + "-data"); err != nil {
			return nil, err
		}
	}
	d.all = append(d.all, n)
	return n, nil
}

// settings fills in deploy/node.tmpl for a node, with the figures of the smallest site.
func (d *deployment) settings(n *node) string {
	var text strings.Builder
	fmt.Fprintf(&text, "node:\n  name: %q\n  zone: %q\n  region: \"city\"\nlisten:\n", n.name, n.zone)
	if n.data == "" {
		fmt.Fprintf(&text, "  callers: %q\n  readiness: %q\n", n.callers, n.ready)
	}
	seeds, _ := json.Marshal([]string{d.fronts[0].peers, d.fronts[1].peers, d.fronts[2].peers})
	fmt.Fprintf(&text, "  peers: %q\n  metrics: %q\n  descriptors: 4100\npeers:\n  seeds: %s\n", n.peers, n.metrics, seeds)
	fmt.Fprintf(&text, "platform:\n  address: %q\n  dialect: objects\n  contracts: [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\"engine\",\"platform\"]\n  apply: 2000ms\n  leave: 2000ms\n", d.store.Address())
	if n.data != "" {
		fmt.Fprintf(&text, "data:\n  folder: %q\n  size: 480\n", n.data)
	}
	text.WriteString("memory:\n  limit: 314\nledger:\n  copies: 3\n  losses: 1\ndrain:\n  timeout: 8s\n")
	text.WriteString("zones: {\"hall-1\":\"city\",\"hall-2\":\"city\",\"hall-3\":\"city\"}\nbatch:\n  keep: 120s\noverload:\n  mode: auto\n")
	return text.String()
}

// start starts a node's process with the command of the deploy file.
func (d *deployment) start(n *node) error {
	file := filepath.Join(d.folder, n.name+".yaml")
	if err := os.WriteFile(file, []byte(d.settings(n)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(program, "-config", file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	n.command, n.exited = command, exited
	d.record.printf("%s is started", n.name)
	return nil
}

// kill ends a node's process, which this program started, and waits for it.
func (d *deployment) kill(n *node) {
	d.mutex.Lock()
	command, exited := n.command, n.exited
	d.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGKILL)
	<-exited
}

func (d *deployment) killAll() {
	for _, n := range d.all {
		d.kill(n)
	}
	for _, e := range d.processes {
		if e.command != nil && e.command.Process != nil {
			_ = e.command.Process.Signal(syscall.SIGKILL)
		}
	}
}

func (d *deployment) close() {
	if d == nil {
		return
	}
	close(d.stop)
	d.killAll()
	for _, e := range d.engines {
		e.Close()
	}
	for _, e := range d.processes {
		if e.command != nil && e.command.Process != nil {
			_ = e.command.Process.Signal(syscall.SIGKILL)
			<-e.exited
		}
	}
	d.store.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, n := range d.all {
			if text, err := os.ReadFile(filepath.Join(d.folder, n.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, n.name+".log"), text, 0o600)
			}
		}
	}
}

// retire asks to empty a store machine, as the operator does.
func (d *deployment) retire(n *node) {
	d.record.printf("the operator asks to empty %s within 8.7 s", n.name)
	d.store.Write("retirements", n.name, map[string]any{"durationS": 8.7})
}

// watchRetirements takes a machine away, with its disk, as soon as the system says that it is empty.
func (d *deployment) watchRetirements() {
	last := map[string]string{}
	for {
		select {
		case <-d.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, n := range d.stores {
			object, found := d.store.Get("retirements", n.name)
			if !found {
				continue
			}
			var status struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(object.Status, &status)
			if status.State == last[n.name] {
				continue
			}
			last[n.name] = status.State
			d.record.printf("the retirement of %s is %q", n.name, status.State)
			if status.State == "succeeded" {
				d.loseForGood(n)
			}
		}
	}
}

// loseForGood takes a machine away with its disk.
func (d *deployment) loseForGood(n *node) {
	d.kill(n)
	_ = os.RemoveAll(n.data)
	d.mutex.Lock()
	n.gone = true
	d.mutex.Unlock()
	d.record.printf("%s is gone for good, with its disk", n.name)
}

// addStore starts an empty store machine at a new address.
func (d *deployment) addStore(name, zone string) error {
	n, err := d.newNode(name, zone, true)
	if err != nil {
		return err
	}
	return d.start(n)
}

// loseDisk kills a machine's process, empties its disk and starts it again at its address.
func (d *deployment) loseDisk(n *node, down time.Duration) error {
	d.mutex.Lock()
	gone := n.gone
	d.mutex.Unlock()
	if gone {
		d.record.printf("%s is gone already", n.name)
		return nil
	}
	d.kill(n)
	if err := os.RemoveAll(n.data); err != nil {
		return err
	}
	if err := os.MkdirAll(n.data, 0o755); err != nil {
		return err
	}
	d.record.printf("%s has lost its disk; it is started again in %s", n.name, down)
	time.Sleep(down)
	return d.start(n)
}

func (d *deployment) ready(n *node) bool {
	response, err := d.client.Get("http://" + n.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
