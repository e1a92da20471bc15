package dispatch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/jobs"
)

// fakeWork leases its items once and answers starts from the grant channel.
type fakeWork struct {
	mutex   sync.Mutex
	leases  []jobs.Lease
	grant   chan bool // the result of each Start
	asked   chan struct{}
	results []jobs.Result
}

func (f *fakeWork) Lease(context.Context, string, string, int) ([]jobs.Lease, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	leases := f.leases
	f.leases = nil
	return leases, nil
}

func (f *fakeWork) Start(ctx context.Context, _ jobs.Lease, _ uint32) (bool, error) {
	f.asked <- struct{}{}
	select {
	case granted := <-f.grant:
		return granted, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

func (f *fakeWork) Report(_ context.Context, results []jobs.Result) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.results = append(f.results, results...)
	return nil
}

func (f *fakeWork) Renew(context.Context, string, []string) ([]string, error) { return nil, nil }

func (f *fakeWork) reported() []jobs.ItemStatus {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var statuses []jobs.ItemStatus
	for _, result := range f.results {
		statuses = append(statuses, result.Status)
	}
	return statuses
}

// partitionedWork has two shards; after one lease, shard 1 is unavailable.
type partitionedWork struct {
	mutex    sync.Mutex
	jobIDs   [2]string
	next     uint32
	leased   bool
	reported int
}

func (h *partitionedWork) Lease(_ context.Context, _, _ string, count int) ([]jobs.Lease, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	jobID := h.jobIDs[0]
	if !h.leased {
		h.leased = true
		jobID = h.jobIDs[1]
	}
	lease := jobs.Lease{JobID: jobID, Epoch: uint64(h.next), Deadline: time.Now().Add(time.Hour), Expires: time.Now().Add(leaseValidity)}
	for range min(count, 4) {
		lease.Items = append(lease.Items, jobs.Item{Index: h.next, Repeatable: true})
		h.next++
	}
	return []jobs.Lease{lease}, nil
}

func (h *partitionedWork) Start(context.Context, jobs.Lease, uint32) (bool, error) { return true, nil }

func (h *partitionedWork) Report(ctx context.Context, results []jobs.Result) error {
	for _, result := range results {
		if result.JobID == h.jobIDs[1] {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.reported += len(results)
	return nil
}

func (h *partitionedWork) Renew(ctx context.Context, _ string, jobIDs []string) ([]string, error) {
	for _, jobID := range jobIDs {
		if jobID == h.jobIDs[1] {
			<-ctx.Done()
			return nil, &jobs.RenewError{JobIDs: []string{jobID}, Cause: ctx.Err()}
		}
	}
	return nil, nil
}

func (h *partitionedWork) count() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.reported
}

// An unavailable shard must delay neither reports nor renewals of the others.
func TestDispatcherIsolatesUnavailableShard(t *testing.T) {
	g := gomega.NewWithT(t)
	work := &partitionedWork{jobIDs: [2]string{jobs.NewJobID(0), jobs.NewJobID(1)}}
	d := New(Dependencies{Name: "d", Work: work, Policy: batch.NewFixed(4, false), Clients: &recordingEngine{delay: 50 * time.Millisecond}})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { d.Run(ctx) })
	d.HomeEvent(time.Now(), fleet.HomeEvent{
		Kind: fleet.HomeGained, Endpoint: &fleet.Endpoint{Name: "e", Load: engine.Load{Models: []string{"m"}}},
	})
	g.Eventually(work.count, "20s").Should(gomega.BeNumerically(">", 20))
	time.Sleep(2 * leaseValidity) // the initial start validity has expired
	later := work.count()
	g.Eventually(work.count, "20s").Should(gomega.BeNumerically(">", later+50))
	cancel()
	running.Wait()
}

// recordingEngine records the identifiers of the requests it was sent.
type recordingEngine struct {
	delay time.Duration
	mutex sync.Mutex
	sent  []string
}

func (r *recordingEngine) Client(*fleet.Endpoint) engine.Client { return r }

func (r *recordingEngine) Generate(_ context.Context, request engine.Request, _ func(engine.Chunk) error) (engine.Finish, error) {
	time.Sleep(r.delay)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sent = append(r.sent, request.ID)
	return engine.Finish{Reason: "stop"}, nil
}

func (r *recordingEngine) Suspend(context.Context, string) error     { return nil }
func (r *recordingEngine) Load(context.Context) (engine.Load, error) { return engine.Load{}, nil }
func (r *recordingEngine) Order(context.Context, engine.Order) error { return nil }

func (r *recordingEngine) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.sent)
}

// Sending a non-repeatable item before its start is committed could run it twice.
func TestDispatcherSendsNonRepeatableItemAfterStartCommits(t *testing.T) {
	for granted, expected := range map[bool]jobs.ItemStatus{true: jobs.ItemSucceeded, false: jobs.ItemOpen} {
		g := gomega.NewWithT(t)
		work := &fakeWork{grant: make(chan bool), asked: make(chan struct{}), leases: []jobs.Lease{{
			JobID: "j", Epoch: 1, Deadline: time.Now().Add(time.Hour), Expires: time.Now().Add(time.Hour),
			Items: []jobs.Item{{Index: 0, Repeatable: false}},
		}}}
		engines := &recordingEngine{}
		d := New(Dependencies{Name: "d", Work: work, Policy: batch.NewFixed(4, false), Clients: engines})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { d.Run(ctx) })
		endpoint := &fleet.Endpoint{Name: "e", Load: engine.Load{Models: []string{"m"}}}
		g.Eventually(func() bool {
			d.HomeEvent(time.Now(), fleet.HomeEvent{Kind: fleet.HomeGained, Endpoint: endpoint})
			select {
			case <-work.asked:
				return true
			default:
				return false
			}
		}, "20s").Should(gomega.BeTrue())
		g.Consistently(engines.count, "100ms").Should(gomega.BeZero())
		work.grant <- granted
		g.Eventually(work.reported, "20s").Should(gomega.Equal([]jobs.ItemStatus{expected}))
		sent := 0
		if granted {
			sent = 1
		}
		g.Expect(engines.count()).To(gomega.Equal(sent))
		drained, stop := context.WithTimeout(ctx, 20*time.Second)
		g.Expect(d.Drain(drained, ctx)).To(gomega.Succeed())
		stop()
		cancel()
		running.Wait()
	}
}
