package online

import (
	"context"
	"errors"
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/settings"
)

// tickInterval is how often waiting tickets are looked through.
const tickInterval = 10 * time.Millisecond

// ErrCallerLeft is returned by Admit when the caller's context ended first.
var ErrCallerLeft = errors.New("admission: the caller left while waiting")

// CapacityFunc tells how many requests of a service may be in flight. It is
// called with the gate's lock held and must not call the gate.
type CapacityFunc func(now time.Time, service *settings.Service) int

// Gate runs a Controller for concurrent callers.
//
// Lock order: Gate.mutex before whatever CapacityFunc locks.
type Gate struct {
	capacity CapacityFunc
	now      func() time.Time

	mutex      sync.Mutex
	controller *Controller
	waiting    map[TicketID]chan *Refusal
	services   map[string]*settings.Service
	ticking    bool
	draining   bool
}

// NewGate returns an open gate.
func NewGate(capacity CapacityFunc) *Gate {
	return &Gate{
		capacity:   capacity,
		now:        time.Now,
		controller: NewController(),
		waiting:    map[TicketID]chan *Refusal{},
		services:   map[string]*settings.Service{},
	}
}

// Admit waits for the ticket's verdict. After admission, release must be
// called once the request has ended; calling it again does nothing. A refused
// ticket gives a Refusal; ErrCallerLeft says that ctx ended before.
func (g *Gate) Admit(ctx context.Context, ticket Ticket) (release func(), refusal *Refusal, err error) {
	id, answer, refusal := g.submit(ticket)
	if refusal != nil {
		return nil, refusal, nil
	}
	select {
	case refusal = <-answer:
	case <-ctx.Done():
		g.abandon(id)
		return nil, nil, ErrCallerLeft
	}
	if refusal != nil {
		return nil, refusal, nil
	}
	return sync.OnceFunc(func() { g.finish(id) }), nil, nil
}

func (g *Gate) submit(ticket Ticket) (TicketID, chan *Refusal, *Refusal) {
	answer := make(chan *Refusal, 1)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.draining {
		return 0, nil, &Refusal{Reason: ReasonDraining, RetryAfter: minRetryAfter}
	}
	now := g.now()
	g.services[ticket.Service.Model] = ticket.Service
	g.refresh(now, ticket.Service.Model)
	id, verdicts := g.controller.Submit(now, ticket)
	g.waiting[id] = answer
	g.deliver(verdicts)
	g.startTicking()
	return id, answer, nil
}

// refresh brings the capacity of a model up to date.
func (g *Gate) refresh(now time.Time, model string) {
	g.deliver(g.controller.SetCapacity(now, model, g.capacity(now, g.services[model])))
}

func (g *Gate) deliver(verdicts []Verdict) {
	for _, verdict := range verdicts {
		if answer, ok := g.waiting[verdict.ID]; ok {
			delete(g.waiting, verdict.ID)
			answer <- verdict.Refusal
		}
	}
}

func (g *Gate) finish(id TicketID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.controller.Finish(g.now(), id))
}

func (g *Gate) abandon(id TicketID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.waiting, id)
	g.deliver(g.controller.Abandon(g.now(), id))
}

// startTicking keeps a timer running while tickets wait.
func (g *Gate) startTicking() {
	if g.ticking || !g.controller.AnyWaiting() {
		return
	}
	g.ticking = true
	time.AfterFunc(tickInterval, g.tick)
}

func (g *Gate) tick() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	for model := range g.services {
		if g.controller.Waiting(model) > 0 {
			g.refresh(now, model)
		}
	}
	g.deliver(g.controller.Tick(now))
	g.ticking = false
	g.startTicking()
}

// Drain refuses all new tickets from now on; those that wait go on waiting.
func (g *Gate) Drain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.draining = true
}

// QueueLength counts the waiting tickets of each model.
func (g *Gate) QueueLength() map[string]int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	lengths := make(map[string]int, len(g.services))
	for model := range g.services {
		lengths[model] = g.controller.Waiting(model)
	}
	return lengths
}
