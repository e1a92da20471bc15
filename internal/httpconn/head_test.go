package httpconn

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/httpconn/httpconntest"
)

// checkParts checks bytes that come in parts of the given size.
func checkParts(read []byte, size int) error {
	var h headChecker
	h.begin()
	for len(read) > 0 {
		part := read[:min(size, len(read))]
		read = read[len(part):]
		if err := h.check(part); err != nil {
			return err
		}
	}
	return nil
}

func TestCheckerFindsInvalidHeadsInPartsOfAnySize(t *testing.T) {
	for _, response := range httpconntest.InvalidHeads("A: b\r\n") {
		for _, size := range []int{1, 2, 7, 1 << 10} {
			gomega.NewWithT(t).Expect(checkParts([]byte(response.Bytes), size)).To(gomega.MatchError(ErrInvalidHead), "%s in parts of %d", response.Name, size)
		}
	}
}

// Guards against a checker that takes bytes of a body for a head.
func TestCheckerAcceptsValidHeadsAndAnyBody(t *testing.T) {
	for _, response := range httpconntest.ValidHeads("A: b\r\n") {
		for _, size := range []int{1, 2, 7, 1 << 10} {
			bytes := append([]byte(response.Bytes), "\r\n no head \x00:\n\n"+strings.Repeat("x", 2*MaxHeadBytes)...)
			gomega.NewWithT(t).Expect(checkParts(bytes, size)).To(gomega.Succeed(), "%s in parts of %d", response.Name, size)
		}
	}
}

func TestCheckerBoundsHeads(t *testing.T) {
	g := gomega.NewWithT(t)
	const first, last = "HTTP/1.1 200 OK\r\n", "\r\n\r\n"
	head := func(size int) []byte {
		return []byte(first + "A:" + strings.Repeat("x", size-len(first)-len("A:")-len(last)) + last)
	}
	for _, size := range []int{1, 1000, 1 << 20} {
		g.Expect(checkParts(head(MaxHeadBytes), size)).To(gomega.Succeed())
		g.Expect(checkParts(head(MaxHeadBytes+1), size)).To(gomega.MatchError(ErrHeadTooLong))
		g.Expect(checkParts(append(bytes.Repeat([]byte("HTTP/1.1 102 \r\n\r\n"), 10_000), head(MaxHeadBytes)...), size)).To(gomega.Succeed(), "each head has the bound")
	}
}

// What the checker accepts has a status and names that the parser reads as they are.
func FuzzChecker(f *testing.F) {
	for _, response := range append(httpconntest.InvalidHeads("A: b\r\n"), httpconntest.ValidHeads("A: b\r\n")...) {
		f.Add([]byte(response.Bytes), uint8(3))
	}
	f.Fuzz(func(t *testing.T, read []byte, size uint8) {
		err := checkParts(read, len(read)+1)
		if inParts := checkParts(read, int(size)+1); (inParts == nil) != (err == nil) {
			t.Fatalf("%v in one part, %v in parts of %d", err, inParts, size+1)
		}
		response, parseErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(read)), nil)
		if err != nil || parseErr != nil {
			return
		}
		if response.StatusCode < 100 || response.StatusCode > 599 {
			t.Fatalf("status %d", response.StatusCode)
		}
		for name := range response.Header {
			if strings.ContainsAny(name, " \t\x00") || name == "" {
				t.Fatalf("name %q", name)
			}
		}
	})
}
