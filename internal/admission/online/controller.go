package online

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"chutelock.dev/chutelock/internal/settings"
)

// DefaultQueueTimeout is the maximum wait if a service sets none.
const DefaultQueueTimeout = 5 * time.Second

const (
	// maxRetryAfter and minRetryAfter bound Refusal.RetryAfter.
	maxRetryAfter = time.Minute
	minRetryAfter = 100 * time.Millisecond
	// RetryAfter is lengthened by up to spreadShare, in spreadSteps steps, so that
	// callers refused together don't retry together.
	spreadSteps = 16
	spreadShare = 0.5
	// sweepInterval is the time between removals of tenants without traffic.
	sweepInterval = time.Minute
)

// TicketID identifies a ticket within its controller.
type TicketID uint64

// Ticket is an online request for admission.
type Ticket struct {
	Tenant  *settings.Tenant
	Service *settings.Service
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
}

// Reason is the reason why a ticket was refused.
type Reason string

// Reasons for refusals.
const (
	ReasonRate        Reason = "rate_limit"        // the tenant's requests per second
	ReasonConcurrency Reason = "concurrency_limit" // the tenant's requests in flight
	ReasonQueueFull   Reason = "queue_full"
	ReasonShed        Reason = "shed"     // displaced by a higher-priority ticket
	ReasonTooLate     Reason = "too_late" // not expected to be admitted in time
	ReasonDraining    Reason = "draining" // the node is stopping
)

// OfTenant reports whether the limit is the tenant's, not the service's.
func (r Reason) OfTenant() bool { return r == ReasonRate || r == ReasonConcurrency }

// Refusal is the final answer to a ticket that was not admitted.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Verdict is the final answer to a ticket; a nil Refusal means admitted.
type Verdict struct {
	ID      TicketID
	Refusal *Refusal
}

// Controller admits, queues or refuses tickets. It is not safe for concurrent use.
type Controller struct {
	lastID    TicketID
	services  map[string]*serviceState
	tenants   map[string]*tenantState
	tickets   map[TicketID]*ticketState
	lastSweep time.Time
}

type ticketState struct {
	id       TicketID
	ticket   Ticket
	service  *serviceState
	tenant   *tenantState
	expires  time.Time // when it must be admitted or refused
	admitted time.Time // zero while it waits
}

type serviceState struct {
	capacity    int
	inFlight    int
	queue       queue
	completions completionRate
}

type tenantState struct {
	inFlight    int // admitted or waiting
	limiter     *rate.Limiter
	serviceTime movingDuration
}

// NewController returns a controller without tickets.
func NewController() *Controller {
	return &Controller{
		services: map[string]*serviceState{},
		tenants:  map[string]*tenantState{},
		tickets:  map[TicketID]*ticketState{},
	}
}

// SetCapacity sets how many requests of a model may be in flight. If it is
// lowered, running requests continue.
func (c *Controller) SetCapacity(now time.Time, model string, capacity int) []Verdict {
	service := c.service(model)
	service.capacity = capacity
	return c.admitWaiting(now, service, nil)
}

// Submit requests admission. The ticket's verdict is among those returned, unless
// it is queued.
func (c *Controller) Submit(now time.Time, ticket Ticket) (TicketID, []Verdict) {
	c.sweep(now)
	c.lastID++
	id := c.lastID
	tenant := c.tenant(now, ticket.Tenant)
	if refusal := c.checkLimits(now, tenant, ticket.Tenant); refusal != nil {
		return id, []Verdict{{ID: id, Refusal: refusal}}
	}
	service := c.service(ticket.Service.Model)
	state := &ticketState{id: id, ticket: ticket, service: service, tenant: tenant, expires: expiry(now, ticket)}
	verdicts := c.admitWaiting(now, service, nil)
	if service.inFlight < service.capacity && service.queue.length == 0 {
		c.track(state)
		c.admit(now, state)
		return id, append(verdicts, Verdict{ID: id})
	}
	return id, c.enqueue(now, state, verdicts)
}

// enqueue queues the ticket, unless it would wait too long or the queue is full
// of tickets of at least its priority.
func (c *Controller) enqueue(now time.Time, state *ticketState, verdicts []Verdict) []Verdict {
	service := state.service
	priority := state.ticket.Tenant.Priority
	ahead := service.queue.ahead(priority)
	if now.Add(service.expectedWait(now, ahead+1)).After(state.expires) {
		return append(verdicts, c.refuse(now, state, ReasonTooLate))
	}
	if service.queue.length >= state.ticket.Service.QueueLimit {
		lowest := service.queue.last()
		if lowest == nil || lowest.ticket.Tenant.Priority <= priority {
			return append(verdicts, c.refuse(now, state, ReasonQueueFull))
		}
		verdicts = append(verdicts, c.refuseWaiting(now, lowest, ReasonShed))
	}
	c.track(state)
	service.completions.queued(now, service.queue.length == 0)
	service.queue.push(state)
	return verdicts
}

// track adds the ticket to the tenant's requests in flight.
func (c *Controller) track(state *ticketState) {
	c.tickets[state.id] = state
	state.tenant.inFlight++
}

// untrack removes a tracked ticket.
func (c *Controller) untrack(state *ticketState) {
	delete(c.tickets, state.id)
	state.tenant.inFlight--
}

