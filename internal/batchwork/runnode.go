package batchwork

import (
	"context"
	"sync/atomic"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/poison"
	"chutelock.dev/chutelock/internal/upstream"
)

// runNode is what runs need from the node that reads their streams: the leader or an
// executor.
type runNode struct {
	pool *upstream.Pool
	// usable reports whether an engine may get requests of a service.
	usable func(id, service string) bool
	// permitted reports whether the newest regions permit an item at an engine; nil means
	// yes.
	permitted func(item *openItem, engine string) bool
	// commit returns once an update is committed to the ledger.
	commit func(ctx context.Context, update itemUpdate) error
	// open reports whether an item is still to be run, as far as this node knows.
	open func(job string, index uint32) bool
	// guard learns from items which parts of prompts are sound. It holds no item back: items
	// don't crash engines, they only are there.
	guard *poison.Guard
	// partsOf returns the IDs of the shared parts of an item's prompt; nil means none.
	partsOf func(header []string) []string
	// misnumbered is called for each run that ends because of the number of an event; nil counts none.
	misnumbered func()
	readStart   time.Time
	streams     atomic.Int32 // streams being read here
}

// mayRun reports whether an item may be sent to an engine now.
func (n *runNode) mayRun(item *openItem, engine catalog.Engine) bool {
	return n.usable(engine.ID, engine.Service) && (n.permitted == nil || n.permitted(item, engine.ID))
}

func (n *runNode) sharedParts(header []string) []string {
	if n.partsOf == nil {
		return nil
	}
	return n.partsOf(header)
}

func (n *runNode) countMisnumbered() {
	if n.misnumbered != nil {
		n.misnumbered()
	}
}

// readInterval returns the time between two reads of a run's stream.
func (n *runNode) readInterval() time.Duration { return readInterval(int(n.streams.Load())) }

// engineOutcome is the outcome of a run for its engine.
type engineOutcome uint8

const (
	engineUnknown   engineOutcome = iota
	engineSucceeded               // it completed the response
	engineRefused                 // it refused the item and has not run it
	engineFailed                  // it was not reached, fell silent, or its address belongs to another engine
	engineLost                    // it lost the connection while it had the item; it may have crashed
)

// failed reports whether the run ended by a failure of its engine.
func (o engineOutcome) failed() bool { return o == engineFailed || o == engineLost }

// runResult is the result of a run.
type runResult struct {
	// pause is the time before the item may run again, if it is still open.
	pause  time.Duration
	engine engineOutcome
	cause  string // set for engineFailed and engineLost
	// took and events are the duration and event count of the stream, last is the item's
	// last event; done reports that the stream completed.
	took         time.Duration
	events, last uint64
	done         bool
	// end is the item's end if its commit failed.
	end *itemUpdate
}

// runHooks are optional callbacks on the progress of a run.
type runHooks struct {
	// reported gets the load reported by the engine.
	reported func(load upstream.Load)
	// begun is called at the first event; ended once the engine has finished with the
	// item, before the remaining text is committed.
	begun, ended func()
	// outcome gets the run's outcome for its engine, also before that commit.
	outcome func(result runResult)
}

func (h runHooks) callReported(load *upstream.Load) {
	if h.reported != nil && load != nil {
		h.reported(*load)
	}
}

func (h runHooks) callOutcome(result runResult) {
	if h.outcome != nil {
		h.outcome(result)
	}
}

func (h runHooks) callBegun() {
	if h.begun != nil {
		h.begun()
	}
}

func (h runHooks) callEnded() {
	if h.ended != nil {
		h.ended()
	}
}
