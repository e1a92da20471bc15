package upstream

import (
	"errors"
	"io"
	"math"
	"net/http"
)

// maxHeadBytes bounds a response's head. Engines send a few hundred bytes, header lines take several times
// their size in memory, and many heads are read at a time.
const maxHeadBytes = 32 << 10

// errHeadTooLong reports a head that is longer than maxHeadBytes.
var errHeadTooLong = errors.New("the response's head is too long")

// boundedReader fails once left bytes were read.
type boundedReader struct {
	io.Reader
	left int
}

// Read implements io.Reader.
func (r *boundedReader) Read(buffer []byte) (int, error) {
	if r.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.Reader.Read(buffer[:min(len(buffer), r.left)])
	r.left -= n
	return n, err
}

// readResponse reads a response's head.
func (c *connection) readResponse(request *http.Request) (*http.Response, error) {
	c.source.left = maxHeadBytes - c.reader.Buffered()
	defer func() { c.source.left = math.MaxInt }()
	response, err := http.ReadResponse(c.reader, request)
	if err != nil && c.source.left <= 0 {
		err = errHeadTooLong // the parser takes what was read of the last line for the line
	}
	return response, err
}
