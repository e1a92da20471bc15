package enginespeed

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var start = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func all(Source) bool { return true }

// Runs record the pace of engine a, of speed 1.2, and of engine b, of speed 0.55.
func learnedPaces() *Estimates {
	e := New()
	for i := range 30 {
		now := after(time.Duration(i) * 100 * time.Millisecond)
		e.Run(Run{Key: 1, ID: "a", Service: "s", PerEvent: 20 * time.Millisecond * 10 / 12}, now, Source{})
		e.Run(Run{Key: 2, ID: "b", Service: "s", PerEvent: 20 * time.Millisecond * 100 / 55}, now, Source{})
		e.Run(Run{Key: 3, ID: "c", Service: "other", PerEvent: time.Millisecond}, now, Source{})
	}
	return e
}

func TestPaceIsRelativeToService(t *testing.T) {
	g := gomega.NewWithT(t)
	e := learnedPaces()
	now := after(3 * time.Second)
	g.Expect(e.Factor(2, now) / e.Factor(1, now)).To(gomega.BeNumerically("~", 1.2/0.55, 0.15))
	g.Expect(e.Factor(3, now)).To(gomega.BeNumerically("~", 1, 0.01))
	g.Expect(e.Factor(4, now)).To(gomega.BeEquivalentTo(1), "an unknown engine")
}

// Runs while an engine was slow must not count as its usual pace.
func TestPaceIgnoresSlowRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	e := learnedPaces()
	before := e.Factor(1, after(time.Minute))
	for range 100 {
		e.Run(Run{Key: 1, ID: "a", Service: "s", PerEvent: time.Second, StartSlowness: 3, EndSlowness: 1}, after(3*time.Second), Source{})
	}
	g.Expect(e.Factor(1, after(time.Minute))).To(gomega.Equal(before))
}

// An engine's first run must not drop what it reported of its slowness.
func TestFirstRunKeepsSlowness(t *testing.T) {
	g := gomega.NewWithT(t)
	e := New()
	e.Slowness(1, "a", 4, start, start, Source{})
	e.Run(Run{Key: 1, ID: "a", Service: "s", PerEvent: 20 * time.Millisecond}, start, Source{Peer: "p"})
	g.Expect(e.SlownessAt(1, start)).To(gomega.BeEquivalentTo(4))
}

// An engine that starts again under its name must be learned anew.
func TestRestartedEngineIsLearnedAnew(t *testing.T) {
	g := gomega.NewWithT(t)
	e := learnedPaces()
	e.Slowness(2, "b", 3, after(3*time.Second), after(3*time.Second), Source{})
	e.Slowness(2, "b+1", 1, after(3100*time.Millisecond), after(3100*time.Millisecond), Source{})
	g.Expect(e.Factor(2, after(3100*time.Millisecond))).To(gomega.BeNumerically("~", 1, 0.01))
	mean, _ := e.MeanPerEvent("s")
	g.Expect(mean).To(gomega.BeNumerically("~", 20*time.Millisecond*10/12, time.Millisecond), "the former incarnation doesn't count")
}

// Without further reports an engine must count as usual again.
func TestSlownessAges(t *testing.T) {
	g := gomega.NewWithT(t)
	e := New()
	for i := range 20 {
		at := after(time.Duration(i) * 100 * time.Millisecond)
		e.Slowness(1, "a", 3, at, at, Source{})
	}
	heard := after(1900 * time.Millisecond)
	g.Expect(e.SlownessAt(1, heard)).To(gomega.BeEquivalentTo(3))
	previous := 3.0
	for age := 100 * time.Millisecond; age < meanLifetime; age += 100 * time.Millisecond {
		slowness := e.SlownessAt(1, heard.Add(age))
		g.Expect(slowness).To(gomega.And(gomega.BeNumerically("<", previous), gomega.BeNumerically(">", 1)))
		previous = slowness
	}
	g.Expect(e.SlownessAt(1, heard.Add(meanLifetime))).To(gomega.BeEquivalentTo(1))
}

// A report that arrives late must not replace a newer one.
func TestOlderSlownessIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	e := New()
	e.Slowness(1, "a", 2, after(time.Second), after(time.Second), Source{})
	e.Slowness(1, "a", 8, start, after(time.Second), Source{Peer: "p"})
	g.Expect(e.SlownessAt(1, after(time.Second))).To(gomega.BeEquivalentTo(2))
}

