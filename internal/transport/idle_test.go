package transport

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against idle connections that stay open, calls that fail after one was closed,
// and pending calls that lose their connection.
func TestIdleConnectionIsClosedUnlessCallPending(t *testing.T) {
	g := gomega.NewWithT(t)
	const idleTimeout = 20 * time.Millisecond
	keys := testKeys(t, oldKey)
	server := newNode(t, keys, func(n *Node) {
		n.HandleCall(testKind, echo)
		n.HandleCall(testKind+1, func(context.Context, Address, []byte) ([]byte, error) {
			time.Sleep(10 * idleTimeout)
			return []byte("late"), nil
		})
	})
	client, err := Listen(Options{Listen: "127.0.0.1:0", Keys: keys, IdleTimeout: idleTimeout})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	client.Serve()
	t.Cleanup(client.Close)
	inbound := func() int {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		return len(server.inbound)
	}
	for range 3 {
		_, err := client.Call(context.Background(), server.Address(), testKind, []byte("x"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Eventually(inbound, testTimeout).Should(gomega.BeZero())
	}
	answer, err := client.Call(context.Background(), server.Address(), testKind+1, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(answer)).To(gomega.Equal("late"))
}
