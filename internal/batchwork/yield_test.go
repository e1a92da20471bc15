package batchwork

import (
	"testing"

	"github.com/onsi/gomega"
)

func TestBegunRunsYieldBeforeOthersTheYoungestFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	oldest, cut, younger, unbegun := &run{begun: true}, &run{begun: true, yielding: true}, &run{begun: true}, &run{}
	order := yieldOrder([]*run{oldest, cut, younger, unbegun})
	g.Expect(order).To(gomega.HaveLen(3))
	for i, wanted := range []*run{younger, oldest, unbegun} {
		g.Expect(order[i]).To(gomega.BeIdenticalTo(wanted), "%d", i)
	}
}
