package machine

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/jobs"
)

// leaseFixture applies commands to a machine in virtual time.
type leaseFixture struct {
	g       *gomega.WithT
	machine *Machine
	store   mapStore
	index   uint64
	now     time.Time
}

func newLeaseFixture(t *testing.T) *leaseFixture {
	return &leaseFixture{g: gomega.NewWithT(t), machine: New(), store: mapStore{}, now: time.UnixMilli(epochStart)}
}

func (f *leaseFixture) apply(command Command) Answer {
	f.index++
	entry, err := Encode(f.now, command)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	encoded, err := f.machine.Apply(f.store, f.index, entry)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	answer, err := DecodeAnswer(encoded)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	return answer
}

func (f *leaseFixture) begin(id, tenant string, weight uint32, items int, window time.Duration) Answer {
	return f.apply(&JobBegin{
		JobID: id, Tenant: tenant, Key: id, Model: "m", Items: uint32(items), Deadline: f.now.Add(window),
		Weight: weight, MaxTries: 3, Retention: time.Hour,
	})
}

func (f *leaseFixture) accept(id, tenant string, weight uint32, items int, window time.Duration) {
	f.g.Expect(f.begin(id, tenant, weight, items, window).Code).To(gomega.Equal(CodeOK))
	f.apply(&JobAppend{JobID: id, Items: itemsFrom(0, items)})
	f.g.Expect(f.apply(&JobSeal{JobID: id, Items: uint32(items)}).Code).To(gomega.Equal(CodeOK))
}

// lease leases count items one by one and counts them by job.
func (f *leaseFixture) lease(count int) (byJob map[string]int, leases []jobs.Lease) {
	byJob = map[string]int{}
	for range count {
		for _, lease := range f.apply(&LeaseItems{Dispatcher: "d", Model: "m", Count: 1, MaxBytes: 1 << 20}).Leases {
			byJob[lease.JobID]++
			leases = append(leases, lease)
		}
	}
	return byJob, leases
}

func (f *leaseFixture) reportSuccess(leases []jobs.Lease) {
	for _, lease := range leases {
		for _, item := range lease.Items {
			f.apply(&Report{[]jobs.Result{{JobID: lease.JobID, Index: item.Index, Epoch: lease.Epoch, Status: jobs.ItemSucceeded}}})
		}
	}
}

// Guards against lease shares that do not match the tenants' weights.
func TestLeaseItemsSharesByTenantWeight(t *testing.T) {
	f := newLeaseFixture(t)
	f.accept("heavy", "a", 3000, 500, 24*time.Hour)
	f.accept("light", "b", 1000, 500, 24*time.Hour)
	byJob, _ := f.lease(400)
	f.g.Expect(byJob).To(gomega.Equal(map[string]int{"heavy": 300, "light": 100}))
	f.accept("late", "c", 1000, 500, 24*time.Hour)
	byJob, _ = f.lease(100)
	f.g.Expect(byJob).To(gomega.Equal(map[string]int{"heavy": 60, "light": 20, "late": 20}), "a tenant that joins late does not catch up")
}

// Guards against leasing from a job while one with less slack has precedence.
func TestLeaseItemsOrdersByDeadlineSlack(t *testing.T) {
	f := newLeaseFixture(t)
	f.accept("tomorrow", "a", 1000, 10, 24*time.Hour)
	f.accept("tonight", "a", 1000, 10, 6*time.Hour)
	f.accept("now", "b", 1, 10, 30*time.Second)
	byJob, _ := f.lease(10)
	f.g.Expect(byJob).To(gomega.Equal(map[string]int{"now": 10}), "urgent jobs take precedence over fair sharing")
	byJob, _ = f.lease(10)
	f.g.Expect(byJob).To(gomega.Equal(map[string]int{"tonight": 10}), "a tenant's jobs are ordered by slack")
}

// Guards against accepting a job that would be late or make another late, and
// against rejecting with a deadline that is infeasible too.
func TestJobBeginRejectsInfeasibleDeadline(t *testing.T) {
	f := newLeaseFixture(t)
	f.accept("measured", "a", 1000, 2000, 24*time.Hour)
	for range 20 { // 100 items a second while a backlog waits
		_, leases := f.lease(100)
		f.now = f.now.Add(time.Second)
		f.reportSuccess(leases)
	}
	f.accept("promised", "b", 1000, 2000, 30*time.Second) // 20 s of work: 10 s of slack
	for name, test := range map[string]struct {
		items    int
		window   time.Duration
		possible float64 // seconds; 0 when the deadline is accepted
	}{
		"fits before the promise":     {800, 10 * time.Second, 0},
		"too much for its window":     {800, 5 * time.Second, 8},
		"would break the promise":     {1200, 20 * time.Second, 32},
		"behind the promise, too low": {1200, 31 * time.Second, 32},
		"behind the promise":          {1200, 35 * time.Second, 0},
		"a day":                       {100_000, 24 * time.Hour, 0},
	} {
		answer := f.begin(name, "c", 1000, test.items, test.window) // never sealed, so adds no demand
		if test.possible == 0 {
			f.g.Expect(answer.Code).To(gomega.Equal(CodeOK), name)
			continue
		}
		f.g.Expect(answer.Code).To(gomega.Equal(CodeDeadline), name)
		f.g.Expect(answer.Time.Sub(f.now).Seconds()).To(gomega.BeNumerically("~", test.possible, 0.1*test.possible), name)
		possible := f.begin(name+" later", "c", 1000, test.items, answer.Time.Sub(f.now))
		f.g.Expect(possible.Code).To(gomega.Equal(CodeOK), name+": the deadline in the answer must be feasible")
	}
}

// Guards against jobs with a common deadline missing it because a bulk job of
// another tenant receives its fair share meanwhile.
func TestLeaseItemsMeetsSimultaneousDeadlines(t *testing.T) {
	f := newLeaseFixture(t)
	f.accept("measured", "a", 1000, 100, 24*time.Hour)
	for range 10 {
		_, leases := f.lease(10)
		f.now = f.now.Add(time.Second)
		f.reportSuccess(leases)
	}
	f.accept("bulk", "a", 1000, 3000, 24*time.Hour)
	for _, id := range []string{"v", "w", "x", "y", "z"} { // 40 s of work each
		f.accept(id, "b", 1000, 400, 210*time.Second)
	}
	for range 210 {
		_, leases := f.lease(10)
		f.now = f.now.Add(time.Second)
		f.reportSuccess(leases)
		f.apply(&Tick{})
	}
	for _, id := range []string{"v", "w", "x", "y", "z"} {
		job, _, err := GetJob(f.store, id)
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
		f.g.Expect(job.State).To(gomega.Equal(StateCompleted), id)
	}
}
