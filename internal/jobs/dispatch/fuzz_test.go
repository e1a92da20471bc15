package dispatch

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/jobs"
)

func TestMain(m *testing.M) {
	flag.Parse()
	settings := map[string]string{"rapid.seed": "20261202", "rapid.checks": "200", "rapid.steps": "100", "rapid.nofailfile": "true"}
	if os.Getenv("CHUTELOCK_CAMPAIGN") != "" {
		settings = map[string]string{"rapid.checks": "10000", "rapid.steps": "100"}
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// place is where the oracle believes an item to be.
type place uint8

const (
	placeHere     place = iota + 1 // leased, and not yet reported or handed back
	placeReported                  // reported or handed back
	placeRevoked                   // its job is final: nothing is said of it any more
)

// floor drives the scheduler under the real controller and plays the engines.
type floor struct {
	s       *scheduler
	now     time.Time
	epoch   uint64
	places  map[string]place // by stream id
	once    map[string]int   // attempts of non-repeatable items
	running map[string]*attemptAt
	revoked map[string]bool
}

// attemptAt is an attempt that an engine runs.
type attemptAt struct {
	stream    *stream
	attempt   uint32
	tokens    int
	suspended bool // the engine was asked to suspend it
	cancelled bool
}

// whim is a policy that does anything with the streams that there are.
type whim struct {
	t *rapid.T
	s *scheduler
}

func (w *whim) Step(_ time.Time, event batch.Event) []batch.Action {
	if event.Kind == batch.EventBatchStarted || event.Kind == batch.EventBatchEnded {
		return nil
	}
	actions := []batch.Action{{Kind: batch.ActionAdmit, Engine: event.Engine, Count: rapid.IntRange(0, 2).Draw(w.t, "room")}}
	identifiers := make([]string, 0, len(w.s.streams))
	for id := range w.s.streams {
		identifiers = append(identifiers, id)
	}
	sort.Strings(identifiers)
	for _, id := range identifiers {
		// Zero is no action.
		kind := rapid.SampledFrom([]batch.ActionKind{0, batch.ActionSuspend, batch.ActionResume, batch.ActionCancel}).Draw(w.t, "whim")
		actions = append(actions, batch.Action{Kind: kind, Engine: event.Engine, Stream: id})
	}
	return actions
}

func newFloor(t *rapid.T) *floor {
	chosen := &whim{t: t}
	policy := batch.Policy(chosen)
	if rapid.Bool().Draw(t, "controller") {
		policy = batch.NewController(batch.Config{Share: 0.5, Slots: 4})
	}
	f := &floor{
		s: newScheduler(policy), now: time.Unix(1_700_000_000, 0), places: map[string]place{}, once: map[string]int{},
		running: map[string]*attemptAt{}, revoked: map[string]bool{},
	}
	chosen.s = f.s
	f.gain(t)
	return f
}

var engineNames = []string{"e1", "e2"}

func (f *floor) engine(t *rapid.T) string { return rapid.SampledFrom(engineNames).Draw(t, "engine") }

func (f *floor) gain(t *rapid.T) { f.s.gained(f.now, f.engine(t), []string{"m"}, false) }

// settle plays the shell: it does what the scheduler decided.
func (f *floor) settle(t *rapid.T) {
	f.s.fetch(f.now)
	for _, decided := range f.s.take() {
		switch decided.kind {
		case actionRun:
			f.run(t, decided.stream)
		case actionSuspend:
			if at := f.running[decided.stream.id]; at != nil {
				at.suspended = true
			}
		case actionCancel:
			if at := f.running[decided.stream.id]; at != nil {
				at.cancelled = true
			}
		case actionReport, actionReturned:
			id := fmt.Sprintf("%s-%d-%d", decided.result.JobID, decided.result.Index, decided.result.Epoch)
			if f.places[id] != placeHere {
				t.Fatalf("%s was reported in place %d", id, f.places[id])
			}
			f.places[id] = placeReported
		}
	}
}

func (f *floor) run(t *rapid.T, started *stream) {
	if f.running[started.id] != nil {
		t.Fatalf("%s runs twice at a time", started.id)
	}
	if !started.task.item.Repeatable {
		if f.once[started.id]++; f.once[started.id] > 1 {
			t.Fatalf("%s is not repeatable and was sent twice", started.id)
		}
	}
	if f.places[started.id] != placeHere || !f.s.mayStart(f.now, started.task) {
		t.Fatalf("%s must not start", started.id)
	}
	f.running[started.id] = &attemptAt{stream: started, attempt: started.attempt, tokens: started.task.tokens}
}

func (f *floor) lease(t *rapid.T) {
	f.epoch++
	jobID := fmt.Sprintf("j%d", rapid.IntRange(1, 3).Draw(t, "job"))
	if f.revoked[jobID] {
		jobID = fmt.Sprintf("j%d", f.epoch+10)
	}
	lease := jobs.Lease{JobID: jobID, Epoch: f.epoch, Deadline: f.now.Add(time.Hour), Expires: f.now.Add(leaseValidity)}
	for i := range rapid.IntRange(0, 4).Draw(t, "items") {
		lease.Items = append(lease.Items, jobs.Item{Index: uint32(i), Repeatable: rapid.Bool().Draw(t, "repeatable")})
		f.places[fmt.Sprintf("%s-%d-%d", jobID, i, f.epoch)] = placeHere
	}
	f.s.leased(f.now, "m", []jobs.Lease{lease})
}

func (f *floor) pick(t *rapid.T) *attemptAt {
	if len(f.running) == 0 {
		return nil
	}
	identifiers := make([]string, 0, len(f.running))
	for id := range f.running {
		identifiers = append(identifiers, id)
	}
	sort.Strings(identifiers)
	return f.running[rapid.SampledFrom(identifiers).Draw(t, "stream")]
}

func (f *floor) token(t *rapid.T) {
	if at := f.pick(t); at != nil {
		f.s.token(f.now, at.stream, at.attempt, engine.Chunk{Index: at.tokens, Text: "x"})
		at.tokens++
	}
}

// end ends an attempt in a way that an engine may.
func (f *floor) end(t *rapid.T) {
	at := f.pick(t)
	if at == nil {
		return
	}
	delete(f.running, at.stream.id)
	finish, err := engine.Finish{Reason: "stop"}, error(nil)
	switch {
	case at.cancelled && rapid.Bool().Draw(t, "in time"):
		finish, err = engine.Finish{}, &engine.Error{Err: errors.New("cancelled")}
	case at.suspended && rapid.Bool().Draw(t, "suspended"):
		finish.Reason = finishSuspended
	case rapid.Bool().Draw(t, "fails"):
		finish, err = engine.Finish{}, rapid.SampledFrom([]error{
			&engine.Error{Fate: engine.FateNotRun, Err: errors.New("x")}, &engine.Error{Fate: engine.FateFailed, Err: errors.New("x")},
			&engine.Error{Fate: engine.FateUnknown, Err: errors.New("x")}, errors.New("x"),
		}).Draw(t, "failure")
	}
	f.s.ended(f.now, at.stream, at.attempt, finish, err)
	f.s.ended(f.now, at.stream, at.attempt, finish, err) // an end that is told twice
}

func (f *floor) refuse(t *rapid.T) {
	if at := f.pick(t); at != nil && !at.stream.task.item.Repeatable && at.tokens == 0 {
		delete(f.running, at.stream.id)
		delete(f.once, at.stream.id)
		f.s.refusedStart(f.now, at.stream)
	}
}

func (f *floor) revoke(t *rapid.T) {
	jobID := fmt.Sprintf("j%d", rapid.IntRange(1, 3).Draw(t, "job"))
	f.revoked[jobID] = true
	f.s.revoke(f.now, []string{jobID})
	for id, where := range f.places {
		if where == placeHere && id[:len(jobID)+1] == jobID+"-" {
			f.places[id] = placeRevoked
		}
	}
}

func (f *floor) advance(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.SampledFrom([]int{1, 10, 300, 1900, 2500, 130_000}).Draw(t, "ms")) * time.Millisecond)
	f.s.tick(f.now)
}

