// Package httpconn has client connections of HTTP/1.1 that tell the end of a response from a reset.
//
// Read of a Conn returns io.EOF only if the peer has ended the connection in order. The kernel reports a reset
// to one system call only: if a write gets it, a read of the same connection sees the end of the data. A
// response without a length would look whole.
package httpconn
