package batchwork

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/transport"
)

// termShard is a shard whose leadership can be set.
type termShard struct {
	failingShard
	term uint64 // 0: another node leads
	read error
	// onRead is called before a read.
	onRead func()
}

func (s *termShard) Leading() (bool, uint64) { return s.term != 0, s.term }

func (s *termShard) Read(ctx context.Context, query func(ledger.Reader) error) error {
	if s.onRead != nil {
		s.onRead()
	}
	if s.read != nil {
		return s.read
	}
	return s.failingShard.Read(ctx, query)
}

// busyLeader is a leader with so much open work that new jobs would be late.
type busyLeader struct {
	g      *gomega.WithT
	shard  *termShard
	runner *Runner
	server *Server
}

func newBusyLeader(t *testing.T, lateness float64) *busyLeader {
	g := gomega.NewWithT(t)
	shard := &termShard{failingShard: failingShard{machine: NewMachine(), store: memoryStore{}}, term: 1}
	snapshot := catalog.NewSnapshot(nil, nil)
	route := &catalog.Route{Name: "r", Kind: catalog.KindBatch, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}
	runner := NewRunner(RunnerOptions{
		Shard: shard, Machine: shard.machine, Balancer: balance.New(func() *catalog.Snapshot { return snapshot }),
		Route:    func(_, _ string) *catalog.Route { return route },
		Overload: OverloadOptions{Active: func() bool { return true }, JobLateness: lateness},
	})
	l := &busyLeader{g, shard, runner, &Server{
		shard: shard, machine: shard.machine, lowSpace: func() bool { return false }, submitted: newSubmissions(),
		refuse: runner.Refuse, queueRoom: runner.QueueRoom,
	}}
	l.lead(1)
	l.learn()
	return l
}

func (l *busyLeader) lead(term uint64) {
	l.shard.term = term
	l.runner.setTerm(term)
}

// learn gives the runner estimates: a slot, items of 2 s, and 100 s of open work.
func (l *busyLeader) learn() {
	load := l.runner.overload.service("s")
	now := clock.Now()
	load.room = roomMeter{mean: 1 / plannedRoom, observed: time.Minute, last: now, slotTime: float64(200 * 10 * time.Millisecond * minRuns), events: 200 * minRuns, runs: minRuns}
	load.work["t"] = 100 * time.Second
}

func (l *busyLeader) job(id string) *Job {
	job := testJob(id, 3, 0)
	job.Tenant = "t"
	return job
}

func (l *busyLeader) submit(id string) error {
	_, err := l.server.submit(context.Background(), encodeJob(l.job(id), true))
	return err
}

// A job that would be late by far is refused before anything of it is stored; its tenant is
// told when to return, and it is accepted once there is room.
func TestLateJobIsRefusedWithNothingStored(t *testing.T) {
	l := newBusyLeader(t, 2)
	var refused *RefusedError
	l.g.Expect(errors.As(l.submit("a"), &refused)).To(gomega.BeTrue())
	l.g.Expect(refused).To(gomega.MatchError(ErrTooLate))
	l.g.Expect(refused.RetryAfter).To(gomega.Equal(40*time.Second), "the limit; 66 s are predicted")
	l.g.Expect(l.shard.store).To(gomega.BeEmpty())
	l.g.Expect(l.shard.machine.hasJob("a")).To(gomega.BeFalse())
	l.runner.overload.service("s").work["t"] = 20 * time.Second
	l.g.Expect(l.submit("a")).To(gomega.Succeed())
	l.g.Expect(l.runner.overload.service("s").work["t"]).To(gomega.Equal(26*time.Second), "counts until the next plan")
}

// A setting beyond any duration refuses nothing.
func TestHugeLatenessAcceptsAll(t *testing.T) {
	for _, lateness := range []float64{1e300, math.Inf(1)} {
		l := newBusyLeader(t, lateness)
		l.g.Expect(l.submit("a")).To(gomega.Succeed())
	}
}

// A resend of an accepted job is answered as accepted, whatever is predicted.
func TestAcceptedJobStaysAccepted(t *testing.T) {
	l := newBusyLeader(t, 2)
	apply(l.g, l.shard.machine, l.shard.store, encodeSubmit(l.job("a")))
	l.g.Expect(l.submit("a")).To(gomega.Succeed())
	l.g.Expect(l.submit("b")).To(gomega.MatchError(ErrTooLate))
}

