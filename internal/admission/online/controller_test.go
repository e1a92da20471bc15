package online

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/settings"
)

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// oracle is a simple model of the tickets that a Controller is compared with.
type oracle struct {
	controller *Controller
	now        time.Time
	service    *settings.Service
	tenants    []*settings.Tenant
	capacity   int

	waiting  []oracleTicket // in order of arrival
	admitted []oracleTicket
	answered map[TicketID]int
}

type oracleTicket struct {
	id      TicketID
	tenant  *settings.Tenant
	expires time.Time
}

func newOracle(t *rapid.T) *oracle {
	o := &oracle{
		controller: NewController(),
		now:        epoch,
		service:    &settings.Service{Model: "m", QueueLimit: rapid.IntRange(0, 5).Draw(t, "queue"), QueueTimeout: time.Duration(rapid.IntRange(1, 20).Draw(t, "timeout")) * time.Second},
		answered:   map[TicketID]int{},
	}
	for i := range 3 {
		o.tenants = append(o.tenants, &settings.Tenant{
			Name:              fmt.Sprint("tenant ", i),
			Priority:          rapid.IntRange(0, 9).Draw(t, "priority"),
			MaxConcurrent:     rapid.IntRange(0, 6).Draw(t, "concurrent"),
			RequestsPerSecond: rapid.SampledFrom([]float64{0, 0, 2}).Draw(t, "rate"),
			Burst:             rapid.IntRange(0, 3).Draw(t, "burst"),
		})
	}
	return o
}

func (o *oracle) ticketsOf(tenant *settings.Tenant) int {
	count := 0
	for _, a := range slices.Concat(o.waiting, o.admitted) {
		if a.tenant == tenant {
			count++
		}
	}
	return count
}

// apply checks verdicts and applies them; submitted is the new ticket, if any.
func (o *oracle) apply(t *rapid.T, verdicts []Verdict, submitted *oracleTicket) {
	for _, verdict := range verdicts {
		o.answered[verdict.ID]++
		if o.answered[verdict.ID] > 1 {
			t.Fatalf("ticket %d got two verdicts", verdict.ID)
		}
		position := slices.IndexFunc(o.waiting, func(a oracleTicket) bool { return a.id == verdict.ID })
		if position < 0 && (submitted == nil || submitted.id != verdict.ID) {
			t.Fatalf("got a verdict for ticket %d, which isn't waiting", verdict.ID)
		}
		if position >= 0 {
			o.applyToWaiting(t, verdict, position)
			continue
		}
		if verdict.Refusal == nil {
			o.admit(t, *submitted)
		} else {
			o.checkRefusal(t, verdict.Refusal)
		}
	}
}

func (o *oracle) applyToWaiting(t *rapid.T, verdict Verdict, position int) {
	ticket := o.waiting[position]
	o.waiting = slices.Delete(o.waiting, position, position+1)
	if verdict.Refusal != nil {
		o.checkRefusal(t, verdict.Refusal)
		return
	}
	for i, other := range o.waiting {
		if !o.now.Before(other.expires) {
			continue // about to be refused
		}
		if other.tenant.Priority < ticket.tenant.Priority || other.tenant.Priority == ticket.tenant.Priority && i < position {
			t.Fatalf("ticket %d (priority %d) admitted before %d (priority %d)", ticket.id, ticket.tenant.Priority, other.id, other.tenant.Priority)
		}
	}
	o.admit(t, ticket)
}

func (o *oracle) admit(t *rapid.T, a oracleTicket) {
	if len(o.admitted) >= o.capacity {
		t.Fatalf("ticket %d admitted with %d in flight, capacity %d", a.id, len(o.admitted), o.capacity)
	}
	if !o.now.Before(a.expires) {
		t.Fatalf("ticket %d admitted after it expired", a.id)
	}
	o.admitted = append(o.admitted, a)
}

func (o *oracle) checkRefusal(t *rapid.T, refusal *Refusal) {
	if refusal.RetryAfter <= 0 || refusal.RetryAfter > maxRetryAfter {
		t.Fatalf("RetryAfter of a refusal is %v", refusal.RetryAfter)
	}
}

