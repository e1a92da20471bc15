package online

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"chutelock.dev/chutelock/internal/settings"
)

// DefaultQueueTimeout is the longest wait where a service sets none.
const DefaultQueueTimeout = 5 * time.Second

const (
	// maxRetryAfter and minRetryAfter bound when refused callers come back.
	maxRetryAfter = time.Minute
	minRetryAfter = 100 * time.Millisecond
	// spreadSteps spreads callers refused together over spreadShare more time.
	spreadSteps = 16
	spreadShare = 0.5
	// idleSweep is how often tenants without traffic are forgotten.
	idleSweep = time.Minute
)

// TicketID names a ticket within its controller.
type TicketID uint64

// Ticket is one online request that asks for admission.
type Ticket struct {
	Tenant  *settings.Tenant
	Service *settings.Service
	// Deadline is when the answer is of no use any more; zero means never.
	Deadline time.Time
}

// Reason says why a ticket was refused.
type Reason string

// Reasons for refusals.
const (
	ReasonRate        Reason = "rate_limit"        // the tenant's requests per second
	ReasonConcurrency Reason = "concurrency_limit" // the tenant's requests in flight
	ReasonQueueFull   Reason = "queue_full"
	ReasonShed        Reason = "shed"     // gave way to a better priority
	ReasonTooLate     Reason = "too_late" // can't be served in its time
	ReasonDraining    Reason = "draining" // the node is stopping
)

// OfTenant says that the limit is the tenant's own, not the service's.
func (r Reason) OfTenant() bool { return r == ReasonRate || r == ReasonConcurrency }

// Refusal is the final answer to a ticket that was not admitted.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Verdict is the final answer to a ticket; nil Refusal means admitted.
type Verdict struct {
	ID      TicketID
	Refusal *Refusal
}

// Controller decides on tickets. It is not safe for concurrent use.
type Controller struct {
	lastID   TicketID
	services map[string]*serviceState
	tenants  map[string]*tenantState
	tickets  map[TicketID]*ticketState
	swept    time.Time
}

type ticketState struct {
	id       TicketID
	ticket   Ticket
	service  *serviceState
	tenant   *tenantState
	expires  time.Time // end of its time in the queue
	admitted time.Time // zero while it waits
}

type serviceState struct {
	capacity int
	inFlight int
	queue    queue
	drain    drainRate
}

type tenantState struct {
	inFlight int // admitted or waiting
	limiter  *rate.Limiter
	service  movingDuration
}

// NewController returns a controller without tickets.
func NewController() *Controller {
	return &Controller{
		services: map[string]*serviceState{},
		tenants:  map[string]*tenantState{},
		tickets:  map[TicketID]*ticketState{},
	}
}

// SetCapacity tells how many requests of a model may be in flight. Running
// requests over a lowered capacity go on.
func (c *Controller) SetCapacity(now time.Time, model string, capacity int) []Verdict {
	service := c.service(model)
	service.capacity = capacity
	return c.admitWaiting(now, service, nil)
}

// Submit asks for admission. The ticket's own verdict is among those returned
// unless it waits.
func (c *Controller) Submit(now time.Time, ticket Ticket) (TicketID, []Verdict) {
	c.sweep(now)
	c.lastID++
	id := c.lastID
	tenant := c.tenant(now, ticket.Tenant)
	if refusal := c.limit(now, tenant, ticket.Tenant); refusal != nil {
		return id, []Verdict{{ID: id, Refusal: refusal}}
	}
	service := c.service(ticket.Service.Model)
	state := &ticketState{id: id, ticket: ticket, service: service, tenant: tenant, expires: expiry(now, ticket)}
	verdicts := c.admitWaiting(now, service, nil)
	if service.inFlight < service.capacity && service.queue.length == 0 {
		c.hold(state)
		c.admit(now, state)
		return id, append(verdicts, Verdict{ID: id})
	}
	return id, c.enqueue(now, state, verdicts)
}

