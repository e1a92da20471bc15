package machine

import (
	"math"
	"sort"
	"time"
)

// minLead is the shortest time allowed between submission and deadline.
const minLead = time.Second

// demand is the remaining work of an open job of a model.
type demand struct {
	deadline int64
	// cumulativeItems counts the items of this job and of those due before it.
	cumulativeItems uint64
}

// feasible reports whether items more items of a model can complete by deadline
// without making an accepted job late, and if not, returns the earliest feasible
// deadline. Without a measured rate, any deadline from minLead on is feasible.
func (tx *transaction) feasible(model string, items uint32, deadline int64) (possible int64, ok bool) {
	earliest := tx.now + minLead.Milliseconds()
	measured, known := tx.machine.rates[model]
	if !known || !measured.known() {
		return earliest, earliest <= deadline
	}
	schedule := schedule{now: tx.now, rate: measured, demands: tx.machine.demands(model)}
	if earliest <= deadline && schedule.fits(uint64(items), deadline) {
		return deadline, true
	}
	return max(earliest, schedule.earliestFeasible(uint64(items))), false
}

// demands returns the demands of a model's open jobs, ordered by deadline.
func (m *Machine) demands(model string) []demand {
	var demands []demand
	for _, job := range m.open {
		if job.record.Model == model {
			demands = append(demands, demand{job.record.Deadline.UnixMilli(), uint64(job.remainingItems())})
		}
	}
	sort.Slice(demands, func(a, b int) bool { return demands[a].deadline < demands[b].deadline })
	total := uint64(0)
	for i := range demands {
		total += demands[i].cumulativeItems
		demands[i].cumulativeItems = total
	}
	return demands
}

// schedule predicts completion times for items that run in deadline order at
// the measured rate.
type schedule struct {
	now     int64
	rate    *rate
	demands []demand
}

// finishTime returns when the first items items complete, in Unix milliseconds.
func (s *schedule) finishTime(items uint64) int64 { return s.now + s.rate.timeFor(items) }

// fits reports whether items due by deadline can be added: they must complete
// in time, and must not make a job with a later deadline miss it.
func (s *schedule) fits(items uint64, deadline int64) bool {
	ahead := uint64(0)
	for _, existing := range s.demands {
		if existing.deadline <= deadline {
			ahead = existing.cumulativeItems
			continue
		}
		inTime := s.finishTime(existing.cumulativeItems) <= existing.deadline
		if inTime && s.finishTime(existing.cumulativeItems+items) > existing.deadline {
			return false
		}
	}
	return s.finishTime(ahead+items) <= deadline
}

// earliestFeasible returns the earliest deadline that fits: ahead of all jobs, or
// after one of them.
func (s *schedule) earliestFeasible(items uint64) int64 {
	first := s.finishTime(items)
	if s.fits(items, first) {
		return first
	}
	best := int64(math.MaxInt64)
	for _, existing := range s.demands {
		candidate := max(existing.deadline, s.finishTime(existing.cumulativeItems+items))
		if candidate < best && s.fits(items, candidate) {
			best = candidate
		}
	}
	return best
}
