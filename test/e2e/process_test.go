package e2e

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/lab/ports"
)

// eventTimeout bounds waits for events that must happen; it is long so that
// results don't depend on the machine's speed.
const eventTimeout = 90 * time.Second

// process is a program of the deployment.
type process struct {
	name      string
	command   *exec.Cmd
	readyFile string
	exited    chan struct{}
}

// startProcess starts a program that logs to NAME.log in folder.
func startProcess(folder, name, binary string, arguments ...string) *process {
	ginkgo.GinkgoHelper()
	p := &process{name: name, readyFile: filepath.Join(folder, name+".ready"), exited: make(chan struct{})}
	_ = os.Remove(p.readyFile)
	log, err := os.OpenFile(filepath.Join(folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	p.command = exec.Command(binary, append(arguments, "-ready-file", p.readyFile)...)
	p.command.Stdout = log
	p.command.Stderr = log
	gomega.Expect(p.command.Start()).To(gomega.Succeed())
	go func() {
		_ = p.command.Wait()
		log.Close()
		close(p.exited)
	}()
	return p
}

// waitReady waits for the ready file and decodes it into content.
func (p *process) waitReady(content any) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func() error {
		select {
		case <-p.exited:
			return gomega.StopTrying(p.name + " ended before it was ready")
		default:
		}
		data, err := os.ReadFile(p.readyFile)
		if err != nil {
			return err
		}
		return json.Unmarshal(data, content)
	}, eventTimeout, "20ms").Should(gomega.Succeed(), p.name)
}

func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// kill ends the process without a drain, as a machine failure does.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// pause suspends the process; resume continues it.
func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// terminate requests a drain and waits until the process has exited.
func (p *process) terminate() {
	ginkgo.GinkgoHelper()
	p.signal(syscall.SIGTERM)
	gomega.Eventually(p.exited, eventTimeout).Should(gomega.BeClosed(), p.name)
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Ports below the ephemeral range and below those of the other tests.
const (
	firstPort = 12000
	lastPort  = 18000
	// portsPerRun is the number of ports that a run of the tests claims.
	portsPerRun = 1500
)

var claimPorts = sync.OnceValues(func() (*ports.Block, error) { return ports.Claim(firstPort, lastPort, portsPerRun) })

// freeAddress returns a loopback address whose port is free for TCP and UDP and
// stays reserved for this run, so that a restarted node gets it again.
func freeAddress() string {
	ginkgo.GinkgoHelper()
	block, err := claimPorts()
	if err != nil {
		ginkgo.Fail(err.Error())
	}
	addr, err := block.Free()
	if err != nil {
		ginkgo.Fail(err.Error())
	}
	return addr.String()
}
