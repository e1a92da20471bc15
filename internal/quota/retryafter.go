package quota

import "time"

// retryAfter is when a caller that was refused should retry. While the tenant asks for more
// than the window admits, returns take the places of first tries, and no return gets one
// sooner than by chance; if returns are planned, callers are told so. An isolated node
// doesn't know what the tenant asks for.
func (l *Limiter) retryAfter(t *tenant, limit Limit, othersDemand float64, now time.Time) time.Duration {
	demand := t.demand.current(now) + othersDemand
	known := now.Sub(l.sumAt) <= isolationAge
	if l.PlanReturns && known && demand*l.bounds.Window.Seconds() > l.bounds.MaxAdmitted(limit) {
		return maxRetryAfter
	}
	return t.retryAfter(limit, othersDemand, now)
}

// retryAfter spaces the retries of refused callers at this node's part of the
// tenant's rate.
func (t *tenant) retryAfter(limit Limit, othersDemand float64, now time.Time) time.Duration {
	own := t.demand.current(now)
	fraction := own / max(own+othersDemand, 1/rateTimeConstant.Seconds())
	interval := time.Duration(float64(time.Second) / max(limit.Rate*fraction, 1/maxRetryAfter.Seconds()))
	if t.retryAt.Before(now) {
		t.retryAt = now
	}
	t.retryAt = t.retryAt.Add(interval)
	if latest := now.Add(maxRetryAfter); t.retryAt.After(latest) {
		t.retryAt = latest
	}
	return t.retryAt.Sub(now)
}
