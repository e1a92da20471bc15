package node

import (
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/gateway/apierror"
)

// Guards against a request without a response as its handler panics.
func TestRequestWhoseHandlerPanicsIsAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("no such case") })
	c := newCallers(listener, nil, handler, func() []any { return nil })
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.server.Serve(c.listener)
	}()
	defer func() {
		c.close()
		<-done
	}()
	request, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String(), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	got, err := ask(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.status).To(gomega.Equal(http.StatusInternalServerError))
	g.Expect(got.code).To(gomega.Equal(string(apierror.CodeOutcomeUnknown)), "it may have run")
	g.Expect(c.panics.Load()).To(gomega.BeEquivalentTo(1))
}
