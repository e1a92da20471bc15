package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/engine"
)

func TestStepModelLearnsCoefficients(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	model := newStepModel()
	actual := func(streams, prefill float64) time.Duration {
		return 9*time.Millisecond + time.Duration(streams*float64(70*time.Microsecond)+prefill*float64(25*time.Microsecond))
	}
	for range 2000 {
		streams, prefill := float64(random.IntN(64)), float64(random.IntN(3)*100)
		model.learn(actual(streams, prefill), streams, prefill)
	}
	for _, load := range [][2]float64{{1, 0}, {40, 0}, {64, 512}} {
		g.Expect(model.step(load[0], load[1])).To(gomega.BeNumerically("~", actual(load[0], load[1]), 100*time.Microsecond))
	}
	g.Expect(model.perStream()).To(gomega.BeNumerically("~", 70*time.Microsecond, 2*time.Microsecond))
}

func TestStepHistogramQuantilesAndDecay(t *testing.T) {
	g := gomega.NewWithT(t)
	var histogram stepHistogram
	now := time.Unix(0, 0)
	g.Expect(histogram.quantile(0.99)).To(gomega.BeZero())
	for i := 1; i <= 1000; i++ {
		histogram.add(now, time.Duration(i)*100*time.Microsecond, 1)
	}
	g.Expect(histogram.quantile(0.99)).To(gomega.BeNumerically("~", 99*time.Millisecond, time.Millisecond))
	g.Expect(histogram.shareAbove(50 * time.Millisecond)).To(gomega.BeNumerically("~", 0.5, 0.01))
	for range 3000 {
		now = now.Add(time.Second)
		histogram.add(now, time.Millisecond, 1)
	}
	g.Expect(histogram.quantile(0.99)).To(gomega.BeNumerically("~", time.Millisecond, 20*time.Microsecond))
}

func TestOnlineTimelineSimulatesStepsWithoutBatch(t *testing.T) {
	g := gomega.NewWithT(t)
	model := newStepModel()
	var online onlineTimeline
	now := time.Unix(0, 0)
	online.advance(now, 0, &model, 512)
	online.addPrefill(700)
	for range 100 {
		now = now.Add(time.Millisecond)
		online.advance(now, 10, &model, 512)
	}
	g.Expect(online.steps.quantile(1)).To(gomega.BeNumerically("~", model.step(10, 512), 100*time.Microsecond))
	g.Expect(online.steps.quantile(0.3)).To(gomega.BeNumerically("~", model.step(10, 0), 100*time.Microsecond))
}

// startStreams starts count streams on the engine, each with one token.
func startStreams(controller *Controller, now time.Time, count int) {
	for i := range count {
		id := fmt.Sprintf("b%d", i)
		controller.Step(now, Event{Kind: EventBatchStarted, Engine: "e", Stream: id, PromptTokens: 50})
		controller.Step(now, Event{Kind: EventBatchToken, Engine: "e", Stream: id})
	}
}

// A stream that keeps running after suspensions must not be suspended forever.
func TestControllerStopsSuspendingAfterFailures(t *testing.T) {
	g := gomega.NewWithT(t)
	controller := NewController(Config{Share: 0.5, Slots: 4})
	now := time.Unix(0, 0)
	startStreams(controller, now, 1)
	suspended := 0
	for round := range 5 {
		now = now.Add(time.Second)
		online := fmt.Sprintf("o%d", round)
		for _, event := range []Event{
			{Kind: EventOnlineStarted, Engine: "e", Stream: online, PromptTokens: 100},
			{Kind: EventOnlineFinished, Engine: "e", Stream: online},
		} {
			for _, action := range controller.Step(now, event) {
				if action.Kind == ActionSuspend {
					suspended++
				}
			}
		}
		now = now.Add(2 * suspendGrace)
		controller.Step(now, Event{Kind: EventBatchToken, Engine: "e", Stream: "b0"})
	}
	g.Expect(suspended).To(gomega.Equal(maxFailedSuspends))
}

