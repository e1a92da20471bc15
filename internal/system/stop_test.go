package system

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a short time to stop that is spent on taking requests.
func TestLameDuckLeavesTimeForRequestsThatWereTaken(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(lameDuck(time.Minute)).To(gomega.Equal(lameDuckPeriod))
	g.Expect(lameDuck(3 * time.Second)).To(gomega.BeNumerically("~", time.Second, time.Millisecond))
	g.Expect(lameDuck(-time.Second)).To(gomega.BeNumerically("<=", 0))
}
