package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/httpconn/httpconntest"
)

// rounds returns how often a case is played that takes so long: which of two system calls meets a reset is
// decided by chance.
func rounds(pause time.Duration) int {
	if pause >= 100*time.Millisecond {
		return 8
	}
	return 20
}

// upload exchanges a request with a body of so many bytes, and reads the response to its end.
func upload(address string, size int) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := NewPool(plainDialect{}).Exchange(ctx, address,
		&Call{ID: "a", Method: http.MethodPost, URI: "/x", Host: "h", Body: bytes.Repeat([]byte("b"), size)})
	if err != nil {
		return 0, "", err
	}
	defer response.Close()
	read, err := io.ReadAll(response)
	return response.Status, string(read), err
}

// Guards against a part of a response that passes for the whole, as its connection was reset while the
// request was still being written.
func TestResponseResetDuringUploadIsNotWhole(t *testing.T) {
	for _, size := range []int{24 << 10, 100 << 10, 1 << 20, 8 << 20} {
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
			for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond} {
				t.Run(fmt.Sprint(size>>10, "KiB/", status, "/", pause), func(t *testing.T) {
					t.Parallel()
					address := httpconntest.Serve(t, func(c *httpconntest.Conn) bool {
						fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: a\r\n\r\npart of the body", status)
						time.Sleep(pause)
						c.Reset()
						return false
					})
					whole := 0
					for range rounds(pause) {
						if _, _, err := upload(address, size); err == nil {
							whole++
						}
					}
					gomega.NewWithT(t).Expect(whole).To(gomega.BeZero(), "of %d responses", rounds(pause))
				})
			}
		}
	}
}

// Guards against whole responses that are discarded because they came before the end of the request.
func TestWholeResponseDuringUploadStaysWhole(t *testing.T) {
	const (
		body     = "the whole body"
		lateRead = 200 * time.Millisecond
	)
	unframed := func(c *httpconntest.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\n%s", body)
		_ = c.CloseWrite()
	}
	for name, respond := range map[string]func(c *httpconntest.Conn){
		"length": func(c *httpconntest.Conn) { respond(c, "a", body) },
		"chunked": func(c *httpconntest.Conn) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
		"no length, then the request is read": func(c *httpconntest.Conn) {
			unframed(c)
			c.ReadBody()
		},
		"no length, then the request is read late": func(c *httpconntest.Conn) {
			unframed(c)
			time.Sleep(lateRead)
			c.ReadBody()
		},
		"no length, then the request isn't read": func(c *httpconntest.Conn) {
			unframed(c)
			time.Sleep(lateRead)
		},
		"no length, then a reset behind the end": func(c *httpconntest.Conn) {
			unframed(c)
			c.Reset()
		},
	} {
		for _, size := range []int{24 << 10, 1 << 20} {
			t.Run(name+"/"+strconv.Itoa(size>>10)+"KiB", func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				address := httpconntest.Serve(t, func(c *httpconntest.Conn) bool {
					respond(c)
					return false
				})
				for range rounds(lateRead) {
					status, got, err := upload(address, size)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(status).To(gomega.Equal(http.StatusOK))
					g.Expect(got).To(gomega.Equal(body))
				}
			})
		}
	}
}
