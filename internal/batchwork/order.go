package batchwork

import "time"

const (
	// paceStart is the assumed time of an event, and lengthStart the assumed
	// number of events of an item, until runs have told.
	paceStart   = 20 * time.Millisecond
	lengthStart = 200
	// paceWeight is the weight of the newest run in the averages.
	paceWeight = 0.1
	// readSlack is how long before it is due an item should be done, so that
	// its result is read in time.
	readSlack = 500 * time.Millisecond
)

// pace remembers how long items take, from runs that ended.
type pace struct {
	event  float64 // nanoseconds
	length float64 // events an item
}

func newPace() *pace { return &pace{event: float64(paceStart), length: lengthStart} }

// observe takes a run that ended: its time, the events that it made, and the
// item's last event if the item is done.
func (p *pace) observe(took time.Duration, events uint64, last uint64, done bool) {
	if events > 0 {
		p.event += paceWeight * (float64(took)/float64(events) - p.event)
	}
	if done && last > 0 {
		p.length += paceWeight * (float64(last) - p.length)
	}
}

// remaining estimates how long an item still takes.
func (p *pace) remaining(item openItem) time.Duration {
	events := max(p.length-float64(item.lastEvent), p.length/8)
	return time.Duration(p.event * events)
}

// feasible says whether an item that goes on now is done in time.
func (p *pace) feasible(item openItem, now time.Time) bool {
	return now.Add(p.remaining(item) + readSlack).Before(item.due)
}

// order returns open items in the order in which they are to be run: those that
// can still be done in time go first, the first due before the others; the rest
// follow in the same order. In overload the first due of all would be late for
// good and make all others late.
func (p *pace) order(items []openItem, now time.Time) []openItem {
	ordered := make([]openItem, 0, len(items))
	var late []openItem
	for _, item := range items {
		if p.feasible(item, now) {
			ordered = append(ordered, item)
		} else {
			late = append(late, item)
		}
	}
	return append(ordered, late...)
}
