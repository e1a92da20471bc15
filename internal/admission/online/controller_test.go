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

// oracle is the plain account of tickets against which a Controller is held.
type oracle struct {
	controller *Controller
	now        time.Time
	service    *settings.Service
	tenants    []*settings.Tenant
	capacity   int

	waiting  []account // in order of arrival
	admitted []account
	answered map[TicketID]int
}

type account struct {
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

func (o *oracle) of(tenant *settings.Tenant) int {
	count := 0
	for _, a := range slices.Concat(o.waiting, o.admitted) {
		if a.tenant == tenant {
			count++
		}
	}
	return count
}

// take applies verdicts; newest is the ticket just submitted, if any.
func (o *oracle) take(t *rapid.T, verdicts []Verdict, newest *account) {
	for _, verdict := range verdicts {
		o.answered[verdict.ID]++
		if o.answered[verdict.ID] > 1 {
			t.Fatalf("ticket %d answered twice", verdict.ID)
		}
		position := slices.IndexFunc(o.waiting, func(a account) bool { return a.id == verdict.ID })
		if position < 0 && (newest == nil || newest.id != verdict.ID) {
			t.Fatalf("a verdict for ticket %d, which doesn't wait", verdict.ID)
		}
		if position >= 0 {
			o.takeWaiting(t, verdict, position)
			continue
		}
		if verdict.Refusal == nil {
			o.admit(t, *newest)
		} else {
			o.checkRefusal(t, verdict.Refusal)
		}
	}
}

func (o *oracle) takeWaiting(t *rapid.T, verdict Verdict, position int) {
	taken := o.waiting[position]
	o.waiting = slices.Delete(o.waiting, position, position+1)
	if verdict.Refusal != nil {
		o.checkRefusal(t, verdict.Refusal)
		return
	}
	for i, other := range o.waiting {
		if !o.now.Before(other.expires) {
			continue // about to be given up
		}
		if other.tenant.Priority < taken.tenant.Priority || other.tenant.Priority == taken.tenant.Priority && i < position {
			t.Fatalf("ticket %d (priority %d) admitted before %d (priority %d)", taken.id, taken.tenant.Priority, other.id, other.tenant.Priority)
		}
	}
	o.admit(t, taken)
}

func (o *oracle) admit(t *rapid.T, a account) {
	if len(o.admitted) >= o.capacity {
		t.Fatalf("ticket %d admitted with %d in flight of %d", a.id, len(o.admitted), o.capacity)
	}
	if !o.now.Before(a.expires) {
		t.Fatalf("ticket %d admitted after its time", a.id)
	}
	o.admitted = append(o.admitted, a)
}

func (o *oracle) checkRefusal(t *rapid.T, refusal *Refusal) {
	if refusal.RetryAfter <= 0 || refusal.RetryAfter > maxRetryAfter {
		t.Fatalf("refused with retry after %v", refusal.RetryAfter)
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
	held := o.of(tenant)
	worst := slices.MaxFunc(append(slices.Clone(o.waiting), account{tenant: tenant}), func(a, b account) int { return a.tenant.Priority - b.tenant.Priority })
	id, verdicts := o.controller.Submit(o.now, ticket)
	newest := &account{id: id, tenant: tenant, expires: expires}
	for _, verdict := range verdicts {
		if verdict.Refusal != nil && verdict.Refusal.Reason == ReasonShed && worst.tenant.Priority <= tenant.Priority {
			t.Fatalf("priority %d shed others, the worst of which has %d", tenant.Priority, worst.tenant.Priority)
		}
	}
	o.take(t, verdicts, newest)
	if o.answered[id] == 0 {
		o.waiting = append(o.waiting, *newest)
	}
	if tenant.MaxConcurrent > 0 && held >= tenant.MaxConcurrent && o.of(tenant) > held {
		t.Fatalf("%d in flight of a tenant that may have %d", o.of(tenant), tenant.MaxConcurrent)
	}
	if len(o.waiting) > o.service.QueueLimit {
		t.Fatalf("%d wait in a queue of %d", len(o.waiting), o.service.QueueLimit)
	}
}

func (o *oracle) setCapacity(t *rapid.T) {
	o.capacity = rapid.IntRange(0, 4).Draw(t, "capacity")
	o.take(t, o.controller.SetCapacity(o.now, o.service.Model, o.capacity), nil)
}

func (o *oracle) finish(t *rapid.T) {
	for _, a := range o.waiting {
		o.take(t, o.controller.Finish(o.now, a.id), nil) // it hasn't begun
	}
	if len(o.admitted) == 0 {
		return
	}
	position := rapid.IntRange(0, len(o.admitted)-1).Draw(t, "admitted")
	id := o.admitted[position].id
	o.admitted = slices.Delete(o.admitted, position, position+1)
	o.take(t, o.controller.Finish(o.now, id), nil)
	o.take(t, o.controller.Finish(o.now, id), nil) // a second time must change nothing
}

func (o *oracle) abandon(t *rapid.T) {
	if len(o.waiting) == 0 {
		return
	}
	position := rapid.IntRange(0, len(o.waiting)-1).Draw(t, "waiting")
	id := o.waiting[position].id
	o.waiting = slices.Delete(o.waiting, position, position+1)
	o.take(t, o.controller.Abandon(o.now, id), nil)
}

func (o *oracle) pass(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "milliseconds")) * time.Millisecond)
	o.take(t, o.controller.Tick(o.now), nil)
	for _, a := range o.waiting {
		if !o.now.Before(a.expires) {
			t.Fatalf("ticket %d still waits after its time", a.id)
		}
	}
}

