package batchwork

import (
	"errors"
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/ledger"
)

// RefusedError means that a job was certainly not accepted because there is too little room
// for it at present. Its cause is ErrQueueFull or ErrTooLate.
type RefusedError struct {
	Cause error
	// RetryAfter is when there is room for the job, as predicted; 0 if it isn't known.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// fixedRefusal is the content of a reply with statusQueueFull. Nodes that don't know it ignore
// the content and take the queue as full.
type fixedRefusal struct {
	TooLate                bool
	RetryAfterMilliseconds uint32
}

// maxRetryAfter bounds the Retry-After that a caller of a shard accepts.
const maxRetryAfter = time.Hour

func (e *RefusedError) marshal() []byte {
	retryAfter := min(max(e.RetryAfter, 0), maxRetryAfter)
	return marshal(fixedRefusal{errors.Is(e.Cause, ErrTooLate), uint32(retryAfter / time.Millisecond)})
}

// decodeRefusal returns the error for a reply with statusQueueFull. Content that can't be
// decoded counts as none.
func decodeRefusal(content []byte) error {
	var fixed fixedRefusal
	if _, err := unmarshal(content, &fixed, 0); err != nil {
		return ErrQueueFull
	}
	refusal := &RefusedError{Cause: ErrQueueFull, RetryAfter: min(time.Duration(fixed.RetryAfterMilliseconds)*time.Millisecond, maxRetryAfter)}
	if fixed.TooLate {
		refusal.Cause = ErrTooLate
	}
	return refusal
}

// maxUncertain bounds the submissions with unknown outcomes that are remembered.
const maxUncertain = 4096

// submissions tracks the jobs that this node has proposed and that may be accepted although the
// state machine doesn't have them yet. It is safe for concurrent use.
type submissions struct {
	mutex sync.Mutex // guards jobs; no other lock is taken under it
	jobs  map[string]*pendingJob
}

type pendingJob struct {
	proposals int // whose outcome is awaited
	// term is the last one in which a proposal's outcome stayed unknown, or 0.
	term uint64
}

func newSubmissions() *submissions { return &submissions{jobs: map[string]*pendingJob{}} }

// begin records a proposal of a job.
func (s *submissions) begin(job string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.jobs[job]
	if known == nil {
		known = &pendingJob{}
		s.jobs[job] = known
	}
	known.proposals++
}

// end records the outcome of a proposal. If that is unknown, the job may be accepted until a
// later term than term.
func (s *submissions) end(job string, certain bool, term uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.jobs[job]
	known.proposals--
	if !certain {
		known.term = max(known.term, term)
	}
	if known.proposals == 0 && known.term == 0 {
		delete(s.jobs, job)
	}
}

// mayAppear reports whether a job that the leader of a term doesn't have may still be accepted
// by a proposal of this node.
func (s *submissions) mayAppear(job string, term uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.jobs) > maxUncertain {
		for id, known := range s.jobs {
			if known.proposals == 0 && known.term < term {
				delete(s.jobs, id)
			}
		}
	}
	known := s.jobs[job]
	return len(s.jobs) > maxUncertain || (known != nil && (known.proposals > 0 || known.term >= term))
}

// mayRefuse reports whether this shard is the one to decide on a job, and doesn't have it. epoch
// is that of the claim of a job that was claimed for this shard, or 0.
func (m *Machine) mayRefuse(job *Job, epoch uint64) bool {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	if m.jobs[job.ID] != nil {
		return false
	}
	if epoch != 0 {
		return !m.fenced(job, epoch)
	}
	return m.claims[job.ID] == nil && m.homes[job.queue()] == nil
}

// validate rejects jobs that can't have results in time.
func (j *Job) validate() error {
	switch {
	case len(j.Items) == 0:
		return invalidJob("it has no items")
	case j.Completion < 0 || j.Retention < 0:
		return invalidJob("it was due before it was submitted")
	}
	return nil
}

func invalidJob(cause string) error { return &InvalidJobError{cause} }

// InvalidJobError means that a job was certainly not accepted because it can't be run.
type InvalidJobError struct{ Cause string }

// Error implements error.
func (e *InvalidJobError) Error() string { return "batchwork: the job is invalid: " + e.Cause }

// uncertainEnd reports whether a proposal with this outcome may still take effect.
func uncertainEnd(err error) bool {
	var notLeader *ledger.NotLeaderError
	return err != nil && !isFinal(err) && !errors.Is(err, ledger.ErrUnavailable) && !errors.As(err, &notLeader)
}
