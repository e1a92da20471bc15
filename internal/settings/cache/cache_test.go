package cache

import (
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/settings/dissemination"
)

// Guards against writes that are lost in a crash, and against deleted entries
// that reappear.
func TestCacheRestoresStateAfterCrash(t *testing.T) {
	g := gomega.NewWithT(t)
	disk := vfs.NewCrashableMem()
	cache, err := Open("settings", disk)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	state, err := cache.Load()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(state).To(gomega.BeNil())
	for _, write := range []struct {
		version settings.Version
		changes []dissemination.Entry
		replace bool
	}{
		{3, []dissemination.Entry{{Name: "old", Revision: 3, Spec: []byte("{}")}}, false},
		{5, []dissemination.Entry{{Name: "a", Revision: 4, Spec: []byte("{}")}, {Name: "b", Revision: 5, Spec: []byte("{}")}}, true},
		{7, []dissemination.Entry{{Name: "a", Revision: 6, Deleted: true, Spec: []byte("x")}, {Name: "b", Revision: 7, Deleted: true}}, false},
	} {
		g.Expect(cache.Write(write.version, write.changes, write.replace)).To(gomega.Succeed())
	}
	reopened, err := Open("settings", disk.CrashClone(vfs.CrashCloneCfg{}))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	state, err = reopened.Load()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	version, _ := state.Version()
	g.Expect(version).To(gomega.Equal(settings.Version(7)))
	var names []string
	state.Each(func(entry dissemination.Entry) { names = append(names, entry.Name) })
	g.Expect(names).To(gomega.Equal([]string{"a"}))
	g.Expect(reopened.Close()).To(gomega.Succeed())
	g.Expect(cache.Close()).To(gomega.Succeed())
}
