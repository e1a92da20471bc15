package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// heldListener accepts connections whose reads can be held up after they took their bytes, as those of a
// thread that loses the processor.
type heldListener struct {
	net.Listener
	conns chan *heldConn
}

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	held := &heldConn{Conn: conn, armed: make(chan struct{}), taken: make(chan struct{}), release: make(chan struct{})}
	l.conns <- held
	return held, nil
}

type heldConn struct {
	net.Conn
	armed, taken, release chan struct{} // armed is closed to hold the next read that takes bytes
}

func (c *heldConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	select {
	case <-c.armed:
		if n > 0 {
			select {
			case <-c.taken:
			default:
				close(c.taken)
				<-c.release
			}
		}
	default:
	}
	return n, err
}

// startHeldGate serves a gate whose connections' reads can be held up.
func startHeldGate(t *testing.T, gate *Gate) <-chan *heldConn {
	held := &heldListener{Listener: listen(t), conns: make(chan *heldConn, 10)}
	gate.Listener = held
	serveGate(t, gate, &http.Server{Handler: http.HandlerFunc(serveShortly)})
	return held.conns
}

// idleConn returns a connection that has served a request, whose next read that takes bytes is held up.
func idleConn(t *testing.T, gate *Gate, conns <-chan *heldConn) (net.Conn, *heldConn) {
	g := gomega.NewWithT(t)
	conn := dialGate(t, gate)
	held := <-conns
	g.Expect(exchange(conn)).To(gomega.Succeed())
	g.Eventually(func() int {
		gate.mutex.Lock()
		defer gate.mutex.Unlock()
		return gate.idle.Len()
	}, 10*time.Second).Should(gomega.Equal(1))
	close(held.armed)
	return conn, held
}

// Guards against a stop that drops a request which was read on a connection that counts as idle.
func TestGateDrainAnswersRequestOnConnectionThatCountsAsIdle(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := NewGate(0)
	conns := startHeldGate(t, gate)
	conn, held := idleConn(t, gate, conns)
	answered := make(chan error)
	go func() { answered <- exchange(conn) }()
	<-held.taken
	gate.Retire()
	close(held.release)
	g.Expect(<-answered).To(gomega.Succeed())
}

// Guards against making room by dropping a request which was read on a connection that counts as idle.
func TestGateEvictionAnswersRequestOnConnectionThatCountsAsIdle(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := NewGate(1)
	conns := startHeldGate(t, gate)
	conn, held := idleConn(t, gate, conns)
	answered := make(chan error)
	go func() { answered <- exchange(conn) }()
	<-held.taken
	dialGate(t, gate)
	g.Eventually(gate.Evicted, 10*time.Second).Should(gomega.BeEquivalentTo(1))
	close(held.release)
	g.Expect(<-answered).To(gomega.Succeed())
}

// Guards against reports of connections that ended after their responses, or without a request.
func TestGateCountsOnlyRequestsWithoutResponses(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := NewGate(0)
	startGateWith(t, gate, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/last" {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, "served")
	})
	g.Expect(exchange(dialGate(t, gate))).To(gomega.Succeed())
	g.Expect(exchangePath(dialGate(t, gate), "/last")).To(gomega.Succeed())
	refused := dialGate(t, gate)
	_, err := io.WriteString(refused, "POST /last HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = refused.Read(make([]byte, 1)) // of the response
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.WriteString(refused, "too late!")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	dialGate(t, gate)
	g.Eventually(gate.Open, 10*time.Second).Should(gomega.Equal(2))
	gate.Retire()
	g.Expect(gate.Close()).To(gomega.Succeed())
	g.Eventually(gate.Open, 10*time.Second).Should(gomega.BeZero())
	g.Expect(gate.Unanswered()).To(gomega.BeZero())
}

// Guards against a response that fails without a count, as its handler gave up.
func TestGateCountsRequestsWithoutResponses(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := NewGate(0)
	startGateWith(t, gate, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	g.Expect(exchange(dialGate(t, gate))).NotTo(gomega.Succeed())
	g.Eventually(gate.Unanswered, 10*time.Second).Should(gomega.BeEquivalentTo(1))
}

// Guards against a stopping node that closes new connections unread while callers may still be sent there.
func TestRetiringGateServesNewConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := NewGate(0)
	startGate(t, gate)
	waiting := dialGate(t, gate)
	g.Eventually(gate.Open, 10*time.Second).Should(gomega.Equal(1))
	gate.Retire()
	g.Expect(exchange(dialGate(t, gate))).To(gomega.Succeed())
	g.Expect(exchange(waiting)).To(gomega.Succeed())
	g.Eventually(gate.Open, 10*time.Second).Should(gomega.BeZero(), "each has had its one request")
}

// Guards against connections without a request that hold up a stop.
func TestClosedGateEndsConnectionsWithoutRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := NewGate(0)
	startGate(t, gate)
	dialGate(t, gate)
	g.Eventually(gate.Open, 10*time.Second).Should(gomega.Equal(1))
	gate.Retire()
	g.Expect(gate.Close()).To(gomega.Succeed())
	g.Eventually(gate.Open, 10*time.Second).Should(gomega.BeZero())
}

// Guards against a stop that drops requests which have arrived and are not read yet.
func TestRetiredConnectionAnswersRequestInItsSocket(t *testing.T) {
	g := gomega.NewWithT(t)
	for range 100 {
		gate := NewGate(0)
		startGate(t, gate)
		conn := dialGate(t, gate)
		g.Expect(exchange(conn)).To(gomega.Succeed())
		answered := make(chan error)
		sent := make(chan struct{})
		go func() {
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			close(sent)
			if err == nil {
				_, err = http.ReadResponse(bufio.NewReader(conn), nil)
			}
			answered <- err
		}()
		<-sent
		gate.Retire()
		g.Expect(<-answered).To(gomega.Succeed())
	}
}
