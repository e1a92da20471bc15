package system

import (
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
)

// A node that starts takes no requests before it has heard which are held back: nodes that
// were killed together sent one to four engines more, as they knew the configuration first.
// It waits for a while only.
func TestAFirstConfigurationWaitsForWhatIsHeldBack(t *testing.T) {
	for name, until := range map[string]func(learnt *bool){
		"heard":         func(learnt *bool) { *learnt = true },
		"not for long":  func(*bool) { clock.SimulateSuspension(learnTime) },
		"needs not ask": nil,
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := drainFacts(fakeMirror{"engines": {"a"}, "config": {"main"}}, 0)
			f.adapter.ConfigurationKind, f.adapter.ConfigurationName = "config", "main"
			f.adapter.Configuration = func([]byte) (*catalog.Configuration, error) { return &catalog.Configuration{Version: 1}, nil }
			learnt := false
			if until != nil {
				f.learnt = func() bool { return learnt }
				f.read("config")
				g.Expect(f.Snapshot().Configuration).To(gomega.BeNil())
				g.Expect(f.enginesKnown()).To(gomega.BeFalse())
				g.Expect(f.again.IsZero()).To(gomega.BeFalse(), "it is looked at again")
				until(&learnt)
				if !learnt {
					defer clock.SimulateSuspension(-learnTime)
				}
			}
			f.read("config")
			g.Expect(f.Snapshot().Configuration).NotTo(gomega.BeNil())
			g.Expect(f.enginesKnown()).To(gomega.BeTrue())
		})
	}
}
