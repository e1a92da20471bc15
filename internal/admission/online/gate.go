package online

import (
	"context"
	"errors"
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/settings"
)

// tickInterval is the time between checks of the waiting tickets.
const tickInterval = 10 * time.Millisecond

// ErrCanceled is returned by Admit if the context ends before the verdict.
var ErrCanceled = errors.New("admission: context ended while waiting")

// CapacityFunc returns how many requests of a service may be in flight. It is
// called with the gate's lock held and must not call the gate.
type CapacityFunc func(now time.Time, service *settings.Service) int

// Gate runs a Controller for concurrent callers.
//
// Lock order: Gate.mutex before the locks that CapacityFunc takes.
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

// NewGate returns a gate that admits up to the given capacity.
func NewGate(capacity CapacityFunc) *Gate {
	return &Gate{
		capacity:   capacity,
		now:        time.Now,
		controller: NewController(),
		waiting:    map[TicketID]chan *Refusal{},
		services:   map[string]*settings.Service{},
	}
}

// Admit waits for the ticket's verdict. If the ticket is admitted, release must be
// called when the request has ended; further calls do nothing. If it is refused,
// refusal is not nil. The error is ErrCanceled if ctx ends first.
func (g *Gate) Admit(ctx context.Context, ticket Ticket) (release func(), refusal *Refusal, err error) {
	id, answer, refusal := g.submit(ticket)
	if refusal != nil {
		return nil, refusal, nil
	}
	select {
	case refusal = <-answer:
	case <-ctx.Done():
		g.abandon(id)
		return nil, nil, ErrCanceled
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
	g.updateCapacity(now, ticket.Service.Model)
	id, verdicts := g.controller.Submit(now, ticket)
	g.waiting[id] = answer
	g.deliver(verdicts)
	g.startTicking()
	return id, answer, nil
}

// updateCapacity sets the current capacity of a model.
func (g *Gate) updateCapacity(now time.Time, model string) {
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

// startTicking starts the timer if tickets wait and it isn't running.
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
			g.updateCapacity(now, model)
		}
	}
	g.deliver(g.controller.Tick(now))
	g.ticking = false
	g.startTicking()
}

// Drain refuses all new tickets from now on; waiting tickets stay queued.
func (g *Gate) Drain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.draining = true
}

// EndWaiting refuses the waiting tickets, and new ones as Drain does.
func (g *Gate) EndWaiting() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.draining = true
	waiting := g.waiting
	g.waiting = map[TicketID]chan *Refusal{}
	for id, answer := range waiting {
		answer <- &Refusal{Reason: ReasonDraining, RetryAfter: minRetryAfter}
		g.controller.Abandon(g.now(), id) // its verdicts are on others of these
	}
}

// QueueLength returns the number of waiting tickets of each model.
func (g *Gate) QueueLength() map[string]int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	lengths := make(map[string]int, len(g.services))
	for model := range g.services {
		lengths[model] = g.controller.Waiting(model)
	}
	return lengths
}
