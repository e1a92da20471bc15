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
// of a leader. A node without estimates refuses nothing.
func (r *Runner) Refuse(job *Job) error {
	options := r.options.Overload
	if !options.active() || options.JobLateness <= 0 || job.Completion <= 0 {
		return nil
	}
	now := clock.Now()
	service := serviceOf(r.options.Route(job.Host, job.Path))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	forecast, itemWork, known := r.forecast(service, now)
	if !known {
		return nil
	}
	work, returns := time.Duration(len(job.Items))*itemWork, r.overload.service(service).returns
	completion := forecast.completion(job.Tenant, work, itemWork)
	limit := time.Duration(options.JobLateness * float64(job.Completion))
	if completion <= limit {
		// Counts until the next plan, which finds the job's items open.
		forecast.work[job.Tenant] += work
		returns.accept(job.ID)
		return nil
	}
	refusal := &RefusedError{Cause: ErrTooLate, RetryAfter: returns.refuse(job.ID, job.Tenant, work, limit, forecast, now)}
	r.options.Metrics.jobRefused(refusedTooLate)
	eventJobRefused.Info(
		"job", job.ID, "tenant", job.Tenant, "service", service, "items", len(job.Items), "work", work,
		"share", forecast.share(job.Tenant, work, job.Completion), "open", forecast.work[job.Tenant], "open_all", forecast.open(),
		"slots", forecast.slots, "done_in", completion, "limit", limit, "come_back", refusal.RetryAfter,
	)
	return refusal
}

// QueueRoom predicts when the queue of a job that it is too full for has room; false if that
// isn't known.
func (r *Runner) QueueRoom(job *Job) (time.Duration, bool) {
	if !r.options.Overload.active() {
		return 0, false
	}
	r.options.Metrics.jobRefused(refusedQueueFull)
	queued, needed := r.options.Machine.excess(job)
	if needed <= 0 || queued <= 0 {
		return 0, false
	}
	now := clock.Now()
	service := serviceOf(r.options.Route(job.Host, job.Path))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	forecast, _, known := r.forecast(service, now)
	if !known {
		return 0, false
	}
	work := time.Duration(float64(forecast.work[job.Tenant]) * min(1, float64(needed)/float64(queued)))
	return max(forecast.timeFor(job.Tenant, work), minJobRetryAfter), true
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
// leaders accepted, and no proposal of this node may still add the job.
func (s *Server) refuseLate(ctx context.Context, job *Job, epoch uint64) error {
	leading, term := s.shard.Leading()
	if s.refuse == nil || !leading || !s.machine.mayRefuse(job, epoch) || s.submitted.mayAppear(job.ID, term) {
		return nil
	}
	refusal := s.refuse(job)
	if refusal == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	certain := false
	err := s.shard.Read(ctx, func(ledger.Reader) error {
		certain = s.machine.mayRefuse(job, epoch)
		return nil
	})
	_, confirmed := s.shard.Leading()
	if err != nil || !certain || confirmed != term || s.submitted.mayAppear(job.ID, term) {
		return nil // the state machine decides
	}
	return refusal
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
