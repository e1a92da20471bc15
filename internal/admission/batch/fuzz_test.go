package batch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/engine"
)

// oracle tracks which streams exist, their states after the actions, and the
// announced requests, but no step models, bounds or prices.
type oracle struct {
	controller *Controller
	config     Config
	now        time.Time
	engines    []string
	gone       map[string]bool
	online     map[string]map[string]bool
	state      map[string]string // stream → running, suspending, suspended
	engineOf   map[string]string // stream → engine
	lastID     int
}

const (
	fuzzSlots           = 4
	fuzzReservedSlots   = 1
	fuzzShortSuspension = time.Second
	fuzzLongSuspension  = time.Minute
	fuzzEngines         = 2
	fuzzMaxAdvance      = 20 * time.Millisecond
)

func newOracle(cannotSuspend bool, maxSuspension time.Duration) *oracle {
	o := &oracle{
		config: Config{Share: 0.5, Slots: fuzzSlots, ReservedSlots: fuzzReservedSlots, CannotSuspend: cannotSuspend, MaxSuspension: maxSuspension},
		now:    time.Unix(1000, 0), gone: map[string]bool{}, online: map[string]map[string]bool{},
		state: map[string]string{}, engineOf: map[string]string{},
	}
	o.controller = NewController(o.config)
	for i := range fuzzEngines {
		name := fmt.Sprintf("engine-%d", i)
		o.engines = append(o.engines, name)
		o.online[name] = map[string]bool{}
	}
	return o
}

func (o *oracle) active(name string) int {
	count := 0
	for id, state := range o.state {
		if o.engineOf[id] == name && state == "running" {
			count++
		}
	}
	return count
}

// step sends an event to the controller and checks and applies its actions.
func (o *oracle) step(t *rapid.T, event Event) {
	actions := o.controller.Step(o.now, event)
	for _, action := range actions {
		o.check(t, action)
		o.apply(t, action)
	}
}

func (o *oracle) check(t *rapid.T, action Action) {
	if o.gone[action.Engine] {
		t.Fatalf("%+v for an engine that is gone", action)
	}
	if action.Stream != "" && o.engineOf[action.Stream] != action.Engine {
		t.Fatalf("%+v for a stream that is not on the engine", action)
	}
	free := fuzzSlots - fuzzReservedSlots - len(o.online[action.Engine])
	slots := free - o.active(action.Engine)
	switch action.Kind {
	case ActionAdmit:
		if action.Count > slots {
			t.Fatalf("admits %d streams with %d slots free", action.Count, slots)
		}
	case ActionResume:
		if o.state[action.Stream] != "suspended" {
			t.Fatalf("resumes a stream in state %q", o.state[action.Stream])
		}
		if slots < 1 {
			t.Fatalf("resumes a stream with %d slots free", slots)
		}
	case ActionSuspend:
		if o.state[action.Stream] != "running" {
			t.Fatalf("suspends a stream in state %q", o.state[action.Stream])
		}
	case ActionCancel:
		if o.state[action.Stream] == "" {
			t.Fatalf("cancels a stream that has ended")
		}
	}
}

func (o *oracle) apply(t *rapid.T, action Action) {
	switch action.Kind {
	case ActionAdmit:
		for range action.Count {
			o.lastID++
			id := fmt.Sprintf("b%d", o.lastID)
			o.state[id] = "running"
			o.engineOf[id] = action.Engine
			o.step(t, Event{Kind: EventBatchStarted, Engine: action.Engine, Stream: id, PromptTokens: 50})
		}
	case ActionSuspend:
		o.state[action.Stream] = "suspending"
	case ActionResume:
		o.state[action.Stream] = "running"
	case ActionCancel:
		delete(o.state, action.Stream)
		delete(o.engineOf, action.Stream)
	}
}

func (o *oracle) pick(t *rapid.T, wanted ...string) (string, bool) {
	var candidates []string
	for i := 1; i <= o.lastID; i++ {
		id := fmt.Sprintf("b%d", i)
		for _, state := range wanted {
			if o.state[id] == state && !o.gone[o.engineOf[id]] {
				candidates = append(candidates, id)
			}
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return rapid.SampledFrom(candidates).Draw(t, "stream"), true
}

func (o *oracle) engine(t *rapid.T) string { return rapid.SampledFrom(o.engines).Draw(t, "engine") }

func (o *oracle) advanceTime(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.Int64Range(0, int64(fuzzMaxAdvance)).Draw(t, "passes")))
}

