package batchwork

import "time"

const (
	// initialEventTime and initialItemEvents are the estimates before any run has ended.
	initialEventTime  = 20 * time.Millisecond
	initialItemEvents = 200
	// averageWeight is the weight of the newest run in the averages.
	averageWeight = 0.1
	// readMargin is reserved before an item's due time for reading its result.
	readMargin = 500 * time.Millisecond
)

// itemEstimator estimates how long items take, as moving averages over ended runs.
type itemEstimator struct {
	eventTime  float64 // nanoseconds
	itemEvents float64 // events per item
}

func newItemEstimator() *itemEstimator {
	return &itemEstimator{eventTime: float64(initialEventTime), itemEvents: initialItemEvents}
}

// observe adds a run that ended: its duration, the events it produced, and the item's last
// event if the item is done.
func (e *itemEstimator) observe(took time.Duration, events uint64, last uint64, done bool) {
	if events > 0 {
		e.eventTime += averageWeight * (float64(took)/float64(events) - e.eventTime)
	}
	if done && last > 0 {
		e.itemEvents += averageWeight * (float64(last) - e.itemEvents)
	}
}

// remaining estimates how long an item still takes.
func (e *itemEstimator) remaining(item openItem) time.Duration {
	return time.Duration(e.eventTime * e.eventsLeft(item))
}

// textTime estimates how long producing an item's text so far took.
func (e *itemEstimator) textTime(item openItem) time.Duration {
	return time.Duration(e.eventTime * float64(item.lastEvent))
}

// eventsLeft estimates how many events of an item are still to come.
func (e *itemEstimator) eventsLeft(item openItem) float64 {
	return max(e.itemEvents-float64(item.lastEvent), e.itemEvents/8)
}

// feasible reports whether an item started now can be done in time.
func (e *itemEstimator) feasible(item openItem, now time.Time) bool {
	return now.Add(e.remaining(item) + readMargin).Before(item.due)
}

// order returns open items in the order in which to run them: those that can be done in time
// by earliest due time, then the rest. Running late items first would make all others late
// under overload.
func (e *itemEstimator) order(items []openItem, now time.Time) []openItem {
	ordered := make([]openItem, 0, len(items))
	var late []openItem
	for _, item := range items {
		if e.feasible(item, now) {
			ordered = append(ordered, item)
		} else {
			late = append(late, item)
		}
	}
	return append(ordered, late...)
}
