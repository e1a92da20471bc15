package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/httpconn"
)

const (
	// dialTimeout bounds a connect. Engines are milliseconds away, and a lost SYN is
	// retransmitted only after a second.
	dialTimeout = 350 * time.Millisecond
	// ackTimeout is how long the kernel of an engine with a request may acknowledge nothing. A sound
	// engine may be silent for a second or so. The doubled intervals of TCP's retransmissions end a
	// silence of up to 1.8 s as late as 3 s after its start: from the least one, at 0.2, 0.6, 1.4 and 3 s.
	// The bound is for requests that run once; others leave a silent engine sooner.
	ackTimeout = 4 * time.Second
	// idleAckTimeout is ackTimeout of idle connections, which cost little to open again, so that a
	// request rarely meets a dead one.
	idleAckTimeout = 1500 * time.Millisecond
	// Keep-alive probes detect an engine that lost power. With a user timeout the kernel ends a
	// connection by that, from the last bytes received, and not by the number of probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// defaultIdleTimeout applies if the engine sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how much earlier than the engine this side closes an idle connection,
	// so that no request is sent while the engine closes it.
	idleMargin = 400 * time.Millisecond
	// maxIdlePerEngine bounds the idle connections to an engine.
	maxIdlePerEngine = 16
	readBufferSize   = 8 << 10
)

// Pool holds connections to engines. Its methods may be called concurrently.
type Pool struct {
	dialect Dialect
	// Opened is the number of connections opened since the pool was created.
	Opened atomic.Int64
	// Connected is called with the engine's ID and the connect time; may be nil.
	Connected func(engineID string, took time.Duration)

	mutex sync.Mutex // guards idle; no other lock is taken while it is held
	idle  map[string][]*connection
}

// NewPool returns an empty pool.
func NewPool(dialect Dialect) *Pool {
	return &Pool{dialect: dialect, idle: map[string][]*connection{}}
}

// connection is a TCP connection to an engine that serves one call at a time.
type connection struct {
	*httpconn.Conn
	reader *bufio.Reader
	key    string
	// idleDeadline is when the connection must be closed if it is idle.
	idleDeadline time.Time
	wasIdle      bool // idleDeadline is set
	// served has the IDs of the last requests, latest first: a late answer to one of them would be taken
	// for the answer to its next run.
	served [maxSurplusResponses]string
}

// serves notes the ID of a request that is sent on the connection.
func (c *connection) serves(id string) {
	copy(c.served[1:], c.served[:])
	c.served[0] = id
}

// fits reports whether an answer to a request can't be mistaken for one to an earlier run of it here.
func (c *connection) fits(id string) bool { return id == "" || !slices.Contains(c.served[:], id) }

func poolKey(address, engineID string) string { return address + "|" + engineID }

// get returns a usable idle connection or a new one for a request; its ID is empty if it has none.
func (p *Pool) get(ctx context.Context, address, engineID, requestID string) (*connection, error) {
	key := poolKey(address, engineID)
	for {
		idle := p.popIdle(key, requestID)
		if idle == nil {
			return p.dial(ctx, address, key)
		}
		if clock.Now().Before(idle.idleDeadline) && idle.usable() {
			idle.setAckTimeout(ackTimeout)
			return idle, nil
		}
		idle.Close()
	}
}

// popIdle takes the idle connection used last that fits the request.
func (p *Pool) popIdle(key, requestID string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[key]
	for i, c := range slices.Backward(idle) {
		if c.fits(requestID) {
			p.idle[key] = slices.Delete(idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, address, key string) (*connection, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setAckTimeout(raw, ackTimeout) },
	}
	started := clock.Now()
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	p.Opened.Add(1)
	if p.Connected != nil {
		_, engineID, _ := strings.Cut(key, "|")
		p.Connected(engineID, clock.Since(started))
	}
	checked := httpconn.NewConn(conn)
	return &connection{Conn: checked, reader: bufio.NewReaderSize(checked, readBufferSize), key: key}, nil
}

// Prepare makes sure that there is an idle connection to an engine's address for a request, and opens one
// if there is none.
func (p *Pool) Prepare(ctx context.Context, address, engineID, requestID string) error {
	conn, err := p.get(ctx, address, engineID, requestID)
	if err != nil {
		return &Error{Fate: FateNotSent, Step: "dial", Peer: address, Cause: err}
	}
	p.releaseUnused(conn)
	return nil
}

// Connect opens a connection to an engine's address, which is kept for the next request.
func (p *Pool) Connect(ctx context.Context, address, engineID string) error {
	conn, err := p.dial(ctx, address, poolKey(address, engineID))
	if err != nil {
		return &Error{Fate: FateNotSent, Step: "dial", Peer: address, Cause: err}
	}
	p.release(conn, nil)
	return nil
}

// RefusesConnections reports whether connections to an engine's address are refused. A
// connection that succeeds is kept for the next request; a timeout doesn't count as refused.
func (p *Pool) RefusesConnections(ctx context.Context, address, engineID string) bool {
	return errors.Is(p.Connect(ctx, address, engineID), syscall.ECONNREFUSED)
}

// AcceptsConnections reports whether a connection to an engine's address can be opened; it is kept for
// the next request.
func (p *Pool) AcceptsConnections(ctx context.Context, address, engineID string) bool {
	return p.Connect(ctx, address, engineID) == nil
}

// release keeps a connection idle until shortly before the engine would close it.
func (p *Pool) release(c *connection, header http.Header) {
	timeout := idleTimeout(header)
	if timeout <= 0 || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.idleDeadline = clock.Now().Add(timeout)
	c.wasIdle = true
	_ = c.SetDeadline(time.Time{})
	p.addIdle(c)
}

// releaseUnused keeps a connection on which nothing was sent since get; one that was idle
// before keeps its idleDeadline.
func (p *Pool) releaseUnused(c *connection) {
	if !c.wasIdle {
		p.release(c, nil)
		return
	}
	p.addIdle(c)
}

func (p *Pool) addIdle(c *connection) {
	c.setAckTimeout(idleAckTimeout)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[c.key]) >= maxIdlePerEngine {
		c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

func setAckTimeout(raw syscall.RawConn, timeout time.Duration) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
	})
}

func (c *connection) setAckTimeout(timeout time.Duration) {
	if raw, err := c.SyscallConn(); err == nil {
		_ = setAckTimeout(raw, timeout) // else the timeout stays what it was
	}
}

// idleTimeout returns how long the connection may be idle according to a response's header.
func idleTimeout(header http.Header) time.Duration {
	if strings.EqualFold(header.Get("Connection"), "close") {
		return 0
	}
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			seconds, err := strconv.Atoi(value)
			if err != nil {
				return 0
			}
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// usable reports whether the engine has neither closed an idle connection nor sent anything
// on it.
func (c *connection) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var peek [1]byte
		_, _, failure := unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = failure == unix.EAGAIN
		return true
	})
	return err == nil && empty
}

// Prune closes idle connections that have expired, on which something came, or whose engine is not wanted
// any more.
func (p *Pool) Prune(now time.Time, wanted func(address, engineID string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for key, idle := range p.idle {
		address, engineID, _ := strings.Cut(key, "|")
		engineWanted := wanted(address, engineID)
		kept := idle[:0]
		for _, c := range idle {
			if engineWanted && now.Before(c.idleDeadline) && c.usable() {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = kept
		}
	}
}
