package machine

import (
	"math"
	"sort"
	"time"
)

// minimumLead is the shortest time from submission to a deadline.
const minimumLead = time.Second

// demand is the work that open jobs of a model have left, in the order of
// their deadlines.
type demand struct {
	deadline int64
	// ahead counts the items due by then.
	ahead uint64
}

// feasible says whether items more items of a model can be done by deadline
// without breaking a promise given before, and if not, what deadline could be
// met. Without a measured rate every future deadline is taken.
func (tx *transaction) feasible(model string, items uint32, deadline int64) (possible int64, ok bool) {
	earliest := tx.now + minimumLead.Milliseconds()
	measured, known := tx.machine.rates[model]
	if !known || !measured.known() {
		return earliest, earliest <= deadline
	}
	schedule := schedule{now: tx.now, rate: measured, demands: tx.machine.demands(model)}
	if earliest <= deadline && schedule.fits(uint64(items), deadline) {
		return deadline, true
	}
	return max(earliest, schedule.earliest(uint64(items))), false
}

// demands lists the work left of a model's open jobs.
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
		total += demands[i].ahead
		demands[i].ahead = total
	}
	return demands
}

// schedule judges deadlines as if items ran in the order of their deadlines
// at the measured rate.
type schedule struct {
	now     int64
	rate    *rate
	demands []demand
}

// done is when so many items would be done.
func (s *schedule) done(items uint64) int64 { return s.now + s.rate.timeFor(items) }

// fits says whether items due by deadline can be added: they must be done in
// time, and no later job that is in time may become late by them.
func (s *schedule) fits(items uint64, deadline int64) bool {
	ahead := uint64(0)
	for _, existing := range s.demands {
		if existing.deadline <= deadline {
			ahead = existing.ahead
			continue
		}
		inTime := s.done(existing.ahead) <= existing.deadline
		if inTime && s.done(existing.ahead+items) > existing.deadline {
			return false
		}
	}
	return s.done(ahead+items) <= deadline
}

// earliest is the first deadline that fits: before all others, or behind one.
func (s *schedule) earliest(items uint64) int64 {
	first := s.done(items)
	if s.fits(items, first) {
		return first
	}
	best := int64(math.MaxInt64)
	for _, existing := range s.demands {
		candidate := max(existing.deadline, s.done(existing.ahead+items))
		if candidate < best && s.fits(items, candidate) {
			best = candidate
		}
	}
	return best
}
