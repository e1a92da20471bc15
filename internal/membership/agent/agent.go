// Package agent runs the membership protocol of package swim over the
// transport and publishes its view.
package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/membership/swim"
	"chutelock.dev/chutelock/internal/transport"
)

// Message kinds of membership.
const (
	KindDatagram = transport.KindMembership + 1
	KindSync     = transport.KindMembership + 2
)

const (
	syncTimeout = 2 * time.Second
	syncWorkers = 2
	syncQueue   = 16
)

// Config sets an agent up. Config.Protocol.Self.Incarnation may be zero: the
// agent then takes the start time.
type Config struct {
	Protocol swim.Config
	Sender   transport.Sender
	Receiver transport.Receiver
}

// Agent keeps a node's membership. It implements membership.Source; all
// methods may be called concurrently.
type Agent struct {
	sender transport.Sender
	calls  pond.Pool
	view   atomic.Pointer[membership.View]

	// mutex guards node and what follows; nothing is sent and no other lock
	// is taken while it is held.
	mutex      sync.Mutex
	node       *swim.Node
	version    uint64
	statistics swim.Statistics
	superseded bool
}

var _ membership.Source = (*Agent)(nil)

// New returns an agent and registers its handlers; Run starts it.
func New(config Config) *Agent {
	now := time.Now()
	if config.Protocol.Self.Incarnation == 0 {
		config.Protocol.Self.Incarnation = uint64(now.UnixMilli())
	}
	if config.Protocol.Seed == 0 {
		config.Protocol.Seed = uint64(now.UnixNano())
	}
	agent := &Agent{
		sender: config.Sender,
		calls:  pond.NewPool(syncWorkers, pond.WithQueueSize(syncQueue), pond.WithNonBlocking(true)),
		node:   swim.New(config.Protocol, now),
	}
	agent.view.Store(&membership.View{})
	agent.publish()
	config.Receiver.HandleDatagram(KindDatagram, agent.handleDatagram)
	config.Receiver.HandleCall(KindSync, agent.handleSync)
	return agent
}

// Run drives the protocol until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	ticker := time.NewTicker(swim.TickInterval)
	defer ticker.Stop()
	defer a.calls.StopAndWait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.send(ctx, a.step(func(now time.Time) []swim.Output {
				outputs := a.node.Tick(now)
				a.publish()
				return outputs
			}))
		}
	}
}

// View returns the newest view.
func (a *Agent) View() *membership.View { return a.view.Load() }

// Self returns this node's own record.
func (a *Agent) Self() membership.Member {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.node.Self()
}

// Statistics returns the protocol's counts.
func (a *Agent) Statistics() swim.Statistics {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.node.Statistics()
}

// Leave announces this node's planned stop to the others; it goes on to answer.
func (a *Agent) Leave() {
	a.send(context.Background(), a.step(func(now time.Time) []swim.Output { return a.node.Leave(now) }))
}

// SetContacts passes addresses of nodes from the platform's machine list.
func (a *Agent) SetContacts(addresses []transport.Address) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.node.SetContacts(addresses)
}

// step runs the protocol once.
func (a *Agent) step(run func(now time.Time) []swim.Output) []swim.Output {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	outputs := run(time.Now())
	a.tellOwn()
	return outputs
}

// publish stores a new view after changes, with every tick, so that many
// changes that come together cost one view. The mutex is held, but by New.
func (a *Agent) publish() {
	if a.node.Version() == a.version {
		return
	}
	a.version = a.node.Version()
	previous := a.view.Load()
	next := &membership.View{Members: a.node.Members()}
	a.view.Store(next)
	tellChanges(previous, next, a.node.Self().Name)
}

// tellOwn emits the events about this node itself.
func (a *Agent) tellOwn() {
	statistics := a.node.Statistics()
	if statistics.Refuted > a.statistics.Refuted {
		eventRefuted.Info("incarnation", a.node.Self().Incarnation)
	}
	if statistics.Pauses > a.statistics.Pauses {
		eventPaused.Info("pauses", statistics.Pauses)
	}
	if a.node.Superseded() && !a.superseded {
		eventSuperseded.Error(trace.BadParameter("two processes of one name"), "name", a.node.Self().Name)
	}
	a.statistics, a.superseded = statistics, a.node.Superseded()
}

// tellChanges emits the events that lead from one view to the next.
func tellChanges(previous, next *membership.View, self string) {
	for _, member := range next.Members {
		before, known := previous.Member(member.Name)
		if member.Name == self || (known && before.State == member.State && before.Incarnation == member.Incarnation) {
			continue
		}
		details := []any{"member", member.Name, "zone", member.Zone, "incarnation", member.Incarnation}
		switch member.State {
		case membership.StateAlive:
			eventJoined.Info(details...)
		case membership.StateSuspect:
			eventSuspected.Info(details...)
		case membership.StateLeaving:
			eventLeaving.Info(details...)
		case membership.StateDead:
			eventDied.Info(details...)
		}
	}
}

// send carries out the protocol's outputs.
func (a *Agent) send(ctx context.Context, outputs []swim.Output) {
	for _, output := range outputs {
		if output.Call {
			a.calls.Submit(func() { a.callSync(ctx, output) })
			continue
		}
		// A datagram may be lost anyway; the protocol repeats what matters.
		_ = a.sender.Datagram(output.To, KindDatagram, output.Payload)
	}
}

func (a *Agent) callSync(ctx context.Context, output swim.Output) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	answer, err := a.sender.Call(ctx, output.To, KindSync, output.Payload)
	if err != nil {
		return // the next digest asks again
	}
	outputs := a.step(func(now time.Time) []swim.Output {
		outputs, failure := a.node.HandleSyncAnswer(now, answer)
		err = failure
		return outputs
	})
	a.reject(output.To, err)
	a.send(ctx, outputs)
}

func (a *Agent) handleDatagram(from transport.Address, payload []byte) {
	var err error
	outputs := a.step(func(now time.Time) []swim.Output {
		outputs, failure := a.node.HandleDatagram(now, from, payload)
		err = failure
		return outputs
	})
	a.reject(from, err)
	a.send(context.Background(), outputs)
}

func (a *Agent) handleSync(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
	var answer []byte
	var err error
	outputs := a.step(func(now time.Time) []swim.Output {
		var outputs []swim.Output
		answer, outputs, err = a.node.HandleSync(now, payload)
		return outputs
	})
	a.reject(from, err)
	a.send(context.WithoutCancel(ctx), outputs)
	return answer, trace.Wrap(err, "membership sync from %s", from)
}

func (a *Agent) reject(from transport.Address, err error) {
	if err != nil {
		eventBadMessage.Error(err, "peer", string(from))
	}
}
