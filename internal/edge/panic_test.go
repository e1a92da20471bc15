package edge

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/forward"
)

// panicDialect panics while it parses a call.
type panicDialect struct{ Dialect }

func (panicDialect) Call(*http.Request) (Call, bool) { panic("no such case") }

func (panicDialect) ParseRequest(*http.Request, time.Time) (forward.Request, error) {
	return forward.Request{}, errors.New("unreadable")
}

// Guards against a request without a response as its handler panics.
func TestRequestWhoseHandlerPanicsIsAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	e := &Edge{Dialect: panicDialect{}, Snapshot: func() *catalog.Snapshot {
		return catalog.NewSnapshot(&catalog.Configuration{}, nil)
	}}
	server := httptest.NewServer(e)
	defer server.Close()
	response, err := http.Get(server.URL)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusBadGateway), "it may have run")
	g.Expect(e.Panics()).To(gomega.BeEquivalentTo(1))
}
