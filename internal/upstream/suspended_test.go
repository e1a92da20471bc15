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

// A connection that rested while the machine was suspended may be closed at the other end,
// whose close is still on its way: a request that can't be repeated would be lost on it.
func TestAConnectionDoesNotRestLongerForASuspension(t *testing.T) {
	var opened atomic.Int32
	address := engine(t, func(conn net.Conn, reader *bufio.Reader) {
		opened.Add(1)
		for {
			id, err := request(reader)
			if err != nil {
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
		}
	})
	pool := NewPool(plainDialect{})
	exchange := func(id string) {
		t.Helper()
		answer, err := pool.Exchange(t.Context(), address, &Call{ID: id, Method: "POST", URI: "/", Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		for buffer := make([]byte, 16); err == nil; {
			_, err = answer.Read(buffer)
		}
		answer.Close()
	}
	exchange("a")
	exchange("b")
	if opened.Load() != 1 {
		t.Fatalf("%d connections, the first didn't rest", opened.Load())
	}
	clock.Skip(time.Minute)
	defer clock.Skip(-time.Minute)
	exchange("c")
	if opened.Load() != 2 {
		t.Error("a connection was used after its time")
	}
}
