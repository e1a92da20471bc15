package system

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against log, write-ahead logs and reserve taking most of a disk.
func TestDiskBudgetLeavesMostSpaceForJobs(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, size := range []uint64{47 << 20, 120 << 20, 480 << 20, 100 << 30} {
		budget := newDiskBudget(size)
		writeAhead := 5 * min(max(size/64, 1<<20), 4<<20)
		reserved := 2*budget.retain + writeAhead + budget.reserve
		g.Expect(reserved).To(gomega.BeNumerically("<", size*4/10), "%d bytes", size)
		g.Expect(budget.lowSpaceThreshold).To(gomega.BeNumerically(">", budget.reserve))
	}
	g.Expect(newDiskBudget(0).reserve).To(gomega.BeEquivalentTo(maxReserve))
}
