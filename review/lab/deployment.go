//go:build review

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"chutelock.dev/chutelock/internal/lab/ports"
	"chutelock.dev/chutelock/platform/standin"
)

// Bounds and limits as in the settings of a small deployment (DEPLOY.md).
const (
	host      = "nony24.example"
	service   = "placement-lm"
	drainMs   = 2000
	graceS    = 8
	slots     = 17
	zoneCount = 3
)

// deployment is a small deployment on loopback: three data nodes and three fronts as separate
// processes, with the platform's store and the engines as stand-ins in this process.
type deployment struct {
	folder  string
	store   *standin.Store
	engines []*engine
	nodes   []*node
}

// node is one process of the project's program.
type node struct {
	name, zone, callers, readiness string
	program, file, log, data       string // data is empty for a front
	command                        *exec.Cmd
}

func zoneName(i int) string {
	return []string{"bayanzurkh-hall", "songino-hall", "khan-uul-hall"}[i%zoneCount]
}

// claimedPorts are below the kernel's range for outgoing connections.
var claimedPorts *ports.Block

// freeAddress returns a loopback address that is free for TCP and UDP.
func freeAddress() string {
	if claimedPorts == nil {
		block, err := ports.Claim(28100, 32700, 200)
		if err != nil {
			couldNotRun("%v", err)
		}
		claimedPorts = block
	}
	address, err := claimedPorts.Free()
	if err != nil {
		couldNotRun("%v", err)
	}
	return address.String()
}

// newDeployment writes the configuration and the engines' entries, starts the nodes with the command of
// the deploy file, and waits until all fronts are ready.
func newDeployment(program string, engineCount int) *deployment {
	folder, err := os.MkdirTemp("", "chutelock-review-")
	if err != nil {
		couldNotRun("%v", err)
	}
	d := &deployment{folder: folder, store: standin.NewStore()}
	for i := range engineCount {
		d.engines = append(d.engines, newEngine(fmt.Sprintf("i-%08x", 0x1000+i), zoneName(i)))
	}
	d.store.Write("config", "main", configuration())
	for _, e := range d.engines {
		d.store.Write("servers", e.id, e.entry())
	}
	var seeds []string
	var settings []string
	for i := range 2 * zoneCount {
		n := &node{name: fmt.Sprintf("front-%s-1", zoneName(i)), zone: zoneName(i), callers: freeAddress(), readiness: freeAddress()}
		peers, data := freeAddress(), ""
		if i < zoneCount {
			n.name = fmt.Sprintf("store-%s-1", zoneName(i))
			data = filepath.Join(folder, n.name)
		} else {
			seeds = append(seeds, fmt.Sprintf("%q", peers))
		}
		n.data = data
		d.nodes = append(d.nodes, n)
		settings = append(settings, n.settings(peers, data, d.store.Address()))
	}
	for i, n := range d.nodes {
		file := filepath.Join(folder, n.name+".yaml")
		text := strings.ReplaceAll(settings[i], "SEEDS", strings.Join(seeds, ", "))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			couldNotRun("%v", err)
		}
		n.program, n.file, n.log = program, file, filepath.Join(folder, n.name+".log")
		n.start()
	}
	d.awaitReady()
	return d
}

// settings fills in deploy/node.tmpl.
func (n *node) settings(peers, data, store string) string {
	listen := fmt.Sprintf("  callers: %q\n  readiness: %q\n", n.callers, n.readiness)
	memory, descriptors, folder := 284, 4100, ""
	if data != "" {
		listen, memory, descriptors = "", 314, 8200
		folder = fmt.Sprintf("data:\n  folder: %q\n  size: 480\n", data)
	}
	return fmt.Sprintf(`node:
  name: %q
  zone: %q
  region: "ulaanbaatar"
listen:
%s  peers: %q
  metrics: %q
  descriptors: %d
peers:
  seeds: [SEEDS]
platform:
  address: %q
  dialect: objects
  contracts: ["base","drain","config","cost","recover","batch","stream","engine","platform"]
  apply: 2000ms
  leave: %dms
%smemory:
  limit: %d
ledger:
  copies: 3
  losses: 1
drain:
  timeout: %ds
zones: {"bayanzurkh-hall":"ulaanbaatar","songino-hall":"ulaanbaatar","khan-uul-hall":"ulaanbaatar"}
batch:
  keep: 120s
overload:
  mode: auto
`, n.name, n.zone, listen, peers, freeAddress(), descriptors, store, drainMs, folder, memory, graceS)
}

func (n *node) start() {
	output, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		couldNotRun("%v", err)
	}
	defer output.Close()
	n.command = exec.Command(n.program, "-config", n.file)
	n.command.Stdout, n.command.Stderr = output, output
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		couldNotRun("start %s: %v", n.name, err)
	}
}

// kill ends the process at once, as a loss of power does.
func (n *node) kill() {
	_ = n.command.Process.Kill()
	_ = n.command.Wait()
}

// loseDisk kills the process and starts it again 2 s later at its old address, with an empty disk.
func (n *node) loseDisk() {
	n.kill()
	if err := os.RemoveAll(n.data); err != nil {
		couldNotRun("%v", err)
	}
	time.Sleep(2 * time.Second)
	n.start()
}

// stores lists the nodes that keep data.
func (d *deployment) stores() []*node { return d.nodes[:zoneCount] }

// fronts lists the nodes that take callers.
func (d *deployment) fronts() []*node { return d.nodes[zoneCount:] }

// awaitReady waits until all fronts say that they are ready, and some seconds more, as traffic starts
// 10 s after the machines do.
func (d *deployment) awaitReady() {
	end := time.Now().Add(20 * time.Second)
	for _, n := range d.fronts() {
		for !isReady(n.readiness) {
			if time.Now().After(end) {
				d.close()
				couldNotRun("%s is not ready after 20 s", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second)
}

// close ends all processes and stand-ins that were started.
func (d *deployment) close() {
	for _, n := range d.nodes {
		if n.command != nil && n.command.Process != nil {
			n.kill()
		}
	}
	for _, e := range d.engines {
		e.close()
	}
	d.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// configuration has one stream route and one batch route.
func configuration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{
				"name": "intake-reply", "host": host, "pathPrefix": "/gono990/", "routeType": "stream", "timeoutMs": 5000, "targetLatencyMs": 800,
				"gapTargetMs": 250, "maxAttempts": 1, "service": service, "priority": 0,
			},
			{
				"name": "seat-match", "host": host, "pathPrefix": "/pule252/", "routeType": "batch", "timeoutMs": 30000, "targetLatencyMs": 400,
				"gapTargetMs": 250, "completionTargetMs": 20000, "retentionS": 600, "maxQueuedTokens": 1600000, "maxAttempts": 3, "service": service, "priority": 2,
			},
		},
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConnections": 370, "engine": map[string]any{"slots": slots, "kvCapacityTokens": 153000}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	}
}
