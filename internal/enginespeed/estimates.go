package enginespeed

import (
	"math"
	"time"
)

// Key identifies an engine in messages.
type Key uint32

const (
	// MinSlowness and MaxSlowness bound an engine's reported slowness. Beyond the maximum it
	// makes no difference, as an engine that slow is used last.
	MinSlowness, MaxSlowness = 0.5, 8
	// minPace and maxPace bound an engine's relative pace: services have engines of a few
	// hardware generations, and a figure beyond that is a fault.
	minPace, maxPace = 0.4, 2.5
	// slownessLifetime is how long a report of the slowness counts, linearly less with its
	// age: it changes several times a second.
	slownessLifetime = 600 * time.Millisecond
	// meanTime is the averaging time of an engine's mean slowness, to which an aging report
	// gives way, and meanLifetime how long the mean counts after the last report.
	meanTime     = time.Second
	meanLifetime = 3 * time.Second
	// maxMeanWeight bounds the weight of one report in the mean, however long the pause
	// before it.
	maxMeanWeight = 0.3
	// paceWeight is the minimum weight of the newest run in an engine's pace.
	paceWeight = 0.1
	// paceConfidence is the number of runs after which an engine's relative pace counts half.
	paceConfidence = 2
	// usualSlowness bounds the slowness during runs from which the pace is learned.
	usualSlowness = 1.25
	// holdWeight is the weight of the newest run in a service's mean hold time.
	holdWeight = 0.05
	// minHoldRuns is the number of runs from which on a service's mean hold time is used.
	minHoldRuns = 5
	// idleTTL is how long an engine without observations is kept.
	idleTTL = time.Minute
)

// engine holds the observations of one incarnation of an engine.
type engine struct {
	id      string
	service string
	// slowness is the newest report, received at heardAt, and meanSlowness the average of
	// reports.
	slowness, meanSlowness float64
	heardAt                time.Time
	reports                uint64 // sequence number of the newest report; see log
	logPace                float64
	runs                   int
	pace                   float64 // relative to the service
	observedAt             time.Time
}

// service holds the sum of the logarithms of its engines' paces, and its mean hold time and
// number of events a run at an engine of factor 1.
type service struct {
	sumLogPace float64
	engines    int
	hold       float64
	holds      int
	events     float64
}

// Estimates holds the estimates of engines. It is not safe for concurrent use.
type Estimates struct {
	engines  map[Key]*engine
	services map[string]*service
	log      observationLog
}

// New returns empty estimates.
func New() *Estimates {
	return &Estimates{engines: map[Key]*engine{}, services: map[string]*service{}}
}

// engine returns the state of an engine's current incarnation.
func (e *Estimates) engine(key Key, id string, now time.Time) *engine {
	state := e.engines[key]
	if state == nil || state.id != id {
		e.drop(key)
		state = &engine{id: id, meanSlowness: 1, pace: 1}
		e.engines[key] = state
	}
	state.observedAt = now
	return state
}

func (e *Estimates) drop(key Key) {
	if state := e.engines[key]; state != nil && state.runs > 0 {
		of := e.service(state.service)
		of.sumLogPace -= state.logPace
		of.engines--
	}
	delete(e.engines, key)
}

func (e *Estimates) service(name string) *service {
	state := e.services[name]
	if state == nil {
		state = &service{}
		e.services[name] = state
	}
	return state
}

// Source tells where an observation comes from.
type Source struct {
	// Peer is the node that sent it; empty if this node made it.
	Peer string
	// Relayed is set if the peer had it from another node.
	Relayed bool
}

// Slowness records that an engine reported its slowness at a time, which may be in the past
// if a peer received the report. Older reports than the newest known are ignored.
func (e *Estimates) Slowness(key Key, id string, slowness float64, at, now time.Time, source Source) {
	if !(slowness > 0) { // also not a number
		return
	}
	slowness = min(max(slowness, MinSlowness), MaxSlowness)
	state := e.engine(key, id, now)
	if !at.After(state.heardAt) {
		return
	}
	weight := min(maxMeanWeight, at.Sub(state.heardAt).Seconds()/meanTime.Seconds())
	state.meanSlowness += weight * (slowness - state.meanSlowness)
	state.slowness, state.heardAt = slowness, at
	state.reports = e.log.add(observation{key: key, at: at, slowness: slowness, source: source})
}

// SlownessAt returns an engine's estimated slowness; 1 if it has no recent report.
func (e *Estimates) SlownessAt(key Key, now time.Time) float64 {
	state := e.engines[key]
	if state == nil {
		return 1
	}
	return state.slownessAt(now)
}

func (s *engine) slownessAt(now time.Time) float64 {
	age := now.Sub(s.heardAt)
	if age >= meanLifetime {
		return 1
	}
	usual := 1 + (s.meanSlowness-1)*remaining(age, meanLifetime)
	return usual + (s.slowness-usual)*remaining(age, slownessLifetime)
}

// remaining returns the part of a lifetime that is left at an age.
func remaining(age, lifetime time.Duration) float64 {
	return min(1, max(0, 1-float64(age)/float64(lifetime)))
}

