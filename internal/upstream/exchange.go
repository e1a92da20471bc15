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
)

const (
	// surplusMost bounds the body of an answer to another request that is
	// skipped to reach the awaited one.
	surplusMost = 1 << 20
	// surplusAnswers bounds how many are skipped.
	surplusAnswers = 4
	// directWrite is the size up to which a request is written before its
	// answer is read; it fits the smallest socket buffers.
	directWrite = 16 << 10
	// writeGrace is how long the rest of a request's body may take after its
	// answer is complete, before the connection is given up.
	writeGrace = 20 * time.Millisecond
)

// errForeign says that what came is no answer to the request.
var errForeign = errors.New("bytes that are no answer to this request")

// Answer is the head of an engine's answer; its body is still to be read. It
// must be closed.
type Answer struct {
	Status int
	Header http.Header
	Facts
	// Length is the body's length, or -1.
	Length int64
	// Framed says that the body's end is told. Without that the end of its engine looks
	// like the end of the answer.
	Framed bool

	pool    *Pool
	conn    *connection
	body    io.ReadCloser
	written <-chan error
	release func() bool
	whole   bool
	dead    bool
}

// Exchange sends a call to the engine at address, and returns the head of its
// answer. The connection is closed as soon as ctx ends, also while the answer
// is read.
func (p *Pool) Exchange(ctx context.Context, address string, call *Call) (*Answer, error) {
	conn, err := p.take(ctx, address, call.Engine)
	if err != nil {
		return nil, &Error{Fate: FateNotSent, Step: "dial", Peer: address, Cause: err}
	}
	if err := ctx.Err(); err != nil {
		conn.Close()
		return nil, &Error{Fate: FateNotSent, Step: "dial", Peer: address, Cause: err}
	}
	if err := call.mayProceed(); err != nil {
		p.putBack(conn)
		return nil, &Error{Fate: FateNotSent, Step: "proceed", Peer: address, Cause: err}
	}
	release := context.AfterFunc(ctx, func() { conn.Close() })
	answer, step, err := p.exchange(conn, call)
	if err != nil {
		release()
		conn.Close()
		return nil, &Error{Fate: FateUnknown, Step: step, Peer: address, Cause: err}
	}
	answer.release = release
	return answer, nil
}

func (p *Pool) exchange(conn *connection, call *Call) (answer *Answer, step string, err error) {
	message := p.encode(call)
	written := make(chan error, 1)
	if len(message) <= directWrite {
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
	answer, err = p.readHead(conn, call)
	if err != nil {
		return nil, "head", err
	}
	answer.written = written
	return answer, "", nil
}

// readHead reads heads until one belongs to the call.
func (p *Pool) readHead(conn *connection, call *Call) (*Answer, error) {
	request := &http.Request{Method: call.Method}
	for range surplusAnswers {
		response, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		facts := p.dialect.Facts(response.StatusCode, response.Header)
		switch {
		case facts.ID == call.ID || (facts.ID == "" && facts.NotRun):
			restoreFraming(response)
			return &Answer{
				Status: response.StatusCode, Header: response.Header, Facts: facts, Length: response.ContentLength,
				Framed: response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
				pool:   p, conn: conn, body: response.Body,
			}, nil
		case facts.ID == "":
			return nil, errForeign
		}
		if err := skipBody(response); err != nil {
			return nil, err
		}
	}
	return nil, errForeign
}

func skipBody(response *http.Response) error {
	skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, surplusMost))
	if err == nil && skipped == surplusMost {
		return errForeign
	}
	return err
}

// restoreFraming undoes what the parser takes out of the header and what this
// side needs to know when a connection may rest.
func restoreFraming(response *http.Response) {
	if response.Close {
		response.Header.Set("Connection", "close")
	}
}

// Read implements io.Reader: it reads the body. io.EOF means that the body is
// whole; anything else that it is not.
func (a *Answer) Read(buffer []byte) (int, error) {
	n, err := a.body.Read(buffer)
	if errors.Is(err, io.EOF) {
		a.whole = true
	} else if err != nil {
		a.dead = true
	}
	return n, err
}

// SetReadDeadline bounds the next reads of the body.
func (a *Answer) SetReadDeadline(at time.Time) { _ = a.conn.SetReadDeadline(at) }

// Close ends the exchange. The connection rests if the answer was read whole
// and the request is out; else it is closed, which tells the engine to stop.
func (a *Answer) Close() {
	stillOwned := a.release()
	if !a.whole || a.dead || !stillOwned || !a.sent() {
		a.conn.Close()
		return
	}
	a.pool.put(a.conn, a.Header)
}

// sent says whether the whole request is out, and waits a moment for it.
func (a *Answer) sent() bool {
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-a.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// encode writes the request as it goes over the wire.
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
