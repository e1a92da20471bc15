package dispatch

import (
	"sort"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/jobs"
)

const (
	// queueTimeout bounds the time a leased item is queued; then it is handed
	// back, so that another node can run it.
	queueTimeout = 2 * time.Second
	// stallTimeout bounds the time between tokens of a stream.
	stallTimeout = 2 * time.Minute
	// emptyLeaseDelay is the wait after a lease request that returned no items.
	emptyLeaseDelay = 250 * time.Millisecond
	// minRefusalBackoff is the minimum backoff after an engine refused an item.
	minRefusalBackoff = 100 * time.Millisecond
	// maxFetch is the maximum number of items in one lease request.
	maxFetch = 512
	// minFetch is the minimum number of items in one lease request.
	minFetch = 4
)

// actionKind is what the dispatcher must do.
type actionKind uint8

const (
	actionRun      actionKind = iota + 1 // send the stream's item, after Start if it must be recorded
	actionSuspend                        // suspend the stream at its engine
	actionCancel                         // end the stream's attempt
	actionFetch                          // lease count items of model
	actionReport                         // report the result
	actionHandBack                       // the same, of an item that was not finished
)

// action is one output of the scheduler.
type action struct {
	kind   actionKind
	stream *stream
	model  string
	count  int
	result jobs.Result
}

// task is a leased item that is queued or has a stream.
type task struct {
	lease  jobs.Lease // without its items
	item   jobs.Item
	model  string
	queued time.Time
	text   strings.Builder
	tokens int // tokens in text
	// attempts counts the attempts made on this node.
	attempts uint32
}

// streamState is the state of a stream; zero is ended.
type streamState uint8

const (
	streamRunning   streamState = iota + 1
	streamSuspended             // suspended at its engine, which keeps its tokens
)

// stream is a task that runs or is suspended at an engine.
type stream struct {
	id     string
	engine string
	task   *task
	state  streamState
	// attempt is the number of the current attempt; events of earlier ones are
	// ignored.
	attempt   uint32
	lastToken time.Time
	// suspending is set when the policy requested a suspension.
	suspending bool
	moving     bool // cancelled in order to run on another engine
	stalled    bool // cancelled after stallTimeout without a token
	revoked    bool // cancelled because its job is final
}

// homeEngine is an engine whose home is this node.
type homeEngine struct {
	name    string
	models  []string
	leaving bool
	// blockedUntil is the end of the backoff after the engine refused an item.
	blockedUntil time.Time
	streams      map[string]*stream
	// unfilled is the number of streams that the policy last admitted and that
	// could not be started for lack of items.
	unfilled int
}

// modelQueue holds the leased items of one model that wait for an engine.
type modelQueue struct {
	tasks     []*task
	running   int
	fetching  bool
	nextFetch time.Time
}

// scheduler decides which items run where. It is not safe for concurrent use.
type scheduler struct {
	policy      batch.Policy
	engines     map[string]*homeEngine
	streams     map[string]*stream
	modelQueues map[string]*modelQueue
	// startUntil is the time, by job ID, until which items may be started.
	startUntil map[string]time.Time
	draining   bool
	// congested is set while too many results wait to be reported.
	congested bool
	actions   []action
	// events wait for the policy; stepping is set while they are processed.
	events   []batch.Event
	stepping bool
}

func newScheduler(policy batch.Policy) *scheduler {
	return &scheduler{
		policy: policy, engines: map[string]*homeEngine{}, streams: map[string]*stream{},
		modelQueues: map[string]*modelQueue{}, startUntil: map[string]time.Time{},
	}
}

// takeActions returns and clears the pending actions.
func (s *scheduler) takeActions() []action {
	taken := s.actions
	s.actions = nil
	return taken
}

func (s *scheduler) emit(next action) { s.actions = append(s.actions, next) }

func (s *scheduler) modelQueue(model string) *modelQueue {
	found, ok := s.modelQueues[model]
	if !ok {
		found = &modelQueue{}
		s.modelQueues[model] = found
	}
	return found
}

// stepPolicy passes an event to the policy and applies its actions. Events
// that result from these are queued and passed afterwards, one at a time.
func (s *scheduler) stepPolicy(now time.Time, event batch.Event) {
	s.events = append(s.events, event)
	if s.stepping {
		return
	}
	s.stepping = true
	for len(s.events) > 0 {
		next := s.events[0]
		s.events = s.events[1:]
		for _, decided := range s.policy.Step(now, next) {
			s.apply(now, decided)
		}
	}
	s.events = nil
	s.stepping = false
}

func (s *scheduler) apply(now time.Time, decided batch.Action) {
	switch decided.Kind {
	case batch.ActionAdmit:
		if home, ok := s.engines[decided.Engine]; ok {
			s.admit(now, home, decided.Count)
		}
	case batch.ActionSuspend:
		s.suspend(decided.Stream)
	case batch.ActionResume:
		s.resume(now, decided.Stream)
	case batch.ActionCancel:
		s.move(now, decided.Stream)
	}
}

// tick cancels stalled streams, hands back stale items and ticks the policy.
func (s *scheduler) tick(now time.Time) {
	for _, running := range s.streams {
		if running.state == streamRunning && !running.stalled && now.Sub(running.lastToken) > stallTimeout {
			running.stalled = true
			s.emit(action{kind: actionCancel, stream: running})
		}
	}
	for _, queue := range s.modelQueues {
		s.handBackStale(now, queue)
	}
	s.tickEngines(now)
}

func (s *scheduler) tickEngines(now time.Time) {
	names := make([]string, 0, len(s.engines))
	for name := range s.engines {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		s.engines[name].unfilled = 0
		s.stepPolicy(now, batch.Event{Kind: batch.EventTick, Engine: name})
	}
}
