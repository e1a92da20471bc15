package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// probeDialect parses the headers of health responses.
type probeDialect struct{ Dialect }

func (probeDialect) Facts(_ int, header http.Header) Facts {
	return Facts{Instance: header.Get("X-Instance"), Load: &Load{Slowdown: 2}}
}

func TestProbeReadsFactsAndKeepsConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Instance", r.URL.Path)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	pool, address := NewPool(probeDialect{}), strings.TrimPrefix(server.URL, "http://")
	for range 2 {
		facts, err := pool.Probe(context.Background(), address, "e", "/health")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(facts.Instance).To(gomega.Equal("/health"))
		g.Expect(facts.Load.Slowdown).To(gomega.BeEquivalentTo(2))
	}
	g.Expect(pool.Opened.Load()).To(gomega.BeEquivalentTo(1))
	_, err := pool.Probe(context.Background(), address, "e", "/a HTTP/1.1\r\nX: y")
	g.Expect(err).To(gomega.MatchError(errInvalidPath))
}

// A silent engine must not hold a probe beyond its time.
func TestProbeOfSilentEngineEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := NewPool(probeDialect{}).Probe(ctx, strings.TrimPrefix(server.URL, "http://"), "e", "/health")
	g.Expect(err).To(gomega.HaveOccurred())
}

// Guards against a probe that takes an interim response for the health response.
func TestProbeSkipsInterimResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	address := startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX-Instance: e\r\nContent-Length: 0\r\n\r\n")
	})
	facts, err := NewPool(probeDialect{}).Probe(t.Context(), address, "e", "/health")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(facts.Instance).To(gomega.Equal("e"))
}

// Guards against a probe that reads a head without end.
func TestProbeGivesUpHeadWithoutEnd(t *testing.T) {
	for _, head := range heads {
		t.Run(head.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address, closed := floodEngine(t, head.begin, head.repeated)
			ctx, cancel := context.WithTimeout(t.Context(), floodTimeout)
			defer cancel()
			_, err := NewPool(probeDialect{}).Probe(ctx, address, "e", "/health")
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "it must be given up before its time")
			g.Eventually(closed.Load).Should(gomega.BeEquivalentTo(1))
		})
	}
}

// Guards against a probe that reads a body without end.
func TestProbeGivesUpBodyWithoutEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	address, closed := floodEngine(t, "HTTP/1.1 200 OK\r\n\r\n", "more")
	ctx, cancel := context.WithTimeout(t.Context(), floodTimeout)
	defer cancel()
	_, err := NewPool(probeDialect{}).Probe(ctx, address, "e", "/health")
	g.Expect(err).To(gomega.MatchError(errForeignResponse))
	g.Eventually(closed.Load).Should(gomega.BeEquivalentTo(1))
}
