package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/acceptor"
)

// Errors of Call other than *RemoteError and those of ctx.
var (
	// ErrNotSent means that the request did not reach the peer.
	ErrNotSent = errors.New("transport: not sent")
	// ErrBroken means that the connection broke before the answer: the peer
	// may have handled the request.
	ErrBroken = errors.New("transport: connection broke before the answer")
)

const (
	defaultWorkers = 512
	// defaultCallTimeout bounds a call whose ctx has no deadline.
	defaultCallTimeout = 30 * time.Second
)

// CodeNoHandler is the RemoteError code of a call whose kind has no handler at the peer.
const CodeNoHandler = 0xffff

// Options configure a Node.
type Options struct {
	// Listen is the "ip:port" for TCP and UDP; port 0 selects a free port.
	Listen string
	// Advertise is the "ip:port" at which peers reach this node; empty means
	// the listening address.
	Advertise string
	// Keys authenticates peers; required.
	Keys *Keyring
	// Workers bounds the calls handled concurrently; 0 means 512.
	Workers int
	// IdleTimeout is the time after which an outbound connection with no queued frames
	// and no pending calls is closed; 0 means 30 s.
	IdleTimeout time.Duration
	// Registry is where metrics are registered, if not nil.
	Registry prometheus.Registerer
	// Allow, if not nil, reports whether sending to a peer is permitted; tests
	// simulate partitions with it.
	Allow func(to Address) bool
}

// Node sends and receives this process's messages. It implements Sender and
// Receiver.
type Node struct {
	options  Options
	listener net.Listener
	packets  *net.UDPConn
	address  Address
	pool     pond.Pool
	metrics  *metrics
	nextID   atomic.Uint64

	calls     map[Kind]CallHandler
	messages  map[Kind]MessageHandler
	datagrams map[Kind]MessageHandler

	// mutex guards the fields below; it is taken before peerClient.mutex.
	mutex   sync.Mutex
	peers   map[peerKey]*peerClient
	inbound map[net.Conn]struct{}
	stopped bool
	stop    chan struct{}
	tasks   sync.WaitGroup
}

// Listen opens the sockets. Register the handlers before calling Serve.
func Listen(options Options) (*Node, error) {
	if options.Keys == nil {
		return nil, trace.BadParameter("transport requires a keyring")
	}
	if options.Workers == 0 {
		options.Workers = defaultWorkers
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = defaultIdleTimeout
	}
	listener, packets, err := listenTCPAndUDP(options.Listen)
	if err != nil {
		return nil, err
	}
	address := options.Advertise
	if address == "" {
		address = listener.Addr().String()
	}
	return &Node{
		options:   options,
		listener:  listener,
		packets:   packets,
		address:   Address(address),
		pool:      pond.NewPool(options.Workers),
		metrics:   newMetrics(options.Registry),
		calls:     map[Kind]CallHandler{},
		messages:  map[Kind]MessageHandler{},
		datagrams: map[Kind]MessageHandler{},
		peers:     map[peerKey]*peerClient{},
		inbound:   map[net.Conn]struct{}{},
		stop:      make(chan struct{}),
	}, nil
}

// listenAttempts bounds the attempts to find a port free for both TCP and UDP.
const listenAttempts = 20

func listenTCPAndUDP(listen string) (net.Listener, *net.UDPConn, error) {
	var lastErr error
	for attempt := 0; attempt < listenAttempts; attempt++ {
		listener, err := net.Listen("tcp", listen)
		if err != nil {
			return nil, nil, trace.Wrap(err, "listening on TCP %s", listen)
		}
		tcp := listener.Addr().(*net.TCPAddr)
		packets, err := net.ListenUDP("udp", &net.UDPAddr{IP: tcp.IP, Port: tcp.Port})
		if err == nil {
			return acceptor.New(listener), packets, nil
		}
		listener.Close()
		lastErr = err
	}
	return nil, nil, trace.Wrap(lastErr, "listening on UDP %s", listen)
}

