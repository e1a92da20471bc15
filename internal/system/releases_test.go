package system

import (
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
)

func TestEnginesCountedByReleaseAndState(t *testing.T) {
	g := gomega.NewWithT(t)
	counts := countByRelease([]catalog.Engine{
		{Service: "s", Version: "1"}, {Service: "s", Version: "1"}, {Service: "s", Version: "1", Leaving: true, Drained: true},
		{Service: "s", Version: "2", Drained: true}, {Service: "t", Version: "1"},
	})
	g.Expect(counts).To(gomega.Equal(map[releaseState]int{
		{releaseOne, stateServing}: 2, {releaseOne, stateLeaving}: 1, {releaseTwo, stateDrained}: 1,
		{catalog.Release{Service: "t", Version: "1"}, stateServing}: 1,
	}))
}