// lag lets time pass before anybody looks.
func (o *oracle) lag(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "milliseconds")) * time.Millisecond)
}

// check holds the controller's account against the oracle's after each step.
func (o *oracle) check(t *rapid.T) {
	if waiting := o.controller.Waiting(o.service.Model); waiting != len(o.waiting) {
		t.Fatalf("%d wait by the controller, %d by the oracle", waiting, len(o.waiting))
	}
	if inFlight := o.controller.InFlight(o.service.Model); inFlight != len(o.admitted) {
		t.Fatalf("%d in flight by the controller, %d by the oracle", inFlight, len(o.admitted))
	}
	alive := slices.ContainsFunc(o.waiting, func(a account) bool { return o.now.Before(a.expires) })
	if alive && len(o.admitted) < o.capacity {
		t.Fatalf("%d wait beside %d free slots", len(o.waiting), o.capacity-len(o.admitted))
	}
}

func TestEveryTicketIsAnsweredOnceWithinTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		o.setCapacity(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": o.submit, "submit more": o.submit, "capacity": o.setCapacity,
			"finish": o.finish, "abandon": o.abandon, "time": o.pass, "lag": o.lag, "": o.check,
		})
	})
}

// TestHopelessTicketsAreAnsweredAtOnce: a request that can't be served in its
// time must not be held until that time is nearly over.
func TestHopelessTicketsAreAnsweredAtOnce(t *testing.T) {
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
	for range 10 { // they push it back
		c.Submit(now, Ticket{Tenant: urgent, Service: service})
	}
	verdicts = c.Tick(now.Add(time.Millisecond))
	g.Expect(verdicts).To(gomega.ContainElement(gomega.HaveField("ID", late)))
	c.Finish(now.Add(time.Second), running)
}

func TestGateAnswersEachCallerOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := NewGate(func(time.Time, *settings.Service) int { return 2 })
	service := &settings.Service{Model: "m", QueueLimit: 100, QueueTimeout: time.Minute}
	ticket := Ticket{Tenant: &settings.Tenant{Name: "t"}, Service: service}
	inside := make(chan struct{}, 2)
	results := make(chan error, 50)
	for range cap(results) {
		go func() {
			release, refusal, err := gate.Admit(context.Background(), ticket)
			if refusal == nil && err == nil {
				select {
				case inside <- struct{}{}:
					time.Sleep(100 * time.Microsecond)
					<-inside
				default:
					err = fmt.Errorf("more than %d inside", cap(inside))
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
	left, cancel := context.WithCancel(context.Background())
	cancel()
	hold, _, _ := gate.Admit(context.Background(), ticket)
	other, _, _ := gate.Admit(context.Background(), ticket)
	_, _, err := gate.Admit(left, ticket)
	g.Expect(err).To(gomega.MatchError(ErrCallerLeft))
	hold()
	other()
	gate.Drain()
	_, refusal, err := gate.Admit(context.Background(), ticket)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(refusal.Reason).To(gomega.Equal(ReasonDraining))
	g.Expect(gate.QueueLength()).To(gomega.HaveKeyWithValue("m", 0))
}
