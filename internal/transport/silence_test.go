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

// silencingProxy forwards connections to a target. silence makes the current ones
// discard all data in both directions without closing; new ones work.
type silencingProxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	silenced []*atomic.Bool
}

func newSilencingProxy(t *testing.T, target Address) *silencingProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := &silencingProxy{listener: listener, target: string(target)}
	go proxy.accept()
	t.Cleanup(func() { listener.Close() })
	return proxy
}

func (p *silencingProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			client.Close()
			continue
		}
		silent := &atomic.Bool{}
		p.mutex.Lock()
		p.silenced = append(p.silenced, silent)
		p.mutex.Unlock()
		go relay(client, server, silent)
		go relay(server, client, silent)
	}
}

func relay(from, to net.Conn, silent *atomic.Bool) {
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

func (p *silencingProxy) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, silent := range p.silenced {
		silent.Store(true)
	}
}

func (p *silencingProxy) address() Address { return Address(p.listener.Addr().String()) }

// Guards against calls and one-way messages that stay on a connection that drops all data.
func TestSilentConnectionIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	keys := testKeys(t, oldKey)
	var messages atomic.Int32
	server := newNode(t, keys, func(n *Node) {
		n.HandleCall(testKind, echo)
		n.HandleMessage(testKind, func(Address, []byte) { messages.Add(1) })
	})
	client := newNode(t, keys, nil)
	proxy := newSilencingProxy(t, server.Address())
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		_, err := client.Call(ctx, proxy.address(), testKind, []byte("x"))
		return err
	}
	g.Expect(call()).To(gomega.Succeed())
	client.Send(proxy.address(), testKind, nil)
	g.Eventually(messages.Load, testTimeout).Should(gomega.BeEquivalentTo(1))
	proxy.silence()
	g.Expect(call()).NotTo(gomega.Succeed())
	g.Eventually(call, 2*testTimeout).Should(gomega.Succeed())
	g.Eventually(func() int32 {
		client.Send(proxy.address(), testKind, nil)
		return messages.Load()
	}, 2*testTimeout, 100*time.Millisecond).Should(gomega.BeNumerically(">", 1))
}

// Guards against closing the connection of a call that takes longer than maxSilence.
func TestSlowCallKeepsItsConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	keys := testKeys(t, oldKey)
	server := newNode(t, keys, func(n *Node) {
		n.HandleCall(testKind, func(context.Context, Address, []byte) ([]byte, error) {
			time.Sleep(maxSilence + 2*pingInterval)
			return []byte("late"), nil
		})
	})
	client := newNode(t, keys, nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	answer, err := client.Call(ctx, server.Address(), testKind, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(answer)).To(gomega.Equal("late"))
}
