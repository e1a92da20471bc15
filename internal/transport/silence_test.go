package transport

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// hushing passes connections on to a target until they are hushed: then they swallow
// what comes, either way, and close nothing. New ones pass.
type hushing struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	flags    []*atomic.Bool
}

func newHushing(t *testing.T, target Address) *hushing {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &hushing{listener: listener, target: string(target)}
	go h.accept()
	t.Cleanup(func() { listener.Close() })
	return h
}

func (h *hushing) accept() {
	for {
		near, err := h.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", h.target)
		if err != nil {
			near.Close()
			continue
		}
		silent := &atomic.Bool{}
		h.mutex.Lock()
		h.flags = append(h.flags, silent)
		h.mutex.Unlock()
		go pass(near, far, silent)
		go pass(far, near, silent)
	}
}

func pass(from, to net.Conn, silent *atomic.Bool) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		var out io.Writer = to
		if silent.Load() {
			out = io.Discard
		}
		if _, err := out.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (h *hushing) hush() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, silent := range h.flags {
		silent.Store(true)
	}
}

func (h *hushing) address() Address { return Address(h.listener.Addr().String()) }

// A connection that goes silent for good is left for a new one, by calls and by messages
// that nobody answers.
func TestAConnectionThatFallsSilentIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	keys := testKeys(t, oldKey)
	var messages atomic.Int32
	server := newNode(t, keys, func(n *Node) {
		n.HandleCall(testKind, echo)
		n.HandleMessage(testKind, func(Address, []byte) { messages.Add(1) })
	})
	client := newNode(t, keys, nil)
	proxy := newHushing(t, server.Address())
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		_, err := client.Call(ctx, proxy.address(), testKind, []byte("x"))
		return err
	}
	g.Expect(call()).To(gomega.Succeed())
	client.Send(proxy.address(), testKind, nil)
	g.Eventually(messages.Load, patience).Should(gomega.BeEquivalentTo(1))
	proxy.hush()
	g.Expect(call()).NotTo(gomega.Succeed())
	g.Eventually(call, 2*patience).Should(gomega.Succeed())
	g.Eventually(func() int32 {
		client.Send(proxy.address(), testKind, nil)
		return messages.Load()
	}, 2*patience, 100*time.Millisecond).Should(gomega.BeNumerically(">", 1))
}

// A peer that holds a call for long is not taken for silent.
func TestACallThatIsHeldKeepsItsConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	keys := testKeys(t, oldKey)
	server := newNode(t, keys, func(n *Node) {
		n.HandleCall(testKind, func(context.Context, Address, []byte) ([]byte, error) {
			time.Sleep(silenceMost + 2*pingInterval)
			return []byte("late"), nil
		})
	})
	client := newNode(t, keys, nil)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	answer, err := client.Call(ctx, server.Address(), testKind, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(answer)).To(gomega.Equal("late"))
}
