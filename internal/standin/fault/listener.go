package fault

import (
	"net"
	"sync"
	"time"
)

// relistenInterval is the interval between attempts to listen again.
const relistenInterval = 10 * time.Millisecond

// Listener is a TCP listener that can go down and come up again at the same
// address. While it is down, connections are refused.
type Listener struct {
	address net.Addr

	// mutex guards the fields below. No other lock is taken under it.
	mutex       sync.Mutex
	inner       net.Listener
	connections map[*trackedConnection]struct{}
	closed      bool
	upTimer     *time.Timer   // ends the current outage; nil before the first
	up          chan struct{} // closed while the listener is up
}

var _ net.Listener = (*Listener)(nil)

// Listen listens on a TCP address; port 0 selects a free port.
func Listen(address string) (*Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	up := make(chan struct{})
	close(up)
	return &Listener{
		address:     inner.Addr(),
		inner:       inner,
		connections: map[*trackedConnection]struct{}{},
		up:          up,
	}, nil
}

// Accept implements net.Listener. While the listener is down it blocks.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, up, closed := l.state()
		if closed {
			return nil, net.ErrClosed
		}
		select {
		case <-up:
		default:
			<-up
			continue
		}
		connection, err := inner.Accept()
		if err == nil {
			if tracked := l.track(connection, up); tracked != nil {
				return tracked, nil
			}
			continue
		}
		if latest, latestUp, _ := l.state(); latest == inner && latestUp == up {
			return nil, err
		}
	}
}

func (l *Listener) state() (net.Listener, chan struct{}, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.inner, l.up, l.closed
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	return l.inner.Close()
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }

// Down closes the listener and all connections, and listens again after the
// duration.
func (l *Listener) Down(duration time.Duration) {
	l.mutex.Lock()
	up := make(chan struct{})
	l.up = up
	_ = l.inner.Close()
	for connection := range l.connections {
		_ = connection.Conn.Close()
	}
	clear(l.connections)
	l.upTimer = time.AfterFunc(duration, func() { l.relisten(up) })
	l.mutex.Unlock()
}

// Up ends an outage early. It does nothing if the listener is up.
func (l *Listener) Up() {
	l.mutex.Lock()
	up := l.up
	early := l.upTimer != nil && l.upTimer.Stop()
	l.mutex.Unlock()
	if early {
		l.relisten(up)
	}
}

// relisten listens again, unless the listener was closed or went down again.
func (l *Listener) relisten(up chan struct{}) {
	for {
		l.mutex.Lock()
		if l.closed || l.up != up {
			l.mutex.Unlock()
			close(up)
			return
		}
		inner, err := net.Listen("tcp", l.address.String())
		if err == nil {
			l.inner = inner
			l.mutex.Unlock()
			close(up)
			return
		}
		l.mutex.Unlock()
		time.Sleep(relistenInterval)
	}
}

// track records a connection for Down to close. It closes one accepted while the
// listener went down and returns nil.
func (l *Listener) track(connection net.Conn, up chan struct{}) net.Conn {
	tracked := &trackedConnection{Conn: connection, listener: l}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.up != up {
		_ = connection.Close()
		return nil
	}
	l.connections[tracked] = struct{}{}
	return tracked
}

// trackedConnection is removed from its listener when it is closed.
type trackedConnection struct {
	net.Conn
	listener *Listener
}

// Close implements net.Conn.
func (c *trackedConnection) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.connections, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}
