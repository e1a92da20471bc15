package dispatch

import (
	"strconv"
	"time"

	"chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/jobs"
)

// admit starts up to count streams and records how many lacked items.
func (s *scheduler) admit(now time.Time, home *homeEngine, count int) {
	home.unfilled = 0
	if home.leaving || s.draining || s.congested || now.Before(home.blockedUntil) {
		return
	}
	for _, model := range home.models {
		queue := s.modelQueue(model)
		for count > 0 {
			next := s.nextTask(now, queue)
			if next == nil {
				break
			}
			count--
			s.start(now, home, next)
		}
	}
	home.unfilled = count
}

// nextTask removes and returns the first queued task that may start now.
func (s *scheduler) nextTask(now time.Time, queue *modelQueue) *task {
	for position, candidate := range queue.tasks {
		if !s.mayStart(now, candidate) {
			continue
		}
		queue.tasks = append(queue.tasks[:position], queue.tasks[position+1:]...)
		return candidate
	}
	return nil
}

// mayStart reports whether the start validity of the job and its deadline
// permit a start.
func (s *scheduler) mayStart(now time.Time, candidate *task) bool {
	return now.Before(s.startUntil[candidate.lease.JobID]) && now.Before(candidate.lease.Deadline)
}

func streamID(candidate *task) string {
	return candidate.lease.JobID + "-" + strconv.FormatUint(uint64(candidate.item.Index), 10) +
		"-" + strconv.FormatUint(candidate.lease.Epoch, 10)
}

func (s *scheduler) start(now time.Time, home *homeEngine, started *task) {
	running := &stream{id: streamID(started), engine: home.name, task: started}
	s.streams[running.id] = running
	home.streams[running.id] = running
	s.run(now, running)
}

// run starts a stream's next attempt.
func (s *scheduler) run(now time.Time, running *stream) {
	running.task.attempts++
	running.attempt = running.task.attempts
	running.state = streamRunning
	running.lastToken = now
	running.suspending = false
	s.modelQueue(running.task.model).running++
	s.emit(action{kind: actionRun, stream: running})
	s.stepPolicy(now, batch.Event{
		Kind: batch.EventBatchStarted, Engine: running.engine, Stream: running.id,
		PromptTokens: promptTokens(running.task.item.Body), Deadline: running.task.lease.Deadline,
	})
}

// bytesPerToken estimates the size of a token.
const bytesPerToken = 4

func promptTokens(body []byte) int { return len(body) / bytesPerToken }

// fetch requests more items for each model whose queue runs low.
func (s *scheduler) fetch(now time.Time) {
	if s.draining || s.congested {
		return
	}
	for model, unfilled := range s.unfilledByModel() {
		queue := s.modelQueue(model)
		low := max(unfilled, queue.running/4)
		if queue.fetching || low == 0 || len(queue.tasks) >= low || now.Before(queue.nextFetch) {
			continue
		}
		queue.fetching = true
		count := max(unfilled, queue.running/2) - len(queue.tasks)
		s.emit(action{kind: actionFetch, model: model, count: min(max(count, minFetch), maxFetch)})
	}
}

// unfilledByModel sums the unfilled streams of the engines by model.
func (s *scheduler) unfilledByModel() map[string]int {
	total := make(map[string]int, len(s.modelQueues))
	for _, home := range s.engines {
		if home.leaving {
			continue
		}
		for _, model := range home.models {
			total[model] += home.unfilled
		}
	}
	return total
}

// suspend suspends a running stream. A non-repeatable item runs on, since
// resuming would send it a second time.
func (s *scheduler) suspend(id string) {
	running, ok := s.streams[id]
	if !ok || running.state != streamRunning || !running.task.item.Repeatable {
		return
	}
	running.suspending = true
	s.emit(action{kind: actionSuspend, stream: running})
}

func (s *scheduler) resume(now time.Time, id string) {
	suspended, ok := s.streams[id]
	if !ok || suspended.state != streamSuspended {
		return
	}
	if !s.mayStart(now, suspended.task) {
		return // the policy retries, or the job is revoked
	}
	s.run(now, suspended)
}

// move takes a stream with a repeatable item off its engine; the item is
// requeued and continues after the tokens it has.
func (s *scheduler) move(now time.Time, id string) {
	moved, ok := s.streams[id]
	if !ok || !moved.task.item.Repeatable {
		return
	}
	if moved.state == streamSuspended {
		s.endSuspended(now, moved)
		s.requeue(now, moved)
		return
	}
	moved.moving = true
	s.emit(action{kind: actionCancel, stream: moved})
}

// endSuspended tells the policy that a suspended stream won't resume.
func (s *scheduler) endSuspended(now time.Time, suspended *stream) {
	suspended.state = 0
	s.stepPolicy(now, batch.Event{Kind: batch.EventBatchEnded, Engine: suspended.engine, Stream: suspended.id})
}

// requeue puts a stream's task at the front of its model's queue; while
// draining, it hands the item back.
func (s *scheduler) requeue(now time.Time, ended *stream) {
	s.remove(ended)
	if s.draining {
		s.handBack(ended.task)
		return
	}
	ended.task.queued = now
	queue := s.modelQueue(ended.task.model)
	queue.tasks = append([]*task{ended.task}, queue.tasks...)
}

func (s *scheduler) remove(ended *stream) {
	delete(s.streams, ended.id)
	if home, ok := s.engines[ended.engine]; ok {
		delete(home.streams, ended.id)
	}
}

// handBack returns an unfinished item to its job.
func (s *scheduler) handBack(returned *task) {
	s.emit(action{kind: actionHandBack, result: newResult(returned)})
}

func newResult(finished *task) jobs.Result {
	return jobs.Result{JobID: finished.lease.JobID, Index: finished.item.Index, Epoch: finished.lease.Epoch}
}