func (o *oracle) submit(t *rapid.T) {
	tenant := rapid.SampledFrom(o.tenants).Draw(t, "tenant")
	ticket := Ticket{Tenant: tenant, Service: o.service}
	expires := o.now.Add(o.service.QueueTimeout)
	if seconds := rapid.IntRange(0, 10).Draw(t, "deadline"); seconds > 0 {
		ticket.Deadline = o.now.Add(time.Duration(seconds) * time.Second)
		if ticket.Deadline.Before(expires) {
			expires = ticket.Deadline
		}
	}
	before := o.ticketsOf(tenant)
	lowest := slices.MaxFunc(append(slices.Clone(o.waiting), oracleTicket{tenant: tenant}), func(a, b oracleTicket) int { return a.tenant.Priority - b.tenant.Priority })
	id, verdicts := o.controller.Submit(o.now, ticket)
	submitted := &oracleTicket{id: id, tenant: tenant, expires: expires}
	for _, verdict := range verdicts {
		if verdict.Refusal != nil && verdict.Refusal.Reason == ReasonShed && lowest.tenant.Priority <= tenant.Priority {
			t.Fatalf("a ticket of priority %d shed another, but the lowest priority waiting is %d", tenant.Priority, lowest.tenant.Priority)
		}
	}
	o.apply(t, verdicts, submitted)
	if o.answered[id] == 0 {
		o.waiting = append(o.waiting, *submitted)
	}
	if tenant.MaxConcurrent > 0 && before >= tenant.MaxConcurrent && o.ticketsOf(tenant) > before {
		t.Fatalf("%d tickets of a tenant in flight, limit %d", o.ticketsOf(tenant), tenant.MaxConcurrent)
	}
	if len(o.waiting) > o.service.QueueLimit {
		t.Fatalf("%d tickets wait, queue limit %d", len(o.waiting), o.service.QueueLimit)
	}
}

func (o *oracle) setCapacity(t *rapid.T) {
	o.capacity = rapid.IntRange(0, 4).Draw(t, "capacity")
	o.apply(t, o.controller.SetCapacity(o.now, o.service.Model, o.capacity), nil)
}

func (o *oracle) finish(t *rapid.T) {
	for _, a := range o.waiting {
		o.apply(t, o.controller.Finish(o.now, a.id), nil) // must be ignored while it waits
	}
	if len(o.admitted) == 0 {
		return
	}
	position := rapid.IntRange(0, len(o.admitted)-1).Draw(t, "admitted")
	id := o.admitted[position].id
	o.admitted = slices.Delete(o.admitted, position, position+1)
	o.apply(t, o.controller.Finish(o.now, id), nil)
	o.apply(t, o.controller.Finish(o.now, id), nil) // the second call must be ignored
}

func (o *oracle) abandon(t *rapid.T) {
	if len(o.waiting) == 0 {
		return
	}
	position := rapid.IntRange(0, len(o.waiting)-1).Draw(t, "waiting")
	id := o.waiting[position].id
	o.waiting = slices.Delete(o.waiting, position, position+1)
	o.apply(t, o.controller.Abandon(o.now, id), nil)
}

func (o *oracle) advanceTime(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "milliseconds")) * time.Millisecond)
	o.apply(t, o.controller.Tick(o.now), nil)
	for _, a := range o.waiting {
		if !o.now.Before(a.expires) {
			t.Fatalf("ticket %d still waits after it expired", a.id)
		}
	}
}

// advanceTimeWithoutTick delays the next Tick.
func (o *oracle) advanceTimeWithoutTick(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "milliseconds")) * time.Millisecond)
}

// check compares the controller with the oracle after each step.
func (o *oracle) check(t *rapid.T) {
	if waiting := o.controller.Waiting(o.service.Model); waiting != len(o.waiting) {
		t.Fatalf("%d tickets wait, want %d", waiting, len(o.waiting))
	}
	if inFlight := o.controller.InFlight(o.service.Model); inFlight != len(o.admitted) {
		t.Fatalf("%d tickets in flight, want %d", inFlight, len(o.admitted))
	}
	servable := slices.ContainsFunc(o.waiting, func(a oracleTicket) bool { return o.now.Before(a.expires) })
	if servable && len(o.admitted) < o.capacity {
		t.Fatalf("%d tickets wait despite %d free slots", len(o.waiting), o.capacity-len(o.admitted))
	}
}

func TestControllerGivesOneVerdictWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		o.setCapacity(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": o.submit, "submit more": o.submit, "capacity": o.setCapacity,
			"finish": o.finish, "abandon": o.abandon, "time": o.advanceTime, "lag": o.advanceTimeWithoutTick, "": o.check,
		})
	})
}

