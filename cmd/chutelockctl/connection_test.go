package main

import (
	"io"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/httpconn/httpconntest"
)

// Guards against commands that succeed by an answer whose head isn't valid.
func TestAnswerWithInvalidHeadFailsCommand(t *testing.T) {
	for _, response := range httpconntest.InvalidHeads("Content-Type: application/json\r\n") {
		address := httpconntest.Serve(t, func(c *httpconntest.Conn) bool {
			c.ReadBody()
			_, _ = io.WriteString(c, response.Bytes)
			return true
		})
		client := (&connection{server: "http://" + address}).client()
		answer, err := client.R().Get("/x")
		gomega.NewWithT(t).Expect(responseExitCode("get", answer, err)).To(gomega.Equal(exitUnavailable), response.Name)
	}
}