// enqueue lets the ticket wait if that makes sense.
func (c *Controller) enqueue(now time.Time, state *ticketState, verdicts []Verdict) []Verdict {
	service := state.service
	priority := state.ticket.Tenant.Priority
	ahead := service.queue.ahead(priority)
	if now.Add(service.wait(now, ahead+1)).After(state.expires) {
		return append(verdicts, c.refuse(now, state, ReasonTooLate))
	}
	if service.queue.length >= state.ticket.Service.QueueLimit {
		worst := service.queue.last()
		if worst == nil || worst.ticket.Tenant.Priority <= priority {
			return append(verdicts, c.refuse(now, state, ReasonQueueFull))
		}
		verdicts = append(verdicts, c.drop(now, worst, ReasonShed))
	}
	c.hold(state)
	service.drain.queueing(now, service.queue.length == 0)
	service.queue.push(state)
	return verdicts
}

// hold charges the tenant with the ticket.
func (c *Controller) hold(state *ticketState) {
	c.tickets[state.id] = state
	state.tenant.inFlight++
}

// letGo forgets the ticket.
func (c *Controller) letGo(state *ticketState) {
	delete(c.tickets, state.id)
	state.tenant.inFlight--
}

func (c *Controller) admit(now time.Time, state *ticketState) {
	state.admitted = now
	state.service.inFlight++
}

// refuse makes the refusal of a ticket that is not held.
func (c *Controller) refuse(now time.Time, state *ticketState, reason Reason) Verdict {
	wait := state.service.wait(now, state.service.queue.length+1)
	return Verdict{ID: state.id, Refusal: &Refusal{Reason: reason, RetryAfter: comeBack(wait, state.id)}}
}

// drop gives up a waiting ticket.
func (c *Controller) drop(now time.Time, state *ticketState, reason Reason) Verdict {
	state.service.queue.remove(state)
	c.letGo(state)
	return c.refuse(now, state, reason)
}

// Finish ends an admitted ticket and admits those that its slot frees.
func (c *Controller) Finish(now time.Time, id TicketID) []Verdict {
	state := c.tickets[id]
	if state == nil || state.admitted.IsZero() {
		return nil
	}
	c.letGo(state)
	state.service.inFlight--
	took := now.Sub(state.admitted)
	state.service.drain.finished(took)
	state.tenant.service.add(took)
	return c.admitWaiting(now, state.service, nil)
}

// Abandon ends a ticket whose caller left, waiting or admitted.
func (c *Controller) Abandon(now time.Time, id TicketID) []Verdict {
	state := c.tickets[id]
	if state == nil {
		return nil
	}
	c.letGo(state)
	if state.admitted.IsZero() {
		state.service.queue.remove(state)
	} else {
		state.service.inFlight--
	}
	return c.admitWaiting(now, state.service, nil)
}

// Tick gives up the waiting tickets that can't be served in their time. Call
// it every few tens of milliseconds while any ticket waits.
func (c *Controller) Tick(now time.Time) []Verdict {
	var verdicts []Verdict
	for _, service := range c.services {
		verdicts = c.admitWaiting(now, service, verdicts)
		verdicts = c.giveUpHopeless(now, service, verdicts)
	}
	return verdicts
}

func (c *Controller) giveUpHopeless(now time.Time, service *serviceState, verdicts []Verdict) []Verdict {
	if service.queue.length == 0 {
		return verdicts
	}
	position := 0
	var hopeless []*ticketState
	service.queue.each(func(state *ticketState) {
		if !now.Before(state.expires) || now.Add(service.wait(now, position+1)).After(state.expires) {
			hopeless = append(hopeless, state)
			return
		}
		position++
	})
	for _, state := range hopeless {
		verdicts = append(verdicts, c.drop(now, state, ReasonTooLate))
	}
	return verdicts
}

// admitWaiting fills free slots from the queue, the best priority first.
func (c *Controller) admitWaiting(now time.Time, service *serviceState, verdicts []Verdict) []Verdict {
	for service.inFlight < service.capacity && service.queue.length > 0 {
		state := service.queue.first()
		if !now.Before(state.expires) {
			verdicts = append(verdicts, c.drop(now, state, ReasonTooLate))
			continue
		}
		service.queue.remove(state)
		c.admit(now, state)
		verdicts = append(verdicts, Verdict{ID: state.id})
	}
	return verdicts
}

