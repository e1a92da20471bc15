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

// itemState is the expected state of an item.
type itemState uint8

const (
	itemHeld     itemState = iota + 1 // leased, not yet reported or handed back
	itemReported                      // reported or handed back
	itemRevoked                       // its job is final: it must not be reported
)

// simulation drives the scheduler and simulates the engines.
type simulation struct {
	s       *scheduler
	now     time.Time
	epoch   uint64
	states  map[string]itemState // by stream ID
	sent    map[string]int       // attempts of non-repeatable items
	running map[string]*runningAttempt
	revoked map[string]bool
}

// runningAttempt is an attempt that an engine runs.
type runningAttempt struct {
	stream    *stream
	attempt   uint32
	tokens    int
	suspended bool // suspension was requested
	cancelled bool
}

// randomPolicy returns random actions on the existing streams.
type randomPolicy struct {
	t *rapid.T
	s *scheduler
}

func (w *randomPolicy) Step(_ time.Time, event batch.Event) []batch.Action {
	if event.Kind == batch.EventBatchStarted || event.Kind == batch.EventBatchEnded {
		return nil
	}
	actions := []batch.Action{{Kind: batch.ActionAdmit, Engine: event.Engine, Count: rapid.IntRange(0, 2).Draw(w.t, "admit")}}
	identifiers := make([]string, 0, len(w.s.streams))
	for id := range w.s.streams {
		identifiers = append(identifiers, id)
	}
	sort.Strings(identifiers)
	for _, id := range identifiers {
		// Zero means no action.
		kind := rapid.SampledFrom([]batch.ActionKind{0, batch.ActionSuspend, batch.ActionResume, batch.ActionCancel}).Draw(w.t, "action")
		actions = append(actions, batch.Action{Kind: kind, Engine: event.Engine, Stream: id})
	}
	return actions
}

func newSimulation(t *rapid.T) *simulation {
	random := &randomPolicy{t: t}
	policy := batch.Policy(random)
	if rapid.Bool().Draw(t, "controller") {
		policy = batch.NewController(batch.Config{Share: 0.5, Slots: 4})
	}
	f := &simulation{
		s: newScheduler(policy), now: time.Unix(1_700_000_000, 0), states: map[string]itemState{}, sent: map[string]int{},
		running: map[string]*runningAttempt{}, revoked: map[string]bool{},
	}
	random.s = f.s
	f.gain(t)
	return f
}

var engineNames = []string{"e1", "e2"}

func (f *simulation) engine(t *rapid.T) string {
	return rapid.SampledFrom(engineNames).Draw(t, "engine")
}

func (f *simulation) gain(t *rapid.T) { f.s.gained(f.now, f.engine(t), []string{"m"}, false) }

// execute executes the scheduler's actions in place of the dispatcher.
func (f *simulation) execute(t *rapid.T) {
	f.s.fetch(f.now)
	for _, decided := range f.s.takeActions() {
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
		case actionReport, actionHandBack:
			id := fmt.Sprintf("%s-%d-%d", decided.result.JobID, decided.result.Index, decided.result.Epoch)
			if f.states[id] != itemHeld {
				t.Fatalf("%s was reported in state %d", id, f.states[id])
			}
			f.states[id] = itemReported
		}
	}
}

func (f *simulation) run(t *rapid.T, started *stream) {
	if f.running[started.id] != nil {
		t.Fatalf("%s has two concurrent attempts", started.id)
	}
	if !started.task.item.Repeatable {
		if f.sent[started.id]++; f.sent[started.id] > 1 {
			t.Fatalf("%s is not repeatable and was sent twice", started.id)
		}
	}
	if f.states[started.id] != itemHeld || !f.s.mayStart(f.now, started.task) {
		t.Fatalf("%s must not start", started.id)
	}
	f.running[started.id] = &runningAttempt{stream: started, attempt: started.attempt, tokens: started.task.tokens}
}

