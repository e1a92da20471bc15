package batchwork

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestItemsThatCannotBeInTimeWait(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPace()
	now := submitted
	whole := p.remaining(openItem{})
	items := []openItem{
		{job: "lost", due: now.Add(whole / 2)},
		{job: "nearly-done", due: now.Add(whole / 2), lastEvent: lengthStart - 10},
		{job: "next", due: now.Add(2 * whole)},
		{job: "later", due: now.Add(3 * whole)},
	}
	items = p.order(items, now)
	var names []string
	for _, item := range items {
		names = append(names, item.job)
	}
	g.Expect(names).To(gomega.Equal([]string{"nearly-done", "next", "later", "lost"}))
}

func TestThePaceFollowsTheRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPace()
	for range 200 {
		p.observe(time.Second, 10, 50, true)
	}
	g.Expect(time.Duration(p.event)).To(gomega.BeNumerically("~", 100*time.Millisecond, time.Millisecond))
	g.Expect(p.length).To(gomega.BeNumerically("~", 50, 1))
	before := *p
	p.observe(time.Second, 0, 0, false)
	g.Expect(*p).To(gomega.Equal(before))
}
