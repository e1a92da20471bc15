package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// plainDialect uses the headers of the test engines.
type plainDialect struct{}

func (plainDialect) Header(call *Call, _ time.Time) http.Header {
	return http.Header{"Id": {call.ID}}
}

func (plainDialect) Facts(_ int, header http.Header) Facts {
	return Facts{ID: header.Get("Id"), Signed: true, NotRun: header.Get("Not-Run") != ""}
}

// startEngine starts a server that runs script for each connection, and returns its address.
func startEngine(t *testing.T, script func(conn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

// readRequest reads one request and returns its identifier.
func readRequest(reader *bufio.Reader) (string, error) {
	received, err := http.ReadRequest(reader)
	if err != nil {
		return "", err
	}
	_, _ = io.Copy(io.Discard, received.Body)
	return received.Header.Get("Id"), nil
}

func respond(conn io.Writer, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func exchange(pool *Pool, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := pool.Exchange(ctx, address, &Call{ID: id, Method: http.MethodPost, URI: "/x", Host: "h", Body: []byte("b")})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func fateOf(err error) Fate {
	var failure *Error
	if !errors.As(err, &failure) {
		return 255
	}
	return failure.Fate
}

func TestPoolReusesConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	address := startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			respond(conn, id, "for "+id)
		}
	})
	pool := NewPool(plainDialect{})
	for i := range 5 {
		id := fmt.Sprint("r", i)
		g.Expect(exchange(pool, address, id)).To(gomega.Equal("for " + id))
	}
	g.Expect(pool.Opened.Load()).To(gomega.Equal(int64(1)))
}

func TestExchangeSkipsSurplusResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	address := startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
		id, _ := readRequest(reader)
		respond(conn, id, "first")
		id, _ = readRequest(reader)
		respond(conn, "somebody-else", "late")
		respond(conn, id, "second")
		_, _ = readRequest(reader)
	})
	pool := NewPool(plainDialect{})
	g.Expect(exchange(pool, address, "a")).To(gomega.Equal("first"))
	g.Expect(exchange(pool, address, "b")).To(gomega.Equal("second"))
}

// Guards against a late surplus answer that is taken for the one to the next run of the same request.
func TestSurplusAnswerIsNotTakenForNextRunOfRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	var runs atomic.Int32
	address := startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
		type answer struct{ id, body string }
		var earlier []answer
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			for _, late := range earlier {
				respond(conn, late.id, late.body)
			}
			own := answer{id, fmt.Sprint("run ", runs.Add(1))}
			respond(conn, own.id, own.body)
			earlier = []answer{own}
		}
	})
	pool := NewPool(plainDialect{})
	g.Expect(exchange(pool, address, "a")).To(gomega.Equal("run 1"))
	g.Expect(exchange(pool, address, "a")).To(gomega.Equal("run 2"))
	g.Expect(pool.Opened.Load()).To(gomega.BeEquivalentTo(2))
	g.Expect(exchange(pool, address, "b")).To(gomega.Equal("run 3"))
	g.Expect(exchange(pool, address, "c")).To(gomega.Equal("run 4"))
	g.Expect(pool.Opened.Load()).To(gomega.BeEquivalentTo(2), "other requests use the connections that there are")
}

func TestPoolDropsConnectionWithUnreadBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := make(chan struct{}, 8)
	address := startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
		id, err := readRequest(reader)
		if err != nil {
			return
		}
		respond(conn, id, "one")
		time.Sleep(20 * time.Millisecond)
		respond(conn, "surplus", "two")
		sent <- struct{}{}
		_, _ = readRequest(reader)
	})
	pool := NewPool(plainDialect{})
	g.Expect(exchange(pool, address, "a")).To(gomega.Equal("one"))
	<-sent
	time.Sleep(20 * time.Millisecond)
	g.Expect(exchange(pool, address, "b")).To(gomega.Equal("one"))
	g.Expect(pool.Opened.Load()).To(gomega.Equal(int64(2)))
}

func TestExchangeForeignBytesFateUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, bytes := range []string{
		"gibberish\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		strings.Repeat("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n", maxSurplusResponses), "",
	} {
		address := startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
			_, _ = readRequest(reader)
			_, _ = io.WriteString(conn, bytes)
		})
		_, err := exchange(NewPool(plainDialect{}), address, "a")
		g.Expect(fateOf(err)).To(gomega.Equal(FateUnknown), bytes)
	}
}

func TestExchangeTruncatedBody(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, head := range []string{"Content-Length: 100\r\n\r\nshort", "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"} {
		address := startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
			id, _ := readRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n"+head)
		})
		_, err := exchange(NewPool(plainDialect{}), address, "a")
		g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF), head)
	}
}

func TestExchangeConnectionRefusedFateNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := listener.Addr().String()
	listener.Close()
	_, err = exchange(NewPool(plainDialect{}), address, "a")
	g.Expect(fateOf(err)).To(gomega.Equal(FateNotSent))
}

// Proceed must be called only once there is a connection, new or idle.
func TestExchangeProceedErrorOnNewAndIdleConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	received := make(chan string, 8)
	address := startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			received <- id
			respond(conn, id, "ok")
		}
	})
	pool := NewPool(plainDialect{})
	send := func(id string, allowed bool) error {
		response, err := pool.Exchange(context.Background(), address, &Call{ID: id, Method: http.MethodGet, URI: "/", Host: "h", Proceed: func() error {
			g.Expect(pool.idle[poolKey(address, "")]).To(gomega.BeEmpty(), "the idle connection is in use")
			g.Expect(pool.Opened.Load()).To(gomega.BeNumerically(">", 0))
			if !allowed {
				return ErrEngineExcluded
			}
			return nil
		}})
		if err == nil {
			_, err = io.ReadAll(response)
			response.Close()
		}
		return err
	}
	for _, id := range []string{"new", "kept"} {
		err := send(id, false)
		g.Expect(err).To(gomega.MatchError(ErrEngineExcluded))
		g.Expect(fateOf(err)).To(gomega.Equal(FateNotSent))
		g.Expect(send("after "+id, true)).To(gomega.Succeed())
	}
	g.Expect([]string{<-received, <-received}).To(gomega.Equal([]string{"after new", "after kept"}))
	g.Expect(received).To(gomega.BeEmpty())
}

func TestExchangeCancelClosesConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	closed := make(chan struct{})
	address := startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
		id, _ := readRequest(reader)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\n12345", id)
		_, _ = io.Copy(io.Discard, reader)
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	response, err := NewPool(plainDialect{}).Exchange(ctx, address, &Call{ID: "a", Method: http.MethodGet, URI: "/", Host: "h"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	cancel()
	g.Eventually(closed, 5*time.Second).Should(gomega.BeClosed())
	response.Close()
}

func TestPoolDropsConnectionWithUnsentBody(t *testing.T) {
	g := gomega.NewWithT(t)
	address := startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
		received, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		respond(conn, received.Header.Get("Id"), "early") // before the body is read
		time.Sleep(300 * time.Millisecond)
	})
	pool := NewPool(plainDialect{})
	body := make([]byte, 8<<20)
	response, err := pool.Exchange(context.Background(), address, &Call{ID: "a", Method: http.MethodPost, URI: "/", Host: "h", Body: body})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.ReadAll(response)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response.Close()
	g.Expect(pool.idle).To(gomega.BeEmpty())
}

func TestIdleTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(idleTimeout(http.Header{})).To(gomega.Equal(defaultIdleTimeout))
	g.Expect(idleTimeout(http.Header{"Keep-Alive": {"max=5, timeout=3"}})).To(gomega.Equal(3*time.Second - idleMargin))
	g.Expect(idleTimeout(http.Header{"Connection": {"Close"}})).To(gomega.BeZero())
	g.Expect(idleTimeout(http.Header{"Keep-Alive": {"timeout=x"}})).To(gomega.BeZero())
}

// Connected must be called once per connection, with the engine's ID.
func TestPoolReportsOpenedConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	address := startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			respond(conn, id, "x")
		}
	})
	pool := NewPool(plainDialect{})
	var opened []string
	pool.Connected = func(engineID string, took time.Duration) {
		opened = append(opened, engineID)
		g.Expect(took).To(gomega.BeNumerically(">", 0))
	}
	for _, id := range []string{"a", "b"} {
		response, err := pool.Exchange(context.Background(), address, &Call{ID: id, Method: http.MethodGet, URI: "/", Host: "h", Engine: "i-1"})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.ReadAll(response)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		response.Close()
	}
	g.Expect(opened).To(gomega.Equal([]string{"i-1"}))
}

// A body that ends with its connection may be truncated and must not count as framed.
func TestAnswerFramed(t *testing.T) {
	for head, framed := range map[string]bool{
		"Content-Length: 2\r\n\r\nok": true, "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n": true, "Connection: close\r\n\r\nok": false,
	} {
		g := gomega.NewWithT(t)
		address := startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
			id, err := readRequest(reader)
			if err == nil {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s", id, head)
			}
		})
		response, err := NewPool(plainDialect{}).Exchange(t.Context(), address, &Call{ID: "a", Method: "POST", URI: "/", Host: "h"})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		body, err := io.ReadAll(response)
		response.Close()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(body)).To(gomega.Equal("ok"))
		g.Expect(response.Framed).To(gomega.Equal(framed), head)
	}
}
