package batchwork

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestOrderPutsLateItemsLast(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newItemEstimator()
	now := submitted
	whole := e.remaining(openItem{})
	items := []openItem{
		{job: "lost", due: now.Add(whole / 2)},
		{job: "nearly-done", due: now.Add(whole / 2), lastEvent: initialItemEvents - 10},
		{job: "next", due: now.Add(2 * whole)},
		{job: "later", due: now.Add(3 * whole)},
	}
	items = e.order(items, now)
	var names []string
	for _, item := range items {
		names = append(names, item.job)
	}
	g.Expect(names).To(gomega.Equal([]string{"nearly-done", "next", "later", "lost"}))
}

func TestEstimatorFollowsObservedRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newItemEstimator()
	for range 200 {
		e.observe(time.Second, 10, 50, true)
	}
	g.Expect(time.Duration(e.eventTime)).To(gomega.BeNumerically("~", 100*time.Millisecond, time.Millisecond))
	g.Expect(e.itemEvents).To(gomega.BeNumerically("~", 50, 1))
	before := *e
	e.observe(time.Second, 0, 0, false)
	g.Expect(*e).To(gomega.Equal(before))
}
