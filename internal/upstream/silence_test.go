package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
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
