package httpconn

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/httpconn/httpconntest"
)

// answerWith starts a server that answers each request with bytes.
func answerWith(t *testing.T, bytes string) (address string) {
	return httpconntest.Serve(t, func(c *httpconntest.Conn) bool {
		c.ReadBody()
		_, _ = io.WriteString(c, bytes)
		return true
	})
}

func TestTransportTellsWhyHeadIsInvalid(t *testing.T) {
	for _, response := range httpconntest.InvalidHeads("A: b\r\n") {
		g := gomega.NewWithT(t)
		client := &http.Client{Transport: NewTransport()}
		_, err := client.Get("http://" + answerWith(t, response.Bytes))
		g.Expect(err).To(gomega.MatchError(ErrInvalidHead), response.Name)
		g.Expect(err.Error()).NotTo(gomega.ContainSubstring("\n"), response.Name)
	}
}

// Guards against checks that end with the first response on a connection, which is kept.
func TestTransportChecksEachResponseOnConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	var requests atomic.Int32
	address := httpconntest.Serve(t, func(c *httpconntest.Conn) bool {
		head := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
		if requests.Add(1) == 3 {
			head += "X More: 1\r\n"
		}
		_, _ = io.WriteString(c, head+"\r\nbody")
		return true
	})
	client := &http.Client{Transport: NewTransport()}
	for range 2 {
		response, err := client.Post("http://"+address, "text/plain", strings.NewReader("x"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(io.ReadAll(response.Body)).To(gomega.BeEquivalentTo("body"))
		_ = response.Body.Close()
	}
	_, err := client.Post("http://"+address, "text/plain", strings.NewReader("x"))
	g.Expect(err).To(gomega.MatchError(ErrInvalidHead))
	g.Expect(requests.Load()).To(gomega.BeEquivalentTo(3))
}
