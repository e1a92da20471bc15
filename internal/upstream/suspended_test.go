package upstream

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"chutelock.dev/chutelock/internal/clock"
)

// After a suspension the engine may have closed an idle connection; a request sent on it that
// can't be repeated would be lost.
func TestPoolIdleTimeoutCountsSuspension(t *testing.T) {
	var opened atomic.Int32
	address := startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
		opened.Add(1)
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
		}
	})
	pool := NewPool(plainDialect{})
	exchange := func(id string) {
		t.Helper()
		response, err := pool.Exchange(t.Context(), address, &Call{ID: id, Method: "POST", URI: "/", Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		for buffer := make([]byte, 16); err == nil; {
			_, err = response.Read(buffer)
		}
		response.Close()
	}
	exchange("a")
	exchange("b")
	if opened.Load() != 1 {
		t.Fatalf("opened %d connections, want 1 that is reused", opened.Load())
	}
	clock.SimulateSuspension(time.Minute)
	defer clock.SimulateSuspension(-time.Minute)
	exchange("c")
	if opened.Load() != 2 {
		t.Error("a connection was reused after its idle timeout")
	}
}
