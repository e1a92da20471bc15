package system

import (
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
)

// Guards against a starting node sending a poison request to engines because it got the
// configuration before the poison records. The wait is bounded.
func TestFirstConfigurationWaitsForPoisonRecords(t *testing.T) {
	for name, finishWait := range map[string]func(loaded *bool){
		"records loaded":    func(loaded *bool) { *loaded = true },
		"wait expired":      func(*bool) { clock.SimulateSuspension(maxPoisonWait) },
		"no poison records": nil,
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newTestTracker(fakeMirror{"engines": {"a"}, "config": {"main"}}, 0)
			f.adapter.ConfigurationKind, f.adapter.ConfigurationName = "config", "main"
			f.adapter.Configuration = func([]byte) (*catalog.Configuration, error) { return &catalog.Configuration{Version: 1}, nil }
			loaded := false
			if finishWait != nil {
				f.poisonLoaded = func() bool { return loaded }
				f.reread("config")
				g.Expect(f.Snapshot().Configuration).To(gomega.BeNil())
				g.Expect(f.enginesKnown()).To(gomega.BeFalse())
				g.Expect(f.nextRefresh.IsZero()).To(gomega.BeFalse(), "a refresh is scheduled")
				finishWait(&loaded)
				if !loaded {
					defer clock.SimulateSuspension(-maxPoisonWait)
				}
			}
			f.reread("config")
			g.Expect(f.Snapshot().Configuration).NotTo(gomega.BeNil())
			g.Expect(f.enginesKnown()).To(gomega.BeTrue())
		})
	}
}