// Figures beyond their range must be clamped or ignored, and change nothing else.
func TestFiguresBeyondRange(t *testing.T) {
	g := gomega.NewWithT(t)
	e := learnedPaces()
	now := after(3 * time.Second)
	other := e.Factor(2, now)
	for i, slowness := range []float64{math.NaN(), -1, 0, math.Inf(-1)} {
		at := now.Add(time.Duration(i))
		e.Slowness(1, "a", slowness, at, at, Source{Peer: "liar"})
		g.Expect(e.SlownessAt(1, at)).To(gomega.BeEquivalentTo(1), "%v", slowness)
	}
	e.Slowness(1, "a", math.Inf(1), now, now, Source{Peer: "liar"})
	g.Expect(e.SlownessAt(1, now)).To(gomega.BeNumerically("<=", MaxSlowness))
	e.Run(Run{Key: 1, ID: "a", Service: "s", PerEvent: -time.Second}, now, Source{Peer: "liar"})
	for range 1000 {
		e.Run(Run{Key: 1, ID: "a", Service: "s", PerEvent: time.Hour}, now, Source{Peer: "liar"})
	}
	g.Expect(e.Factor(1, now.Add(time.Hour))).To(gomega.BeNumerically("<=", maxPace))
	g.Expect(e.Factor(2, now)).To(gomega.Equal(other))
}

func TestSinceReturnsEachObservationOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	e := New()
	e.Slowness(1, "a", 2, start, start, Source{})
	e.Slowness(1, "a", 3, after(time.Millisecond), after(time.Millisecond), Source{})
	e.Slowness(2, "b", 2, after(time.Millisecond), after(time.Millisecond), Source{Peer: "p", Relayed: true})
	now := after(20 * time.Millisecond)
	update, cursor := e.Since(0, now, func(source Source) bool { return !source.Relayed })
	g.Expect(update.Slownesses).To(gomega.Equal([]SlownessEntry{{1, 3, 19 * time.Millisecond}}))
	update, _ = e.Since(cursor, now, all)
	g.Expect(update.Empty()).To(gomega.BeTrue())
	update, _ = e.Since(0, after(time.Minute), all)
	g.Expect(update.Slownesses).To(gomega.BeEmpty(), "reports that are too old to count")
	for range 5 * maxLogged {
		e.Run(Run{Key: 3, ID: "c", Service: "s", PerEvent: time.Millisecond}, now, Source{})
	}
	update, cursor = e.Since(cursor, now, all)
	g.Expect(update.Runs).To(gomega.HaveLen(maxUpdateEntries))
	e.Slowness(1, "a", 1.5, now, now, Source{})
	update, _ = e.Since(cursor, now, all)
	g.Expect(update.Slownesses).To(gomega.HaveLen(1))
}

func TestUpdateRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	update := Update{Relayed: true}
	for i := range maxUpdateEntries / 2 {
		update.Slownesses = append(update.Slownesses, SlownessEntry{Key(i), 0.5 + float64(i)/20, time.Duration(i) * 8 * time.Millisecond})
		update.Runs = append(update.Runs, RunEntry{Key(i), time.Duration(i+1) * time.Millisecond})
	}
	encoded := update.Marshal()
	g.Expect(len(encoded)).To(gomega.BeNumerically("<=", 1300), "fits into a datagram")
	decoded, err := UnmarshalUpdate(encoded)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded.Relayed).To(gomega.BeTrue())
	for i, entry := range decoded.Slownesses {
		sent := update.Slownesses[i]
		g.Expect(entry.Key).To(gomega.Equal(sent.Key))
		g.Expect(entry.Slowness).To(gomega.BeNumerically("~", min(sent.Slowness, 7.34), 0.05*sent.Slowness))
		g.Expect(entry.Age).To(gomega.BeNumerically(">=", min(sent.Age, minAge<<(ageLevels-2))))
	}
	for i, entry := range decoded.Runs {
		g.Expect(entry.PerEvent.Seconds()).To(gomega.BeNumerically("~", update.Runs[i].PerEvent.Seconds(), 0.03*update.Runs[i].PerEvent.Seconds()))
	}
}

// Guards against panics on any input.
func FuzzUnmarshalUpdate(f *testing.F) {
	f.Add(Update{Slownesses: []SlownessEntry{{1, 2, 0}}, Runs: []RunEntry{{1, time.Millisecond}}}.Marshal())
	f.Add([]byte{updateVersion, 0, 0, 0, 0, 1, 7})
	f.Fuzz(func(t *testing.T, message []byte) {
		update, err := UnmarshalUpdate(message)
		if err != nil && !update.Empty() {
			t.Error("an update with an error")
		}
		for _, entry := range update.Slownesses {
			if entry.Slowness < MinSlowness || entry.Slowness > MaxSlowness || entry.Age < 0 {
				t.Errorf("%+v is beyond its range", entry)
			}
		}
	})
}
