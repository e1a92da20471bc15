// Package transport carries messages between chutelock processes over
// TCP (calls and ordered one-way messages) and UDP (datagrams).
//
// It frames, authenticates and delivers payloads without interpreting them. A call
// is answered at most once. One-way messages and datagrams may be lost; one-way
// messages to a peer keep their order while the connection lasts.
package transport

import (
	"context"
	"errors"
	"fmt"
)

// Address is a peer's "ip:port". TCP and UDP use the same port.
type Address string

// Kind identifies a message type. Each component has a range of 256 kinds.
type Kind uint16

// First kinds of the components' ranges.
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
	KindOrigin     Kind = 0x0c00
)

// CallHandler answers a call. It runs on the transport's worker pool and may
// block; ctx ends when the caller's deadline passes or the connection breaks.
// An error reaches the caller as a *RemoteError.
type CallHandler func(ctx context.Context, from Address, payload []byte) ([]byte, error)

// MessageHandler handles a one-way message or datagram. It must not block.
// It may retain the payload.
type MessageHandler func(from Address, payload []byte)

// Sender sends to peers. Its methods are safe for concurrent use.
type Sender interface {
	// Call sends a request and waits for its answer or the end of ctx. After an
	// error other than ErrNotSent and *RemoteError, the peer may have handled it.
	Call(ctx context.Context, to Address, kind Kind, payload []byte) ([]byte, error)
	// Send queues an ordered one-way message. It never blocks; the message is dropped
	// if the peer's queue is full or the peer is unreachable.
	Send(to Address, kind Kind, payload []byte)
	// Datagram sends one UDP packet of at most MaxDatagram bytes of payload.
	Datagram(to Address, kind Kind, payload []byte) error
}

// Receiver registers handlers. All must be registered before Node.Serve is called.
type Receiver interface {
	HandleCall(kind Kind, handler CallHandler)
	HandleMessage(kind Kind, handler MessageHandler)
	HandleDatagram(kind Kind, handler MessageHandler)
}

// MaxDatagram is the largest datagram payload, in bytes. With the IP, UDP and
// transport headers it fits an Ethernet frame.
const MaxDatagram = 1380

// RemoteError is an error with which the peer answered a call.
type RemoteError struct {
	Peer    Address
	Code    uint16
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer %s answered code %d: %s", e.Peer, e.Code, e.Message)
}

// Unhandled reports whether a call failed because the peer, for example a node of an
// earlier version, has no handler for its kind.
func Unhandled(err error) bool {
	var remote *RemoteError
	return errors.As(err, &remote) && remote.Code == CodeNoHandler
}

// CodedError is an error of a handler whose code reaches the caller as
// RemoteError.Code; other errors have code 0.
type CodedError interface {
	error
	RemoteCode() uint16
}