// Two home nodes of an engine must not fill it with twice its slots.
func TestControllerHalvesLimitOfSharedEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	controller := NewController(Config{Share: 0.5, Slots: 40})
	now := time.Unix(0, 0)
	startStreams(controller, now, 40)
	actions := controller.Step(now, Event{Kind: EventLoad, Engine: "e", Load: engine.Load{At: now, Running: 40, RunningBatch: 40}})
	g.Expect(actions).To(gomega.BeEmpty())
	report := engine.Load{At: now, Running: 40, RunningBatch: 40, Waiting: 20, WaitingBatch: 20}
	actions = controller.Step(now, Event{Kind: EventLoad, Engine: "e", Load: report})
	g.Expect(actions).To(gomega.HaveLen(20 + sharedReserve))
}

// A delayed report of ended own streams must not count as another home node's.
func TestLateReportOfOwnStreamsIsNotForeign(t *testing.T) {
	g := gomega.NewWithT(t)
	controller := NewController(Config{Share: 0.5, Slots: 40})
	now := time.Unix(0, 0)
	startStreams(controller, now, 40)
	report := engine.Load{At: now, Running: 40, RunningBatch: 40}
	controller.Step(now, Event{Kind: EventLoad, Engine: "e", Load: report})
	for i := range 40 {
		controller.Step(now, Event{Kind: EventBatchEnded, Engine: "e", Stream: fmt.Sprintf("b%d", i)})
	}
	now = now.Add(peakWindow + time.Second)
	controller.Step(now, Event{Kind: EventLoad, Engine: "e", Load: report})
	g.Expect(controller.engines["e"].shared(now)).To(gomega.BeFalse())
}

func TestStepModelRelearnsAfterSpeedChange(t *testing.T) {
	g := gomega.NewWithT(t)
	controller := NewController(Config{Share: 0.5, Slots: 4})
	now := time.Unix(0, 0)
	startStreams(controller, now, 4)
	// The engine becomes slow, and then fast again, after the model is trusted.
	for _, step := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 5 * time.Millisecond} {
		for range 20000 {
			for end := now.Add(step); now.Before(end); now = now.Add(step / 4) {
				controller.Step(now, Event{Kind: EventTick, Engine: "e"})
			}
			for i := range 4 {
				controller.Step(now, Event{Kind: EventBatchToken, Engine: "e", Stream: fmt.Sprintf("b%d", i)})
			}
		}
		g.Expect(controller.engines["e"].model.step(4, 0)).To(gomega.BeNumerically("~", step, step/5), step.String())
	}
}

func TestFixedAdmitsUpToItsStreams(t *testing.T) {
	for name, test := range map[string]struct {
		yield bool
		load  engine.Load
		admit int
	}{
		"idle":                      {true, engine.Load{}, 3},
		"online waits":              {true, engine.Load{Waiting: 2, WaitingBatch: 1}, 0},
		"online waits, no yielding": {false, engine.Load{Waiting: 2, WaitingBatch: 1}, 3},
		"only batch waits":          {true, engine.Load{Waiting: 1, WaitingBatch: 1}, 3},
		"draining":                  {false, engine.Load{Draining: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			policy := NewFixed(3, test.yield)
			admitted := 0
			for _, action := range policy.Step(time.Unix(0, 0), Event{Kind: EventLoad, Engine: "e", Load: test.load}) {
				admitted += action.Count
			}
			g.Expect(admitted).To(gomega.Equal(test.admit))
		})
	}
}

func BenchmarkBatchToken(b *testing.B) {
	controller := NewController(Config{Share: 0.5, Slots: 256})
	now := time.Unix(0, 0)
	startStreams(controller, now, 256)
	controller.Step(now, Event{Kind: EventOnlineStarted, Engine: "e", Stream: "o", PromptTokens: 100})
	ids := make([]string, 0, 256)
	for i := range 256 {
		ids = append(ids, fmt.Sprintf("b%d", i))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if i%256 == 0 {
			now = now.Add(10 * time.Millisecond)
		}
		controller.Step(now, Event{Kind: EventBatchToken, Engine: "e", Stream: ids[i%256]})
	}
}