// Address returns the address at which peers reach this node.
func (n *Node) Address() Address { return n.address }

// HandleCall implements Receiver.
func (n *Node) HandleCall(kind Kind, handler CallHandler) { n.calls[kind] = handler }

// HandleMessage implements Receiver.
func (n *Node) HandleMessage(kind Kind, handler MessageHandler) { n.messages[kind] = handler }

// HandleDatagram implements Receiver.
func (n *Node) HandleDatagram(kind Kind, handler MessageHandler) { n.datagrams[kind] = handler }

// Serve starts the receiving goroutines and returns.
func (n *Node) Serve() {
	n.tasks.Add(2)
	go n.acceptLoop()
	go n.datagramLoop()
}

// Close stops the node; calls in flight fail.
func (n *Node) Close() {
	n.mutex.Lock()
	if n.stopped {
		n.mutex.Unlock()
		return
	}
	n.stopped = true
	close(n.stop)
	for conn := range n.inbound {
		conn.Close()
	}
	n.mutex.Unlock()
	n.listener.Close()
	n.packets.Close()
	n.tasks.Wait()
	n.pool.StopAndWait()
}

// Call implements Sender.
func (n *Node) Call(ctx context.Context, to Address, kind Kind, payload []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultCallTimeout)
	defer cancel()
	if !n.allowed(to) {
		<-ctx.Done()
		return nil, trace.Wrap(ErrNotSent, "sending to peer %s is not allowed", to)
	}
	peer, err := n.peer(peerKey{to, classCall})
	if err != nil {
		return nil, err
	}
	defer n.release(peer)
	deadline, _ := ctx.Deadline()
	id := n.nextID.Add(1)
	header := frameHeader{
		Type:      frameCall,
		Kind:      kind,
		ID:        id,
		TimeoutMS: uint32(max(time.Until(deadline).Milliseconds(), 1)),
	}
	n.metrics.count("call", kind, len(payload))
	answer, err := peer.call(ctx, id, frame{header: header, payload: payload})
	if err != nil {
		return nil, err
	}
	if answer.header.Type == frameFailure {
		return nil, trace.Wrap(&RemoteError{Peer: to, Code: answer.header.Code, Message: string(answer.payload)})
	}
	return answer.payload, nil
}

// Send implements Sender.
func (n *Node) Send(to Address, kind Kind, payload []byte) {
	if !n.allowed(to) {
		return
	}
	peer, err := n.peer(peerKey{to, classMessage})
	if err != nil {
		return
	}
	defer n.release(peer)
	select {
	case peer.queue <- &frame{header: frameHeader{Type: frameMessage, Kind: kind}, payload: payload}:
		n.metrics.count("message", kind, len(payload))
	default:
		n.metrics.dropped.Inc()
	}
}

// Datagram implements Sender.
func (n *Node) Datagram(to Address, kind Kind, payload []byte) error {
	if len(payload) > MaxDatagram {
		return trace.LimitExceeded("datagram of %d bytes exceeds the maximum of %d", len(payload), MaxDatagram)
	}
	if !n.allowed(to) {
		return nil
	}
	target, err := net.ResolveUDPAddr("udp", string(to))
	if err != nil {
		return trace.Wrap(err, "datagram to peer %s", to)
	}
	n.metrics.count("datagram", kind, len(payload))
	_, err = n.packets.WriteToUDP(encodeDatagram(n.options.Keys, kind, payload), target)
	return trace.Wrap(err, "datagram to peer %s", to)
}

func (n *Node) allowed(to Address) bool {
	return n.options.Allow == nil || n.options.Allow(to)
}

