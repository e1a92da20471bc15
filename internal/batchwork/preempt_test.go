package batchwork

import (
	"testing"

	"github.com/onsi/gomega"
)

func TestPreemptionOrderPrefersYoungestBegun(t *testing.T) {
	g := gomega.NewWithT(t)
	oldest, alreadyPreempted, younger, unbegun := &run{begun: true}, &run{begun: true, preempted: true}, &run{begun: true}, &run{}
	order := preemptionOrder([]*run{oldest, alreadyPreempted, younger, unbegun})
	g.Expect(order).To(gomega.HaveLen(3))
	for i, wanted := range []*run{younger, oldest, unbegun} {
		g.Expect(order[i]).To(gomega.BeIdenticalTo(wanted), "%d", i)
	}
}
