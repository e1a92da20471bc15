// Package httpconn has client connections of HTTP/1.1 that fail where a response isn't valid, or isn't
// whole, and the parser of net/http doesn't notice.
//
// Conn checks each response's head byte by byte as it is read, before it is parsed: net/http accepts status
// codes like 000, and ignores or joins lines whose name has a blank. Its Read returns io.EOF only if the peer
// has ended the connection in order. The kernel reports a reset to one system call only: if a write gets it,
// a read of the same connection sees the end of the data. A response without a length would look whole.
//
// Transport is an http.RoundTripper on such connections, for clients of package net/http.
package httpconn
