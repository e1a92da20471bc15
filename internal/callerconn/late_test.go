package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// lateIdleTimeout is the idle time-out of the server behind a late gate.
	lateIdleTimeout = 500 * time.Millisecond
	wholeRequest    = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
)

// lateListener accepts connections whose reads can be held up before they look at the socket, as those of
// a process that loses the processor.
type lateListener struct {
	*net.TCPListener
	conns chan *lateConn
	late  bool // from the first read on
}

func (l *lateListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	late := &lateConn{TCPConn: conn, waiting: make(chan struct{}, 1), release: make(chan struct{})}
	late.late.Store(l.late)
	l.conns <- late
	return late, nil
}

type lateConn struct {
	*net.TCPConn
	late    atomic.Bool   // reads wait for release
	waiting chan struct{} // a read does
	release chan struct{}
}

func (c *lateConn) Read(buffer []byte) (int, error) {
	if c.late.Load() {
		select {
		case c.waiting <- struct{}{}:
		default:
		}
		<-c.release
	}
	return c.TCPConn.Read(buffer)
}

// startLateGate serves a gate whose connections' reads are late, from the first one on or once they are idle.
func startLateGate(t *testing.T, gate *Gate, fromFirst bool) <-chan *lateConn {
	listener := &lateListener{TCPListener: listen(t).(*net.TCPListener), conns: make(chan *lateConn, 10), late: fromFirst}
	gate.Listener = listener
	serveGate(t, gate, &http.Server{
		IdleTimeout: lateIdleTimeout,
		Handler:     http.HandlerFunc(serveShortly),
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				conn.(*Conn).Conn.(*lateConn).late.Store(true)
			}
		},
	})
	return listener.conns
}

// Guards against a stop that drops requests which arrived in time, as they are read after the connection's
// deadline.
func TestClosedGateAnswersRequestsReadLate(t *testing.T) {
	for name, used := range map[string]bool{"new connection": false, "idle connection": true} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			gate := NewGate(0)
			conns := startLateGate(t, gate, !used)
			conn := dialGate(t, gate)
			late := <-conns
			if used {
				g.Expect(exchange(conn)).To(gomega.Succeed())
			}
			<-late.waiting
			gate.Retire()
			g.Expect(gate.Close()).To(gomega.Succeed())
			_, err := io.WriteString(conn, wholeRequest)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			time.Sleep(3 * arrivalTime)
			close(late.release)
			g.Expect(readResponse(bufio.NewReader(conn))).To(gomega.Succeed())
		})
	}
}

// Guards against an idle time-out that drops a request which arrived before it.
func TestIdleTimeoutAnswersRequestReadLate(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := NewGate(0)
	conns := startLateGate(t, gate, false)
	conn := dialGate(t, gate)
	late := <-conns
	g.Expect(exchange(conn)).To(gomega.Succeed())
	<-late.waiting
	_, err := io.WriteString(conn, wholeRequest)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(2 * lateIdleTimeout)
	close(late.release)
	g.Expect(readResponse(bufio.NewReader(conn))).To(gomega.Succeed())
}

// Guards against a connection without a request that stays open as its reads are late.
func TestClosedGateEndsConnectionReadLate(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := NewGate(0)
	conns := startLateGate(t, gate, true)
	dialGate(t, gate)
	late := <-conns
	<-late.waiting
	g.Expect(gate.Close()).To(gomega.Succeed())
	time.Sleep(3 * arrivalTime)
	close(late.release)
	g.Eventually(gate.Open, 10*time.Second).Should(gomega.BeZero())
}
