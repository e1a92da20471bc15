// Package transport carries messages between chutelock's own processes over
// TCP (calls and ordered one-way messages) and UDP (datagrams).
//
// The payloads belong to the concerns that send them; transport only frames,
// authenticates and delivers. A call is answered at most once. A one-way
// message or datagram may be lost; one-way messages to one peer keep their
// order while the connection lasts.
package transport

import (
	"context"
	"errors"
	"fmt"
)

// Address is a peer's "ip:port". TCP and UDP use the same port.
type Address string

// Kind names a message type. Each concern owns a range of 256.
type Kind uint16

// The ranges of message kinds, one for each concern.
const (
	KindLedger     Kind = 0x0100
	KindJobs       Kind = 0x0200
	KindSettings   Kind = 0x0300
	KindMembership Kind = 0x0400
	KindFleet      Kind = 0x0500
	KindNode       Kind = 0x0600
	KindMirror     Kind = 0x0700
	KindBatch      Kind = 0x0800
	KindLoad       Kind = 0x0900
	KindSlowStart  Kind = 0x0a00
	KindPoison     Kind = 0x0b00
)

// CallHandler answers a call. It runs on the transport's worker pool and may
// block; ctx ends when the caller's deadline passes or the connection breaks.
// An error reaches the caller as a *RemoteError.
type CallHandler func(ctx context.Context, from Address, payload []byte) ([]byte, error)

// MessageHandler takes a one-way message or datagram. It must not block.
// The payload is the handler's to keep.
type MessageHandler func(from Address, payload []byte)

// Sender sends to peers. All methods may be called concurrently.
type Sender interface {
	// Call sends a request and waits for its answer or the end of ctx. An
	// error that is not a *RemoteError leaves open whether the peer acted.
	Call(ctx context.Context, to Address, kind Kind, payload []byte) ([]byte, error)
	// Send queues an ordered one-way message; it never blocks and drops the
	// message when the peer's queue is full or the peer can't be reached.
	Send(to Address, kind Kind, payload []byte)
	// Datagram sends one UDP packet of at most MaxDatagram bytes of payload.
	Datagram(to Address, kind Kind, payload []byte) error
}

// Receiver registers handlers; all must be registered before Serve.
type Receiver interface {
	HandleCall(kind Kind, handler CallHandler)
	HandleMessage(kind Kind, handler MessageHandler)
	HandleDatagram(kind Kind, handler MessageHandler)
}

// MaxDatagram is the largest datagram payload, in bytes: what fits an
// Ethernet frame after IP, UDP and this package's own headers.
const MaxDatagram = 1380

// RemoteError is an error that the peer's handler returned: the call did
// reach the peer and was answered.
type RemoteError struct {
	Peer    Address
	Code    uint16
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer %s answered code %d: %s", e.Peer, e.Code, e.Message)
}

// Unhandled says that an error of a call means that the peer has no handler for calls of
// its kind, as a node of an earlier version.
func Unhandled(err error) bool {
	var remote *RemoteError
	return errors.As(err, &remote) && remote.Code == CodeNoHandler
}

// CodedError is implemented by a handler's error that wants its code carried
// to the caller in RemoteError.Code; other errors travel as code 0.
type CodedError interface {
	error
	RemoteCode() uint16
}
