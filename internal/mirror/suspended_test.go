package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/transport"
)

// pausedSender is a transport on which an answer lies unread while its reader's process
// stands still.
type pausedSender struct {
	*fakeHost
	pause func() // runs once an answer is there
}

func (s *pausedSender) Call(ctx context.Context, to transport.Address, kind transport.Kind, payload []byte) ([]byte, error) {
	answered, err := s.fakeHost.Call(ctx, to, kind, payload)
	if s.pause != nil {
		s.pause()
	}
	return answered, err
}

// What a peer told before this process stood still is not new after it, be it that it was
// frozen or that its machine was suspended.
func TestAnAnswerThatLayWhileTheProcessStoodStillIsOld(t *testing.T) {
	const pause = 20 * time.Second
	for name, standStill := range map[string]func(){
		"frozen":    func() { time.Sleep(pause) },
		"suspended": func() { clock.Skip(pause) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newTestFleet(3, 1)
				defer fleet.close()
				time.Sleep(settle)
				front := fleet.agents["front-00"]
				fleet.affect(fleet.store.ignores, "front-00")
				sender := &pausedSender{fakeHost: fleet.hosts["front-00"], pause: standStill}
				reader := New(Options{
					Self: front.options.Self, Kinds: front.options.Kinds, Store: front.options.Store, Registry: front.options.Registry,
					Sender: sender, Receiver: front.options.Receiver,
				})
				defer reader.Close()
				request, known := reader.pullRequest()
				if err := reader.pullFrom("data-00", request, known, 0); err != nil {
					t.Fatal(err)
				}
				if name == "suspended" {
					defer clock.Skip(-pause)
				}
				if age := reader.Age(kind); age < pause-pullWait-pullSlack {
					t.Errorf("the facts are said to be %v old", age)
				}
			})
		})
	}
}
