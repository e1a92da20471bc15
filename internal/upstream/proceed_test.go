package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A call whose Proceed fails must not be sent, and its connection must serve the next request.
func TestExchangeProceedErrorKeepsConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	served := make(chan string, 4)
	address := startEngine(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			served <- id
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"))
		}
	})
	pool := NewPool(plainDialect{})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	refusal := errors.New("not now")
	for i, proceed := range []error{refusal, nil, refusal, nil} {
		response, err := pool.Exchange(ctx, address, &Call{ID: fmt.Sprint("r", i), Method: "GET", URI: "/", Proceed: func() error { return proceed }})
		if proceed == nil {
			g.Expect(err).NotTo(gomega.HaveOccurred())
			buffer := make([]byte, 8)
			_, _ = response.Read(buffer)
			response.Close()
			continue
		}
		var failure *Error
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		g.Expect(failure.Fate).To(gomega.Equal(FateNotSent))
		g.Expect(errors.Is(err, refusal)).To(gomega.BeTrue())
	}
	g.Expect(served).To(gomega.HaveLen(2))
	g.Expect(pool.Opened.Load()).To(gomega.BeEquivalentTo(1))
}
