package batchwork

import (
	"context"
	"time"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
)

// refusalTimeout bounds the check before a refusal that no other leader has the job. Without
// an answer the job is proposed, as without a refusal.
const refusalTimeout = 300 * time.Millisecond

// Causes of refusals in metrics.
const (
	refusedTooLate   = "too-late"
	refusedQueueFull = "queue-full"
)

// Refuse returns a RefusedError if a new job is predicted to be done too late, by the estimates
// of a leader, and if certain reports that the job is not accepted and won't be. A node without
// estimates refuses nothing.
func (r *Runner) Refuse(job *Job, certain func() bool) error {
	if r.options.Overload.JobLateness <= 0 || !r.options.Overload.active() {
		return nil
	}
	now := clock.Now()
	service := serviceOf(r.options.Route(job.Host, job.Path))
	if r.judge(job, service, now) == nil || !certain() {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	verdict := r.judgeLocked(job, service, now)
	if verdict == nil {
		return nil // the estimates have changed meanwhile
	}
	returns := r.overload.service(service).returns
	retryAfter := returns.refuse(job.ID, job.Tenant, verdict.work, verdict.limit, verdict.forecast, now)
	r.options.Metrics.jobRefused(refusedTooLate)
	eventJobRefused.Info("cause", refusedTooLate,
		"job", job.ID, "tenant", job.Tenant, "service", service, "items", len(job.Items), "work", verdict.work,
		"share", verdict.forecast.share(job.Tenant, verdict.work, job.Completion), "open", verdict.forecast.work[job.Tenant],
		"open_all", verdict.forecast.open(), "slots", verdict.forecast.slots, "done_in", verdict.completion, "limit", verdict.limit,
		"come_back", retryAfter)
	return &RefusedError{Cause: ErrTooLate, RetryAfter: retryAfter}
}

// lateVerdict is why a job is too late.
type lateVerdict struct {
	forecast   jobForecast
	work       time.Duration // of the job
	completion time.Duration // predicted
	limit      time.Duration
}

// judge returns a verdict if a job would be done too late; else nil, and the job's work counts as
// open from now on.
func (r *Runner) judge(job *Job, service string, now time.Time) *lateVerdict {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.judgeLocked(job, service, now)
}

// judgeLocked is judge for callers that hold the mutex.
func (r *Runner) judgeLocked(job *Job, service string, now time.Time) *lateVerdict {
	if job.Completion <= 0 {
		return nil
	}
	forecast, itemWork, known := r.forecast(service, now)
	if !known {
		return nil
	}
	work := time.Duration(len(job.Items)) * itemWork
	verdict := &lateVerdict{
		forecast: forecast, work: work, completion: forecast.completion(job.Tenant, work, itemWork),
		limit: boundedTime(r.options.Overload.JobLateness * float64(job.Completion)),
	}
	if verdict.completion > verdict.limit {
		return verdict
	}
	// Counts until the next plan, which finds the job's items open.
	forecast.work[job.Tenant] += work
	r.overload.service(service).returns.accept(job.ID)
	return nil
}

// QueueRoom predicts when the queue of a job that it is too full for has room; false if that
// isn't known.
func (r *Runner) QueueRoom(job *Job) (retryAfter time.Duration, known bool) {
	if !r.options.Overload.active() {
		return 0, false
	}
	queued, needed := r.options.Machine.excess(job)
	now := clock.Now()
	service := serviceOf(r.options.Route(job.Host, job.Path))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.options.Metrics.jobRefused(refusedQueueFull)
	forecast, _, known := r.forecast(service, now)
	if known = known && needed > 0 && queued > 0; known {
		work := time.Duration(float64(forecast.work[job.Tenant]) * min(1, float64(needed)/float64(queued)))
		retryAfter = max(forecast.timeFor(job.Tenant, work), minJobRetryAfter)
	}
	eventJobRefused.Info("cause", refusedQueueFull,
		"job", job.ID, "tenant", job.Tenant, "service", service, "items", len(job.Items), "queued_tokens", queued, "bound", job.QueuedTokens,
		"open", forecast.work[job.Tenant], "open_all", forecast.open(), "slots", forecast.slots, "come_back", retryAfter)
	return retryAfter, known
}

// forecast returns the forecast for a service while this node leads; the caller holds the mutex.
func (r *Runner) forecast(service string, now time.Time) (jobForecast, time.Duration, bool) {
	load := r.overload.services[service]
	if load == nil || r.term == 0 {
		return jobForecast{}, 0, false
	}
	return load.forecast(r.itemEstimator, r.options.Overload.weight, now)
}

// excess returns the tokens of a job's queue at this shard, and how many of them have to leave
// before the job fits.
func (m *Machine) excess(job *Job) (queued, needed int64) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	queued = m.queued[job.queue()]
	needed = queued - job.QueuedTokens
	for i := range job.Items {
		needed += job.Items[i].Tokens
	}
	return queued, needed
}

// proposeJob commits the entry that accepts a job, or refuses the job. epoch is that of the
// claim of a job that was claimed for this shard, or 0.
func (s *Server) proposeJob(ctx context.Context, job *Job, epoch uint64, entry []byte) ([]byte, error) {
	if err := job.validate(); err != nil && !s.machine.hasJob(job.ID) {
		return nil, err
	}
	if err := s.refuseLate(ctx, job, epoch); err != nil {
		return nil, err
	}
	s.submitted.begin(job.ID)
	content, err := s.propose(ctx, entry)
	_, term := s.shard.Leading()
	s.submitted.end(job.ID, !uncertainEnd(err), term)
	return content, s.withRetryAfter(job, err)
}

// refuseLate returns an error if a job is to be refused because it would be done too late. A
// refusal has to be certain: a read confirms that this node leads and has applied what earlier
// leaders accepted, and no proposal of this node may still add the job. Otherwise the state
// machine decides.
func (s *Server) refuseLate(ctx context.Context, job *Job, epoch uint64) error {
	leading, term := s.shard.Leading()
	if s.refuse == nil || !leading || !s.machine.mayRefuse(job, epoch) || s.submitted.mayAppear(job.ID, term) {
		return nil
	}
	return s.refuse(job, func() bool {
		ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
		defer cancel()
		certain := false
		err := s.shard.Read(ctx, func(ledger.Reader) error {
			certain = s.machine.mayRefuse(job, epoch)
			return nil
		})
		_, confirmed := s.shard.Leading()
		return err == nil && certain && confirmed == term && !s.submitted.mayAppear(job.ID, term)
	})
}

// withRetryAfter adds the predicted time at which there is room to ErrQueueFull.
func (s *Server) withRetryAfter(job *Job, err error) error {
	if err != ErrQueueFull || s.queueRoom == nil {
		return err
	}
	if retryAfter, known := s.queueRoom(job); known {
		return &RefusedError{Cause: ErrQueueFull, RetryAfter: retryAfter}
	}
	return err
}
