package batchwork

import (
	"time"

	"chutelock.dev/chutelock/internal/fairshare"
)

// minJobRetryAfter is the least Retry-After of a refused job: the time that a plan needs to see
// what has ended.
const minJobRetryAfter = 200 * time.Millisecond

// maxReturning bounds the refused jobs of a service that are remembered.
const maxReturning = 4096

// maxForecast bounds predicted times and limits, so that sums of them don't overflow.
const maxForecast = 1000 * time.Hour

// boundedTime converts nanoseconds to a duration of at most maxForecast.
func boundedTime(nanoseconds float64) time.Duration {
	return time.Duration(min(nanoseconds, float64(maxForecast)))
}

// jobForecast predicts when a service's jobs are done, from the open work of its tenants and
// the part of the slots to plan for. It assumes max-min fair shares of these slots. Work is the
// time for which items hold a slot.
type jobForecast struct {
	slots  float64
	weight func(tenant string) float64
	work   map[string]time.Duration
}

// timeFor returns how long a tenant's first work of the given amount takes. While it runs,
// each other tenant gets no more than its weight's share.
func (f jobForecast) timeFor(tenant string, work time.Duration) time.Duration {
	own := f.weight(tenant)
	total := float64(work)
	for other, open := range f.work {
		if other != tenant {
			total += min(float64(open), float64(work)*f.weight(other)/own)
		}
	}
	return boundedTime(total / f.slots)
}

// share returns a tenant's max-min fair share of the slot time within a period, if it asks for
// work in addition to what it has open.
func (f jobForecast) share(tenant string, work, period time.Duration) time.Duration {
	demands := []fairshare.Demand{{Weight: f.weight(tenant), Amount: float64(f.work[tenant] + work)}}
	for other, open := range f.work {
		if other != tenant {
			demands = append(demands, fairshare.Demand{Weight: f.weight(other), Amount: float64(open)})
		}
	}
	return time.Duration(fairshare.MaxMin(f.slots*float64(period), demands)[0])
}

// open returns the open work of all tenants.
func (f jobForecast) open() time.Duration {
	total := time.Duration(0)
	for _, work := range f.work {
		total += work
	}
	return total
}

// completion predicts how long a new job takes whose items hold slots for work in all, and a
// single one for longest.
func (f jobForecast) completion(tenant string, work, longest time.Duration) time.Duration {
	return max(f.timeFor(tenant, f.work[tenant]+work), longest)
}

// returns tracks the refused jobs that were told to return, so that those told later return
// after them. It is not safe for concurrent use.
type returns struct {
	jobs map[string]returningJob
}

type returningJob struct {
	tenant string
	work   time.Duration
	at     time.Time
}

func newReturns() *returns { return &returns{jobs: map[string]returningJob{}} }

// refuse returns when a refused job of a tenant may be accepted, if it may take limit at most:
// once its tenant's open work and that of the tenant's jobs that return before it have shrunk
// enough. No Retry-After is longer than limit, after which the forecast says nothing.
func (r *returns) refuse(job, tenant string, work, limit time.Duration, forecast jobForecast, now time.Time) time.Duration {
	delete(r.jobs, job)
	ahead := forecast.work[tenant] + work
	for id, other := range r.jobs {
		switch {
		case !now.Before(other.at):
			delete(r.jobs, id)
		case other.tenant == tenant:
			ahead += other.work
		}
	}
	retryAfter := min(max(forecast.timeFor(tenant, ahead)-limit, minJobRetryAfter), limit)
	if len(r.jobs) < maxReturning {
		r.jobs[job] = returningJob{tenant, work, now.Add(retryAfter)}
	}
	return retryAfter
}

// accept forgets a job that has returned.
func (r *returns) accept(job string) { delete(r.jobs, job) }
