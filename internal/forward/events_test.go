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
	reader := NewEventReader(iotest.OneByteReader(strings.NewReader(body)), Memory{})
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
		_, err := NewEventReader(strings.NewReader(body), Memory{}).Next()
		g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF), body)
	}
}

func TestEventReaderRejectsOverlongEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := NewEventReader(strings.NewReader(strings.Repeat("data: x\n", maxEventBytes/8+2)), Memory{}).Next()
	g.Expect(err).To(gomega.MatchError(errEventTooLong))
}

// Guards against a line without end that is collected as long as it comes.
func TestEventReaderGivesUpLineWithoutEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, begin := range []string{"", "data: ", "id: 1\ndata: "} {
		body := &countingReader{reader: io.MultiReader(strings.NewReader(begin), endless("x"))}
		_, err := NewEventReader(io.LimitReader(body, 4*maxEventBytes), Memory{}).Next()
		g.Expect(err).To(gomega.MatchError(errEventTooLong), begin)
		g.Expect(body.count).To(gomega.BeNumerically("<=", maxEventBytes+8<<10), "it must be given up at the bound")
	}
}

func TestEventReaderReadsEventUpToBound(t *testing.T) {
	g := gomega.NewWithT(t)
	long := "data: " + strings.Repeat("x", maxEventBytes-len("data: \n\n")) + "\n\n"
	reader := NewEventReader(strings.NewReader(long+"id: 2\n\n"+"x"+long), Memory{})
	event, err := reader.Next()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(event.Raw)).To(gomega.Equal(long))
	g.Expect(event.Data).To(gomega.HaveLen(len(long) - len("data: \n\n")))
	event, err = reader.Next()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(event.ID).To(gomega.BeEquivalentTo(2))
	_, err = reader.Next()
	g.Expect(err).To(gomega.MatchError(errEventTooLong))
}

// endless repeats a text without end.
type endless string

func (e endless) Read(buffer []byte) (int, error) {
	return copy(buffer, strings.Repeat(string(e), len(buffer)/len(e)+1)), nil
}

// countingReader counts the bytes read.
type countingReader struct {
	reader io.Reader
	count  int
}

func (r *countingReader) Read(buffer []byte) (int, error) {
	n, err := r.reader.Read(buffer)
	r.count += n
	return n, err
}
