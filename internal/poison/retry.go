package poison

import "time"

const (
	// maxEarlyRetries is how many early retries may follow each other, as an answer of the
	// store may be late news: calls that it got before an outage may be answered during it.
	// earlyRetryInterval is the time after which another one is allowed, which bounds the
	// calls of nodes that the store turns away while it answers others.
	maxEarlyRetries    = 3
	earlyRetryInterval = time.Second
	// lostCallSilence is the silence of the store from which a call that is pending before
	// its end may be lost; it exceeds the usual time between answers to watchers.
	lostCallSilence = 500 * time.Millisecond
)

// retryPacer decides when a failed sync with the store is tried again: after a delay that
// doubles, or early when the store answers any node. It is not safe for concurrent use.
type retryPacer struct {
	failing bool          // the last attempt failed
	delay   time.Duration // after the next failure
	// startedAt is the start of the last call.
	startedAt time.Time
	// pending says that an early retry was granted and has not begun.
	pending bool
	// used counts the early retries as of usedAt; it falls with time.
	used   float64
	usedAt time.Time
}

func newRetryPacer() *retryPacer { return &retryPacer{delay: retryDelay} }

// start notes the start of a call.
func (p *retryPacer) start(now time.Time) { p.startedAt, p.pending = now, false }

// succeed notes that all calls of an attempt succeeded.
func (p *retryPacer) succeed() { p.failing, p.delay = false, retryDelay }

// fail notes a failed attempt and returns the delay until the next one.
func (p *retryPacer) fail() time.Duration {
	delay := p.delay
	p.failing, p.delay = true, min(2*p.delay, maxRetryDelay)
	return delay
}

// storeAnswered returns in what time to retry as the store answered a node after the given
// silence: at once after an outage, else at the earliest retryDelay after the last call began.
// It returns false if the store is not to be called early; the end of an outage is exempt from
// the bound on early retries, as outages are at least callTimeout apart. calling says that a call is
// pending: the first one of an outage has not failed yet.
func (p *retryPacer) storeAnswered(silence time.Duration, calling bool, now time.Time) (time.Duration, bool) {
	lost := calling && silence >= lostCallSilence && p.spacing(now) == 0
	if p.pending || !p.failing && !lost {
		return 0, false
	}
	outage := silence >= callTimeout
	used := max(0, p.used-now.Sub(p.usedAt).Seconds()/earlyRetryInterval.Seconds())
	if !outage && used+1 > maxEarlyRetries {
		return 0, false
	}
	p.used, p.usedAt, p.pending = min(used+1, maxEarlyRetries), now, true
	if outage {
		p.startedAt = time.Time{} // the call began in the outage
	}
	return p.spacing(now), true
}

// spacing returns the time until retryDelay after the last call began.
func (p *retryPacer) spacing(now time.Time) time.Duration {
	return max(0, p.startedAt.Add(retryDelay).Sub(now))
}
