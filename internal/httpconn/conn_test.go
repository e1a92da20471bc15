package httpconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// pair returns both ends of a connection over loopback.
func pair(t *testing.T) (client *Conn, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	client, server = NewConn(dialed), accepted.(*net.TCPConn)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, server
}

func reset(g *gomega.WithT, server *net.TCPConn) {
	g.Expect(server.SetLinger(0)).To(gomega.Succeed())
	g.Expect(server.Close()).To(gomega.Succeed())
}

// writeUntilError writes until the peer has gone.
func writeUntilError(client *Conn) error {
	for {
		if _, err := client.Write([]byte("x")); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

func readAll(client *Conn) (string, error) {
	read, err := io.ReadAll(client)
	return string(read), err
}

// Guards against a reset that only a write sees.
func TestReadReportsResetThatAWriteHasSeen(t *testing.T) {
	g := gomega.NewWithT(t)
	client, server := pair(t)
	_, _ = io.WriteString(server, "part")
	reset(g, server)
	g.Expect(writeUntilError(client)).To(gomega.MatchError(syscall.ECONNRESET))
	read, err := readAll(client)
	g.Expect(read).To(gomega.Equal("part"))
	g.Expect(err).To(gomega.MatchError(ErrReset))
	g.Expect(err).To(gomega.MatchError(syscall.ECONNRESET))
}

// Guards against a reset that is reported to the first of several reads only.
func TestReadReportsResetAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	client, server := pair(t)
	reset(g, server)
	for range 3 {
		_, err := client.Read(make([]byte, 1))
		g.Expect(err).To(gomega.MatchError(syscall.ECONNRESET))
	}
}

// Guards against the end of a connection that counts as a reset, as the peer discards what comes behind it.
func TestReadReportsEndBeforeReset(t *testing.T) {
	g := gomega.NewWithT(t)
	client, server := pair(t)
	_, _ = io.WriteString(server, "whole")
	g.Expect(server.CloseWrite()).To(gomega.Succeed())
	reset(g, server)
	g.Expect(writeUntilError(client)).To(gomega.MatchError(syscall.EPIPE))
	read, err := readAll(client)
	g.Expect(read).To(gomega.Equal("whole"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against a read that waits for a write to a peer that has ended the connection and reads nothing.
func TestReadReportsEndDuringBlockedWrite(t *testing.T) {
	g := gomega.NewWithT(t)
	client, server := pair(t)
	written := make(chan error, 1)
	go func() {
		_, err := client.Write(bytes.Repeat([]byte("x"), 64<<20))
		written <- err
	}()
	_, _ = io.WriteString(server, "whole")
	g.Expect(server.CloseWrite()).To(gomega.Succeed())
	read, err := readAll(client)
	g.Expect(read).To(gomega.Equal("whole"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Consistently(written, 20*time.Millisecond).ShouldNot(gomega.Receive())
	g.Expect(client.Close()).To(gomega.Succeed())
	g.Eventually(written).Should(gomega.Receive())
}

// Guards against a reset that is missed, as the write that sees it has not returned at the time of the read.
func TestReadReportsResetDuringBlockedWrite(t *testing.T) {
	for range 50 {
		g := gomega.NewWithT(t)
		client, server := pair(t)
		written := make(chan error, 1)
		go func() {
			_, err := client.Write(bytes.Repeat([]byte("x"), 64<<20))
			written <- err
		}()
		_, _ = io.WriteString(server, "part")
		reset(g, server)
		_, err := readAll(client)
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(errors.Is(err, syscall.ECONNRESET)).To(gomega.BeTrue(), err.Error())
		g.Eventually(written).Should(gomega.Receive())
	}
}

// raceConn is a connection whose write fails, and which is closed, while a read that met the end of the data
// asks for the state of its socket.
type raceConn struct {
	net.Conn
	begun, asked chan struct{}
	closed       chan struct{} // the user has closed it after the failure
}

func (c *raceConn) Read([]byte) (int, error) {
	<-c.begun
	return 0, io.EOF
}

func (c *raceConn) Write([]byte) (int, error) {
	close(c.begun)
	<-c.asked
	return 0, syscall.ECONNRESET
}

func (c *raceConn) SyscallConn() (syscall.RawConn, error) { return rawRaceConn{c}, nil }

type rawRaceConn struct{ *raceConn }

func (c rawRaceConn) Control(func(fd uintptr)) error {
	close(c.asked)
	<-c.closed
	return net.ErrClosed
}

func (c rawRaceConn) Read(func(fd uintptr) bool) error  { return net.ErrClosed }
func (c rawRaceConn) Write(func(fd uintptr) bool) error { return net.ErrClosed }

// Guards against a reset that is missed, as the connection was closed after a failed write before its state
// could be read.
func TestReadReportsResetWhoseWriteClosedConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	inner := &raceConn{begun: make(chan struct{}), asked: make(chan struct{}), closed: make(chan struct{})}
	client := NewConn(inner)
	go func() {
		_, _ = client.Write([]byte("x"))
		close(inner.closed)
	}()
	_, err := client.Read(make([]byte, 1))
	g.Expect(err).To(gomega.MatchError(ErrReset))
}
