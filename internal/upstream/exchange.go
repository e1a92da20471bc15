package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/httpconn"
)

const (
	// maxSurplusBody bounds the body of a skipped response to another request.
	maxSurplusBody = 1 << 20
	// maxSurplusResponses bounds the responses read in search of the request's own.
	maxSurplusResponses = 4
	// maxDirectWrite is the size up to which a request is written before its response is
	// read; it fits the smallest socket buffers.
	maxDirectWrite = 16 << 10
	// writeGracePeriod is how long the request's body may still take to write after the
	// response is complete, before the connection is closed.
	writeGracePeriod = 20 * time.Millisecond
)

// errForeignResponse reports received bytes that are no response to the request.
var errForeignResponse = errors.New("received data is not a response to this request")

// Response is an engine's response with its body still unread. It must be closed.
type Response struct {
	Status int
	Header http.Header
	Facts
	// Length is the body's length, or -1.
	Length int64
	// Framed reports a body of known length or in chunks. Without either, a crash of the
	// engine looks like the end of the body.
	Framed bool

	pool       *Pool
	conn       *connection
	message    *http.Response // whose trailer is known once its body is read
	written    <-chan error
	stopCancel func() bool
	complete   bool
	readFailed bool
}

// Exchange sends a call to the engine at address and returns its response once the head is
// read. The connection is closed when ctx ends, also while the body is read.
func (p *Pool) Exchange(ctx context.Context, address string, call *Call) (*Response, error) {
	conn, err := p.get(ctx, address, call.Engine, call.ID)
	if err != nil {
		return nil, &Error{Fate: FateNotSent, Step: "dial", Peer: address, Cause: err}
	}
	if err := ctx.Err(); err != nil {
		conn.Close()
		return nil, &Error{Fate: FateNotSent, Step: "dial", Peer: address, Cause: err}
	}
	if err := call.checkProceed(); err != nil {
		p.releaseUnused(conn)
		return nil, &Error{Fate: FateNotSent, Step: "proceed", Peer: address, Cause: err}
	}
	stopCancel := context.AfterFunc(ctx, func() { conn.Close() })
	response, step, err := p.exchange(conn, call)
	if err != nil {
		stopCancel()
		conn.Close()
		return nil, &Error{Fate: FateUnknown, Step: step, Peer: address, Cause: err}
	}
	response.stopCancel = stopCancel
	return response, nil
}

func (p *Pool) exchange(conn *connection, call *Call) (response *Response, step string, err error) {
	message := p.encode(call)
	conn.serves(call.ID)
	written := make(chan error, 1)
	if len(message) <= maxDirectWrite {
		_, err := conn.Write(message)
		if err != nil {
			return nil, "send", err
		}
		written <- nil
	} else {
		go func() {
			_, err := conn.Write(message)
			written <- err
		}()
	}
	response, err = p.readHead(conn, call)
	if err != nil {
		return nil, "head", err
	}
	response.written = written
	return response, "", nil
}

// readHead reads response heads until one belongs to the call.
func (p *Pool) readHead(conn *connection, call *Call) (*Response, error) {
	request := &http.Request{Method: call.Method}
	if err := conn.expectHead(); err != nil {
		return nil, err
	}
	for range maxSurplusResponses {
		response, err := conn.readHead(request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		facts := p.dialect.Facts(response.StatusCode, response.Header)
		switch {
		case facts.ID == call.ID || (facts.ID == "" && facts.NotRun):
			restoreConnectionHeader(response)
			return &Response{
				Status: response.StatusCode, Header: response.Header, Facts: facts, Length: response.ContentLength,
				Framed: response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
				pool:   p, conn: conn, message: response,
			}, nil
		case facts.ID == "":
			return nil, errForeignResponse
		}
		if err := skipBody(response); err != nil {
			return nil, err
		}
		if err := conn.expectHead(); err != nil {
			return nil, err
		}
	}
	return nil, errForeignResponse
}

// restoreConnectionHeader puts back the Connection header, which the parser removes and
// idleTimeout needs.
func restoreConnectionHeader(response *http.Response) {
	if response.Close {
		response.Header.Set("Connection", "close")
	}
}

// Read implements io.Reader for the body. It returns io.EOF only if the body is complete.
func (r *Response) Read(buffer []byte) (int, error) {
	n, err := r.message.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		if invalid := httpconn.CheckTrailer(r.message.Trailer); invalid != nil {
			err = invalid
		}
	}
	switch {
	case errors.Is(err, io.EOF):
		r.complete = true
	case err != nil:
		r.readFailed = true
	}
	return n, err
}

// SetReadDeadline sets the deadline for reading the body.
func (r *Response) SetReadDeadline(at time.Time) { _ = r.conn.SetReadDeadline(at) }

// Close ends the exchange. The connection is kept if the response was read and the request
// written completely; else it is closed, which tells the engine to stop.
func (r *Response) Close() {
	notCanceled := r.stopCancel()
	if !r.complete || r.readFailed || !notCanceled || !r.requestSent() {
		r.conn.Close()
		return
	}
	r.pool.release(r.conn, r.Header)
}

// requestSent reports whether the whole request was written, and waits briefly for it.
func (r *Response) requestSent() bool {
	timer := time.NewTimer(writeGracePeriod)
	defer timer.Stop()
	select {
	case err := <-r.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// encode returns the request in wire format.
func (p *Pool) encode(call *Call) []byte {
	header := p.dialect.Header(call, clock.Now())
	message := bytes.NewBuffer(make([]byte, 0, 1024+len(call.Body)))
	fmt.Fprintf(message, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.URI, call.Host)
	names := make([]string, 0, len(header))
	for name := range header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, value := range header[name] {
			message.WriteString(name)
			message.WriteString(": ")
			message.WriteString(strings.TrimSpace(value))
			message.WriteString("\r\n")
		}
	}
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut {
		message.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	message.WriteString("\r\n")
	message.Write(call.Body)
	return message.Bytes()
}
