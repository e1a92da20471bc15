package forward

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/onsi/gomega"
)

func TestEventReaderReadsWholeEvents(t *testing.T) {
	g := gomega.NewWithT(t)
	body := "weights-version: 2\nid: 7\ndata: one\ndata: two\n\r\nid:8\ndata\n\n"
	reader := NewEventReader(iotest.OneByteReader(strings.NewReader(body)))
	first, err := reader.Next()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(first.Raw)).To(gomega.Equal("weights-version: 2\nid: 7\ndata: one\ndata: two\n\r\n"))
	g.Expect(first.ID).To(gomega.Equal(uint64(7)))
	g.Expect(string(first.Data)).To(gomega.Equal("one\ntwo"))
	second, err := reader.Next()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(second.ID).To(gomega.Equal(uint64(8)))
	g.Expect(second.Data).To(gomega.BeEmpty())
	_, err = reader.Next()
	g.Expect(err).To(gomega.MatchError(io.EOF))
}

func TestEventReaderRejectsTruncatedEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, body := range []string{"id: 1", "id: 1\ndata: x\n"} {
		_, err := NewEventReader(strings.NewReader(body)).Next()
		g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF), body)
	}
}

func TestEventReaderRejectsOverlongEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := NewEventReader(strings.NewReader(strings.Repeat("data: x\n", maxEventBytes/8+2))).Next()
	g.Expect(err).To(gomega.MatchError(errEventTooLong))
}
