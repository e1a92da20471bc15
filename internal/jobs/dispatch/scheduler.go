package dispatch

import (
	"sort"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/jobs"
)

const (
	// queueTimeout is how long a leased item may wait here before it is
	// handed back, so that another node can run it.
	queueTimeout = 2 * time.Second
	// stallTimeout is how long a stream may bring no token.
	stallTimeout = 2 * time.Minute
	// emptyWait is the wait after a lease request that found nothing.
	emptyWait = 250 * time.Millisecond
	// refusalWait is the least wait before more is sent to an engine that
	// refused an item.
	refusalWait = 100 * time.Millisecond
	// maxFetch bounds one lease request.
	maxFetch = 512
	// minFetch is the least that a lease request asks for.
	minFetch = 4
)

// actionKind says what the shell must do.
type actionKind uint8

const (
	actionRun      actionKind = iota + 1 // send the stream's item, after Start if it must be recorded
	actionSuspend                        // suspend the stream at its engine
	actionCancel                         // end the stream's attempt
	actionFetch                          // lease count items of model
	actionReport                         // report the result
	actionReturned                       // the same, of an item that was not finished
)

// action is one output of the scheduler.
type action struct {
	kind   actionKind
	stream *stream
	model  string
	count  int
	result jobs.Result
}

// task is a leased item on its way.
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

// streamState is where a stream is.
type streamState uint8

const (
	streamRunning   streamState = iota + 1
	streamSuspended             // parked at its engine, with its tokens kept
)

// stream is a task at an engine.
type stream struct {
	id     string
	engine string
	task   *task
	state  streamState
	// attempt is the number of the running attempt; what comes of another is
	// late and ignored.
	attempt   uint32
	lastToken time.Time
	// suspending says that the policy asked for the suspension.
	suspending bool
	// moving says that the stream was cancelled to run elsewhere; stalled,
	// that it was cancelled because it brought nothing; revoked, that its job
	// is final.
	moving  bool
	stalled bool
	revoked bool
}

// home is an engine that this node is home of.
type home struct {
	name    string
	models  []string
	leaving bool
	// blockedUntil is set when the engine refused an item.
	blockedUntil time.Time
	streams      map[string]*stream
	// lacking is how many more streams the policy would have started when it
	// was last asked, had there been items.
	lacking int
}

// supply is what is leased and waits for a model.
type supply struct {
	queue     []*task
	running   int
	fetching  bool
	nextFetch time.Time
}

// scheduler decides. It is not safe for concurrent use.
type scheduler struct {
	policy   batch.Policy
	engines  map[string]*home
	streams  map[string]*stream
	supplies map[string]*supply
	// rights says until when items of a job may be started.
	rights   map[string]time.Time
	draining bool
	// congested is set while results can't be reported.
	congested bool
	actions   []action
	// events wait for the policy; stepping says that they are being taken.
	events   []batch.Event
	stepping bool
}

func newScheduler(policy batch.Policy) *scheduler {
	return &scheduler{
		policy: policy, engines: map[string]*home{}, streams: map[string]*stream{},
		supplies: map[string]*supply{}, rights: map[string]time.Time{},
	}
}

// take returns the actions since the last take.
func (s *scheduler) take() []action {
	taken := s.actions
	s.actions = nil
	return taken
}

func (s *scheduler) emit(next action) { s.actions = append(s.actions, next) }

func (s *scheduler) supply(model string) *supply {
	found, ok := s.supplies[model]
	if !ok {
		found = &supply{}
		s.supplies[model] = found
	}
	return found
}

// step gives an event to the policy and does what it says. Events that come
// of that are given to the policy afterwards, one at a time.
func (s *scheduler) step(now time.Time, event batch.Event) {
	s.events = append(s.events, event)
	if s.stepping {
		return
	}
	s.stepping = true
	for len(s.events) > 0 {
		next := s.events[0]
		s.events = s.events[1:]
		for _, decided := range s.policy.Step(now, next) {
			s.follow(now, decided)
		}
	}
	s.events = nil
	s.stepping = false
}

func (s *scheduler) follow(now time.Time, decided batch.Action) {
	switch decided.Kind {
	case batch.ActionAdmit:
		if engine, ok := s.engines[decided.Engine]; ok {
			s.admit(now, engine, decided.Count)
		}
	case batch.ActionSuspend:
		s.suspend(decided.Stream)
	case batch.ActionResume:
		s.resume(now, decided.Stream)
	case batch.ActionCancel:
		s.move(now, decided.Stream)
	}
}

// tick lets time pass.
func (s *scheduler) tick(now time.Time) {
	for _, running := range s.streams {
		if running.state == streamRunning && !running.stalled && now.Sub(running.lastToken) > stallTimeout {
			running.stalled = true
			s.emit(action{kind: actionCancel, stream: running})
		}
	}
	for _, source := range s.supplies {
		s.returnStale(now, source)
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
		s.engines[name].lacking = 0
		s.step(now, batch.Event{Kind: batch.EventTick, Engine: name})
	}
}
