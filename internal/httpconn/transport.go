package httpconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// DialFunc opens connections, as net.Dialer's DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that opens connections of type Conn by dial.
func Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// Transport is an http.RoundTripper that sends by HTTP, whose DialContext must be one of Dialer and whose
// MaxResponseHeaderBytes should be MaxHeadBytes. Heads aren't checked where TLS is used.
type Transport struct{ HTTP *http.Transport }

// NewTransport returns a transport with the defaults of package net/http.
func NewTransport() *Transport {
	base := http.DefaultTransport.(*http.Transport).Clone()
	base.DialContext = Dialer(base.DialContext)
	base.MaxResponseHeaderBytes = MaxHeadBytes
	return &Transport{HTTP: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn]
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*Conn); ok {
			used.Store(conn)
			_ = conn.ExpectHead(nil) // none of it has been read
		}
	}})
	response, err := t.HTTP.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, withHeadErr(err, used.Load())
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		response.Body = &checkedBody{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

// withHeadErr adds why the head on a connection isn't valid; conn is nil if none was used.
func withHeadErr(err error, conn *Conn) error {
	if conn == nil {
		return err
	}
	if invalid := conn.HeadErr(); invalid != nil {
		return fmt.Errorf("%w: %w", invalid, err)
	}
	return err
}

// CloseIdleConnections closes connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.HTTP.CloseIdleConnections() }

// checkedBody is a body that ends well only with a valid trailer.
type checkedBody struct {
	io.ReadCloser
	response *http.Response // whose trailer is known once the body is read
}

// Read implements io.Reader.
func (b *checkedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		if invalid := CheckTrailer(b.response.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}
