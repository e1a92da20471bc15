package acceptor

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// failingListener fails calls of Accept while failures are left.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.ENOBUFS}
	}
	return l.Listener.Accept()
}

func listen(t *testing.T, failures int32) (*failingListener, *Listener) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: inner}
	failing.failures.Store(failures)
	listener := New(failing)
	t.Cleanup(func() { _ = listener.Close() })
	return failing, listener
}

// Guards against a server that ends as a connection can't be accepted for a moment.
func TestAcceptContinuesAfterErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	_, listener := listen(t, 4)
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(accepted.Close()).To(gomega.Succeed())
}

// Guards against a closed listener that goes on trying.
func TestAcceptEndsWithClose(t *testing.T) {
	g := gomega.NewWithT(t)
	_, listener := listen(t, 1<<30)
	ended := make(chan error, 1)
	go func() {
		_, err := listener.Accept()
		ended <- err
	}()
	g.Consistently(ended, 50*time.Millisecond).ShouldNot(gomega.Receive())
	g.Expect(listener.Close()).To(gomega.Succeed())
	g.Eventually(ended).Should(gomega.Receive(gomega.MatchError(net.ErrClosed)))
	g.Expect(listener.Close()).To(gomega.Succeed())
}
