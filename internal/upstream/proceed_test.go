package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Proceed is asked once the connection stands; where it fails not a byte goes out, and the
// connection serves the next request.
func TestARequestThatMayNotProceedIsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	served := make(chan string, 4)
	address := engine(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			id, err := request(reader)
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
	for _, proceed := range []error{refusal, nil, refusal, nil} {
		answer, err := pool.Exchange(ctx, address, &Call{ID: "r", Method: "GET", URI: "/", Proceed: func() error { return proceed }})
		if proceed == nil {
			g.Expect(err).NotTo(gomega.HaveOccurred())
			buffer := make([]byte, 8)
			_, _ = answer.Read(buffer)
			answer.Close()
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
