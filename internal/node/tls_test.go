package node

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a stop that cuts off requests under TLS, or is held up by connections without one.
func TestStoppingNodeAnswersRequestsUnderTLS(t *testing.T) {
	for name, protocols := range map[string][]string{"HTTP/1.1": {"http/1.1"}, "HTTP/2": {"h2"}} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			certified := httptest.NewTLSServer(nil)
			defer certified.Close()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			arrived, release := make(chan struct{}), make(chan struct{})
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/held" {
					close(arrived)
					<-release
				}
				_, _ = io.WriteString(w, r.Proto)
			})
			c := newCallers(listener, &tls.Config{Certificates: certified.TLS.Certificates, NextProtos: protocols}, handler, func() []any { return nil })
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = c.server.Serve(c.listener)
			}()
			transport := certified.Client().Transport.(*http.Transport).Clone()
			transport.ForceAttemptHTTP2 = true
			defer transport.CloseIdleConnections()
			get := func(path string) (string, error) {
				request, err := http.NewRequest(http.MethodGet, "https://"+listener.Addr().String()+path, nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				response, err := transport.RoundTrip(request)
				if err != nil {
					return "", err
				}
				defer response.Body.Close()
				body, err := io.ReadAll(response.Body)
				return string(body), err
			}
			body, err := get("/")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.HavePrefix(name))
			held := make(chan error)
			go func() {
				_, err := get("/held")
				held <- err
			}()
			<-arrived
			drained := make(chan struct{})
			go func() {
				defer close(drained)
				c.drain(time.Now().Add(waitTimeout))
			}()
			g.Eventually(c.refusing.Load, waitTimeout).Should(gomega.BeTrue())
			close(release)
			g.Expect(<-held).To(gomega.Succeed())
			g.Eventually(drained, waitTimeout/2).Should(gomega.BeClosed())
			g.Expect(c.gate.Unanswered()).To(gomega.BeZero())
			<-done
		})
	}
}
