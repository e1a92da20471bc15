// Package acceptor keeps servers accepting connections after errors.
package acceptor

import (
	"errors"
	"net"
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/telemetry"
)

var eventAcceptFailed = telemetry.Define(1018, "accept-failed", "A listener could not accept a connection, as when the process has too many open files; it is retried. Logged once until a connection is accepted.")

// Pauses after failed calls of Accept double from minPause to maxPause.
const (
	minPause = 5 * time.Millisecond
	maxPause = time.Second
)

// Listener is a net.Listener whose Accept fails only once it is closed. The servers of a node
// end with the first error of Accept otherwise, and the node has to be restarted.
type Listener struct {
	net.Listener
	closing  chan struct{}
	closeAll func() error
}

// New returns a listener that accepts the connections of inner.
func New(inner net.Listener) *Listener {
	l := &Listener{Listener: inner, closing: make(chan struct{})}
	l.closeAll = sync.OnceValue(func() error {
		close(l.closing)
		return inner.Close()
	})
	return l
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if pause == minPause {
			eventAcceptFailed.Error(err, "address", l.Addr())
		}
		select {
		case <-l.closing:
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
	}
}

// Close implements net.Listener; it may be called more than once.
func (l *Listener) Close() error { return l.closeAll() }
