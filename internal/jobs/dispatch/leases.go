package dispatch

import (
	"sort"
	"time"

	"chutelock.dev/chutelock/internal/jobs"
)

// leased queues the items that a fetch returned.
func (s *scheduler) leased(now time.Time, model string, leases []jobs.Lease) {
	queue := s.modelQueue(model)
	queue.fetching = false
	if len(leases) == 0 {
		queue.nextFetch = now.Add(emptyLeaseDelay)
		return
	}
	for _, lease := range leases {
		s.extendStart(lease.JobID, lease.Expires)
		items := lease.Items
		lease.Items = nil
		for _, item := range items {
			leased := &task{lease: lease, item: item, model: model, queued: now}
			if s.draining {
				s.handBack(leased)
				continue
			}
			queue.tasks = append(queue.tasks, leased)
		}
	}
	sort.SliceStable(queue.tasks, func(a, b int) bool {
		return queue.tasks[a].lease.Deadline.Before(queue.tasks[b].lease.Deadline)
	})
	s.tickEngines(now)
}

func (s *scheduler) extendStart(jobID string, until time.Time) {
	if until.After(s.startUntil[jobID]) {
		s.startUntil[jobID] = until
	}
}

// renewed extends the time until which items of held jobs may be started.
func (s *scheduler) renewed(jobIDs []string, until time.Time) {
	for _, jobID := range jobIDs {
		if _, held := s.startUntil[jobID]; held {
			s.extendStart(jobID, until)
		}
	}
}

// revoke drops all items of jobs that are final and cancels their streams.
func (s *scheduler) revoke(now time.Time, jobIDs []string) {
	for _, jobID := range jobIDs {
		delete(s.startUntil, jobID)
		for _, queue := range s.modelQueues {
			queue.tasks = withoutJob(queue.tasks, jobID)
		}
		for _, running := range s.streams {
			if running.task.lease.JobID == jobID {
				s.revokeStream(now, running)
			}
		}
	}
}

func withoutJob(queue []*task, jobID string) []*task {
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
		s.endSuspended(now, revoked)
		s.remove(revoked)
		return
	}
	revoked.revoked = true
	s.emit(action{kind: actionCancel, stream: revoked})
}

// heldJobs returns the jobs with queued items or streams on this node, sorted,
// and forgets the start validity of all others.
func (s *scheduler) heldJobs() []string {
	held := map[string]struct{}{}
	for _, running := range s.streams {
		held[running.task.lease.JobID] = struct{}{}
	}
	for _, queue := range s.modelQueues {
		for _, queued := range queue.tasks {
			held[queued.lease.JobID] = struct{}{}
		}
	}
	for jobID := range s.startUntil {
		if _, ok := held[jobID]; !ok {
			delete(s.startUntil, jobID)
		}
	}
	jobIDs := make([]string, 0, len(held))
	for jobID := range held {
		jobIDs = append(jobIDs, jobID)
	}
	sort.Strings(jobIDs)
	return jobIDs
}

// handBackStale hands back the items queued for queueTimeout or longer.
func (s *scheduler) handBackStale(now time.Time, queue *modelQueue) {
	kept := queue.tasks[:0]
	for _, candidate := range queue.tasks {
		if now.Sub(candidate.queued) < queueTimeout {
			kept = append(kept, candidate)
			continue
		}
		s.handBack(candidate)
	}
	clear(queue.tasks[len(kept):])
	queue.tasks = kept
}