// A ticket that can't be admitted in time must be refused at once, or as soon as
// tickets of a higher priority push it back, and not held until its deadline.
func TestControllerRefusesLateTicketsEarly(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewController()
	service := &settings.Service{Model: "m", QueueLimit: 1000, QueueTimeout: time.Minute}
	tenant := &settings.Tenant{Name: "t", Priority: 5}
	c.SetCapacity(epoch, "m", 1)
	now := epoch
	for range 20 { // each takes 2 s
		id, _ := c.Submit(now, Ticket{Tenant: tenant, Service: service})
		now = now.Add(2 * time.Second)
		c.Finish(now, id)
	}
	running, _ := c.Submit(now, Ticket{Tenant: tenant, Service: service})
	for range 4 {
		_, verdicts := c.Submit(now, Ticket{Tenant: tenant, Service: service})
		g.Expect(verdicts).To(gomega.BeEmpty())
	}
	id, verdicts := c.Submit(now, Ticket{Tenant: tenant, Service: service, Deadline: now.Add(5 * time.Second)})
	g.Expect(verdicts).To(gomega.HaveLen(1))
	g.Expect(verdicts[0].ID).To(gomega.Equal(id))
	g.Expect(verdicts[0].Refusal.Reason).To(gomega.Equal(ReasonTooLate))
	g.Expect(verdicts[0].Refusal.RetryAfter).To(gomega.BeNumerically("~", 10*time.Second, 6*time.Second))

	late, verdicts := c.Submit(now, Ticket{Tenant: tenant, Service: service, Deadline: now.Add(14 * time.Second)})
	g.Expect(verdicts).To(gomega.BeEmpty())
	urgent := &settings.Tenant{Name: "urgent"}
	for range 10 { // queued before the late ticket
		c.Submit(now, Ticket{Tenant: urgent, Service: service})
	}
	verdicts = c.Tick(now.Add(time.Millisecond))
	g.Expect(verdicts).To(gomega.ContainElement(gomega.HaveField("ID", late)))
	c.Finish(now.Add(time.Second), running)
}

func TestGateBoundsConcurrentCallers(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := NewGate(func(time.Time, *settings.Service) int { return 2 })
	service := &settings.Service{Model: "m", QueueLimit: 100, QueueTimeout: time.Minute}
	ticket := Ticket{Tenant: &settings.Tenant{Name: "t"}, Service: service}
	admitted := make(chan struct{}, 2)
	results := make(chan error, 50)
	for range cap(results) {
		go func() {
			release, refusal, err := gate.Admit(context.Background(), ticket)
			if refusal == nil && err == nil {
				select {
				case admitted <- struct{}{}:
					time.Sleep(100 * time.Microsecond)
					<-admitted
				default:
					err = fmt.Errorf("more than %d callers admitted", cap(admitted))
				}
				release()
				release()
			}
			results <- err
		}()
	}
	for range cap(results) {
		g.Eventually(results).WithTimeout(20 * time.Second).Should(gomega.Receive(gomega.BeNil()))
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	releaseFirst, _, _ := gate.Admit(context.Background(), ticket)
	releaseSecond, _, _ := gate.Admit(context.Background(), ticket)
	_, _, err := gate.Admit(canceled, ticket)
	g.Expect(err).To(gomega.MatchError(ErrCanceled))
	releaseFirst()
	releaseSecond()
	gate.Drain()
	_, refusal, err := gate.Admit(context.Background(), ticket)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(refusal.Reason).To(gomega.Equal(ReasonDraining))
	g.Expect(gate.QueueLength()).To(gomega.HaveKeyWithValue("m", 0))
}

// Guards against a ticket that is admitted in place of one whose request ended because the node stops.
func TestWaitingTicketsAreRefusedOnceWaitingEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := NewGate(func(time.Time, *settings.Service) int { return 1 })
	ticket := Ticket{Service: &settings.Service{Model: "m", QueueLimit: 10}, Tenant: &settings.Tenant{}, Deadline: time.Now().Add(time.Minute)}
	release, refusal, err := gate.Admit(t.Context(), ticket)
	g.Expect(refusal).To(gomega.BeNil())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	const waiting = 3
	refusals := make(chan *Refusal, waiting)
	for range waiting {
		go func() {
			_, refusal, _ := gate.Admit(t.Context(), ticket)
			refusals <- refusal
		}()
	}
	g.Eventually(gate.QueueLength, 10*time.Second).Should(gomega.HaveKeyWithValue("m", waiting))
	gate.EndWaiting()
	release()
	for range waiting {
		g.Expect((<-refusals).Reason).To(gomega.Equal(ReasonDraining))
	}
	g.Expect(gate.QueueLength()).To(gomega.HaveKeyWithValue("m", 0))
}
