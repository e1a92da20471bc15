package dispatch

import (
	"strconv"
	"time"

	"chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/jobs"
)

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
