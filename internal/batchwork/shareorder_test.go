package batchwork

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// unitOrder has two slots, items of a second and tenants of equal weight.
var unitOrder = shareOrder{slots: 2, remaining: func(openItem) time.Duration { return time.Second }, weight: equalWeights}

func itemsOf(job, tenant string, count int, due time.Duration) []openItem {
	var items []openItem
	for i := range count {
		items = append(items, openItem{job: job, index: uint32(i), tenant: tenant, due: submitted.Add(due)})
	}
	return items
}

func jobsOf(items []openItem) (jobs []string) {
	for _, item := range items {
		jobs = append(jobs, item.job)
	}
	return jobs
}

func always(openItem) bool { return true }

func TestShareOrderIsByDueTimeWithinRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	items := slices.Concat(itemsOf("a", "x", 4, 4*time.Second), itemsOf("b", "y", 4, 8*time.Second))
	ordered, late := unitOrder.order(items, always, submitted)
	g.Expect(ordered).To(gomega.Equal(items))
	g.Expect(late).To(gomega.BeZero())
}

// What a tenant asks for beyond its share comes after the items of others, although it is due
// before them; items that can't be in time come last.
func TestShareOrderPutsBurstBehind(t *testing.T) {
	g := gomega.NewWithT(t)
	lost := itemsOf("lost", "y", 1, time.Second)
	items := slices.Concat(lost, itemsOf("burst", "x", 20, 8*time.Second), itemsOf("b", "y", 4, 9*time.Second))
	ordered, late := unitOrder.order(items, func(item openItem) bool { return item.job != "lost" }, submitted)
	g.Expect(ordered).To(gomega.HaveLen(len(items)))
	jobs := jobsOf(ordered)
	g.Expect(slices.Index(jobs, "b")).To(gomega.BeNumerically("<=", 14))
	g.Expect(jobs[len(jobs)-1]).To(gomega.Equal("lost"))
	g.Expect(late).To(gomega.BeNumerically(">=", 7))
	g.Expect(jobs[len(jobs)-late:]).NotTo(gomega.ContainElement("b"), "all of the other tenant's items are expected in time")
}

// Of a tenant with more than its share the jobs with the fewest open items come first.
func TestShareOrderCompletesJobsNearWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	items := slices.Concat(itemsOf("large", "x", 15, 8*time.Second), itemsOf("small", "x", 3, 8*time.Second))
	ordered, late := unitOrder.order(items, always, submitted)
	g.Expect(jobsOf(ordered[:len(ordered)-late])).To(gomega.ContainElement("small"))
	g.Expect(jobsOf(ordered[len(ordered)-late:])).NotTo(gomega.ContainElement("small"))
}

// Each item is in the order once, and what is expected in time fits before its due time.
func TestShareOrderFitsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		var items []openItem
		for job := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			due := time.Duration(rapid.IntRange(1, 20_000).Draw(t, "due")) * time.Millisecond
			items = append(items, itemsOf(fmt.Sprint(job), rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "tenant"), rapid.IntRange(1, 15).Draw(t, "items"), due)...)
		}
		slices.SortStableFunc(items, func(a, b openItem) int { return a.due.Compare(b.due) })
		order := unitOrder
		order.slots = rapid.Float64Range(0.5, 8).Draw(t, "slots")
		order.weight = func(tenant string) float64 { return float64(tenant[0]) }
		ordered, late := order.order(items, func(item openItem) bool { return item.index%5 != 4 }, submitted)
		g.Expect(ordered).To(gomega.ConsistOf(items))
		chosen := ordered[:len(ordered)-late]
		width := items[len(items)-1].due.Sub(submitted)/dueBuckets + 1
		work := time.Duration(0)
		for _, item := range chosen {
			work += time.Second
			room := time.Duration(order.slots * float64(item.due.Sub(submitted)+width))
			g.Expect(work).To(gomega.BeNumerically("<=", room))
		}
	})
}

// A new leader has no estimates and orders by due time.
func TestOrderWithoutEstimatesIsByDueTime(t *testing.T) {
	g := gomega.NewWithT(t)
	o, e := newOverload(), newItemEstimator()
	items := slices.Concat(itemsOf("burst", "x", 50, time.Minute), itemsOf("b", "y", 4, 2*time.Minute))
	service := func(openItem) string { return "s" }
	g.Expect(o.order(items, service, e, equalWeights, submitted)).To(gomega.Equal(e.order(items, submitted)))
	_, _, known := o.service("s").forecast(e, equalWeights, submitted)
	g.Expect(known).To(gomega.BeFalse())
}
