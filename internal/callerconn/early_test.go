package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// earlyListener tells when the first byte of a request was read before the last one counts as ended: the
// server reads it alone.
type earlyListener struct {
	net.Listener
	read chan struct{}
}

func (l *earlyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &earlyConn{Conn: conn, read: l.read}, nil
}

type earlyConn struct {
	net.Conn
	read chan struct{}
}

func (c *earlyConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 1 {
		c.read <- struct{}{}
	}
	return n, err
}

func readResponse(reader *bufio.Reader) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// Guards against a stop that drops a request of which a byte was read before the last one counted as ended.
func TestGateDrainAnswersRequestThatCameBeforeTheLastOneEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := NewGate(0)
	early := make(chan struct{}, 1)
	gate.Listener = &earlyListener{Listener: listen(t), read: early}
	ending := make(chan struct{})
	serveGate(t, gate, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "6")
		_, _ = io.WriteString(w, "served")
		_ = http.NewResponseController(w).Flush()
		<-ending
	})})
	conn := dialGate(t, gate)
	reader := bufio.NewReader(conn)
	send := func() {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	send()
	g.Expect(readResponse(reader)).To(gomega.Succeed())
	gate.Retire()
	send()
	<-early
	close(ending)
	g.Expect(readResponse(reader)).To(gomega.Succeed())
}
