// Package httpconntest has servers for tests that write HTTP/1.1 responses byte by byte.
package httpconntest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

const (
	// segmentBytes and receiveBytes keep the buffers of a connection below the size of the uploads in tests, as
	// those of a link between machines are. On loopback they would take several MB.
	segmentBytes = 536
	receiveBytes = 4 << 10
)

// Conn is a server's connection whose request has been read up to the end of its head.
type Conn struct {
	*net.TCPConn
	// Request has a body that is still unread.
	Request *http.Request

	server *server
}

// Reset ends the connection with a reset, which discards what the client has not received.
func (c *Conn) Reset() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Crash ends the server as the kernel does with that of a process that ends: it takes no connections any more, and
// those that there are end.
func (c *Conn) Crash() {
	_ = c.server.listener.Close()
	c.server.closeAll()
}

// ReadBody reads the body to its end.
func (c *Conn) ReadBody() { _, _ = io.Copy(io.Discard, c.Request.Body) }

// Serve starts a server on a free loopback port and returns its address. It calls respond for each request;
// a connection whose respond returns false is closed. The server is closed at the end of the test.
func Serve(t testing.TB, respond func(c *Conn) (keep bool)) (address string) {
	t.Helper()
	limit := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segmentBytes)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
		})
	}}
	listener, err := limit.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{respond: respond, listener: listener, open: map[net.Conn]bool{}}
	s.tasks.Go(s.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		s.closeAll()
		s.tasks.Wait()
	})
	return listener.Addr().String()
}

type server struct {
	respond  func(c *Conn) bool
	listener net.Listener
	tasks    sync.WaitGroup

	mutex  sync.Mutex // guards the fields below; a leaf
	open   map[net.Conn]bool
	closed bool
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.add(conn) {
			s.tasks.Go(func() { s.serve(conn.(*net.TCPConn)) })
		}
	}
}

// add notes an open connection; it closes one that comes after the end.
func (s *server) add(conn net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.open[conn] = true
	return true
}

func (s *server) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	for conn := range s.open {
		_ = conn.Close()
	}
}

func (s *server) serve(conn *net.TCPConn) {
	defer func() {
		_ = conn.Close()
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.open, conn)
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !s.respond(&Conn{TCPConn: conn, Request: request, server: s}) {
			return
		}
	}
}

// ServeWithoutEnd starts a server that answers each request with begin and then with bytes until its connection
// is closed, or twice as many as wanted were sent. It tells how many bytes each connection took.
func ServeWithoutEnd(t testing.TB, begin string, wanted int) (address string, sent <-chan int) {
	t.Helper()
	const blockBytes = 64 << 10
	block, taken := strings.Repeat("m", blockBytes), make(chan int, 1)
	return Serve(t, func(c *Conn) bool {
		_, err := io.WriteString(c, begin)
		total := 0
		for err == nil && total < 2*wanted {
			var n int
			n, err = io.WriteString(c, block)
			total += n
		}
		taken <- total
		return false
	}), taken
}