func TestNoJobIsRefusedWithout(t *testing.T) {
	for name, change := range map[string]func(l *busyLeader){
		"the switch":            func(l *busyLeader) { l.runner.options.Overload.Active = nil },
		"the setting":           func(l *busyLeader) { l.runner.options.Overload.JobLateness = 0 },
		"estimates of the term": func(l *busyLeader) { l.lead(2) },
		"confirmed leadership":  func(l *busyLeader) { l.runner.term = 0 },
		"a read that confirms":  func(l *busyLeader) { l.shard.read = ledger.ErrUnavailable },
		"the claim":             func(l *busyLeader) { l.shard.machine.claims["a"] = &claim{shard: 7, tenant: "t"} },
	} {
		t.Run(name, func(t *testing.T) {
			l := newBusyLeader(t, 2)
			change(l)
			l.g.Expect(errors.Is(l.submit("a"), ErrTooLate)).To(gomega.BeFalse())
		})
	}
}

// Where no job is refused for lateness, submissions don't wait for plans.
func TestSubmissionTakesNoLockOfRunner(t *testing.T) {
	for name, change := range map[string]func(o *OverloadOptions){
		"by the switch":  func(o *OverloadOptions) { o.Active = func() bool { return false } },
		"by the setting": func(o *OverloadOptions) { o.JobLateness = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			l := newBusyLeader(t, 2)
			change(&l.runner.options.Overload)
			l.runner.mutex.Lock()
			defer l.runner.mutex.Unlock()
			submitted := make(chan error, 1)
			go func() { submitted <- l.submit("a") }()
			l.g.Eventually(submitted, 10*time.Second).Should(gomega.Receive(gomega.BeNil()))
		})
	}
}

// Between the prediction and the read another leader accepted the job, or took over.
func TestRefusalIsDroppedIfJobAppears(t *testing.T) {
	l := newBusyLeader(t, 2)
	l.shard.onRead = func() { apply(l.g, l.shard.machine, l.shard.store, encodeSubmit(l.job("a"))) }
	l.g.Expect(l.submit("a")).To(gomega.Succeed())
	l.shard.onRead = func() { l.shard.term = 2 }
	l.g.Expect(l.submit("b")).To(gomega.Succeed())
}

// A proposal whose outcome is unknown may still be committed, until a later term has begun.
func TestJobOfUnknownOutcomeIsNotRefused(t *testing.T) {
	l := newBusyLeader(t, 2)
	l.server.submitted.begin("a")
	l.g.Expect(l.server.submitted.mayAppear("a", 1)).To(gomega.BeTrue(), "its outcome is awaited")
	l.server.submitted.end("a", false, 1)
	l.g.Expect(l.submit("a")).To(gomega.Succeed())
	l.server.submitted.end("b", l.begin("b"), 1)
	l.lead(2)
	l.learn()
	l.g.Expect(l.submit("b")).To(gomega.MatchError(ErrTooLate), "entries of earlier terms are applied or lost")
	l.server.submitted.begin("c")
	l.server.submitted.end("c", true, 2)
	l.g.Expect(l.submit("c")).To(gomega.MatchError(ErrTooLate))
}

// begin records a proposal of a job and returns that its outcome is unknown.
func (l *busyLeader) begin(job string) (certain bool) {
	l.server.submitted.begin(job)
	return false
}

func TestUncertainSubmissionsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSubmissions()
	for i := range maxUncertain + 1 {
		id := time.Duration(i).String()
		s.begin(id)
		s.end(id, false, 1)
	}
	g.Expect(s.mayAppear("other", 1)).To(gomega.BeTrue(), "too many to tell")
	g.Expect(s.mayAppear("other", 2)).To(gomega.BeFalse())
	g.Expect(s.jobs).To(gomega.BeEmpty())
}

