package machine

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/jobs"
)

// shop is a machine with jobs in virtual time.
type shop struct {
	g       *gomega.WithT
	machine *Machine
	store   mapStore
	index   uint64
	now     time.Time
}

func newShop(t *testing.T) *shop {
	return &shop{g: gomega.NewWithT(t), machine: New(), store: mapStore{}, now: time.UnixMilli(epochStart)}
}

func (s *shop) do(command Command) Answer {
	s.index++
	entry, err := Encode(s.now, command)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	encoded, err := s.machine.Apply(s.store, s.index, entry)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	answer, err := DecodeAnswer(encoded)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	return answer
}

func (s *shop) begin(id, tenant string, weight uint32, items int, window time.Duration) Answer {
	return s.do(&JobBegin{
		JobID: id, Tenant: tenant, Key: id, Model: "m", Items: uint32(items), Deadline: s.now.Add(window),
		Weight: weight, MaxTries: 3, Retention: time.Hour,
	})
}

func (s *shop) accept(id, tenant string, weight uint32, items int, window time.Duration) {
	s.g.Expect(s.begin(id, tenant, weight, items, window).Code).To(gomega.Equal(CodeOK))
	s.do(&JobAppend{JobID: id, Items: itemsFrom(0, items)})
	s.g.Expect(s.do(&JobSeal{JobID: id, Items: uint32(items)}).Code).To(gomega.Equal(CodeOK))
}

// lease leases items one by one and counts them by job.
func (s *shop) lease(count int) (byJob map[string]int, leases []jobs.Lease) {
	byJob = map[string]int{}
	for range count {
		for _, lease := range s.do(&LeaseItems{Dispatcher: "d", Model: "m", Count: 1, MaxBytes: 1 << 20}).Leases {
			byJob[lease.JobID]++
			leases = append(leases, lease)
		}
	}
	return byJob, leases
}

func (s *shop) finish(leases []jobs.Lease) {
	for _, lease := range leases {
		for _, item := range lease.Items {
			s.do(&Report{[]jobs.Result{{JobID: lease.JobID, Index: item.Index, Epoch: lease.Epoch, Status: jobs.ItemSucceeded}}})
		}
	}
}

func TestTenantsShareByWeight(t *testing.T) {
	s := newShop(t)
	s.accept("heavy", "a", 3000, 500, 24*time.Hour)
	s.accept("light", "b", 1000, 500, 24*time.Hour)
	byJob, _ := s.lease(400)
	s.g.Expect(byJob).To(gomega.Equal(map[string]int{"heavy": 300, "light": 100}))
	s.accept("late", "c", 1000, 500, 24*time.Hour)
	byJob, _ = s.lease(100)
	s.g.Expect(byJob).To(gomega.Equal(map[string]int{"heavy": 60, "light": 20, "late": 20}), "a late tenant does not catch up")
}

func TestLeastSlackGoesFirst(t *testing.T) {
	s := newShop(t)
	s.accept("tomorrow", "a", 1000, 10, 24*time.Hour)
	s.accept("tonight", "a", 1000, 10, 6*time.Hour)
	s.accept("now", "b", 1, 10, 30*time.Second)
	byJob, _ := s.lease(10)
	s.g.Expect(byJob).To(gomega.Equal(map[string]int{"now": 10}), "urgent work goes before the shares")
	byJob, _ = s.lease(10)
	s.g.Expect(byJob).To(gomega.Equal(map[string]int{"tonight": 10}), "the tenant's own jobs by deadline")
}

func TestInfeasibleDeadlineIsRefusedWithATime(t *testing.T) {
	s := newShop(t)
	s.accept("measured", "a", 1000, 2000, 24*time.Hour)
	for range 20 { // 100 items a second while a backlog waits
		_, leases := s.lease(100)
		s.now = s.now.Add(time.Second)
		s.finish(leases)
	}
	s.accept("promised", "b", 1000, 2000, 30*time.Second) // 20 s of work: 10 s to spare
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
		answer := s.begin(name, "c", 1000, test.items, test.window) // never sealed: it does not count
		if test.possible == 0 {
			s.g.Expect(answer.Code).To(gomega.Equal(CodeOK), name)
			continue
		}
		s.g.Expect(answer.Code).To(gomega.Equal(CodeDeadline), name)
		s.g.Expect(answer.Time.Sub(s.now).Seconds()).To(gomega.BeNumerically("~", test.possible, 0.1*test.possible), name)
		possible := s.begin(name+" later", "c", 1000, test.items, answer.Time.Sub(s.now))
		s.g.Expect(possible.Code).To(gomega.Equal(CodeOK), name+": what was named possible is accepted")
	}
}

// A bulk job of another tenant must not take its share while jobs that are due
// together still need all the time there is.
func TestJobsDueTogetherAreInTime(t *testing.T) {
	s := newShop(t)
	s.accept("measured", "a", 1000, 100, 24*time.Hour)
	for range 10 {
		_, leases := s.lease(10)
		s.now = s.now.Add(time.Second)
		s.finish(leases)
	}
	s.accept("bulk", "a", 1000, 3000, 24*time.Hour)
	for _, id := range []string{"v", "w", "x", "y", "z"} { // 40 s of work each
		s.accept(id, "b", 1000, 400, 210*time.Second)
	}
	for range 210 {
		_, leases := s.lease(10)
		s.now = s.now.Add(time.Second)
		s.finish(leases)
		s.do(&Tick{})
	}
	for _, id := range []string{"v", "w", "x", "y", "z"} {
		job, _, err := GetJob(s.store, id)
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		s.g.Expect(job.State).To(gomega.Equal(StateCompleted), id)
	}
}
