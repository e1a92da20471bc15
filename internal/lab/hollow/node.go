package hollow

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet/registry"
	"chutelock.dev/chutelock/internal/fleet/tracker"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/membership/agent"
	"chutelock.dev/chutelock/internal/membership/swim"
	"chutelock.dev/chutelock/internal/transport"
)

// Bytes on the wire beside a payload: IP, UDP, the transport's header and MAC;
// and for a call, estimated, its two frames with their acknowledgements.
const (
	datagramOverhead = 28 + 3 + 16
	callOverhead     = 2 * (2*52 + 24 + 16)
)

// hollowIdle closes the connections of the start before the measurement, as
// the default of 30 s would a little later.
const hollowIdle = 2 * time.Second

// meter counts what a node sends and receives, by concern.
type meter struct {
	transport *transport.Node
	sent      [2]atomic.Int64
	received  [2]atomic.Int64
}

const (
	concernMembership = iota
	concernFleet
)

func concernOf(kind transport.Kind) int {
	if kind&0xff00 == transport.KindFleet {
		return concernFleet
	}
	return concernMembership
}

// Call implements transport.Sender.
func (m *meter) Call(ctx context.Context, to transport.Address, kind transport.Kind, payload []byte) ([]byte, error) {
	m.sent[concernOf(kind)].Add(int64(len(payload) + callOverhead/2))
	answer, err := m.transport.Call(ctx, to, kind, payload)
	m.received[concernOf(kind)].Add(int64(len(answer) + callOverhead/2))
	return answer, err
}

// Send implements transport.Sender.
func (m *meter) Send(to transport.Address, kind transport.Kind, payload []byte) {
	m.transport.Send(to, kind, payload)
}

// Datagram implements transport.Sender.
func (m *meter) Datagram(to transport.Address, kind transport.Kind, payload []byte) error {
	m.sent[concernOf(kind)].Add(int64(len(payload) + datagramOverhead))
	return m.transport.Datagram(to, kind, payload)
}

// HandleCall implements transport.Receiver.
func (m *meter) HandleCall(kind transport.Kind, handler transport.CallHandler) {
	m.transport.HandleCall(kind, func(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
		m.received[concernOf(kind)].Add(int64(len(payload) + callOverhead/2))
		answer, err := handler(ctx, from, payload)
		m.sent[concernOf(kind)].Add(int64(len(answer) + callOverhead/2))
		return answer, err
	})
}

// HandleMessage implements transport.Receiver.
func (m *meter) HandleMessage(kind transport.Kind, handler transport.MessageHandler) {
	m.transport.HandleMessage(kind, handler)
}

// HandleDatagram implements transport.Receiver.
func (m *meter) HandleDatagram(kind transport.Kind, handler transport.MessageHandler) {
	m.transport.HandleDatagram(kind, func(from transport.Address, payload []byte) {
		m.received[concernOf(kind)].Add(int64(len(payload) + datagramOverhead))
		handler(from, payload)
	})
}

// node is one hollow node.
type node struct {
	meter   *meter
	members *agent.Agent
	engines *tracker.Tracker
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	// wasReady belongs to the goroutine that runs the fleet.
	wasReady bool
}

func (f *fleetRun) startNode(ctx context.Context, index int, seeds []transport.Address) (*node, error) {
	link, err := transport.Listen(transport.Options{
		Listen: "127.0.0.1:0", Keys: f.keys, Workers: 4, IdleTimeout: hollowIdle,
	})
	if err != nil {
		return nil, trace.Wrap(err, "hollow node %d", index)
	}
	made := &node{meter: &meter{transport: link}}
	zone, region := f.config.place(index)
	made.members = agent.New(agent.Config{
		Protocol: swim.Config{
			Self: membership.Member{
				Name: fmt.Sprintf("node-%03d", index), Address: link.Address(), Zone: zone, Region: region,
			},
			Seeds: seeds, Seed: uint64(index + 1),
		},
		Sender: made.meter, Receiver: made.meter,
	})
	made.engines = tracker.New(tracker.Config{
		Registry: registry.Config{Seed: uint64(index + 1)},
		Members:  made.members, Sender: made.meter, Receiver: made.meter,
		Store: f.store,
		Dial:  func(address string) engine.Client { return f.made[address] },
	})
	ctx, made.cancel = context.WithCancel(ctx)
	link.Serve()
	for _, run := range []func(context.Context){made.members.Run, made.engines.Run} {
		made.tasks.Add(1)
		go func() {
			defer made.tasks.Done()
			run(ctx)
		}()
	}
	return made, nil
}

func (n *node) stop() {
	n.cancel()
	n.tasks.Wait()
	n.meter.transport.Close()
}
