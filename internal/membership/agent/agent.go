// Package agent runs the membership protocol of package swim over the
// transport and publishes the resulting view.
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

// Transport message kinds of the membership protocol.
const (
	KindDatagram = transport.KindMembership + 1
	KindSync     = transport.KindMembership + 2
)

const (
	syncTimeout = 2 * time.Second
	syncWorkers = 2
	syncQueue   = 16
)

// Config configures an Agent. A zero Protocol.Self.Incarnation is replaced by
// the start time in Unix milliseconds.
type Config struct {
	Protocol swim.Config
	Sender   transport.Sender
	Receiver transport.Receiver
}

// Agent maintains a node's view of the membership. It implements
// membership.Source; its methods are safe for concurrent use.
type Agent struct {
	sender   transport.Sender
	callPool pond.Pool
	view     atomic.Pointer[membership.View]

	// mutex guards the fields below. No message is sent and no other lock is
	// taken while it is held.
	mutex      sync.Mutex
	node       *swim.Node
	version    uint64
	statistics swim.Statistics
	superseded bool
}

var _ membership.Source = (*Agent)(nil)

// New returns an agent and registers its message handlers; Run starts the
// protocol.
func New(config Config) *Agent {
	now := time.Now()
	if config.Protocol.Self.Incarnation == 0 {
		config.Protocol.Self.Incarnation = uint64(now.UnixMilli())
	}
	if config.Protocol.Seed == 0 {
		config.Protocol.Seed = uint64(now.UnixNano())
	}
	agent := &Agent{
		sender:   config.Sender,
		callPool: pond.NewPool(syncWorkers, pond.WithQueueSize(syncQueue), pond.WithNonBlocking(true)),
		node:     swim.New(config.Protocol, now),
	}
	agent.view.Store(&membership.View{})
	agent.publish()
	config.Receiver.HandleDatagram(KindDatagram, agent.handleDatagram)
	config.Receiver.HandleCall(KindSync, agent.handleSync)
	return agent
}

// Run ticks the protocol until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	ticker := time.NewTicker(swim.TickInterval)
	defer ticker.Stop()
	defer a.callPool.StopAndWait()
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

// View returns the latest published view.
func (a *Agent) View() *membership.View { return a.view.Load() }

// Self returns this node's own record.
func (a *Agent) Self() membership.Member {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.node.Self()
}

// Statistics returns the protocol's counters.
func (a *Agent) Statistics() swim.Statistics {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.node.Statistics()
}

// Leave announces this node's planned stop. The node continues to answer.
func (a *Agent) Leave() {
	a.send(context.Background(), a.step(func(now time.Time) []swim.Output { return a.node.Leave(now) }))
}

// SetContacts sets the addresses from the platform's machine list at which other
// nodes may be found.
func (a *Agent) SetContacts(addresses []transport.Address) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.node.SetContacts(addresses)
}

// step calls run under the mutex and logs the resulting events of this node.
func (a *Agent) step(run func(now time.Time) []swim.Output) []swim.Output {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	outputs := run(time.Now())
	a.logSelfEvents()
	return outputs
}

// publish stores a new view if members changed. It is called once a tick, so that
// a burst of changes creates one view. Callers other than New hold the mutex.
func (a *Agent) publish() {
	if a.node.Version() == a.version {
		return
	}
	a.version = a.node.Version()
	previous := a.view.Load()
	next := &membership.View{Members: a.node.Members()}
	a.view.Store(next)
	logMemberEvents(previous, next, a.node.Self().Name)
}

// logSelfEvents logs the events about this node itself.
func (a *Agent) logSelfEvents() {
	statistics := a.node.Statistics()
	if statistics.Refuted > a.statistics.Refuted {
		eventRefuted.Info("incarnation", a.node.Self().Incarnation)
	}
	if statistics.Pauses > a.statistics.Pauses {
		eventPaused.Info("pauses", statistics.Pauses)
	}
	if a.node.Superseded() && !a.superseded {
		eventSuperseded.Error(trace.BadParameter("another process uses this node's name"), "name", a.node.Self().Name)
	}
	a.statistics, a.superseded = statistics, a.node.Superseded()
}

// logMemberEvents logs the differences between two views, except for self.
func logMemberEvents(previous, next *membership.View, self string) {
	for _, member := range next.Members {
		last, known := previous.Member(member.Name)
		if member.Name == self || (known && last.State == member.State && last.Incarnation == member.Incarnation) {
			continue
		}
		attrs := []any{"member", member.Name, "zone", member.Zone, "incarnation", member.Incarnation}
		switch member.State {
		case membership.StateAlive:
			eventJoined.Info(attrs...)
		case membership.StateSuspect:
			eventSuspected.Info(attrs...)
		case membership.StateLeaving:
			eventLeaving.Info(attrs...)
		case membership.StateDead:
			eventDied.Info(attrs...)
		}
	}
}

// send sends the protocol's outgoing messages.
func (a *Agent) send(ctx context.Context, outputs []swim.Output) {
	for _, output := range outputs {
		if output.Call {
			a.callPool.Submit(func() { a.callSync(ctx, output) })
			continue
		}
		// Datagrams may be lost; the protocol retransmits.
		_ = a.sender.Datagram(output.To, KindDatagram, output.Payload)
	}
}

func (a *Agent) callSync(ctx context.Context, output swim.Output) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	answer, err := a.sender.Call(ctx, output.To, KindSync, output.Payload)
	if err != nil {
		return // the next digest starts a new sync
	}
	outputs := a.step(func(now time.Time) []swim.Output {
		outputs, failure := a.node.HandleSyncAnswer(now, answer)
		err = failure
		return outputs
	})
	a.logBadMessage(output.To, err)
	a.send(ctx, outputs)
}

func (a *Agent) handleDatagram(from transport.Address, payload []byte) {
	var err error
	outputs := a.step(func(now time.Time) []swim.Output {
		outputs, failure := a.node.HandleDatagram(now, from, payload)
		err = failure
		return outputs
	})
	a.logBadMessage(from, err)
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
	a.logBadMessage(from, err)
	a.send(context.WithoutCancel(ctx), outputs)
	return answer, trace.Wrap(err, "membership sync from %s", from)
}

func (a *Agent) logBadMessage(from transport.Address, err error) {
	if err != nil {
		eventBadMessage.Error(err, "peer", string(from))
	}
}
