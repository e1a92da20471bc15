package gateway

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/settings"
)

// Guards against streams of the only engine, which is sound, that end as it is silent for a while.
func TestSilenceOfOnlyEngineEndsNoStream(t *testing.T) {
	for name, repeatable := range map[string]string{"repeatable": "true", "not repeatable": "false"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			engines, release := heldStreams(1)
			server := newTestServer(engines, settings.Tenant{}, Config{MinTokenTimeout: DefaultConfig().MinTokenTimeout})
			defer server.Close()
			defer release()
			time.AfterFunc(1800*time.Millisecond, release)
			got, err := server.ask("POST", PathCompletions, completionBody(PathCompletions, "held", true), map[string]string{HeaderRepeatable: repeatable})
			got.prompt = "held"
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got).To(beWhole)
		})
	}
}
