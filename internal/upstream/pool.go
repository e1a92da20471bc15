package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chutelock.dev/chutelock/internal/clock"
)

const (
	// dialTimeout bounds a new connection. Engines are some milliseconds away;
	// a lost opening packet is sent again only after a second.
	dialTimeout = 350 * time.Millisecond
	// sendTimeout is how long sent bytes may stay unacknowledged.
	sendTimeout = 1500 * time.Millisecond
	// Keep-alive probes find an engine that lost power.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// idleDefault is how long a connection rests when the engine doesn't tell.
	idleDefault = 4 * time.Second
	// idleMargin is how much earlier than the engine this side closes a
	// resting connection, so that a request doesn't cross the close.
	idleMargin = 400 * time.Millisecond
	// idlePerEngine bounds the resting connections to an engine.
	idlePerEngine = 16
	readBuffer    = 8 << 10
)

// Pool keeps connections to engines. Its methods may be called concurrently.
type Pool struct {
	dialect Dialect
	// Opened counts the connections that were opened.
	Opened atomic.Int64
	// Connected is told how long each opening took, by the engine's ID; may be nil.
	Connected func(instance string, took time.Duration)

	mutex sync.Mutex // guards idle; a leaf
	idle  map[string][]*connection
}

// NewPool returns an empty pool.
func NewPool(dialect Dialect) *Pool {
	return &Pool{dialect: dialect, idle: map[string][]*connection{}}
}

// connection is a TCP connection to an engine that serves one call at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	key    string
	// until is when the connection may not be used any more if it rests.
	until time.Time
	used  bool
}

func poolKey(address, instance string) string { return address + "|" + instance }

// take returns a resting connection that is still sound, or a new one.
func (p *Pool) take(ctx context.Context, address, instance string) (*connection, error) {
	key := poolKey(address, instance)
	for {
		resting := p.popIdle(key)
		if resting == nil {
			return p.dial(ctx, address, key)
		}
		if clock.Now().Before(resting.until) && resting.quiet() {
			return resting, nil
		}
		resting.Close()
	}
}

func (p *Pool) popIdle(key string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	resting := p.idle[key]
	if len(resting) == 0 {
		return nil
	}
	last := resting[len(resting)-1]
	p.idle[key] = resting[:len(resting)-1]
	return last
}

func (p *Pool) dial(ctx context.Context, address, key string) (*connection, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(sendTimeout/time.Millisecond))
			})
		},
	}
	started := clock.Now()
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	p.Opened.Add(1)
	if p.Connected != nil {
		_, instance, _ := strings.Cut(key, "|")
		p.Connected(instance, clock.Since(started))
	}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), key: key}, nil
}

// Refuses says whether nothing takes connections at an engine's address any more. One
// that is taken rests, for the next request; no answer within the time of ctx says
// nothing.
func (p *Pool) Refuses(ctx context.Context, address, instance string) bool {
	conn, err := p.dial(ctx, address, poolKey(address, instance))
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.put(conn, nil)
	return false
}

// put lets a connection rest until the engine would close it.
func (p *Pool) put(c *connection, header http.Header) {
	rest := restingTime(header)
	if rest <= 0 || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.until = clock.Now().Add(rest)
	c.used = true
	_ = c.SetDeadline(time.Time{})
	p.rest(c)
}

// putBack lets a connection rest on which nothing was sent since it was taken.
func (p *Pool) putBack(c *connection) {
	if !c.used {
		p.put(c, nil)
		return
	}
	p.rest(c)
}

func (p *Pool) rest(c *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[c.key]) >= idlePerEngine {
		c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// restingTime reads how long the engine lets a connection rest.
func restingTime(header http.Header) time.Duration {
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
	return idleDefault
}

// quiet says that the engine has neither closed a resting connection nor sent
// anything on it.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	systemConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := systemConn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var peek [1]byte
		_, _, failure := unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failure == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// Prune closes resting connections that are past their time, or whose engine
// is not wanted any more.
func (p *Pool) Prune(now time.Time, wanted func(address, instance string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for key, resting := range p.idle {
		address, instance, _ := strings.Cut(key, "|")
		keepAll := wanted(address, instance)
		kept := resting[:0]
		for _, c := range resting {
			if keepAll && now.Before(c.until) {
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
