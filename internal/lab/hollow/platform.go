package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/platform"
)

// store is a platform of which only the engines' list can be read.
type store struct {
	platform.Store
	objects  []platform.Object
	watchers atomic.Int64
	mostSeen atomic.Int64
}

func newStore(specs []fleet.Spec) (*store, error) {
	made := &store{}
	for _, spec := range specs {
		encoded, err := json.Marshal(spec)
		if err != nil {
			return nil, fmt.Errorf("encoding engine %s: %w", spec.Name, err)
		}
		made.objects = append(made.objects, platform.Object{
			Kind: platform.KindEngine, Name: spec.Name, Revision: 1, Spec: encoded,
		})
	}
	return made, nil
}

// List returns all engines.
func (s *store) List(context.Context, string) ([]platform.Object, uint64, error) {
	return s.objects, 1, nil
}

// Watch counts the watchers; nothing changes.
func (s *store) Watch(ctx context.Context, _ string, _ uint64, _ func(platform.Event) error) error {
	if open := s.watchers.Add(1); open > s.mostSeen.Load() {
		s.mostSeen.Store(open)
	}
	defer s.watchers.Add(-1)
	<-ctx.Done()
	return ctx.Err()
}

// madeEngine answers polls after a moment.
type madeEngine struct {
	engine.Client
	models   []string
	polls    atomic.Int64
	draining atomic.Bool
	stopped  atomic.Bool
}

// answerTime is how long a made-up engine takes to answer a poll.
const answerTime = 2 * time.Millisecond

// Load makes a report up that changes from poll to poll.
func (e *madeEngine) Load(ctx context.Context) (engine.Load, error) {
	count := e.polls.Add(1)
	select {
	case <-ctx.Done():
		return engine.Load{}, ctx.Err()
	case <-time.After(answerTime):
	}
	if e.stopped.Load() {
		return engine.Load{}, &engine.Error{Step: "connect", Fate: engine.FateNotRun, Err: syscall.ECONNREFUSED}
	}
	return engine.Load{
		At: time.Now(), Running: int(count * 7 % 60), Waiting: int(count % 5), RunningBatch: int(count % 11),
		KVUse: float64(count%100) / 100, TokensPerStep: 40, StepTime: 20 * time.Millisecond,
		Draining: e.draining.Load(), Models: e.models,
	}, nil
}
