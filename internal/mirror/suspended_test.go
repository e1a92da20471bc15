package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/transport"
)

// pausingSender pauses the process between the arrival of a response and its reading.
type pausingSender struct {
	*fakeHost
	pause func() // called when a response has arrived
}

func (s *pausingSender) Call(ctx context.Context, to transport.Address, kind transport.Kind, payload []byte) ([]byte, error) {
	response, err := s.fakeHost.Call(ctx, to, kind, payload)
	if s.pause != nil {
		s.pause()
	}
	return response, err
}

// A response that was received before the process was frozen, or its machine suspended, must not
// count as fresh afterwards.
func TestResponseReadAfterProcessPauseIsOld(t *testing.T) {
	const pause = 20 * time.Second
	for name, pauseProcess := range map[string]func(){
		"frozen":    func() { time.Sleep(pause) },
		"suspended": func() { clock.SimulateSuspension(pause) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newTestFleet(3, 1)
				defer fleet.close()
				time.Sleep(settleTime)
				front := fleet.agents["front-00"]
				fleet.markNodes(fleet.store.unanswered, "front-00")
				sender := &pausingSender{fakeHost: fleet.hosts["front-00"], pause: pauseProcess}
				reader := New(Options{
					Self: front.options.Self, Kinds: front.options.Kinds, Store: front.options.Store, Registry: front.options.Registry,
					Sender: sender, Receiver: front.options.Receiver,
				})
				defer reader.Close()
				request, synced := reader.newPullRequest()
				if err := reader.pullFrom("data-00", request, synced, 0); err != nil {
					t.Fatal(err)
				}
				if name == "suspended" {
					defer clock.SimulateSuspension(-pause)
				}
				if age := reader.Age(kind); age < pause-pullWait-pullSlack {
					t.Errorf("the reported age is %v", age)
				}
			})
		})
	}
}