func (f *simulation) lease(t *rapid.T) {
	f.epoch++
	jobID := fmt.Sprintf("j%d", rapid.IntRange(1, 3).Draw(t, "job"))
	if f.revoked[jobID] {
		jobID = fmt.Sprintf("j%d", f.epoch+10)
	}
	lease := jobs.Lease{JobID: jobID, Epoch: f.epoch, Deadline: f.now.Add(time.Hour), Expires: f.now.Add(leaseValidity)}
	for i := range rapid.IntRange(0, 4).Draw(t, "items") {
		lease.Items = append(lease.Items, jobs.Item{Index: uint32(i), Repeatable: rapid.Bool().Draw(t, "repeatable")})
		f.states[fmt.Sprintf("%s-%d-%d", jobID, i, f.epoch)] = itemHeld
	}
	f.s.leased(f.now, "m", []jobs.Lease{lease})
}

func (f *simulation) pick(t *rapid.T) *runningAttempt {
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

func (f *simulation) token(t *rapid.T) {
	if at := f.pick(t); at != nil {
		f.s.addToken(f.now, at.stream, at.attempt, engine.Chunk{Index: at.tokens, Text: "x"})
		at.tokens++
	}
}

// endAttempt ends an attempt with a random outcome that an engine may give.
func (f *simulation) endAttempt(t *rapid.T) {
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
	f.s.attemptEnded(f.now, at.stream, at.attempt, finish, err)
	f.s.attemptEnded(f.now, at.stream, at.attempt, finish, err) // a duplicate end must be ignored
}

func (f *simulation) refuseStart(t *rapid.T) {
	if at := f.pick(t); at != nil && !at.stream.task.item.Repeatable && at.tokens == 0 {
		delete(f.running, at.stream.id)
		delete(f.sent, at.stream.id)
		f.s.startRefused(f.now, at.stream)
	}
}

func (f *simulation) revoke(t *rapid.T) {
	jobID := fmt.Sprintf("j%d", rapid.IntRange(1, 3).Draw(t, "job"))
	f.revoked[jobID] = true
	f.s.revoke(f.now, []string{jobID})
	for id, state := range f.states {
		if state == itemHeld && id[:len(jobID)+1] == jobID+"-" {
			f.states[id] = itemRevoked
		}
	}
}

func (f *simulation) advance(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.SampledFrom([]int{1, 10, 300, 1900, 2500, 130_000}).Draw(t, "ms")) * time.Millisecond)
	f.s.tick(f.now)
}

func (f *simulation) online(t *rapid.T) {
	kind := rapid.SampledFrom([]batch.EventKind{batch.EventOnlineStarted, batch.EventOnlineFinished}).Draw(t, "kind")
	f.s.onlineRequest(f.now, batch.Event{Kind: kind, Engine: f.engine(t), Stream: rapid.SampledFrom([]string{"o1", "o2", "o3", "o4"}).Draw(t, "request")})
}

// checkInvariants fails if a held item is lost or duplicated, or if the count
// of running streams is wrong.
func (f *simulation) checkInvariants(t *rapid.T) {
	f.execute(t)
	found := map[string]int{}
	running := 0
	for id, known := range f.s.streams {
		found[id]++
		if known.state == streamRunning {
			running++
		}
	}
	for _, queue := range f.s.modelQueues {
		for _, queued := range queue.tasks {
			found[streamID(queued)]++
		}
		if queue.running != running {
			t.Fatalf("%d streams run, but the count is %d", running, queue.running)
		}
	}
	for id, state := range f.states {
		expected := 0
		if state == itemHeld {
			expected = 1
		}
		ending := state == itemRevoked && f.running[id] != nil
		if found[id] != expected && !ending {
			t.Fatalf("item %s in state %d was found %d times", id, state, found[id])
		}
	}
}

// Random events must neither lose an item nor report or run it twice.
func TestSchedulerNeitherLosesNorDuplicatesItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"gain": f.gain, "lease": f.lease, "lease more": f.lease, "token": f.token, "token more": f.token, "end": f.endAttempt,
			"end more": f.endAttempt, "refuse": f.refuseStart, "revoke": f.revoke, "advance": f.advance, "online": f.online,
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
			"": f.checkInvariants,
		})
	})
}
