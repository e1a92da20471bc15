package forward

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var start = time.Unix(1_000_000, 0)

// Refused callers return when what fills the engines has ended, not all at once.
func TestRefusedCallersReturnAfterAServiceTime(t *testing.T) {
	g := gomega.NewWithT(t)
	ran := 600 * time.Millisecond
	for _, one := range []struct {
		admission
		last time.Duration
	}{{admission{arrived: start}, 2 * ran}, {admission{arrived: start, deadline: start.Add(4500 * time.Millisecond)}, 1500 * time.Millisecond}} {
		spread := map[time.Duration]bool{}
		for i := range 100 {
			after := one.comeBack(ran, start, float64(i)/100)
			g.Expect(after).To(gomega.BeNumerically(">=", ran))
			g.Expect(after).To(gomega.BeNumerically("<=", one.last))
			spread[after.Round(ran/10)] = true
		}
		g.Expect(len(spread)).To(gomega.BeNumerically(">=", 8))
	}
}

// A caller waits for a third of the time that it has left; told to wait for longer, it
// doesn't come back when it is told.
func TestACallerIsToldATimeThatItWaits(t *testing.T) {
	g := gomega.NewWithT(t)
	door := admission{arrived: start, deadline: start.Add(1500 * time.Millisecond)}
	times := map[time.Duration]bool{}
	for i := range 100 {
		after := door.comeBack(600*time.Millisecond, start, float64(i)/100)
		g.Expect(after).To(gomega.BeNumerically("<=", 500*time.Millisecond))
		times[after.Round(25*time.Millisecond)] = true
	}
	g.Expect(len(times)).To(gomega.BeNumerically(">=", 8))
	g.Expect(door.comeBack(600*time.Millisecond, start.Add(2*time.Second), 0.5)).To(gomega.BeZero())
}

// Nobody waits for a refusal. What may wait at an engine is as long as it can be in time.
func TestARequestIsRefusedAtTheDoor(t *testing.T) {
	g := gomega.NewWithT(t)
	door := admission{target: 300 * time.Millisecond, arrived: start, deadline: start.Add(5 * time.Second)}
	g.Expect(door.waitAtEngine(start)).To(gomega.Equal(300*time.Millisecond - firstTime))
	g.Expect(door.waitAtEngine(start.Add(time.Second))).To(gomega.BeZero())
	g.Expect(door.patience(start)).To(gomega.BeZero())
	g.Expect(door.patience(start.Add(time.Second))).To(gomega.BeZero())
}

// A request that may have run can't be told that it hasn't: it follows its deadline.
func TestARequestThatMayHaveRunLooksLonger(t *testing.T) {
	g := gomega.NewWithT(t)
	door := admission{target: 300 * time.Millisecond, arrived: start, deadline: start.Add(5 * time.Second), committed: true}
	g.Expect(door.patience(start.Add(2 * time.Second))).To(gomega.Equal(committedTime))
	g.Expect(door.patience(start.Add(4500 * time.Millisecond))).To(gomega.Equal(500*time.Millisecond - leastTime))
	g.Expect(door.patience(start.Add(6 * time.Second))).To(gomega.BeZero())
}

// Without a target nothing is lost by a short wait.
func TestARequestWithoutTargetWaitsAWhile(t *testing.T) {
	g := gomega.NewWithT(t)
	door := admission{arrived: start}
	g.Expect(door.waitAtEngine(start)).To(gomega.BeZero())
	g.Expect(door.patience(start)).To(gomega.Equal(doorDefault))
	g.Expect(door.patience(start.Add(time.Hour))).To(gomega.BeZero())
}
