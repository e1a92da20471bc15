package batch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/engine"
)

// The oracle knows which streams exist, in which state the actions put them,
// and what was announced. It knows nothing of models, bounds or prices.
type oracle struct {
	controller *Controller
	config     Config
	now        time.Time
	names      []string
	gone       map[string]bool
	online     map[string]map[string]bool
	state      map[string]string // stream → running, suspending, suspended
	at         map[string]string // stream → engine
	serial     int
}

const (
	fuzzSlots     = 4
	fuzzReserve   = 1
	fuzzShortHold = time.Second
	fuzzLongHold  = time.Minute
	fuzzEngines   = 2
	fuzzMaxSteps  = 20 * time.Millisecond
)

func newOracle(redo bool, hold time.Duration) *oracle {
	o := &oracle{
		config: Config{Share: 0.5, Slots: fuzzSlots, Reserve: fuzzReserve, Redo: redo, HoldLimit: hold},
		now:    time.Unix(1000, 0), gone: map[string]bool{}, online: map[string]map[string]bool{},
		state: map[string]string{}, at: map[string]string{},
	}
	o.controller = NewController(o.config)
	for i := range fuzzEngines {
		name := fmt.Sprintf("engine-%d", i)
		o.names = append(o.names, name)
		o.online[name] = map[string]bool{}
	}
	return o
}

func (o *oracle) active(name string) int {
	count := 0
	for id, state := range o.state {
		if o.at[id] == name && state == "running" {
			count++
		}
	}
	return count
}

// give hands an event to the controller and checks and follows its actions.
func (o *oracle) give(t *rapid.T, event Event) {
	actions := o.controller.Step(o.now, event)
	for _, action := range actions {
		o.check(t, action)
		o.follow(t, action)
	}
}

func (o *oracle) check(t *rapid.T, action Action) {
	if o.gone[action.Engine] {
		t.Fatalf("%+v on a gone engine", action)
	}
	if action.Stream != "" && o.at[action.Stream] != action.Engine {
		t.Fatalf("%+v for a stream that is not there", action)
	}
	free := fuzzSlots - fuzzReserve - len(o.online[action.Engine])
	room := free - o.active(action.Engine)
	switch action.Kind {
	case ActionAdmit:
		if action.Count > room {
			t.Fatalf("admits %d while the reserve leaves %d", action.Count, room)
		}
	case ActionResume:
		if o.state[action.Stream] != "suspended" {
			t.Fatalf("resumes a stream that is %q", o.state[action.Stream])
		}
		if room < 1 {
			t.Fatalf("resumes while the reserve leaves %d", room)
		}
	case ActionSuspend:
		if o.state[action.Stream] != "running" {
			t.Fatalf("suspends a stream that is %q", o.state[action.Stream])
		}
	case ActionCancel:
		if o.state[action.Stream] == "" {
			t.Fatalf("cancels a stream that has ended")
		}
	}
}

func (o *oracle) follow(t *rapid.T, action Action) {
	switch action.Kind {
	case ActionAdmit:
		for range action.Count {
			o.serial++
			id := fmt.Sprintf("b%d", o.serial)
			o.state[id] = "running"
			o.at[id] = action.Engine
			o.give(t, Event{Kind: EventBatchStarted, Engine: action.Engine, Stream: id, PromptTokens: 50})
		}
	case ActionSuspend:
		o.state[action.Stream] = "suspending"
	case ActionResume:
		o.state[action.Stream] = "running"
	case ActionCancel:
		delete(o.state, action.Stream)
		delete(o.at, action.Stream)
	}
}

func (o *oracle) pick(t *rapid.T, wanted ...string) (string, bool) {
	var candidates []string
	for i := 1; i <= o.serial; i++ {
		id := fmt.Sprintf("b%d", i)
		for _, state := range wanted {
			if o.state[id] == state && !o.gone[o.at[id]] {
				candidates = append(candidates, id)
			}
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return rapid.SampledFrom(candidates).Draw(t, "stream"), true
}

func (o *oracle) engine(t *rapid.T) string { return rapid.SampledFrom(o.names).Draw(t, "engine") }

func (o *oracle) pass(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.Int64Range(0, int64(fuzzMaxSteps)).Draw(t, "passes")))
}

