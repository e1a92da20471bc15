package dispatch

import (
	"sort"
	"time"

	"chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/engine"
)

// gained adds an engine whose home is now this node.
func (s *scheduler) gained(now time.Time, name string, models []string, leaving bool) {
	home, ok := s.engines[name]
	if !ok {
		home = &homeEngine{name: name, streams: map[string]*stream{}}
		s.engines[name] = home
		s.stepPolicy(now, batch.Event{Kind: batch.EventEngineOwned, Engine: name})
	}
	home.models = models
	home.leaving = leaving
}

// load passes a load report of an engine to the policy.
func (s *scheduler) load(now time.Time, name string, load engine.Load) {
	home, ok := s.engines[name]
	if !ok {
		return
	}
	if len(load.Models) > 0 {
		home.models = load.Models
	}
	if load.Draining {
		s.setLeaving(now, name, true)
	}
	s.stepPolicy(now, batch.Event{Kind: batch.EventLoad, Engine: name, Load: load})
}

// setLeaving stops or resumes the start of items at an engine.
func (s *scheduler) setLeaving(now time.Time, name string, leaving bool) {
	home, ok := s.engines[name]
	if !ok || home.leaving == leaving {
		return
	}
	home.leaving = leaving
	if !leaving {
		s.stepPolicy(now, batch.Event{Kind: batch.EventEngineOwned, Engine: name})
		return
	}
	s.stepPolicy(now, batch.Event{Kind: batch.EventEngineGone, Engine: name})
	s.moveSuspended(now, home)
}

func (s *scheduler) moveSuspended(now time.Time, home *homeEngine) {
	for _, id := range sortedStreams(home) {
		if home.streams[id].state == streamSuspended {
			s.move(now, id)
		}
	}
}

func sortedStreams(home *homeEngine) []string {
	identifiers := make([]string, 0, len(home.streams))
	for id := range home.streams {
		identifiers = append(identifiers, id)
	}
	sort.Strings(identifiers)
	return identifiers
}

// lost moves all streams off an engine whose home is now another node: only
// the new home gets the online events on which batch work must yield.
func (s *scheduler) lost(now time.Time, name string) {
	home, ok := s.engines[name]
	if !ok {
		return
	}
	home.leaving = true
	s.stepPolicy(now, batch.Event{Kind: batch.EventEngineGone, Engine: name})
	for _, id := range sortedStreams(home) {
		s.move(now, id)
	}
	delete(s.engines, name)
}

// onlineRequest passes the start or end of an online request to the policy.
func (s *scheduler) onlineRequest(now time.Time, event batch.Event) {
	if _, ok := s.engines[event.Engine]; ok {
		s.stepPolicy(now, event)
	}
}

// drain stops new work and hands back queued and suspended items; running
// streams continue.
func (s *scheduler) drain(now time.Time) {
	s.draining = true
	for _, queue := range s.modelQueues {
		for _, queued := range queue.tasks {
			s.handBack(queued)
		}
		queue.tasks = nil
	}
	for _, home := range s.engines {
		s.moveSuspended(now, home)
	}
}

// cancelAll moves every stream with a repeatable item off its engine; while
// draining, their items are handed back.
func (s *scheduler) cancelAll(now time.Time) {
	for _, running := range s.streams {
		s.move(now, running.id)
	}
}
