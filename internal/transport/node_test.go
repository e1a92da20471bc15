package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	testKind    = KindNode + 1
	testTimeout = 10 * time.Second
)

type codedError struct{}

func (codedError) Error() string      { return "refused by the handler" }
func (codedError) RemoteCode() uint16 { return 7 }

func newNode(t *testing.T, keys *Keyring, register func(*Node)) *Node {
	t.Helper()
	node, err := Listen(Options{Listen: "127.0.0.1:0", Keys: keys})
	if err != nil {
		t.Fatal(err)
	}
	if register != nil {
		register(node)
	}
	node.Serve()
	t.Cleanup(node.Close)
	return node
}

func testKeys(t *testing.T, keys ...string) *Keyring {
	t.Helper()
	var raw [][]byte
	for _, key := range keys {
		raw = append(raw, []byte(key))
	}
	ring, err := NewKeyring(raw...)
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

const (
	oldKey = "0123456789abcdef-old"
	newKey = "0123456789abcdef-new"
)

func echo(_ context.Context, _ Address, payload []byte) ([]byte, error) {
	if string(payload) == "fail" {
		return nil, codedError{}
	}
	return payload, nil
}

// Guards against answers to the wrong call and error codes that don't reach the caller.
func TestConcurrentCallsReceiveTheirOwnAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	server := newNode(t, testKeys(t, oldKey), func(n *Node) { n.HandleCall(testKind, echo) })
	client := newNode(t, testKeys(t, oldKey), nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for i := 0; i < 200; i++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			want := fmt.Sprint("call ", i)
			got, err := client.Call(ctx, server.Address(), testKind, []byte(want))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(got)).To(gomega.Equal(want))
		}()
	}
	wait.Wait()
	_, err := client.Call(ctx, server.Address(), testKind, []byte("fail"))
	var remote *RemoteError
	g.Expect(errors.As(err, &remote)).To(gomega.BeTrue())
	g.Expect(remote.Code).To(gomega.BeEquivalentTo(7))
	_, err = client.Call(ctx, server.Address(), testKind+1, nil)
	g.Expect(errors.As(err, &remote)).To(gomega.BeTrue())
	g.Expect(remote.Code).To(gomega.BeEquivalentTo(CodeNoHandler))
}

// Guards against lost or reordered messages on a healthy connection.
func TestOneWayMessagesAreDeliveredInOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	received := make(chan string, 1000)
	server := newNode(t, testKeys(t, oldKey), func(n *Node) {
		n.HandleMessage(testKind, func(_ Address, payload []byte) { received <- string(payload) })
		n.HandleDatagram(testKind, func(from Address, payload []byte) { received <- string(from) + string(payload) })
	})
	client := newNode(t, testKeys(t, oldKey), nil)
	for i := 0; i < 500; i++ {
		client.Send(server.Address(), testKind, []byte(fmt.Sprint(i)))
	}
	for i := 0; i < 500; i++ {
		g.Eventually(received, testTimeout).Should(gomega.Receive(gomega.Equal(fmt.Sprint(i))))
	}
	g.Expect(client.Datagram(server.Address(), testKind, []byte("!"))).To(gomega.Succeed())
	g.Eventually(received, testTimeout).Should(gomega.Receive(gomega.Equal(string(client.Address()) + "!")))
	g.Expect(client.Datagram(server.Address(), testKind, make([]byte, MaxDatagram+1))).NotTo(gomega.Succeed())
}

// Guards against accepting unknown keys and against refused connections during rotation.
func TestHandshakeRequiresSharedKey(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, tc := range []struct {
		name   string
		server *Keyring
		client *Keyring
		works  bool
	}{
		{"unknown key", testKeys(t, oldKey), testKeys(t, newKey), false},
		{"server verifies both keys", testKeys(t, oldKey, newKey), testKeys(t, oldKey), true},
		{"client signs with the new key", testKeys(t, oldKey, newKey), testKeys(t, newKey, oldKey), true},
		{"server removed the old key", testKeys(t, newKey), testKeys(t, newKey, oldKey), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := newNode(t, tc.server, func(n *Node) { n.HandleCall(testKind, echo) })
			client := newNode(t, tc.client, nil)
			_, err := client.Call(ctx, server.Address(), testKind, []byte("x"))
			if tc.works {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				return
			}
			g.Expect(errors.Is(err, ErrNotSent)).To(gomega.BeTrue(), "%v", err)
		})
	}
}

