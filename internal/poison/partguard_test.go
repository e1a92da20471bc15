package poison

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
)

// newPartCluster returns a cluster whose nodes have seen prompts with the part "first" answered, and a
// function that advances their clocks.
func newPartCluster(t *testing.T, fronts int) (c *testCluster, advance func(time.Duration)) {
	c = newTestCluster(t, fronts)
	for _, guard := range c.all() {
		for range minAnswers {
			guard.PromptAnswered(NewPrompt([]string{"first"}))
		}
	}
	return c, func(by time.Duration) { c.ahead.Add(int64(by)) }
}

func (c *testCluster) all() []*Guard { return append([]*Guard{c.data}, c.fronts...) }

// crashPrompt has an engine crash under a request with a prompt.
func (c *testCluster) crashPrompt(guard *Guard, request int, engine string, parts ...string) {
	guard.ConnectionLost(context.Background(), LostConnection{
		Engine: catalog.Engine{ID: engine}, Fingerprint: func() Fingerprint { return print(request) }, Prompt: NewPrompt(parts),
	})
}

// awaitPart waits until all nodes hold a part back, or none does.
func (c *testCluster) awaitPart(t *testing.T, part string, held bool) {
	t.Helper()
	for i, guard := range c.all() {
		eventually(t, fmt.Sprint("node ", i, " holds back ", part, ": ", held), func() bool {
			_, isHeld := guard.PromptHeld(NewPrompt([]string{"first", part}))
			return isHeld == held
		})
	}
}

func TestGuardSumsCrashesOfPartsSeenByDifferentNodes(t *testing.T) {
	c, _ := newPartCluster(t, 3)
	for i := range 3 {
		c.crashPrompt(c.fronts[i], i, fmt.Sprint("e", i), "first", "bad")
	}
	c.awaitPart(t, "bad", true)
	if _, held := c.fronts[0].PromptHeld(NewPrompt([]string{"first", "other"})); held {
		t.Error("a sound prompt is held back")
	}
}

// Guards against as many trials of a held part as there are nodes.
func TestOneNodeAtATimeIsGrantedTrial(t *testing.T) {
	c, advance := newPartCluster(t, 4)
	for i := range 4 {
		c.crashPrompt(c.fronts[i], i, fmt.Sprint("e", i), "first", "bad")
	}
	c.awaitPart(t, "bad", true)
	eventually(t, "the store has the record", func() bool { return c.store.has(PartFingerprint("bad")) })
	total := 0
	for round := range 4 {
		advance(secondTrialDelay + trialPause)
		var granted atomic.Int64
		var callers sync.WaitGroup
		for _, guard := range c.fronts {
			for range 5 {
				callers.Go(func() {
					prompt := NewPrompt([]string{"first", "bad"})
					if _, held := guard.AdmitPrompt(context.Background(), prompt); !held {
						granted.Add(1)
						c.crashPrompt(guard, 100+round, fmt.Sprint("t", round), "first", "bad")
					}
				})
			}
		}
		callers.Wait()
		if granted.Load() > 1 {
			t.Fatalf("%d requests are granted a trial at a time", granted.Load())
		}
		total += int(granted.Load())
		c.awaitPart(t, "bad", true)
	}
	if total != maxTrials {
		t.Errorf("%d trials, want %d", total, maxTrials)
	}
}

func TestNoTrialWithoutStore(t *testing.T) {
	c, advance := newPartCluster(t, 1)
	for i := range 4 {
		c.crashPrompt(c.fronts[0], i, fmt.Sprint("e", i), "first", "bad")
	}
	c.awaitPart(t, "bad", true)
	c.store.setUnavailable(true)
	advance(time.Hour)
	if _, held := c.fronts[0].AdmitPrompt(context.Background(), NewPrompt([]string{"first", "bad"})); !held {
		t.Error("a trial is granted though the store doesn't answer")
	}
}

func TestAnsweredTrialReleasesPartOnAllNodes(t *testing.T) {
	c, advance := newPartCluster(t, 3)
	for i := range 4 {
		c.crashPrompt(c.fronts[0], i, fmt.Sprint("e", i), "first", "suspect")
	}
	c.awaitPart(t, "suspect", true)
	eventually(t, "the store has the record", func() bool { return c.store.has(PartFingerprint("suspect")) })
	advance(firstTrialDelay + time.Second)
	prompt := NewPrompt([]string{"first", "suspect"})
	if _, held := c.fronts[1].AdmitPrompt(context.Background(), prompt); held {
		t.Fatal("no trial is granted")
	}
	if _, held := c.fronts[1].PromptHeld(prompt); held {
		t.Error("the trial itself is held back")
	}
	prompt.EndTrial()
	c.fronts[1].PromptAnswered(prompt)
	c.awaitPart(t, "suspect", false)
	eventually(t, "the store has dropped the record", func() bool { return !c.store.has(PartFingerprint("suspect")) })
}

// Guards against a recheck that reads the prompt of a request which goes on meanwhile.
func TestRecheckCountsCrashOfAttemptBefore(t *testing.T) {
	c, _ := newPartCluster(t, 1)
	var down atomic.Bool
	c.fronts[0].options.EngineCrashed = func(context.Context, catalog.Engine) bool { return down.Load() }
	for i := range 4 {
		prompt := NewPrompt([]string{"first", "bad"})
		prompt.BeginAttempt()
		c.fronts[0].ConnectionLost(context.Background(), LostConnection{
			Engine: catalog.Engine{ID: fmt.Sprint("e", i)}, Fingerprint: func() Fingerprint { return print(i) }, Prompt: prompt,
		})
		prompt.BeginAttempt()
		prompt.event(noon)
		prompt.event(noon.Add(survivalTime))
	}
	down.Store(true)
	c.awaitPart(t, "bad", true)
}

// Guards against crashes counted against a part whose answer had been under way for long.
func TestCrashDuringLongAnswerDoesNotCountAgainstPart(t *testing.T) {
	prompt := NewPrompt([]string{"part"})
	prompt.BeginAttempt()
	for i, want := range [][2]bool{{true, false}, {false, false}, {false, true}, {false, false}} {
		begins, survives := prompt.event(noon.Add(time.Duration(i) * survivalTime / 2))
		if [2]bool{begins, survives} != want {
			t.Errorf("event %d: begins %v, survives %v", i, begins, survives)
		}
	}
	if records := prompt.crashRecords(print(1), "e", true, noon); len(records) > 0 {
		t.Errorf("records of the crash: %+v", records)
	}
	prompt.BeginAttempt()
	if records := prompt.crashRecords(print(1), "e", false, noon); len(records) != 1 {
		t.Errorf("records of a crash of the next engine: %+v", records)
	}
}
