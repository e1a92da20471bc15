package httpconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// closedWriteTimeout bounds the wait for the result of a write to a connection that the kernel has closed.
// Such a write doesn't block; only its goroutine may be late.
const closedWriteTimeout = 5 * time.Second

// tcpClose is the state of a TCP socket that is closed in both directions (TCP_CLOSE of netinet/tcp.h).
const tcpClose = 7

// ErrReset reports that a connection was reset, or timed out, before its peer had ended it.
var ErrReset = errors.New("the connection was reset before its end")

// Conn is a client's connection. Reads and writes may be concurrent; there is one reader.
type Conn struct {
	net.Conn

	mutex sync.Mutex // guards the fields below; a leaf
	head  headChecker
	// failed is the first error by which the kernel reported that the connection broke.
	failed error
	// writes is the number of writes under way. idle is closed once there are none; nil if nobody waits for that.
	writes int
	idle   chan struct{}
}

var _ syscall.Conn = (*Conn)(nil)

// NewConn returns a connection that reads and writes by conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	systemConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return systemConn.SyscallConn()
}

// ExpectHead makes the connection check the head that is read next, with the interim heads before it. buffered
// are the bytes of it that were read already.
func (c *Conn) ExpectHead(buffered []byte) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.head.begin()
	return c.head.check(buffered)
}

// HeadErr returns why the head that was read last isn't valid, or nil. The parser may have reported another error.
func (c *Conn) HeadErr() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.head.err
}

// Read implements net.Conn. It returns io.EOF only if the peer has ended the connection in order.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		if invalid := c.checkHead(buffer[:n]); invalid != nil {
			return 0, invalid
		}
	}
	if errors.Is(err, io.EOF) {
		return n, c.checkEnd()
	}
	c.noteFailure(err)
	return n, err
}

func (c *Conn) checkHead(read []byte) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.head.check(read)
}

// checkEnd returns io.EOF if the peer has ended the connection in order, else an error.
func (c *Conn) checkEnd() error {
	if idle, _ := c.state(); idle != nil && c.isClosed() {
		timer := time.NewTimer(closedWriteTimeout)
		defer timer.Stop()
		select {
		case <-idle:
		case <-timer.C:
		}
	}
	// Read last: a write may have failed since the data ended.
	if _, failed := c.state(); failed != nil {
		return fmt.Errorf("%w: %w", ErrReset, failed)
	}
	return io.EOF
}

// state returns the channel that is closed once no write is under way, nil if none is, and the failure.
func (c *Conn) state() (idle <-chan struct{}, failed error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.writes == 0 {
		return nil, c.failed
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	return c.idle, c.failed
}

// isClosed reports whether the connection is closed in both directions: by the kernel, as after a reset, or by
// this side, as a user may close a connection once a write has failed. After an end in order the peer still
// takes data.
func (c *Conn) isClosed() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return true // closed by this side
	}
	return infoErr == nil && info.State == tcpClose
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.beginWrite()
	n, err := c.Conn.Write(data)
	c.noteFailure(err)
	c.endWrite()
	return n, err
}

func (c *Conn) beginWrite() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writes++
}

func (c *Conn) endWrite() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writes--
	if c.writes == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// noteFailure keeps an error by which the kernel reported that the connection broke. EPIPE isn't one: the
// kernel returns it where the peer had ended the connection in order before it was reset, or where the error
// was reported before.
func (c *Conn) noteFailure(err error) {
	var errno syscall.Errno
	if !errors.As(err, &errno) || errno == syscall.EPIPE {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failed == nil {
		c.failed = err
	}
}
