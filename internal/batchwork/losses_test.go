package batchwork

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against an item that runs many times a second under crashing engines, or that waits long
// after a single crash or after the last of several.
func TestLossSeriesPacesItem(t *testing.T) {
	g := gomega.NewWithT(t)
	var series lossSeries
	now := time.Unix(1000, 0)
	var pauses []time.Duration
	for range 9 {
		pause := series.next(now)
		pauses = append(pauses, pause)
		now = now.Add(pause)
	}
	g.Expect(pauses).To(gomega.Equal([]time.Duration{
		refusalPause, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
		800 * time.Millisecond, maxLossPause, maxLossPause, maxLossPause,
	}))
	g.Expect(series.next(now.Add(lossMemory))).To(gomega.Equal(refusalPause), "a new series")
}