// A full queue is told with the time at which it has room.
func TestQueueFullCarriesRetryAfter(t *testing.T) {
	l := newBusyLeader(t, 0)
	bounded := func(id string) *Job {
		job := l.job(id)
		job.QueuedTokens = 50
		return job
	}
	apply(l.g, l.shard.machine, l.shard.store, encodeSubmit(bounded("a")))
	l.runner.overload.service("s").work["t"] = 6 * time.Second
	submit := func() error {
		_, err := l.server.submit(context.Background(), encodeJob(bounded("b"), true))
		return err
	}
	var refused *RefusedError
	l.g.Expect(errors.As(submit(), &refused)).To(gomega.BeTrue())
	l.g.Expect(refused).To(gomega.MatchError(ErrQueueFull))
	l.g.Expect(refused.RetryAfter).To(gomega.Equal(2*time.Second), "10 of 30 tokens have to leave")
	l.runner.options.Overload.Active = nil
	l.g.Expect(errors.As(submit(), &refused)).To(gomega.BeFalse())
	l.g.Expect(submit()).To(gomega.MatchError(ErrQueueFull))
}

func TestRefusalSurvivesTheWire(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, cause := range []error{ErrQueueFull, ErrTooLate} {
		sent := &RefusedError{Cause: cause, RetryAfter: 1500 * time.Millisecond}
		var fixed fixedReply
		fields, err := unmarshal(reply(nil, nil, sent), &fixed, 2)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(fixed.Status).To(gomega.Equal(statusQueueFull), "nodes that ignore the content know the status")
		g.Expect(decodeRefusal(fields[0])).To(gomega.Equal(sent))
	}
	g.Expect(decodeRefusal(nil)).To(gomega.BeIdenticalTo(ErrQueueFull), "of a node that sends no content")
	g.Expect(decodeRefusal([]byte("malformed"))).To(gomega.BeIdenticalTo(ErrQueueFull))
	far := marshal(fixedRefusal{true, ^uint32(0)})
	var refused *RefusedError
	g.Expect(errors.As(decodeRefusal(far), &refused)).To(gomega.BeTrue())
	g.Expect(refused.RetryAfter).To(gomega.Equal(maxRetryAfter))
}

// answers is a transport that answers calls in order; an error stands for a lost message.
type answers struct {
	transport.Sender
	replies []any
}

func (a *answers) Call(context.Context, transport.Address, transport.Kind, []byte) ([]byte, error) {
	next := a.replies[0]
	a.replies = a.replies[1:]
	if err, lost := next.(error); lost {
		return nil, err
	}
	return next.([]byte), nil
}

type oneLeader struct{ ledger.Directory }

func (oneLeader) Leader(ledger.ShardID) (transport.Address, bool) { return "leader", true }
func (oneLeader) Suspect(ledger.ShardID, transport.Address)       {}

// After a lost call the job may still be accepted, so that a later refusal isn't certain.
func TestRefusalAfterLostCallIsUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	caller := func(replies ...any) *Caller {
		return NewCaller(CallerOptions{Directory: oneLeader{}, Sender: &answers{replies: replies}})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, cause := range []error{ErrTooLate, ErrQueueFull} {
		refusal := reply(nil, nil, &RefusedError{Cause: cause, RetryAfter: time.Second})
		g.Expect(caller(refusal).Submit(ctx, testJob("a", 1, 0))).To(gomega.MatchError(cause))
		g.Expect(caller(errors.New("lost"), refusal).Submit(ctx, testJob("a", 1, 0))).To(gomega.MatchError(ErrUnknown), cause.Error())
		g.Expect(caller(transport.ErrNotSent, refusal).Submit(ctx, testJob("a", 1, 0))).To(gomega.MatchError(cause))
	}
}

// Jobs that can't be run are refused, and nothing else is disturbed.
func TestInvalidJobIsRefused(t *testing.T) {
	l := newBusyLeader(t, 0)
	past := l.job("past")
	past.Completion = -time.Second
	for _, job := range []*Job{{ID: "empty"}, past} {
		var invalid *InvalidJobError
		_, err := l.server.submit(context.Background(), encodeJob(job, true))
		l.g.Expect(errors.As(err, &invalid)).To(gomega.BeTrue())
		err = NewCaller(CallerOptions{}).Submit(context.Background(), job)
		l.g.Expect(errors.As(err, &invalid)).To(gomega.BeTrue(), "no message is sent")
		answer := &answers{replies: []any{reply(nil, nil, invalid)}}
		err = NewCaller(CallerOptions{Directory: oneLeader{}, Sender: answer}).Submit(context.Background(), l.job("a"))
		l.g.Expect(err).To(gomega.Equal(invalid))
	}
	l.g.Expect(l.shard.store).To(gomega.BeEmpty())
	l.g.Expect(l.submit("a")).To(gomega.Succeed())
}