// peer returns the client for a peer and traffic class, creating it if needed. The
// caller must release it.
func (n *Node) peer(key peerKey) (*peerClient, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.stopped {
		return nil, trace.Wrap(ErrNotSent, "this node is stopped")
	}
	if peer, ok := n.peers[key]; ok {
		peer.refs++
		return peer, nil
	}
	peer := &peerClient{
		key:     key,
		node:    n,
		queue:   make(chan *frame, queueLength),
		pending: map[uint64]pendingCall{},
		refs:    1,
	}
	n.peers[key] = peer
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		peer.run(n.stop)
	}()
	return peer, nil
}

// release drops the reference that peer returned.
func (n *Node) release(peer *peerClient) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	peer.refs--
}

// removeUnused removes the client unless it is referenced or has queued frames, and
// reports whether it did. Otherwise each peer ever called would keep a queue and a
// goroutine.
func (n *Node) removeUnused(peer *peerClient) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if peer.refs > 0 || len(peer.queue) > 0 {
		return false
	}
	delete(n.peers, peer.key)
	return true
}

func (n *Node) acceptLoop() {
	defer n.tasks.Done()
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return // it is closed
		}
		n.mutex.Lock()
		if n.stopped {
			n.mutex.Unlock()
			conn.Close()
			return
		}
		n.inbound[conn] = struct{}{}
		n.tasks.Add(1)
		n.mutex.Unlock()
		go func() {
			defer n.tasks.Done()
			n.serveInbound(conn)
			n.mutex.Lock()
			delete(n.inbound, conn)
			n.mutex.Unlock()
		}()
	}
}

func (n *Node) serveInbound(conn net.Conn) {
	defer conn.Close()
	established, err := handshake(conn, n.options.Keys, n.address)
	if err != nil {
		n.metrics.refused.Inc()
		EventHandshakeRefused.Verbose(0, err, "peer", conn.RemoteAddr())
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answers := make(chan *frame, answerQueueLength)
	go func() {
		_ = established.writeLoop(answers, ctx.Done())
		conn.Close()
	}()
	for {
		f, err := established.input.read(established.reader)
		if err != nil {
			return
		}
		n.dispatch(ctx, established.peer, f, answers)
	}
}

func (n *Node) dispatch(ctx context.Context, from Address, f frame, answers chan<- *frame) {
	switch f.header.Type {
	case frameMessage:
		if handler, ok := n.messages[f.header.Kind]; ok {
			handler(from, f.payload)
		}
	case frameCall:
		if f.header.Kind == kindPing {
			answerPing(f, answers)
			return
		}
		n.pool.Submit(func() { n.answer(ctx, from, f, answers) })
	}
}

func (n *Node) answer(ctx context.Context, from Address, f frame, answers chan<- *frame) {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(f.header.TimeoutMS)*time.Millisecond)
	defer cancel()
	answer := frame{header: frameHeader{Type: frameAnswer, Kind: f.header.Kind, ID: f.header.ID}}
	handler, ok := n.calls[f.header.Kind]
	if !ok {
		answer.header.Type = frameFailure
		answer.header.Code = CodeNoHandler
		answer.payload = []byte("no handler for this message kind")
	} else if payload, err := handler(callCtx, from, f.payload); err != nil {
		answer.header.Type = frameFailure
		answer.header.Code = remoteCode(err)
		answer.payload = []byte(trace.UserMessage(err))
	} else {
		answer.payload = payload
	}
	select {
	case answers <- &answer:
	case <-ctx.Done():
	}
}

func remoteCode(err error) uint16 {
	var coded CodedError
	if errors.As(err, &coded) {
		return coded.RemoteCode()
	}
	return 0
}

func (n *Node) datagramLoop() {
	defer n.tasks.Done()
	buffer := make([]byte, 64<<10)
	for {
		size, source, err := n.packets.ReadFromUDP(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		kind, payload, err := decodeDatagram(n.options.Keys, buffer[:size])
		if err != nil {
			n.metrics.refused.Inc()
			continue
		}
		if handler, ok := n.datagrams[kind]; ok {
			handler(Address(source.String()), append([]byte(nil), payload...))
		}
	}
}