func (o *oracle) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"tick": func(t *rapid.T) {
			o.pass(t)
			o.give(t, Event{Kind: EventTick, Engine: o.engine(t)})
		},
		"online starts": func(t *rapid.T) {
			name := o.engine(t)
			if o.gone[name] {
				return
			}
			o.serial++
			id := fmt.Sprintf("o%d", o.serial)
			o.online[name][id] = true
			o.give(t, Event{Kind: EventOnlineStarted, Engine: name, Stream: id, PromptTokens: rapid.IntRange(1, 2000).Draw(t, "prompt")})
			if excess := o.active(name) - max(0, fuzzSlots-fuzzReserve-len(o.online[name])); excess > 0 {
				t.Fatalf("%d batch streams run in online's reserve", excess)
			}
		},
		"online ends": func(t *rapid.T) {
			name := o.engine(t)
			for id := range o.online[name] {
				delete(o.online[name], id)
				o.give(t, Event{Kind: EventOnlineFinished, Engine: name, Stream: id})
				return
			}
		},
		"token": func(t *rapid.T) {
			o.pass(t)
			if id, ok := o.pick(t, "running"); ok {
				o.give(t, Event{Kind: EventBatchToken, Engine: o.at[id], Stream: id})
			}
		},
		"confirm": func(t *rapid.T) {
			if id, ok := o.pick(t, "suspending"); ok {
				o.state[id] = "suspended"
				o.give(t, Event{Kind: EventBatchEnded, Engine: o.at[id], Stream: id, Suspended: true})
			}
		},
		"end": func(t *rapid.T) {
			if id, ok := o.pick(t, "running", "suspending"); ok {
				name := o.at[id]
				delete(o.state, id)
				delete(o.at, id)
				o.give(t, Event{Kind: EventBatchEnded, Engine: name, Stream: id})
			}
		},
		"gone": func(t *rapid.T) {
			name := o.engine(t)
			o.gone[name] = true
			o.give(t, Event{Kind: EventEngineGone, Engine: name})
			for id, at := range o.at {
				if at == name {
					delete(o.state, id)
					delete(o.at, id)
				}
			}
			o.online[name] = map[string]bool{}
		},
		"owned": func(t *rapid.T) {
			name := o.engine(t)
			if o.gone[name] {
				o.gone[name] = false
				o.give(t, Event{Kind: EventEngineOwned, Engine: name})
			}
		},
		"late report": func(t *rapid.T) {
			name := o.engine(t)
			online := rapid.IntRange(0, fuzzSlots).Draw(t, "reported")
			at := o.now.Add(-time.Second)
			o.give(t, Event{Kind: EventLoad, Engine: name, Load: engine.Load{At: at, Running: online, Draining: o.gone[name]}})
		},
	}
}

func TestControllerKeepsTheReserveAndItsStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(rapid.Bool().Draw(t, "redo"), rapid.SampledFrom([]time.Duration{fuzzShortHold, fuzzLongHold}).Draw(t, "hold"))
		t.Repeat(o.steps())
		o.finish(t)
	})
}

// finish ends all online work; every suspended stream must then be resumed or
// handed back, and the engines be filled. The last report is too old to settle
// announcements.
func (o *oracle) finish(t *rapid.T) {
	for _, name := range o.names {
		for id := range o.online[name] {
			delete(o.online[name], id)
			o.give(t, Event{Kind: EventOnlineFinished, Engine: name, Stream: id})
		}
		o.give(t, Event{Kind: EventLoad, Engine: name, Load: engine.Load{At: time.Unix(1, 0), Draining: o.gone[name]}})
	}
	for range 500 {
		o.now = o.now.Add(10 * time.Millisecond)
		for _, name := range o.names {
			o.settle(t, name)
			o.give(t, Event{Kind: EventTick, Engine: name})
		}
	}
	for id, state := range o.state {
		if state == "suspended" && !o.gone[o.at[id]] {
			t.Fatalf("stream %s stays suspended", id)
		}
	}
	for _, name := range o.names {
		if active := o.active(name); !o.gone[name] && active != fuzzSlots-fuzzReserve {
			t.Fatalf("%d streams run on the idle %s", active, name)
		}
	}
}

// settle answers for an engine: suspensions are done, running streams produce.
func (o *oracle) settle(t *rapid.T, name string) {
	for i := 1; i <= o.serial; i++ {
		id := fmt.Sprintf("b%d", i)
		if o.at[id] != name || o.gone[name] {
			continue
		}
		switch o.state[id] {
		case "suspending":
			o.state[id] = "suspended"
			o.give(t, Event{Kind: EventBatchEnded, Engine: name, Stream: id, Suspended: true})
		case "running":
			o.give(t, Event{Kind: EventBatchToken, Engine: name, Stream: id})
		}
	}
}
