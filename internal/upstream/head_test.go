package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/httpconn"
)

// floodTimeout bounds the time for a response without end to be given up.
const floodTimeout = 2 * time.Second

// floodEngine starts an engine that sends begin and then repeats a text to each request until its
// connection is closed. It counts the connections that were closed.
func floodEngine(t *testing.T, begin, repeated string) (address string, closed *atomic.Int32) {
	closed = &atomic.Int32{}
	block := strings.Repeat(repeated, 4096/len(repeated)+1)
	address = startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := readRequest(reader); err != nil {
			return
		}
		_, err := io.WriteString(conn, begin)
		for err == nil {
			_, err = io.WriteString(conn, block)
		}
		closed.Add(1)
	})
	return address, closed
}

// heads are heads without end.
var heads = []struct{ name, begin, repeated string }{
	{"headers", "HTTP/1.1 200 OK\r\nId: a\r\n", "X-More: more\r\n"},
	{"header line", "HTTP/1.1 200 OK\r\nId: a\r\nX-More: ", "more"},
	{"folded header line", "HTTP/1.1 200 OK\r\nId: a\r\nX-More: more\r\n", " more\r\n"},
	{"status line", "HTTP/1.1 200 ", "OK"},
	{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
	{"interim response", "HTTP/1.1 102 Processing\r\n", "X-More: more\r\n"},
}

// Guards against a node whose memory an engine fills with a head without end.
func TestExchangeGivesUpHeadWithoutEnd(t *testing.T) {
	for _, head := range heads {
		t.Run(head.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address, closed := floodEngine(t, head.begin, head.repeated)
			ctx, cancel := context.WithTimeout(t.Context(), floodTimeout)
			defer cancel()
			_, err := NewPool(plainDialect{}).Exchange(ctx, address, &Call{ID: "a", Method: "GET", URI: "/", Host: "h", Engine: "e"})
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "it must be given up before its deadline")
			g.Expect(fateOf(err)).To(gomega.Equal(FateUnknown))
			g.Eventually(closed.Load).Should(gomega.BeEquivalentTo(1))
		})
	}
}

func TestExchangeReadsHeadUpToBound(t *testing.T) {
	g := gomega.NewWithT(t)
	const rest = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\nX-Long: \r\n\r\n"
	for _, excess := range []int{0, 1} {
		address := startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
			_, _ = readRequest(reader)
			long := strings.Repeat("x", httpconn.MaxHeadBytes-len(rest)+excess)
			_, _ = io.WriteString(conn, strings.Replace(rest, "X-Long: ", "X-Long: "+long, 1)+"body")
		})
		body, err := exchange(NewPool(plainDialect{}), address, "a")
		if excess == 0 {
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.Equal("body"))
			continue
		}
		g.Expect(err).To(gomega.MatchError(httpconn.ErrHeadTooLong))
	}
}

// Guards against a node that reads what belongs to a body without end.
func TestBodyGivesUpWhatIsNoBody(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, body := range []struct{ name, begin, repeated string }{
		{"trailer", chunked + "4\r\nbody\r\n0\r\n", "X-More: more\r\n"},
		{"trailer line", chunked + "4\r\nbody\r\n0\r\nX-More: ", "more"},
		{"chunk extension", chunked + "4;x=", "more"},
		{"chunks with long extensions", chunked, "1;x=" + strings.Repeat("m", 100) + "\r\nb\r\n"},
		{"no chunk", chunked, "more\r\n"},
		{"chunk size", chunked, "0"},
	} {
		t.Run(body.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address, closed := floodEngine(t, body.begin, body.repeated)
			ctx, cancel := context.WithTimeout(t.Context(), floodTimeout)
			defer cancel()
			response, err := NewPool(plainDialect{}).Exchange(ctx, address, &Call{ID: "a", Method: "GET", URI: "/", Host: "h", Engine: "e"})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = io.Copy(io.Discard, response)
			g.Expect(err).To(gomega.HaveOccurred(), "it must not look whole")
			response.Close()
			g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "it must be given up before its deadline")
			g.Eventually(closed.Load).Should(gomega.BeEquivalentTo(1))
		})
	}
}

// Guards against a node that reads a surplus response, or what comes behind a response, without end.
func TestExchangeGivesUpSurplusWithoutEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	address, closed := floodEngine(t, "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "more")
	_, err := exchange(NewPool(plainDialect{}), address, "a")
	g.Expect(err).To(gomega.MatchError(errForeignResponse))
	g.Eventually(closed.Load).Should(gomega.BeEquivalentTo(1))
}

// Guards against idle connections on which an engine goes on sending until a request meets them.
func TestPruneClosesIdleConnectionWithSurplusBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	surplus, closed := make(chan struct{}), make(chan struct{})
	address := startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
		defer close(closed)
		id, _ := readRequest(reader)
		respond(conn, id, "body")
		<-surplus
		for {
			if _, err := io.WriteString(conn, strings.Repeat("more", 1024)); err != nil {
				return
			}
		}
	})
	pool, wanted := NewPool(plainDialect{}), func(string, string) bool { return true }
	_, err := exchange(pool, address, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	pool.Prune(time.Now(), wanted)
	g.Consistently(closed, 50*time.Millisecond).ShouldNot(gomega.BeClosed(), "a usable connection must be kept")
	close(surplus)
	g.Eventually(func() <-chan struct{} {
		pool.Prune(time.Now(), wanted)
		return closed
	}).Should(gomega.BeClosed())
}
