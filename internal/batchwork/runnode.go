package batchwork

import (
	"context"
	"sync/atomic"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/poison"
	"chutelock.dev/chutelock/internal/upstream"
)

// runNode is what runs need of the node that holds their streams: the leader
// itself, or a data node that runs items for it.
type runNode struct {
	pool *upstream.Pool
	// usable says whether an engine may still get requests of a service.
	usable func(id, service string) bool
	// permitted says whether an item may go to an engine, by the newest regions; nil is yes.
	permitted func(item *openItem, engine string) bool
	// commit hands a step to the ledger, and returns once it is committed.
	commit func(ctx context.Context, s step) error
	// open says whether an item is still to be run, as far as known here.
	open func(job string, index uint32) bool
	// guard holds items back under which engines ended; nil holds none.
	guard   *poison.Guard
	opened  time.Time
	streams atomic.Int32 // that are being read here
}

// mayRun says whether an item may be sent to an engine now.
func (n *runNode) mayRun(item *openItem, engine catalog.Engine) bool {
	return n.usable(engine.ID, engine.Service) && (n.permitted == nil || n.permitted(item, engine.ID))
}

// readInterval is the time between two reads of a run's stream.
func (n *runNode) readInterval() time.Duration { return readInterval(int(n.streams.Load())) }

// engineVerdict is what a run tells of its engine.
type engineVerdict uint8

const (
	engineUnknown engineVerdict = iota
	engineSound                 // it answered whole
	engineFull                  // it refused the item, which it has not run
	engineFailed                // it broke off, fell silent, or is another one
)

// runResult is how a run ended.
type runResult struct {
	// pause is how long the item rests before it is run again, if it is open.
	pause  time.Duration
	engine engineVerdict
	cause  string // of engineFailed
	// took and events are the time and the events of the stream, last the item's
	// last event; done says that the stream ended whole.
	took         time.Duration
	events, last uint64
	done         bool
	// end is the item's end if it could not be committed.
	end *step
}

// runHooks are told how a run goes on; they may be nil where nobody listens.
type runHooks struct {
	// reported takes the engine's own figures.
	reported func(load upstream.Load)
	// begun is called at the first event, ended once the engine has the item no
	// more, before what came is committed.
	begun, ended func()
	// judged takes what the run tells of its engine, also before that.
	judged func(result runResult)
}

func (h runHooks) noteReported(load *upstream.Load) {
	if h.reported != nil && load != nil {
		h.reported(*load)
	}
}

func (h runHooks) noteJudged(result runResult) {
	if h.judged != nil {
		h.judged(result)
	}
}

func (h runHooks) noteBegun() {
	if h.begun != nil {
		h.begun()
	}
}

func (h runHooks) noteEnded() {
	if h.ended != nil {
		h.ended()
	}
}
