package mirror

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Changes in quick succession must not cost a watcher one call each.
func TestRapidChangesShareStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		fleet := newTestFleet(10, 20)
		defer fleet.close()
		time.Sleep(settleTime)
		before := fleet.store.callCount()
		const changes, apart = 100, 10 * time.Millisecond
		for i := range changes {
			fleet.store.put(fmt.Sprint("change-", i))
			time.Sleep(apart)
		}
		calls := fleet.store.callCount() - before
		g.Expect(calls).To(gomega.BeNumerically("<=", watcherCount*12), "one call per change would be %d", watcherCount*changes)
		time.Sleep(testFresh / 4)
		g.Expect(fleet.nodesMissing(fmt.Sprint("change-", changes-1))).To(gomega.BeEmpty())
	})
}
