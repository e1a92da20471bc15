package upstream

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/httpconn/httpconntest"
)

// answerWith starts an engine that reads each request and answers with bytes, and keeps the connection.
func answerWith(t *testing.T, bytes string) (address string) {
	return httpconntest.Serve(t, func(c *httpconntest.Conn) bool {
		c.ReadBody()
		_, _ = io.WriteString(c, bytes)
		return true
	})
}

// readWithin exchanges a request and reads its response; late reports that time was over before.
func readWithin(t *testing.T, address string) (body string, late bool, err error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	response, err := NewPool(plainDialect{}).Exchange(ctx, address, &Call{ID: "a", Method: http.MethodPost, URI: "/x", Host: "h"})
	if err == nil {
		defer response.Close()
		var read []byte
		read, err = io.ReadAll(response)
		body = string(read)
	}
	return body, ctx.Err() != nil, err
}

// Guards against responses whose head isn't valid and that callers get, or that hold their request until its
// deadline; also those behind a late response to another request.
func TestResponseWithInvalidHeadFailsAtOnce(t *testing.T) {
	const surplus = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nlate"
	for name, before := range map[string]string{"first": "", "behind another": surplus} {
		for _, response := range httpconntest.InvalidHeads("Id: a\r\n") {
			t.Run(name+"/"+response.Name, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				body, late, err := readWithin(t, answerWith(t, before+response.Bytes))
				g.Expect(err).To(gomega.HaveOccurred(), "read %q", body)
				g.Expect(late).To(gomega.BeFalse(), "it must be known at once")
				g.Expect(fateOf(err)).To(gomega.Equal(FateUnknown))
			})
		}
	}
}

// Guards against health responses whose head isn't valid and that count.
func TestProbeWithInvalidHeadFailsAtOnce(t *testing.T) {
	for _, response := range httpconntest.InvalidHeads("Id: a\r\n") {
		t.Run(response.Name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := NewPool(plainDialect{}).Probe(ctx, answerWith(t, response.Bytes), "e", "/health")
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "it must be known at once")
		})
	}
}

// Guards against responses that pass for whole though what ends them isn't valid.
func TestResponseWithInvalidTrailerIsNotWhole(t *testing.T) {
	for _, response := range httpconntest.InvalidTrailers("Id: a\r\n") {
		t.Run(response.Name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			body, late, err := readWithin(t, answerWith(t, response.Bytes))
			g.Expect(err).To(gomega.HaveOccurred(), "read %q", body)
			g.Expect(late).To(gomega.BeFalse(), "it must be known at once")
		})
	}
}

func TestResponseWithUnusualHeadIsRead(t *testing.T) {
	for _, response := range httpconntest.ValidHeads("Id: a\r\n") {
		t.Run(response.Name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			body, _, err := readWithin(t, answerWith(t, response.Bytes))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.Equal("body"))
		})
	}
}
