package batchwork

import (
	"context"
	"errors"
	"sync"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/transport"
)

var eventBadForShard = telemetry.Define(3215, "shard-message-unreadable", "A peer's message for a regional shard could not be decoded and is ignored.")

// kindForShard wraps a call or message of a regional shard, with its own kind and payload.
// Those of shard 0 are sent unwrapped, for compatibility with deployments without regional
// shards.
const kindForShard transport.Kind = transport.KindBatch + 0x20

type fixedForShard struct {
	Shard uint32
	Kind  uint16
}

var errNoHandler = errors.New("this node has no handler for the shard")

// wrapForShard wraps a message of a regional shard.
func wrapForShard(shard ledger.ShardID, kind transport.Kind, payload []byte) (transport.Kind, []byte) {
	if !shard.Regional() {
		return kind, payload
	}
	return kindForShard, marshal(fixedForShard{uint32(shard), uint16(kind)}, payload)
}

type shardKind struct {
	shard ledger.ShardID
	kind  transport.Kind
}

// Ports shares a node's transport between the shards of batch work. Handlers of regional
// shards may be registered at any time.
type Ports struct {
	sender   transport.Sender
	receiver transport.Receiver

	mutex    sync.RWMutex // guards the fields below; no other lock is taken under it
	calls    map[shardKind]transport.CallHandler
	messages map[shardKind]transport.MessageHandler
}

// NewPorts registers the handlers of wrapped messages; call it before the receiver serves.
func NewPorts(sender transport.Sender, receiver transport.Receiver) *Ports {
	p := &Ports{
		sender: sender, receiver: receiver,
		calls: map[shardKind]transport.CallHandler{}, messages: map[shardKind]transport.MessageHandler{},
	}
	receiver.HandleCall(kindForShard, p.handleWrappedCall)
	receiver.HandleMessage(kindForShard, p.handleWrappedMessage)
	return p
}

func (p *Ports) handleWrappedCall(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
	to, inner, err := unwrapForShard(payload)
	if err != nil {
		return nil, trace.Wrap(err, "decode call of peer %s", from)
	}
	p.mutex.RLock()
	handler := p.calls[to]
	p.mutex.RUnlock()
	switch {
	case handler != nil:
		return handler(ctx, from, inner)
	case to.kind < kindRun: // the caller looks for the leader elsewhere
		return marshal(fixedReply{statusNotLeader}, nil, nil), nil
	}
	return nil, trace.Wrap(errNoHandler)
}

func (p *Ports) handleWrappedMessage(from transport.Address, payload []byte) {
	to, inner, err := unwrapForShard(payload)
	if err != nil {
		eventBadForShard.Error(err, "peer", from)
		return
	}
	p.mutex.RLock()
	handler := p.messages[to]
	p.mutex.RUnlock()
	if handler != nil {
		handler(from, inner)
	}
}

func unwrapForShard(payload []byte) (shardKind, []byte, error) {
	var fixed fixedForShard
	fields, err := unmarshal(payload, &fixed, 1)
	if err != nil {
		return shardKind{}, nil, err
	}
	return shardKind{ledger.ShardID(fixed.Shard), transport.Kind(fixed.Kind)}, fields[0], nil
}

// Port is one shard's view of the transport: a transport.Sender and a transport.Receiver.
type Port struct {
	ports *Ports
	shard ledger.ShardID
}

// For returns the port of a shard.
func (p *Ports) For(shard ledger.ShardID) Port { return Port{p, shard} }

// Call implements transport.Sender.
func (p Port) Call(ctx context.Context, to transport.Address, kind transport.Kind, payload []byte) ([]byte, error) {
	kind, payload = wrapForShard(p.shard, kind, payload)
	return p.ports.sender.Call(ctx, to, kind, payload)
}

// Send implements transport.Sender.
func (p Port) Send(to transport.Address, kind transport.Kind, payload []byte) {
	kind, payload = wrapForShard(p.shard, kind, payload)
	p.ports.sender.Send(to, kind, payload)
}

// Datagram implements transport.Sender.
func (p Port) Datagram(to transport.Address, kind transport.Kind, payload []byte) error {
	kind, payload = wrapForShard(p.shard, kind, payload)
	return p.ports.sender.Datagram(to, kind, payload)
}

// HandleCall implements transport.Receiver.
func (p Port) HandleCall(kind transport.Kind, handler transport.CallHandler) {
	if !p.shard.Regional() {
		p.ports.receiver.HandleCall(kind, handler)
		return
	}
	p.ports.mutex.Lock()
	defer p.ports.mutex.Unlock()
	p.ports.calls[shardKind{p.shard, kind}] = handler
}

// HandleMessage implements transport.Receiver.
func (p Port) HandleMessage(kind transport.Kind, handler transport.MessageHandler) {
	if !p.shard.Regional() {
		p.ports.receiver.HandleMessage(kind, handler)
		return
	}
	p.ports.mutex.Lock()
	defer p.ports.mutex.Unlock()
	p.ports.messages[shardKind{p.shard, kind}] = handler
}

// HandleDatagram implements transport.Receiver; batch work receives no datagrams.
func (p Port) HandleDatagram(kind transport.Kind, handler transport.MessageHandler) {
	p.HandleMessage(kind, handler)
}

var (
	_ transport.Sender   = Port{}
	_ transport.Receiver = Port{}
)
