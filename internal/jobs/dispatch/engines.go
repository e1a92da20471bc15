package dispatch

import (
	"sort"
	"time"

	"chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/engine"
)

// gained notes an engine that this node is home of from now on.
func (s *scheduler) gained(now time.Time, name string, models []string, leaving bool) {
	at, ok := s.engines[name]
	if !ok {
		at = &home{name: name, streams: map[string]*stream{}}
		s.engines[name] = at
		s.step(now, batch.Event{Kind: batch.EventEngineOwned, Engine: name})
	}
	at.models = models
	at.leaving = leaving
}

// load gives a report of an engine to the policy.
func (s *scheduler) load(now time.Time, name string, load engine.Load) {
	at, ok := s.engines[name]
	if !ok {
		return
	}
	if len(load.Models) > 0 {
		at.models = load.Models
	}
	if load.Draining {
		s.setLeaving(now, name, true)
	}
	s.step(now, batch.Event{Kind: batch.EventLoad, Engine: name, Load: load})
}

// setLeaving stops new work for an engine, or allows it again.
func (s *scheduler) setLeaving(now time.Time, name string, leaving bool) {
	at, ok := s.engines[name]
	if !ok || at.leaving == leaving {
		return
	}
	at.leaving = leaving
	if !leaving {
		s.step(now, batch.Event{Kind: batch.EventEngineOwned, Engine: name})
		return
	}
	s.step(now, batch.Event{Kind: batch.EventEngineGone, Engine: name})
	s.moveSuspended(now, at)
}

func (s *scheduler) moveSuspended(now time.Time, at *home) {
	for _, id := range sortedStreams(at) {
		if at.streams[id].state == streamSuspended {
			s.move(now, id)
		}
	}
}

func sortedStreams(at *home) []string {
	identifiers := make([]string, 0, len(at.streams))
	for id := range at.streams {
		identifiers = append(identifiers, id)
	}
	sort.Strings(identifiers)
	return identifiers
}

// lost moves all work off an engine that has another home now: its new home
// gets the online events, so only that one can take batch back in time.
func (s *scheduler) lost(now time.Time, name string) {
	at, ok := s.engines[name]
	if !ok {
		return
	}
	at.leaving = true
	s.step(now, batch.Event{Kind: batch.EventEngineGone, Engine: name})
	for _, id := range sortedStreams(at) {
		s.move(now, id)
	}
	delete(s.engines, name)
}

// online tells the policy of an online request.
func (s *scheduler) online(now time.Time, event batch.Event) {
	if _, ok := s.engines[event.Engine]; ok {
		s.step(now, event)
	}
}

// drain stops new work and hands back what waits or is parked; what runs goes
// on.
func (s *scheduler) drain(now time.Time) {
	s.draining = true
	for _, source := range s.supplies {
		for _, queued := range source.queue {
			s.giveBack(queued)
		}
		source.queue = nil
	}
	for _, at := range s.engines {
		s.moveSuspended(now, at)
	}
}

// cancelAll moves every running stream off its engine; while draining, their
// items are handed back.
func (s *scheduler) cancelAll(now time.Time) {
	for _, running := range s.streams {
		s.move(now, running.id)
	}
}
