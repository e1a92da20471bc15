package transport

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// Guards against a node that peers can't reach any more after it had too many open files for a
// moment.
func TestPeersConnectAgainAfterTooManyOpenFiles(t *testing.T) {
	g := gomega.NewWithT(t)
	keys, err := NewKeyring([]byte("0123456789abcdef0123456789abcdef"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := newNode(t, keys, func(n *Node) {
		n.HandleCall(testKind, func(context.Context, Address, []byte) ([]byte, error) { return []byte("answer"), nil })
	})
	client := newNode(t, keys, nil)
	raiseLimit := limitOpenFiles(g, t)
	for { // fills the table of open files, so that the last connection can't be accepted
		conn, err := net.DialTimeout("tcp", string(server.Address()), time.Second)
		if err != nil {
			break
		}
		defer conn.Close()
	}
	time.Sleep(100 * time.Millisecond)
	raiseLimit()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	g.Eventually(func() error {
		_, err := client.Call(ctx, server.Address(), testKind, nil)
		return err
	}, testTimeout).Should(gomega.Succeed())
}

// limitOpenFiles allows the process few more open files than it has, and returns a function
// that ends this.
func limitOpenFiles(g *gomega.WithT, t *testing.T) (end func()) {
	var before unix.Rlimit
	g.Expect(unix.Getrlimit(unix.RLIMIT_NOFILE, &before)).To(gomega.Succeed())
	open, err := os.ReadDir("/proc/self/fd")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	limited := before
	limited.Cur = uint64(len(open)) + 20
	g.Expect(unix.Setrlimit(unix.RLIMIT_NOFILE, &limited)).To(gomega.Succeed())
	end = func() { _ = unix.Setrlimit(unix.RLIMIT_NOFILE, &before) }
	t.Cleanup(end)
	return end
}
