package upstream

import (
	"io"
	"net/http"

	"chutelock.dev/chutelock/internal/httpconn"
)

// expectHead makes the connection check the next response's head, and the interim ones before it, as they are
// read.
func (c *connection) expectHead() error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.ExpectHead(buffered)
}

// readHead reads a head.
func (c *connection) readHead(request *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(c.reader, request)
	if invalid := c.HeadErr(); err != nil && invalid != nil {
		return nil, invalid // the parser takes what was read of the last line for the line
	}
	return response, err
}

// skipBody reads the body of a response that isn't needed, so that another one can follow it.
func skipBody(response *http.Response) error {
	skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBody))
	switch {
	case err != nil:
		return err
	case skipped == maxSurplusBody:
		return errForeignResponse
	}
	return httpconn.CheckTrailer(response.Trailer)
}