// Guards against an invalid key file that replaces the keys in use.
func TestKeyringReloadKeepsKeysOnInvalidFile(t *testing.T) {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "keys")
	g.Expect(os.WriteFile(path, []byte("# peers\n00112233445566778899aabbccddeeff\n"), 0o600)).To(gomega.Succeed())
	ring, err := OpenKeyring(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	sum := ring.Sign([]byte("x"))
	g.Expect(os.WriteFile(path, []byte("ffeeddccbbaa99887766554433221100\n00112233445566778899aabbccddeeff\n"), 0o600)).To(gomega.Succeed())
	g.Expect(ring.Reload()).To(gomega.BeTrue())
	g.Expect(ring.Verify(sum, []byte("x"))).To(gomega.BeTrue())
	g.Expect(ring.Sign([]byte("x"))).NotTo(gomega.Equal(sum))
	for _, broken := range []string{"", "xyz", "0011"} {
		g.Expect(os.WriteFile(path, []byte(broken), 0o600)).To(gomega.Succeed())
		_, err := ring.Reload()
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(ring.Verify(sum, []byte("x"))).To(gomega.BeTrue(), "previous keys stay in use")
	}
}

// Guards against reporting a call that the peer received as not sent, and the reverse.
func TestCallReturnsErrBrokenWhenServerCloses(t *testing.T) {
	g := gomega.NewWithT(t)
	entered := make(chan struct{})
	release := make(chan struct{})
	server := newNode(t, testKeys(t, oldKey), func(n *Node) {
		n.HandleCall(testKind, func(context.Context, Address, []byte) ([]byte, error) {
			close(entered)
			<-release
			return nil, nil
		})
	})
	client := newNode(t, testKeys(t, oldKey), nil)
	result := make(chan error, 1)
	go func() {
		_, err := client.Call(context.Background(), server.Address(), testKind, nil)
		result <- err
	}()
	g.Eventually(entered, testTimeout).Should(gomega.BeClosed())
	go server.Close()
	g.Eventually(result, testTimeout).Should(gomega.Receive(gomega.MatchError(ErrBroken)))
	close(release)
	g.Eventually(func() error {
		_, err := client.Call(context.Background(), server.Address(), testKind, nil)
		return err
	}, testTimeout).Should(gomega.MatchError(ErrNotSent))
}

// Guards against malformed input that crashes or blocks a server.
func TestServerAnswersCallsAfterGarbageInput(t *testing.T) {
	g := gomega.NewWithT(t)
	server := newNode(t, testKeys(t, oldKey), func(n *Node) { n.HandleCall(testKind, echo) })
	conn, err := net.Dial("tcp", string(server.Address()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_, err = conn.Write(make([]byte, 4096))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	packet, err := net.Dial("udp", string(server.Address()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer packet.Close()
	_, err = packet.Write([]byte("garbage"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	client := newNode(t, testKeys(t, oldKey), nil)
	got, err := client.Call(context.Background(), server.Address(), testKind, []byte("still here"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(got)).To(gomega.Equal("still here"))
}

func FuzzDecodeDatagram(f *testing.F) {
	ring, err := NewKeyring([]byte(oldKey))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encodeDatagram(ring, testKind, []byte("payload")))
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, packet []byte) {
		kind, payload, err := decodeDatagram(ring, packet)
		if err == nil && string(encodeDatagram(ring, kind, payload)) != string(packet) {
			t.Fatal("re-encoded datagram differs from the input")
		}
	})
}
