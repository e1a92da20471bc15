package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/gateway"
)

// lateListener accepts connections whose reads wait for release before they look at the socket.
type lateListener struct {
	*net.TCPListener
	waiting chan struct{}
	release chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &lateConn{conn, l}, nil
}

type lateConn struct {
	*net.TCPConn
	listener *lateListener
}

func (c *lateConn) Read(buffer []byte) (int, error) {
	select {
	case c.listener.waiting <- struct{}{}:
	default:
	}
	<-c.listener.release
	return c.TCPConn.Read(buffer)
}

// Guards against a stop that closes connections on requests that arrived and are read late.
func TestStoppingNodeAnswersRequestReadLate(t *testing.T) {
	g := gomega.NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	listener := &lateListener{inner.(*net.TCPListener), make(chan struct{}, 1), make(chan struct{})}
	c := newCallers(gateway.NewListener(listener), nil, http.NotFoundHandler(), func() []any { return nil })
	served := make(chan error, 1)
	go func() { served <- c.server.Serve(c.listener) }()
	conn, err := net.Dial("tcp", inner.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	<-listener.waiting
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		c.drain(time.Now().Add(10 * time.Second))
	}()
	g.Eventually(c.refusing.Load, waitTimeout).Should(gomega.BeTrue())
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(300 * time.Millisecond)
	close(listener.release)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = response.Body.Close()
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	<-drained
	g.Expect(<-served).To(gomega.Equal(http.ErrServerClosed))
}