func (c *Controller) admit(now time.Time, state *ticketState) {
	state.admitted = now
	state.service.inFlight++
}

// refuse returns the refusal of a ticket that is not tracked.
func (c *Controller) refuse(now time.Time, state *ticketState, reason Reason) Verdict {
	wait := state.service.expectedWait(now, state.service.queue.length+1)
	return Verdict{ID: state.id, Refusal: &Refusal{Reason: reason, RetryAfter: retryAfter(wait, state.id)}}
}

// refuseWaiting removes a waiting ticket and returns its refusal.
func (c *Controller) refuseWaiting(now time.Time, state *ticketState, reason Reason) Verdict {
	state.service.queue.remove(state)
	c.untrack(state)
	return c.refuse(now, state, reason)
}

// Finish ends an admitted ticket and admits waiting ones to the freed slot.
func (c *Controller) Finish(now time.Time, id TicketID) []Verdict {
	state := c.tickets[id]
	if state == nil || state.admitted.IsZero() {
		return nil
	}
	c.untrack(state)
	state.service.inFlight--
	took := now.Sub(state.admitted)
	state.service.completions.finished(took)
	state.tenant.serviceTime.add(took)
	return c.admitWaiting(now, state.service, nil)
}

// Abandon ends a waiting or admitted ticket whose caller has disconnected.
func (c *Controller) Abandon(now time.Time, id TicketID) []Verdict {
	state := c.tickets[id]
	if state == nil {
		return nil
	}
	c.untrack(state)
	if state.admitted.IsZero() {
		state.service.queue.remove(state)
	} else {
		state.service.inFlight--
	}
	return c.admitWaiting(now, state.service, nil)
}

// Tick refuses waiting tickets that aren't expected to be admitted in time. Call
// it every few tens of milliseconds while any ticket waits.
func (c *Controller) Tick(now time.Time) []Verdict {
	var verdicts []Verdict
	for _, service := range c.services {
		verdicts = c.admitWaiting(now, service, verdicts)
		verdicts = c.refuseLate(now, service, verdicts)
	}
	return verdicts
}

func (c *Controller) refuseLate(now time.Time, service *serviceState, verdicts []Verdict) []Verdict {
	if service.queue.length == 0 {
		return verdicts
	}
	position := 0
	var late []*ticketState
	service.queue.each(func(state *ticketState) {
		if !now.Before(state.expires) || now.Add(service.expectedWait(now, position+1)).After(state.expires) {
			late = append(late, state)
			return
		}
		position++
	})
	for _, state := range late {
		verdicts = append(verdicts, c.refuseWaiting(now, state, ReasonTooLate))
	}
	return verdicts
}

// admitWaiting fills free slots from the queue, the highest priority first.
func (c *Controller) admitWaiting(now time.Time, service *serviceState, verdicts []Verdict) []Verdict {
	for service.inFlight < service.capacity && service.queue.length > 0 {
		state := service.queue.first()
		if !now.Before(state.expires) {
			verdicts = append(verdicts, c.refuseWaiting(now, state, ReasonTooLate))
			continue
		}
		service.queue.remove(state)
		c.admit(now, state)
		verdicts = append(verdicts, Verdict{ID: state.id})
	}
	return verdicts
}

// checkLimits applies the tenant's limits and returns nil if they allow a request.
func (c *Controller) checkLimits(now time.Time, state *tenantState, tenant *settings.Tenant) *Refusal {
	if tenant.MaxConcurrent > 0 && state.inFlight >= tenant.MaxConcurrent {
		wait := state.serviceTime.value() / time.Duration(tenant.MaxConcurrent)
		return &Refusal{Reason: ReasonConcurrency, RetryAfter: retryAfter(wait, c.lastID)}
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
	state.updateLimiter(now, tenant)
	return state
}

// updateLimiter applies the tenant's current settings to the rate limiter.
func (s *tenantState) updateLimiter(now time.Time, tenant *settings.Tenant) {
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

// sweep removes idle tenants with a full rate limiter, whose state equals a new one.
func (c *Controller) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < sweepInterval {
		return
	}
	c.lastSweep = now
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

// expectedWait estimates the time until that many more tickets are admitted.
func (s *serviceState) expectedWait(now time.Time, tickets int) time.Duration {
	tickets -= max(0, s.capacity-s.inFlight)
	if tickets <= 0 {
		return 0
	}
	return time.Duration(float64(tickets) / s.completions.perSecond(now, s.capacity, s.queue.length > 0) * float64(time.Second))
}

// retryAfter bounds a wait and spreads the retries of callers refused together.
func retryAfter(wait time.Duration, id TicketID) time.Duration {
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

// Waiting returns the number of waiting tickets of a model.
func (c *Controller) Waiting(model string) int { return c.service(model).queue.length }

// InFlight returns the number of admitted, unfinished tickets of a model.
func (c *Controller) InFlight(model string) int { return c.service(model).inFlight }

// AnyWaiting reports whether any ticket waits, so that Tick must be called.
func (c *Controller) AnyWaiting() bool {
	for _, service := range c.services {
		if service.queue.length > 0 {
			return true
		}
	}
	return false
}
