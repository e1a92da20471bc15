// Package conntest tells what became of a connection, as the kernel of the side that sends requests knows it.
package conntest

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stateClosed is the kernel's TCP_CLOSE.
	stateClosed = unix.BPF_TCP_CLOSE
	// refusalTimeout bounds the wait for the reset of a connection on which bytes came after its end.
	refusalTimeout = 10 * time.Second
)

// OnOpen runs an exchange on a connection unless the peer has closed it, and returns the error. An
// exchange is in order if the peer closed before any of its bytes arrived: no peer can answer these.
func OnOpen(conn net.Conn, exchange func() error) error {
	if closed, err := IsClosed(conn); closed || err != nil {
		return err
	}
	before, err := tcpInfo(conn)
	if err != nil {
		return err
	}
	err = exchange()
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	refused, infoErr := wasRefused(conn, before.Bytes_acked)
	if refused {
		return nil
	}
	return errors.Join(err, infoErr)
}

// IsClosed reports whether the peer has closed or reset a connection and nothing that it sent is unread.
func IsClosed(conn net.Conn) (bool, error) {
	closed := false
	err := control(conn, func(fd int) error {
		var peek [1]byte
		n, _, failure := unix.Recvfrom(fd, peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = failure == nil && n == 0 || failure != nil && failure != unix.EAGAIN
		return nil
	})
	return closed, err
}

// wasRefused reports whether the peer's kernel has reset a connection as bytes came after its end, and has
// acknowledged no more than before.
func wasRefused(conn net.Conn, acked uint64) (bool, error) {
	for end := time.Now().Add(refusalTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		info, err := tcpInfo(conn)
		if err != nil || info.Bytes_acked > acked {
			return false, err
		}
		if info.State == stateClosed {
			return true, nil
		}
	}
	return false, nil
}

func tcpInfo(conn net.Conn) (info unix.TCPInfo, err error) {
	err = control(conn, func(fd int) error {
		got, failure := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if failure == nil {
			info = *got
		}
		return failure
	})
	return info, err
}

// control calls use with the connection's descriptor.
func control(conn net.Conn, use func(fd int) error) error {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return fmt.Errorf("conntest: a %T has no descriptor", conn)
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return fmt.Errorf("conntest: %w", err)
	}
	var failure error
	if err := raw.Control(func(fd uintptr) { failure = use(int(fd)) }); err != nil {
		return fmt.Errorf("conntest: %w", err)
	}
	return failure
}