// Run is what was seen of a run at an engine.
type Run struct {
	Key     Key
	ID      string
	Service string
	// PerEvent is the mean time between events.
	PerEvent time.Duration
	// StartSlowness and EndSlowness are the engine's at the run's start and end.
	StartSlowness, EndSlowness float64
}

// Run records a run. Runs at a time when the engine was slow don't change its pace, as its
// slowness would count twice.
func (e *Estimates) Run(run Run, now time.Time, source Source) {
	if run.PerEvent <= 0 || max(run.StartSlowness, run.EndSlowness) > usualSlowness {
		return
	}
	e.recordPace(run.Key, run.ID, run.Service, run.PerEvent, now)
	e.log.add(observation{key: run.Key, at: now, perEvent: run.PerEvent, source: source})
}

func (e *Estimates) recordPace(key Key, id, serviceName string, perEvent time.Duration, now time.Time) {
	state := e.engine(key, id, now)
	if state.runs > 0 && state.service != serviceName {
		e.drop(key)
		state = e.engine(key, id, now)
	}
	state.service = serviceName
	of := e.service(serviceName)
	observed := math.Log(perEvent.Seconds())
	if of.engines > 0 {
		mean := of.sumLogPace / float64(of.engines)
		observed = min(max(observed, mean+math.Log(minPace)), mean+math.Log(maxPace))
	}
	if state.runs == 0 {
		of.engines++
		of.sumLogPace += observed
		state.logPace = observed
	} else {
		change := max(paceWeight, 1/float64(state.runs+1)) * (observed - state.logPace)
		state.logPace += change
		of.sumLogPace += change
	}
	state.runs++
	relative := math.Exp(state.logPace - of.sumLogPace/float64(of.engines))
	relative = min(max(relative, minPace), maxPace)
	state.pace = 1 + (relative-1)*float64(state.runs)/float64(state.runs+paceConfidence)
}

// Factor returns how long work takes at an engine relative to the mean of its service's
// engines at their usual speed.
func (e *Estimates) Factor(key Key, now time.Time) float64 {
	state := e.engines[key]
	if state == nil {
		return 1
	}
	return state.pace * state.slownessAt(now)
}

// RunFactor returns the factor for the runs that hold an engine's slots now. Its slowness
// lasts for a part of them only, so its square root counts.
func (e *Estimates) RunFactor(key Key, now time.Time) float64 {
	state := e.engines[key]
	if state == nil {
		return 1
	}
	return state.pace * math.Sqrt(state.slownessAt(now))
}

// Hold records how long a run held a slot, and its events, at an engine with the given
// RunFactor.
func (e *Estimates) Hold(serviceName string, hold time.Duration, events int, factor float64) {
	of := e.service(serviceName)
	of.holds++
	weight := max(holdWeight, 1/float64(of.holds))
	of.hold += weight * (hold.Seconds()/factor - of.hold)
	of.events += weight * (float64(events) - of.events)
}

// MeanHold returns the mean time that runs of a service hold a slot at an engine of factor 1;
// false if too few have ended.
func (e *Estimates) MeanHold(serviceName string) (time.Duration, bool) {
	of := e.services[serviceName]
	if of == nil || of.holds < minHoldRuns {
		return 0, false
	}
	return time.Duration(of.hold * float64(time.Second)), true
}

// MeanEvents returns the mean number of events of a service's runs; 0 if too few have ended.
func (e *Estimates) MeanEvents(serviceName string) float64 {
	of := e.services[serviceName]
	if of == nil || of.holds < minHoldRuns {
		return 0
	}
	return of.events
}

// MeanPerEvent returns the geometric mean of the usual times between events of a service's
// engines; false if no run is known.
func (e *Estimates) MeanPerEvent(serviceName string) (time.Duration, bool) {
	of := e.services[serviceName]
	if of == nil || of.engines == 0 {
		return 0, false
	}
	return time.Duration(math.Exp(of.sumLogPace/float64(of.engines)) * float64(time.Second)), true
}

// Forget drops engines without recent observations.
func (e *Estimates) Forget(now time.Time) {
	for key, state := range e.engines {
		if now.Sub(state.observedAt) > idleTTL {
			e.drop(key)
		}
	}
}

// Summary describes the estimates for operators.
type Summary struct {
	// Heard is the number of engines with a report that still counts, and Slow that of those
	// which are now slower than usual.
	Heard, Slow int
	// MeanAge is the mean age of those reports.
	MeanAge time.Duration
	// Learned is the number of engines whose pace is known from runs.
	Learned int
}

// Summarize returns the summary.
func (e *Estimates) Summarize(now time.Time) Summary {
	summary := Summary{}
	total := time.Duration(0)
	for _, state := range e.engines {
		if state.runs > 0 {
			summary.Learned++
		}
		age := now.Sub(state.heardAt)
		if age >= meanLifetime {
			continue
		}
		summary.Heard++
		total += age
		if state.slownessAt(now) > usualSlowness {
			summary.Slow++
		}
	}
	if summary.Heard > 0 {
		summary.MeanAge = total / time.Duration(summary.Heard)
	}
	return summary
}

// HeardAt returns when an engine's newest report was received; zero if none is known.
func (e *Estimates) HeardAt(key Key) time.Time {
	if state := e.engines[key]; state != nil {
		return state.heardAt
	}
	return time.Time{}
}
