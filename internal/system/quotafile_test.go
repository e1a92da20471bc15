package system

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/quota"
)

// savedCounts encodes counts of the given number of tenants.
func savedCounts(t *testing.T, tenants int, at time.Time) []byte {
	counts := quota.Counts{}
	for i := range tenants {
		counts[quota.Key(i)] = quota.Count{Admitted: 5}
	}
	collector := quota.NewCollector("z", 5*time.Second, 1)
	collector.Report("front", quota.Report{Incarnation: 1, Counts: counts}, at)
	return collector.Save(func(quota.Key) bool { return true }, at, quota.Instant{Wall: at})
}

func restoredTenants(saved quota.Saved, at time.Time) int {
	return quota.NewCollector("z", 5*time.Second, 2).Restore(saved, at, quota.Instant{Wall: at})
}

// Guards against saved counts that a restart doesn't find, also if the process was killed as it
// wrote them.
func TestQuotaFilesKeepNewestWholeRecord(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := filepath.Join(t.TempDir(), "data")
	begin := time.Now()
	before := quotaFileSet{folder: folder}
	_, found := before.load()
	g.Expect(found).To(gomega.BeFalse())
	for i, tenants := range []int{9, 1, 3, 2} { // the last ones are shorter than those that they replace
		before.save(savedCounts(t, tenants, begin.Add(time.Duration(i)*time.Millisecond)))
	}
	before.close()
	g.Expect(before.failing).To(gomega.BeFalse())

	after := quotaFileSet{folder: folder}
	saved, found := after.load()
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(restoredTenants(saved, begin)).To(gomega.Equal(2))
	g.Expect(after.next).To(gomega.BeZero(), "the older file is written next")

	newest := filepath.Join(folder, quotaFiles[1])
	g.Expect(os.Truncate(newest, 20)).To(gomega.Succeed())
	saved, found = after.load()
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(restoredTenants(saved, begin)).To(gomega.Equal(3))
	g.Expect(after.next).To(gomega.Equal(1), "the damaged file is written next")
}

// Guards against a node that stops saving for good after a disk refused a write.
func TestQuotaFilesAreWrittenAgainAfterFailure(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := filepath.Join(t.TempDir(), "data")
	g.Expect(os.WriteFile(folder, nil, 0o600)).To(gomega.Succeed())
	files := quotaFileSet{folder: folder}
	defer files.close()
	begin := time.Now()
	files.save(savedCounts(t, 1, begin))
	g.Expect(files.failing).To(gomega.BeTrue())
	g.Expect(os.Remove(folder)).To(gomega.Succeed())
	files.save(savedCounts(t, 1, begin))
	g.Expect(files.failing).To(gomega.BeFalse())
	_, found := (&quotaFileSet{folder: folder}).load()
	g.Expect(found).To(gomega.BeTrue())
}
