// Package docs checks that pages match the code and the journal.
package docs

import (
	"bytes"
	"os"
	"testing"

	"github.com/onsi/gomega"

	// Packages imported for the events that they define.
	_ "chutelock.dev/chutelock/internal/lab/load"
	_ "chutelock.dev/chutelock/internal/node"
	_ "chutelock.dev/chutelock/internal/standin/engine"
	_ "chutelock.dev/chutelock/internal/standin/platform"
	_ "chutelock.dev/chutelock/internal/system"

	"chutelock.dev/chutelock/internal/telemetry"
)

const eventsPage = "../../docs/EVENTS.md"

// Guards against a stale docs/EVENTS.md. With UPDATE_EVENTS set, as by "make
// events", it writes the page.
func TestEventsPageIsUpToDate(t *testing.T) {
	g := gomega.NewWithT(t)
	var page bytes.Buffer
	g.Expect(telemetry.WriteCatalogue(&page)).To(gomega.Succeed())
	if os.Getenv("UPDATE_EVENTS") != "" {
		g.Expect(os.WriteFile(eventsPage, page.Bytes(), 0o644)).To(gomega.Succeed())
	}
	stored, err := os.ReadFile(eventsPage)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(stored)).To(gomega.Equal(page.String()), "run make events")
}
