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

// fakeWork leases its items once, and grants starts as the test says.
type fakeWork struct {
	mutex   sync.Mutex
	leases  []jobs.Lease
	grant   chan bool // the answer of each Start
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

// recorder is an engine that notes what it was sent.
type recorder struct {
	mutex sync.Mutex
	sent  []string
}

func (r *recorder) Client(*fleet.Endpoint) engine.Client { return r }

func (r *recorder) Generate(_ context.Context, request engine.Request, _ func(engine.Chunk) error) (engine.Finish, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sent = append(r.sent, request.ID)
	return engine.Finish{Reason: "stop"}, nil
}

func (r *recorder) Suspend(context.Context, string) error     { return nil }
func (r *recorder) Load(context.Context) (engine.Load, error) { return engine.Load{}, nil }
func (r *recorder) Order(context.Context, engine.Order) error { return nil }

func (r *recorder) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.sent)
}

func TestNothingIsSentBeforeItsStartIsCommitted(t *testing.T) {
	for granted, expected := range map[bool]jobs.ItemStatus{true: jobs.ItemSucceeded, false: jobs.ItemOpen} {
		g := gomega.NewWithT(t)
		work := &fakeWork{grant: make(chan bool), asked: make(chan struct{}), leases: []jobs.Lease{{
			JobID: "j", Epoch: 1, Deadline: time.Now().Add(time.Hour), Expires: time.Now().Add(time.Hour),
			Items: []jobs.Item{{Index: 0, Repeatable: false}},
		}}}
		engines := &recorder{}
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
