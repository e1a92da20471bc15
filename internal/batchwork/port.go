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

var eventBadForShard = telemetry.Define(3215, "shard-message-unreadable", "A peer's message about a region's shard could not be decoded and is passed over.")

// kindForShard is a call or message about a region's shard; its kind and payload stand
// inside. Those about shard 0 are sent as they are, so that a deployment without
// regions' shards sends what it always did.
const kindForShard transport.Kind = transport.KindBatch + 0x20

type fixedForShard struct {
	Shard uint32
	Kind  uint16
}

var errNoHandler = errors.New("this node has nothing to do with that shard")

// addressed wraps what is for a region's shard.
func addressed(shard ledger.ShardID, kind transport.Kind, payload []byte) (transport.Kind, []byte) {
	if !shard.Regional() {
		return kind, payload
	}
	return kindForShard, marshal(fixedForShard{uint32(shard), uint16(kind)}, payload)
}

type shardKind struct {
	shard ledger.ShardID
	kind  transport.Kind
}

// Ports share a node's transport between the shards of batch work. Handlers for
// regions' shards may come at any time.
type Ports struct {
	sender   transport.Sender
	receiver transport.Receiver

	mutex    sync.RWMutex // guards what is below; a leaf
	calls    map[shardKind]transport.CallHandler
	messages map[shardKind]transport.MessageHandler
}

// NewPorts registers the handlers of what is wrapped; before the receiver serves.
func NewPorts(sender transport.Sender, receiver transport.Receiver) *Ports {
	p := &Ports{
		sender: sender, receiver: receiver,
		calls: map[shardKind]transport.CallHandler{}, messages: map[shardKind]transport.MessageHandler{},
	}
	receiver.HandleCall(kindForShard, p.takeCall)
	receiver.HandleMessage(kindForShard, p.takeMessage)
	return p
}

func (p *Ports) takeCall(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
	to, inner, err := unwrap(payload)
	if err != nil {
		return nil, trace.Wrap(err, "call of peer %s", from)
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

func (p *Ports) takeMessage(from transport.Address, payload []byte) {
	to, inner, err := unwrap(payload)
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

func unwrap(payload []byte) (shardKind, []byte, error) {
	var fixed fixedForShard
	fields, err := unmarshal(payload, &fixed, 1)
	if err != nil {
		return shardKind{}, nil, err
	}
	return shardKind{ledger.ShardID(fixed.Shard), transport.Kind(fixed.Kind)}, fields[0], nil
}

// Port is the transport as batch work of one shard sees it: a transport.Sender and a
// transport.Receiver.
type Port struct {
	ports *Ports
	shard ledger.ShardID
}

// For returns the port of a shard.
func (p *Ports) For(shard ledger.ShardID) Port { return Port{p, shard} }

// Call implements transport.Sender.
func (p Port) Call(ctx context.Context, to transport.Address, kind transport.Kind, payload []byte) ([]byte, error) {
	kind, payload = addressed(p.shard, kind, payload)
	return p.ports.sender.Call(ctx, to, kind, payload)
}

// Send implements transport.Sender.
func (p Port) Send(to transport.Address, kind transport.Kind, payload []byte) {
	kind, payload = addressed(p.shard, kind, payload)
	p.ports.sender.Send(to, kind, payload)
}

// Datagram implements transport.Sender.
func (p Port) Datagram(to transport.Address, kind transport.Kind, payload []byte) error {
	kind, payload = addressed(p.shard, kind, payload)
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

// HandleDatagram implements transport.Receiver; batch work takes none.
func (p Port) HandleDatagram(kind transport.Kind, handler transport.MessageHandler) {
	p.HandleMessage(kind, handler)
}

var (
	_ transport.Sender   = Port{}
	_ transport.Receiver = Port{}
)
