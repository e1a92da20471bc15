package upstream

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

var errInvalidPath = errors.New("the health path is not a path")

// Probe sends a health request to the engine at address and returns the facts of the
// response's head. It says nothing about requests that run there.
func (p *Pool) Probe(ctx context.Context, address, engineID, path string) (Facts, error) {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, " \t\r\n") {
		return Facts{}, &Error{Fate: FateNotSent, Step: "path", Peer: address, Cause: errInvalidPath}
	}
	conn, err := p.get(ctx, address, engineID, "")
	if err != nil {
		return Facts{}, &Error{Fate: FateNotSent, Step: "dial", Peer: address, Cause: err}
	}
	stopCancel := context.AfterFunc(ctx, func() { conn.Close() })
	response, step, err := probe(conn, address, path)
	if !stopCancel() && err == nil {
		step, err = "head", ctx.Err()
	}
	if err != nil {
		conn.Close()
		return Facts{}, &Error{Fate: FateUnknown, Step: step, Peer: address, Cause: err}
	}
	restoreConnectionHeader(response)
	p.release(conn, response.Header)
	return p.dialect.Facts(response.StatusCode, response.Header), nil
}

func probe(conn *connection, host, path string) (response *http.Response, step string, err error) {
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, host); err != nil {
		return nil, "send", err
	}
	if err := conn.expectHead(); err != nil {
		return nil, "head", err
	}
	for range maxSurplusResponses {
		if response, err = conn.readHead(&http.Request{Method: http.MethodGet}); err != nil {
			return nil, "head", err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if err := skipBody(response); err != nil {
			return nil, "body", err
		}
		return response, "", nil
	}
	return nil, "head", errForeignResponse
}
