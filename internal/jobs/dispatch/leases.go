package dispatch

import (
	"sort"
	"time"

	"chutelock.dev/chutelock/internal/jobs"
)

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