// limit applies the tenant's own limits.
func (c *Controller) limit(now time.Time, state *tenantState, tenant *settings.Tenant) *Refusal {
	if tenant.MaxConcurrent > 0 && state.inFlight >= tenant.MaxConcurrent {
		wait := state.service.value() / time.Duration(tenant.MaxConcurrent)
		return &Refusal{Reason: ReasonConcurrency, RetryAfter: comeBack(wait, c.lastID)}
	}
	if state.limiter == nil {
		return nil
	}
	reservation := state.limiter.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		return &Refusal{Reason: ReasonRate, RetryAfter: min(max(wait, time.Millisecond), maxRetryAfter)}
	}
	return nil
}

func (c *Controller) tenant(now time.Time, tenant *settings.Tenant) *tenantState {
	state := c.tenants[tenant.Name]
	if state == nil {
		state = &tenantState{}
		c.tenants[tenant.Name] = state
	}
	state.follow(now, tenant)
	return state
}

// follow brings the limiter in line with the settings in force.
func (s *tenantState) follow(now time.Time, tenant *settings.Tenant) {
	if tenant.RequestsPerSecond <= 0 {
		s.limiter = nil
		return
	}
	limit := rate.Limit(tenant.RequestsPerSecond)
	burst := tenant.Burst
	if burst <= 0 {
		burst = max(1, int(math.Ceil(tenant.RequestsPerSecond)))
	}
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(limit, burst)
		return
	}
	if s.limiter.Limit() != limit {
		s.limiter.SetLimitAt(now, limit)
	}
	if s.limiter.Burst() != burst {
		s.limiter.SetBurstAt(now, burst)
	}
}

// sweep forgets tenants whose state is as good as new.
func (c *Controller) sweep(now time.Time) {
	if now.Sub(c.swept) < idleSweep {
		return
	}
	c.swept = now
	for name, state := range c.tenants {
		if state.inFlight == 0 && (state.limiter == nil || state.limiter.TokensAt(now) >= float64(state.limiter.Burst())) {
			delete(c.tenants, name)
		}
	}
}

func (c *Controller) service(model string) *serviceState {
	state := c.services[model]
	if state == nil {
		state = &serviceState{}
		c.services[model] = state
	}
	return state
}

// wait estimates how long it takes until that many more tickets are admitted.
func (s *serviceState) wait(now time.Time, tickets int) time.Duration {
	tickets -= max(0, s.capacity-s.inFlight)
	if tickets <= 0 {
		return 0
	}
	return time.Duration(float64(tickets) / s.drain.perSecond(now, s.capacity, s.queue.length > 0) * float64(time.Second))
}

// comeBack bounds a wait and spreads the callers refused together.
func comeBack(wait time.Duration, id TicketID) time.Duration {
	spread := 1 + spreadShare*float64(id%spreadSteps)/spreadSteps
	return min(max(time.Duration(float64(wait)*spread), minRetryAfter), maxRetryAfter)
}

func expiry(now time.Time, ticket Ticket) time.Time {
	timeout := ticket.Service.QueueTimeout
	if timeout == 0 {
		timeout = DefaultQueueTimeout
	}
	expires := now.Add(timeout)
	if !ticket.Deadline.IsZero() && ticket.Deadline.Before(expires) {
		return ticket.Deadline
	}
	return expires
}

// Waiting counts the tickets of a model that wait.
func (c *Controller) Waiting(model string) int { return c.service(model).queue.length }

// InFlight counts the tickets of a model that were admitted and not finished.
func (c *Controller) InFlight(model string) int { return c.service(model).inFlight }

// AnyWaiting says whether Tick has work.
func (c *Controller) AnyWaiting() bool {
	for _, service := range c.services {
		if service.queue.length > 0 {
			return true
		}
	}
	return false
}
