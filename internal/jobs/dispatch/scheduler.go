package dispatch

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/engine"
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

// admit starts up to count streams, and notes what it lacked.
func (s *scheduler) admit(now time.Time, at *home, count int) {
	at.lacking = 0
	if at.leaving || s.draining || s.congested || now.Before(at.blockedUntil) {
		return
	}
	for _, model := range at.models {
		source := s.supply(model)
		for count > 0 {
			next := s.nextTask(now, source)
			if next == nil {
				break
			}
			count--
			s.start(now, at, next)
		}
	}
	at.lacking = count
}

// nextTask takes the first task that may start now.
func (s *scheduler) nextTask(now time.Time, source *supply) *task {
	for position, candidate := range source.queue {
		if !s.mayStart(now, candidate) {
			continue
		}
		source.queue = append(source.queue[:position], source.queue[position+1:]...)
		return candidate
	}
	return nil
}

// mayStart says whether the job's leases were renewed lately.
func (s *scheduler) mayStart(now time.Time, candidate *task) bool {
	return now.Before(s.rights[candidate.lease.JobID]) && now.Before(candidate.lease.Deadline)
}

func streamID(candidate *task) string {
	return candidate.lease.JobID + "-" + strconv.FormatUint(uint64(candidate.item.Index), 10) +
		"-" + strconv.FormatUint(candidate.lease.Epoch, 10)
}

func (s *scheduler) start(now time.Time, at *home, started *task) {
	running := &stream{id: streamID(started), engine: at.name, task: started}
	s.streams[running.id] = running
	at.streams[running.id] = running
	s.run(now, running)
}

// run sends a stream's next attempt.
func (s *scheduler) run(now time.Time, running *stream) {
	running.task.attempts++
	running.attempt = running.task.attempts
	running.state = streamRunning
	running.lastToken = now
	running.suspending = false
	s.supply(running.task.model).running++
	s.emit(action{kind: actionRun, stream: running})
	s.step(now, batch.Event{
		Kind: batch.EventBatchStarted, Engine: running.engine, Stream: running.id,
		PromptTokens: promptTokens(running.task.item.Body), Deadline: running.task.lease.Deadline,
	})
}

// bytesPerToken is a rough size of a token, in bytes.
const bytesPerToken = 4

func promptTokens(body []byte) int { return len(body) / bytesPerToken }

// fetch leases more of each model whose queue runs low. The shell calls it
// after each change but a token.
func (s *scheduler) fetch(now time.Time) {
	if s.draining || s.congested {
		return
	}
	for model, lacking := range s.lacking() {
		source := s.supply(model)
		low := max(lacking, source.running/4)
		if source.fetching || low == 0 || len(source.queue) >= low || now.Before(source.nextFetch) {
			continue
		}
		source.fetching = true
		count := max(lacking, source.running/2) - len(source.queue)
		s.emit(action{kind: actionFetch, model: model, count: min(max(count, minFetch), maxFetch)})
	}
}

// lacking sums, for each model here, what the engines lacked.
func (s *scheduler) lacking() map[string]int {
	total := make(map[string]int, len(s.supplies))
	for _, at := range s.engines {
		if at.leaving {
			continue
		}
		for _, model := range at.models {
			total[model] += at.lacking
		}
	}
	return total
}

// suspend parks a running stream. A non-repeatable item runs on: what was sent
// once may not be sent again to resume it.
func (s *scheduler) suspend(id string) {
	running, ok := s.streams[id]
	if !ok || running.state != streamRunning || !running.task.item.Repeatable {
		return
	}
	running.suspending = true
	s.emit(action{kind: actionSuspend, stream: running})
}

func (s *scheduler) resume(now time.Time, id string) {
	parked, ok := s.streams[id]
	if !ok || parked.state != streamSuspended {
		return
	}
	if !s.mayStart(now, parked.task) {
		return // the policy asks again, or the job is revoked
	}
	s.run(now, parked)
}

// move takes a stream off its engine; its item runs elsewhere, behind the
// tokens that it has.
func (s *scheduler) move(now time.Time, id string) {
	moved, ok := s.streams[id]
	if !ok || !moved.task.item.Repeatable {
		return
	}
	if moved.state == streamSuspended {
		s.unpark(now, moved)
		s.requeue(now, moved)
		return
	}
	moved.moving = true
	s.emit(action{kind: actionCancel, stream: moved})
}

// unpark tells the policy that a suspended stream waits no more.
func (s *scheduler) unpark(now time.Time, parked *stream) {
	parked.state = 0
	s.step(now, batch.Event{Kind: batch.EventBatchEnded, Engine: parked.engine, Stream: parked.id})
}

