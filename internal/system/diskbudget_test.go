package system

import (
	"testing"

	"github.com/onsi/gomega"
)

// On a disk of any size the log, the write-ahead logs and the reserve leave
// most of the space for jobs.
func TestADiskIsMostlyForJobs(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, size := range []uint64{47 << 20, 120 << 20, 480 << 20, 100 << 30} {
		budget := newDiskBudget(size)
		writeAhead := 5 * min(max(size/64, 1<<20), 4<<20)
		taken := 2*budget.retain + writeAhead + budget.reserve
		g.Expect(taken).To(gomega.BeNumerically("<", size*4/10), "%d bytes", size)
		g.Expect(budget.scarce).To(gomega.BeNumerically(">", budget.reserve))
	}
	g.Expect(newDiskBudget(0).reserve).To(gomega.BeEquivalentTo(reserveMost))
}
