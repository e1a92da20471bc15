package batchwork

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// agedJob is a job with retention and completion at a machine whose clocks a test sets.
type agedJob struct {
	machine *Machine
	store   memoryStore
	now     time.Time // of the process's clock
}

// acceptAt returns a machine that applies a job which a leader submitted at a time of its wall clock.
func acceptAt(g *gomega.WithT, submitted time.Time, retention, completion time.Duration) *agedJob {
	a := &agedJob{machine: NewMachine(), store: memoryStore{}, now: time.Unix(5000, 0)}
	a.machine.now = func() time.Time { return a.now }
	job := testJob("a", 1, 0)
	job.Submitted, job.Retention, job.Completion = submitted, retention, completion
	apply(g, a.machine, a.store, encodeSubmit(job))
	return a
}

// left returns how long the job's item may still run.
func (a *agedJob) left(wallNow time.Time) time.Duration {
	return a.machine.openItemsAt(a.now, wallNow)[0].giveUp.Sub(a.now)
}

// Guards against items that are given up before their retention is over, or jobs that are deleted too
// early, as the leader's wall clock is set between submission and end, in either direction.
func TestRetentionSurvivesWallClockJumps(t *testing.T) {
	const retention = time.Minute
	for _, jump := range []time.Duration{-time.Hour, -8 * time.Second, 0, 8 * time.Second, maxClockError} {
		g := gomega.NewWithT(t)
		wall := time.Unix(1700000000, 0)
		a := acceptAt(g, wall, retention, retention/3)
		elapsed := retention - time.Second
		a.now = a.now.Add(elapsed)
		wallNow := wall.Add(elapsed + jump)
		g.Expect(a.left(wallNow)).To(gomega.Equal(time.Second), "jump of %v", jump)
		apply(g, a.machine, a.store, encodeEnd(jobName{job: "a"}, wall))
		g.Expect(a.machine.purgeable(elapsed, wallNow)).To(gomega.BeEmpty(), "jump of %v", jump)
	}
}

// Guards against a restart or a snapshot that ends the retention early: the job's age is then known
// by wall clocks only, which differ.
func TestRetentionSurvivesReload(t *testing.T) {
	g := gomega.NewWithT(t)
	wall := time.Unix(1700000000, 0)
	a := acceptAt(g, wall, time.Minute, 20*time.Second)
	a.now = a.now.Add(10 * time.Second)
	g.Expect(a.machine.Reload(a.store)).To(gomega.Succeed())
	g.Expect(a.left(wall.Add(10*time.Second))).To(gomega.Equal(50*time.Second), "the age is known in this process")

	restarted := &agedJob{machine: NewMachine(), store: a.store, now: time.Unix(9000, 0)}
	restarted.machine.now = func() time.Time { return restarted.now }
	g.Expect(restarted.machine.Reload(restarted.store)).To(gomega.Succeed())
	g.Expect(restarted.left(wall.Add(30 * time.Second))).To(gomega.Equal(30*time.Second + maxClockError))
	due := restarted.machine.openItemsAt(restarted.now, wall.Add(30*time.Second))[0].due
	g.Expect(due.Sub(restarted.now)).To(gomega.Equal(-10*time.Second), "the order of jobs goes by the likely age")
	restarted.now = restarted.now.Add(time.Minute)
	g.Expect(restarted.left(wall)).To(gomega.BeNumerically("<=", 0), "a clock that was set back doesn't keep items for good")
}

// Guards against an age above the true one, whatever wall clocks tell within their error.
func TestLeastAgeIsNeverAboveTrueAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seconds := func(name string, from, to int) time.Duration {
			return time.Duration(rapid.IntRange(from, to).Draw(t, name)) * time.Second
		}
		submitted, now := time.Unix(1700000000, 0), time.Unix(5000, 0)
		age := seconds("age", 0, 200)
		known := min(age, seconds("known", 0, 200))
		wallError := seconds("error", -int(maxClockError.Seconds()), int(maxClockError.Seconds()))
		a := jobAge{knownSince: now.Add(-known), reloaded: rapid.Bool().Draw(t, "reloaded")}
		least := a.least(submitted, now, submitted.Add(age+wallError))
		if least > age || least < known {
			t.Fatalf("least age %v of a job of %v known for %v", least, age, known)
		}
	})
}