// requeue puts a stream's task in front of the queue.
func (s *scheduler) requeue(now time.Time, ended *stream) {
	s.remove(ended)
	if s.draining {
		s.giveBack(ended.task)
		return
	}
	ended.task.queued = now
	source := s.supply(ended.task.model)
	source.queue = append([]*task{ended.task}, source.queue...)
}

func (s *scheduler) remove(ended *stream) {
	delete(s.streams, ended.id)
	if at, ok := s.engines[ended.engine]; ok {
		delete(at.streams, ended.id)
	}
}

// giveBack hands an item back that no engine has finished.
func (s *scheduler) giveBack(returned *task) {
	s.emit(action{kind: actionReturned, result: resultOf(returned)})
}

func resultOf(finished *task) jobs.Result {
	return jobs.Result{JobID: finished.lease.JobID, Index: finished.item.Index, Epoch: finished.lease.Epoch}
}

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

// leased takes the answer to a fetch.
func (s *scheduler) leased(now time.Time, model string, leases []jobs.Lease) {
	source := s.supply(model)
	source.fetching = false
	if len(leases) == 0 {
		source.nextFetch = now.Add(emptyWait)
		return
	}
	for _, lease := range leases {
		s.extendRight(lease.JobID, lease.Expires)
		items := lease.Items
		lease.Items = nil
		for _, item := range items {
			leased := &task{lease: lease, item: item, model: model, queued: now}
			if s.draining {
				s.giveBack(leased)
				continue
			}
			source.queue = append(source.queue, leased)
		}
	}
	sort.SliceStable(source.queue, func(a, b int) bool {
		return source.queue[a].lease.Deadline.Before(source.queue[b].lease.Deadline)
	})
	s.tickEngines(now)
}

func (s *scheduler) extendRight(jobID string, until time.Time) {
	if until.After(s.rights[jobID]) {
		s.rights[jobID] = until
	}
}

// renewed extends the right to start items of jobs.
func (s *scheduler) renewed(jobIDs []string, until time.Time) {
	for _, jobID := range jobIDs {
		if _, held := s.rights[jobID]; held {
			s.extendRight(jobID, until)
		}
	}
}

// revoke stops all items of jobs that are final.
func (s *scheduler) revoke(now time.Time, jobIDs []string) {
	for _, jobID := range jobIDs {
		delete(s.rights, jobID)
		for _, source := range s.supplies {
			source.queue = without(source.queue, jobID)
		}
		for _, running := range s.streams {
			if running.task.lease.JobID == jobID {
				s.revokeStream(now, running)
			}
		}
	}
}

func without(queue []*task, jobID string) []*task {
	kept := queue[:0]
	for _, candidate := range queue {
		if candidate.lease.JobID != jobID {
			kept = append(kept, candidate)
		}
	}
	clear(queue[len(kept):])
	return kept
}

func (s *scheduler) revokeStream(now time.Time, revoked *stream) {
	if revoked.state == streamSuspended {
		s.unpark(now, revoked)
		s.remove(revoked)
		return
	}
	revoked.revoked = true
	s.emit(action{kind: actionCancel, stream: revoked})
}

// heldJobs lists the jobs of which items are here.
func (s *scheduler) heldJobs() []string {
	held := map[string]struct{}{}
	for _, running := range s.streams {
		held[running.task.lease.JobID] = struct{}{}
	}
	for _, source := range s.supplies {
		for _, queued := range source.queue {
			held[queued.lease.JobID] = struct{}{}
		}
	}
	for jobID := range s.rights {
		if _, ok := held[jobID]; !ok {
			delete(s.rights, jobID)
		}
	}
	jobIDs := make([]string, 0, len(held))
	for jobID := range held {
		jobIDs = append(jobIDs, jobID)
	}
	sort.Strings(jobIDs)
	return jobIDs
}

// online tells the policy of an online request.
func (s *scheduler) online(now time.Time, event batch.Event) {
	if _, ok := s.engines[event.Engine]; ok {
		s.step(now, event)
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

// returnStale hands back what waits here too long.
func (s *scheduler) returnStale(now time.Time, source *supply) {
	kept := source.queue[:0]
	for _, candidate := range source.queue {
		if now.Sub(candidate.queued) < queueTimeout {
			kept = append(kept, candidate)
			continue
		}
		s.giveBack(candidate)
	}
	clear(source.queue[len(kept):])
	source.queue = kept
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
