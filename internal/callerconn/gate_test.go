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

func TestShedderFollowsLatenessOfCrowdedNode(t *testing.T) {
	g := gomega.NewWithT(t)
	var s shedder
	for range 100 {
		s.observe(2*maxLateness, false)
	}
	g.Expect(s.share).To(gomega.BeZero(), "other nodes have no more room")
	for range 100 {
		s.observe(2*maxLateness, true)
	}
	g.Expect(s.share).To(gomega.Equal(maxShed), "some connections are still served")
	g.Expect(s.sheds(0.95)).To(gomega.BeFalse())
	g.Expect(s.sheds(0.5)).To(gomega.BeTrue())
	for range 60 {
		s.observe(maxLateness, true)
	}
	g.Expect(s.share).To(gomega.BeZero())
}

// startGate serves requests that come through a gate with a short body.
func startGate(t *testing.T, gate *Gate) {
	startGateWith(t, gate, serveShortly)
}

// startGateWith serves requests that come through a gate with a handler.
func startGateWith(t *testing.T, gate *Gate, handler http.HandlerFunc) {
	gate.Listener = listen(t)
	serveGate(t, gate, &http.Server{Handler: handler})
}

func listen(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// serveGate serves a gate, which has its listener, until the test ends. The server's ConnState may be set.
func serveGate(t *testing.T, gate *Gate, server *http.Server) {
	observe := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		gate.TrackState(conn, state)
		if observe != nil {
			observe(conn, state)
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(gate)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
}

// serveShortly is a handler that responds with a short body.
func serveShortly(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }

// exchange sends a request on a connection and returns the error of the response.
func exchange(conn net.Conn) error { return exchangePath(conn, "/") }

func exchangePath(conn net.Conn, path string) error {
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\n"); err != nil {
		return err
	}
	return exchangeRest(conn)
}

// exchangeRest is exchange for a request of which a part was sent.
func exchangeRest(conn net.Conn) error {
	if _, err := io.WriteString(conn, "Host: h\r\n\r\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func dialGate(t *testing.T, gate *Gate) net.Conn {
	conn, err := net.Dial("tcp", gate.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against a crowded node that reads requests which it can't serve in time.
func TestGateClosesNewConnectionsUnreadWhileCrowded(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := NewGate(0)
	gate.Crowded = func() bool { return true }
	startGate(t, gate)
	kept := dialGate(t, gate)
	g.Expect(exchange(kept)).To(gomega.Succeed())
	closed := 0
	for range 200 {
		gate.observe(2 * maxLateness) // samples beside those of the gate
		if exchange(dialGate(t, gate)) != nil {
			closed++
		}
	}
	g.Expect(closed).To(gomega.BeNumerically(">", 100))
	g.Expect(closed).To(gomega.BeNumerically("<", 200), "a node that is ready takes some connections")
	g.Expect(int(gate.Shed())).To(gomega.Equal(closed))
	g.Expect(exchange(kept)).To(gomega.Succeed(), "open connections are served")
}

// Guards against a node that runs out of descriptors, so that requests it has read reach no engine.
func TestGateMakesRoomByClosingIdleConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := NewGate(3)
	startGate(t, gate)
	var conns []net.Conn
	for range 3 {
		conns = append(conns, dialGate(t, gate))
	}
	for i, conn := range conns {
		g.Expect(exchange(conn)).To(gomega.Succeed())
		g.Eventually(func() int { // the connections become idle in this order
			gate.mutex.Lock()
			defer gate.mutex.Unlock()
			return gate.idle.Len()
		}, 10*time.Second).Should(gomega.Equal(i + 1))
	}
	g.Expect(exchange(dialGate(t, gate))).To(gomega.Succeed())
	g.Eventually(gate.Open, 10*time.Second).Should(gomega.Equal(3))
	g.Expect(exchange(conns[0])).NotTo(gomega.Succeed(), "the oldest idle connection is closed")
	g.Expect(exchange(conns[2])).To(gomega.Succeed())
	g.Expect(gate.Evicted()).To(gomega.BeEquivalentTo(1))
}
