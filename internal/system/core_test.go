package system

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/mirror"
)

// A watch that fell silent must be given up before the platform counts on this
// node again (hunt 2e382052: watches of 6 s broke that on trouble-3).
func TestASilentWatchIsGivenUpWithinTheContactTime(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, contact := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
		g.Expect(watchWait(contact)+mirror.WatchSlack).To(gomega.BeNumerically("<", contact), contact.String())
	}
	g.Expect(watchWait(0)).To(gomega.Equal(watchLeast))
}
