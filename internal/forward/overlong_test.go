package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/upstream"
)

// bodySink records the length of the response's body.
type bodySink struct {
	recordingSink
	length  int
	refused bool
}

func (s *bodySink) WriteResponse(status int, header http.Header, body []byte) error {
	s.length = len(body)
	return s.recordingSink.WriteResponse(status, header, body)
}

func (s *bodySink) Refuse(verdict Verdict, retryAfter time.Duration) error {
	s.refused = true
	return s.recordingSink.Refuse(verdict, retryAfter)
}

// zeros reads as many zeros as are asked for.
type zeros struct{}

func (zeros) Read(buffer []byte) (int, error) {
	clear(buffer)
	return len(buffer), nil
}

// Guards against a body that is cut at the largest size and passed on as whole.
func TestOverlongBodyIsNotPassedOnInPart(t *testing.T) {
	for _, test := range []struct {
		length  int64
		refused bool
	}{{maxBodyBytes, false}, {maxBodyBytes + 1, true}} {
		g := gomega.NewWithT(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			_, _ = io.CopyN(w, zeros{}, test.length)
		}))
		t.Cleanup(server.Close)
		snapshot := catalog.NewSnapshot(nil, []catalog.Engine{{ID: "a", Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8}})
		f := &Forwarder{
			Pool: upstream.NewPool(streamDialect{}), Balancer: balance.New(func() *catalog.Snapshot { return snapshot }), Usable: snapshot.Usable,
		}
		route := &catalog.Route{Name: "r", Kind: catalog.KindWhole, Attempts: 1, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}
		sink := &bodySink{}
		f.Serve(context.Background(), &Request{ID: "one", Method: http.MethodGet, URI: "/", Host: "h", Arrived: time.Now()}, route, sink)
		g.Expect(sink.refused).To(gomega.Equal(test.refused))
		if !test.refused {
			g.Expect(sink.length).To(gomega.BeEquivalentTo(test.length))
		}
	}
}