func (f *floor) online(t *rapid.T) {
	kind := rapid.SampledFrom([]batch.EventKind{batch.EventOnlineStarted, batch.EventOnlineFinished}).Draw(t, "kind")
	f.s.online(f.now, batch.Event{Kind: kind, Engine: f.engine(t), Stream: rapid.SampledFrom([]string{"o1", "o2", "o3", "o4"}).Draw(t, "request")})
}

// check says that each item is in one place, and that the counts agree.
func (f *floor) check(t *rapid.T) {
	f.settle(t)
	found := map[string]int{}
	running := 0
	for id, known := range f.s.streams {
		found[id]++
		if known.state == streamRunning {
			running++
		}
	}
	for _, source := range f.s.supplies {
		for _, queued := range source.queue {
			found[streamID(queued)]++
		}
		if source.running != running {
			t.Fatalf("%d streams run, but %d are counted", running, source.running)
		}
	}
	for id, where := range f.places {
		expected := 0
		if where == placeHere {
			expected = 1
		}
		ending := where == placeRevoked && f.running[id] != nil
		if found[id] != expected && !ending {
			t.Fatalf("item %s in place %d was found %d times", id, where, found[id])
		}
	}
}

func TestSchedulerLosesAndDoublesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFloor(t)
		t.Repeat(map[string]func(*rapid.T){
			"gain": f.gain, "lease": f.lease, "lease more": f.lease, "token": f.token, "token more": f.token, "end": f.end,
			"end more": f.end, "refuse": f.refuse, "revoke": f.revoke, "advance": f.advance, "online": f.online,
			"renew":   func(*rapid.T) { f.s.renewed(f.s.heldJobs(), f.now.Add(leaseValidity)) },
			"lose":    func(t *rapid.T) { f.s.lost(f.now, f.engine(t)) },
			"leaving": func(t *rapid.T) { f.s.setLeaving(f.now, f.engine(t), rapid.Bool().Draw(t, "leaving")) },
			"load": func(t *rapid.T) {
				f.s.load(f.now, f.engine(t), engine.Load{At: f.now, Running: rapid.IntRange(0, 4).Draw(t, "running")})
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "really") == 0 {
					f.s.drain(f.now)
					f.s.cancelAll(f.now)
				}
			},
			"": f.check,
		})
	})
}
