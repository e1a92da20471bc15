package agent

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/settings/dissemination"
	"chutelock.dev/chutelock/internal/transport"
)

// register installs the handlers of messages from peers.
func (a *Agent) register() {
	receiver := a.config.Receiver
	receiver.HandleMessage(KindDelta, handle(a, dissemination.UnmarshalDelta,
		func(now time.Time, from transport.Address, delta *dissemination.Delta) []dissemination.Action {
			return a.machine.HandleDelta(now, from, delta)
		}))
	receiver.HandleDatagram(KindDigest, handle(a, dissemination.UnmarshalDigest,
		func(now time.Time, from transport.Address, digest *dissemination.Digest) []dissemination.Action {
			return a.machine.HandleDigest(now, from, digest)
		}))
	receiver.HandleDatagram(KindReport, handle(a, dissemination.UnmarshalReport,
		func(now time.Time, from transport.Address, report *dissemination.Report) []dissemination.Action {
			return a.machine.HandleReport(now, from, report)
		}))
	receiver.HandleDatagram(KindZone, handle(a, dissemination.UnmarshalZoneReport,
		func(now time.Time, _ transport.Address, report *dissemination.ZoneReport) []dissemination.Action {
			return a.machine.HandleZoneReport(now, report)
		}))
	receiver.HandleCall(KindPull, a.handlePull)
	receiver.HandleCall(KindZones, a.handleZones)
}

// handle returns a handler that decodes a message and queues step for the run
// loop.
func handle[M any](a *Agent, decode func([]byte) (*M, error),
	step func(time.Time, transport.Address, *M) []dissemination.Action) transport.MessageHandler {
	return func(from transport.Address, payload []byte) {
		message, err := decode(payload)
		if err != nil {
			eventBadMessage.Error(err, "peer", from)
			return
		}
		a.tryEnqueue(func(now time.Time) { a.execute(step(now, from, message)) })
	}
}

func (a *Agent) handlePull(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
	pull, err := dissemination.UnmarshalPull(payload)
	if err != nil {
		return nil, trace.Wrap(err, "settings pull of peer %s", from)
	}
	var answer *dissemination.PullAnswer
	if err := a.runInLoop(ctx, func(now time.Time) { answer = a.machine.HandlePull(now, pull) }); err != nil {
		return nil, err
	}
	return answer.Marshal()
}

func (a *Agent) handleZones(ctx context.Context, _ transport.Address, _ []byte) ([]byte, error) {
	var zones []dissemination.ZoneStatus
	if err := a.runInLoop(ctx, func(now time.Time) { zones = a.machine.Zones(now) }); err != nil {
		return nil, err
	}
	return dissemination.MarshalZones(zones)
}

// send sends a message or starts a call to a peer.
func (a *Agent) send(action dissemination.Action) {
	switch action := action.(type) {
	case dissemination.SendDelta:
		if payload, ok := checkEncoded(action.Delta.Marshal()); ok {
			a.config.Sender.Send(action.To, KindDelta, payload)
		}
	case dissemination.SendDigest:
		a.datagramSender(action.To, KindDigest)(action.Digest.Marshal())
	case dissemination.SendReport:
		a.datagramSender(action.To, KindReport)(action.Report.Marshal())
	case dissemination.SendZoneReport:
		a.datagramSender(action.To, KindZone)(action.Report.Marshal())
	case dissemination.CallPull:
		a.callPull(action)
	}
}

// checkEncoded logs an encoding error and reports whether there was none.
func checkEncoded(payload []byte, err error) ([]byte, bool) {
	if err != nil {
		eventBadMessage.Error(err, "step", "encode")
	}
	return payload, err == nil
}

// datagramSender returns a function that sends an encoded message as a
// datagram. Send errors are ignored, as datagrams may be lost anyway.
func (a *Agent) datagramSender(to transport.Address, kind transport.Kind) func([]byte, error) {
	return func(payload []byte, err error) {
		if payload, ok := checkEncoded(payload, err); ok {
			_ = a.config.Sender.Datagram(to, kind, payload)
		}
	}
}

// callPull pulls from a peer in the background. The state machine gets a nil
// answer if the call fails.
func (a *Agent) callPull(action dissemination.CallPull) {
	payload, ok := checkEncoded(action.Pull.Marshal())
	if !ok {
		return
	}
	a.metrics.pulls.Inc()
	a.calls.Submit(func() {
		ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
		defer cancel()
		answer := a.pullOnce(ctx, action.To, payload)
		a.enqueue(func(now time.Time) { a.execute(a.machine.HandlePullAnswer(now, action.To, answer)) })
	})
}

func (a *Agent) pullOnce(ctx context.Context, peer transport.Address, payload []byte) *dissemination.PullAnswer {
	data, err := a.config.Sender.Call(ctx, peer, KindPull, payload)
	if err != nil {
		return nil
	}
	answer, err := dissemination.UnmarshalPullAnswer(data)
	if err != nil {
		eventBadMessage.Error(err, "peer", peer)
		return nil
	}
	return answer
}
