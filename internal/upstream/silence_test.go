package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against requests ended, after they were sent in part, as their engine read nothing for a second
// or so.
func TestSilenceWhileRequestIsSentEndsNoExchange(t *testing.T) {
	t.Parallel()
	const silence = 1800 * time.Millisecond
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	address := startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
		time.Sleep(silence)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if got, err := io.ReadAll(request.Body); err != nil || !bytes.Equal(got, body) {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", request.Header.Get("Id"))
	})
	response, err := NewPool(plainDialect{}).Exchange(t.Context(), address, &Call{ID: "a", Method: "POST", URI: "/", Host: "h", Body: body})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	if got, err := io.ReadAll(response); err != nil || string(got) != "ok" {
		t.Errorf("got %q, %v, want ok", got, err)
	}
}

// Guards against a request that is held by an engine that reads nothing for good.
func TestDarkEngineEndsExchangeThatIsSent(t *testing.T) {
	t.Parallel()
	address := startEngine(t, func(net.Conn, *bufio.Reader) { <-t.Context().Done() })
	call := &Call{ID: "a", Method: "POST", URI: "/", Host: "h", Body: make([]byte, 16<<20)}
	ctx, cancel := context.WithTimeout(t.Context(), 2*ackTimeout)
	defer cancel()
	if response, err := NewPool(plainDialect{}).Exchange(ctx, address, call); err == nil {
		response.Close()
		t.Error("got a response")
	}
	if ctx.Err() != nil {
		t.Error("the exchange has not ended by itself")
	}
}

// Guards against idle connections that are kept as long as ones with a request.
func TestIdleConnectionsEndSooner(t *testing.T) {
	address := startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			respond(conn, id, "ok")
		}
	})
	pool := NewPool(plainDialect{})
	timeout := func(c *connection) (value time.Duration) {
		raw, err := c.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		_ = raw.Control(func(fd uintptr) {
			ms, _ := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			value = time.Duration(ms) * time.Millisecond
		})
		return value
	}
	for range 2 {
		conn, err := pool.get(t.Context(), address, "e", "")
		if err != nil {
			t.Fatal(err)
		}
		if got := timeout(conn); got != ackTimeout {
			t.Errorf("with a request: %v, want %v", got, ackTimeout)
		}
		pool.release(conn, nil)
		if got := timeout(conn); got != idleAckTimeout {
			t.Errorf("idle: %v, want %v", got, idleAckTimeout)
		}
	}
	if pool.Opened.Load() != 1 {
		t.Errorf("opened %d connections, want 1", pool.Opened.Load())
	}
}