func (o *oracle) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"tick": func(t *rapid.T) {
			o.advanceTime(t)
			o.step(t, Event{Kind: EventTick, Engine: o.engine(t)})
		},
		"online starts": func(t *rapid.T) {
			name := o.engine(t)
			if o.gone[name] {
				return
			}
			o.lastID++
			id := fmt.Sprintf("o%d", o.lastID)
			o.online[name][id] = true
			o.step(t, Event{Kind: EventOnlineStarted, Engine: name, Stream: id, PromptTokens: rapid.IntRange(1, 2000).Draw(t, "prompt")})
			if excess := o.active(name) - max(0, fuzzSlots-fuzzReservedSlots-len(o.online[name])); excess > 0 {
				t.Fatalf("%d batch streams run in reserved slots", excess)
			}
		},
		"online ends": func(t *rapid.T) {
			name := o.engine(t)
			for id := range o.online[name] {
				delete(o.online[name], id)
				o.step(t, Event{Kind: EventOnlineFinished, Engine: name, Stream: id})
				return
			}
		},
		"token": func(t *rapid.T) {
			o.advanceTime(t)
			if id, ok := o.pick(t, "running"); ok {
				o.step(t, Event{Kind: EventBatchToken, Engine: o.engineOf[id], Stream: id})
			}
		},
		"confirm": func(t *rapid.T) {
			if id, ok := o.pick(t, "suspending"); ok {
				o.state[id] = "suspended"
				o.step(t, Event{Kind: EventBatchEnded, Engine: o.engineOf[id], Stream: id, Suspended: true})
			}
		},
		"end": func(t *rapid.T) {
			if id, ok := o.pick(t, "running", "suspending"); ok {
				name := o.engineOf[id]
				delete(o.state, id)
				delete(o.engineOf, id)
				o.step(t, Event{Kind: EventBatchEnded, Engine: name, Stream: id})
			}
		},
		"gone": func(t *rapid.T) {
			name := o.engine(t)
			o.gone[name] = true
			o.step(t, Event{Kind: EventEngineGone, Engine: name})
			for id, at := range o.engineOf {
				if at == name {
					delete(o.state, id)
					delete(o.engineOf, id)
				}
			}
			o.online[name] = map[string]bool{}
		},
		"owned": func(t *rapid.T) {
			name := o.engine(t)
			if o.gone[name] {
				o.gone[name] = false
				o.step(t, Event{Kind: EventEngineOwned, Engine: name})
			}
		},
		"late report": func(t *rapid.T) {
			name := o.engine(t)
			online := rapid.IntRange(0, fuzzSlots).Draw(t, "reported")
			at := o.now.Add(-time.Second)
			o.step(t, Event{Kind: EventLoad, Engine: name, Load: engine.Load{At: at, Running: online, Draining: o.gone[name]}})
		},
	}
}

func TestControllerKeepsReserveAndStreamStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(rapid.Bool().Draw(t, "redo"), rapid.SampledFrom([]time.Duration{fuzzShortSuspension, fuzzLongSuspension}).Draw(t, "hold"))
		t.Repeat(o.actions())
		o.finish(t)
	})
}

// finish ends all online requests. Every suspended stream must then be resumed or
// cancelled, and the engines be filled. The last report is too old to remove
// announcements.
func (o *oracle) finish(t *rapid.T) {
	for _, name := range o.engines {
		for id := range o.online[name] {
			delete(o.online[name], id)
			o.step(t, Event{Kind: EventOnlineFinished, Engine: name, Stream: id})
		}
		o.step(t, Event{Kind: EventLoad, Engine: name, Load: engine.Load{At: time.Unix(1, 0), Draining: o.gone[name]}})
	}
	for range 500 {
		o.now = o.now.Add(10 * time.Millisecond)
		for _, name := range o.engines {
			o.respond(t, name)
			o.step(t, Event{Kind: EventTick, Engine: name})
		}
	}
	for id, state := range o.state {
		if state == "suspended" && !o.gone[o.engineOf[id]] {
			t.Fatalf("stream %s stays suspended", id)
		}
	}
	for _, name := range o.engines {
		if active := o.active(name); !o.gone[name] && active != fuzzSlots-fuzzReservedSlots {
			t.Fatalf("%d streams run on %s, which has no online requests", active, name)
		}
	}
}

// respond confirms an engine's suspensions and produces tokens of its running streams.
func (o *oracle) respond(t *rapid.T, name string) {
	for i := 1; i <= o.lastID; i++ {
		id := fmt.Sprintf("b%d", i)
		if o.engineOf[id] != name || o.gone[name] {
			continue
		}
		switch o.state[id] {
		case "suspending":
			o.state[id] = "suspended"
			o.step(t, Event{Kind: EventBatchEnded, Engine: name, Stream: id, Suspended: true})
		case "running":
			o.step(t, Event{Kind: EventBatchToken, Engine: name, Stream: id})
		}
	}
}
