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

// patience bounds every wait for something that must happen; it is generous,
// because no verdict may depend on the machine's speed.
const patience = 90 * time.Second

// process is one running program of the deployment.
type process struct {
	name      string
	command   *exec.Cmd
	readyFile string
	exited    chan struct{}
}

// startProcess starts a program whose output goes to a log in folder.
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

// waitReady reads the ready file into content once it is there.
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
	}, patience, "20ms").Should(gomega.Succeed(), p.name)
}

func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// kill ends the process as a machine that vanishes.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// pause freezes the process; resume lets it go on.
func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// stop is a planned stop; it returns when the process has ended by itself.
func (p *process) stop() {
	ginkgo.GinkgoHelper()
	p.signal(syscall.SIGTERM)
	gomega.Eventually(p.exited, patience).Should(gomega.BeClosed(), p.name)
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Ports below the range that the system takes ports for outgoing connections from, and
// below those of the other tests.
const (
	firstPort = 12000
	lastPort  = 18000
	// portsOfRun are the ports that one run of the tests takes in turn.
	portsOfRun = 1500
)

var portsHere = sync.OnceValues(func() (*ports.Block, error) { return ports.Claim(firstPort, lastPort, portsOfRun) })

// freeAddress finds a port that is free for TCP and UDP and will stay so long
// enough: a restarted node must come back at its address.
func freeAddress() string {
	ginkgo.GinkgoHelper()
	block, err := portsHere()
	if err != nil {
		ginkgo.Fail(err.Error())
	}
	addr, err := block.Free()
	if err != nil {
		ginkgo.Fail(err.Error())
	}
	return addr.String()
}
