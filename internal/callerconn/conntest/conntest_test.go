package conntest

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	request     = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	waitTimeout = 10 * time.Second
)

// connect returns both ends of a connection.
func connect(t *testing.T) (caller net.Conn, node *net.TCPConn) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	caller, err = net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() {
		_ = caller.Close()
		_ = accepted.Close()
	})
	return caller, accepted.(*net.TCPConn)
}

// Guards against a request that was dropped and is taken for one that came after the close, or the reverse.
func TestOnOpenTellsRequestsThatArrivedBeforeTheClose(t *testing.T) {
	for name, test := range map[string]struct {
		closedBefore bool
		read         int // bytes that are read before the close
		err          error
	}{
		"closed before":       {closedBefore: true},
		"read and closed":     {read: len(request), err: io.ErrUnexpectedEOF},
		"one byte is read":    {read: 1, err: syscall.ECONNRESET},
		"closed and not read": {err: syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			caller, node := connect(t)
			err := OnOpen(caller, func() error {
				if test.closedBefore { // but after the look
					g.Expect(node.Close()).To(gomega.Succeed())
					g.Eventually(func() (bool, error) { return IsClosed(caller) }, waitTimeout).Should(gomega.BeTrue())
				}
				_, err := io.WriteString(caller, request)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				if !test.closedBefore {
					_, err = io.ReadFull(node, make([]byte, test.read))
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(node.Close()).To(gomega.Succeed())
				}
				_, err = http.ReadResponse(bufio.NewReader(caller), nil)
				g.Expect(err).To(gomega.HaveOccurred())
				return err
			})
			if test.err == nil {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				return
			}
			g.Expect(err).To(gomega.MatchError(test.err))
		})
	}
}

// Guards against a close that is overlooked by a caller who looks late: a read after its deadline sees nothing.
func TestIsClosedSeesWhatReadAfterDeadlineOverlooks(t *testing.T) {
	g := gomega.NewWithT(t)
	caller, node := connect(t)
	g.Expect(IsClosed(caller)).To(gomega.BeFalse())
	g.Expect(node.Close()).To(gomega.Succeed())
	g.Eventually(func() (bool, error) { return IsClosed(caller) }, waitTimeout).Should(gomega.BeTrue())
	g.Expect(caller.SetReadDeadline(time.Now().Add(-time.Millisecond))).To(gomega.Succeed())
	_, err := caller.Read(make([]byte, 1))
	g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeTrue())
	g.Expect(IsClosed(caller)).To(gomega.BeTrue())
}
