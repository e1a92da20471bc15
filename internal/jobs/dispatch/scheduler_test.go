package dispatch

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/jobs"
)

// scriptedPolicy returns the actions set by the test on the next tick.
type scriptedPolicy struct {
	admit    map[string]int
	next     []batch.Action
	received []string // stream and engine events received
}

func (s *scriptedPolicy) Step(_ time.Time, event batch.Event) []batch.Action {
	switch event.Kind {
	case batch.EventBatchStarted:
		s.received = append(s.received, "started "+event.Stream)
	case batch.EventBatchEnded:
		s.received = append(s.received, fmt.Sprintf("ended %s suspended %v", event.Stream, event.Suspended))
	case batch.EventEngineGone:
		s.received = append(s.received, "gone "+event.Engine)
	case batch.EventEngineOwned:
		s.received = append(s.received, "owned "+event.Engine)
	}
	if event.Kind != batch.EventTick {
		return nil
	}
	actions := s.next
	s.next = nil
	if count := s.admit[event.Engine]; count > 0 {
		s.admit[event.Engine] = 0
		actions = append(actions, batch.Action{Kind: batch.ActionAdmit, Engine: event.Engine, Count: count})
	}
	return actions
}

// testScheduler is a scheduler with two engines and a simulated clock.
type testScheduler struct {
	*scheduler
	policy *scriptedPolicy
	now    time.Time
}

func newTestScheduler() *testScheduler {
	policy := &scriptedPolicy{admit: map[string]int{}}
	b := &testScheduler{newScheduler(policy), policy, time.Unix(1_700_000_000, 0)}
	for _, name := range []string{"e1", "e2"} {
		b.gained(b.now, name, []string{"m"}, false)
	}
	return b
}

const leaseValidity = 2 * time.Second

// lease leases items of a job to the scheduler; odd ones are not repeatable.
func (b *testScheduler) lease(jobID string, count int) {
	lease := jobs.Lease{JobID: jobID, Epoch: 7, Deadline: b.now.Add(time.Hour), Expires: b.now.Add(leaseValidity)}
	for i := range count {
		lease.Items = append(lease.Items, jobs.Item{Index: uint32(i), Path: "/v1/completions", Repeatable: i%2 == 0})
	}
	b.leased(b.now, "m", []jobs.Lease{lease})
}

// admit ticks with count streams admitted at an engine and describes the
// resulting actions.
func (b *testScheduler) admit(name string, count int) []string {
	b.policy.admit[name] = count
	b.tick(b.now)
	b.fetch(b.now)
	return b.describeActions()
}

func (b *testScheduler) describeActions() []string {
	var words []string
	for _, decided := range b.takeActions() {
		switch decided.kind {
		case actionRun:
			words = append(words, fmt.Sprintf("run %s at %s from %d", decided.stream.id, decided.stream.engine, decided.stream.task.tokens))
		case actionSuspend:
			words = append(words, "suspend "+decided.stream.id)
		case actionCancel:
			words = append(words, "cancel "+decided.stream.id)
		case actionFetch:
			words = append(words, fmt.Sprintf("fetch %d", decided.count))
		case actionReport, actionHandBack:
			words = append(words, fmt.Sprintf("report %s-%d status %d http %d", decided.result.JobID, decided.result.Index, decided.result.Status, decided.result.HTTPStatus))
		}
	}
	return words
}

func (b *testScheduler) decide(kind batch.ActionKind, id string) []string {
	b.policy.next = []batch.Action{{Kind: kind, Engine: "e1", Stream: id}}
	b.tick(b.now)
	return b.describeActions()
}

// A node without renewals may be partitioned and must not start items.
func TestSchedulerStartsItemsOnlyWhileLeaseIsRenewed(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newTestScheduler()
	b.lease("j", 3)
	g.Expect(b.admit("e1", 1)).To(gomega.ContainElement("run j-0-7 at e1 from 0"))
	b.now = b.now.Add(leaseValidity - time.Millisecond)
	b.renewed([]string{"other"}, b.now.Add(leaseValidity))
	b.now = b.now.Add(time.Millisecond)
	b.modelQueues["m"].tasks[0].queued = b.now // rules out queueTimeout as the cause
	b.modelQueues["m"].tasks[1].queued = b.now
	g.Expect(b.admit("e1", 2)).To(gomega.BeEmpty(), "the node may be partitioned")
	b.renewed([]string{"j"}, b.now.Add(leaseValidity))
	g.Expect(b.admit("e1", 2)).To(gomega.ContainElements("run j-1-7 at e1 from 0", "run j-2-7 at e1 from 0"))
}

func TestSchedulerCancelsStreamsOfRevokedJob(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newTestScheduler()
	b.lease("j", 4)
	b.admit("e1", 2)
	running := b.streams["j-0-7"]
	b.revoke(b.now, []string{"j"})
	g.Expect(b.describeActions()).To(gomega.ConsistOf("cancel j-0-7", "cancel j-1-7"))
	b.attemptEnded(b.now, running, 1, engine.Finish{Reason: "stop"}, nil)
	g.Expect(b.describeActions()).To(gomega.BeEmpty(), "items of a revoked job are not reported")
	g.Expect(b.admit("e1", 2)).To(gomega.Equal([]string{"fetch 4"}), "its queued items are dropped")
	g.Expect(b.heldJobs()).To(gomega.Equal([]string{"j"}), "the other stream has not ended")
}

// A resumed stream must not resend tokens or accept events of earlier attempts.
func TestSchedulerResumesSuspendedStreamAfterItsTokens(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newTestScheduler()
	b.lease("j", 2)
	b.admit("e1", 2)
	repeatable := b.streams["j-0-7"]
	g.Expect(b.addToken(b.now, repeatable, 1, engine.Chunk{Index: 0, Text: "x"})).To(gomega.BeTrue())
	g.Expect(b.decide(batch.ActionSuspend, "j-1-7")).To(gomega.BeEmpty(), "not repeatable: it can't be sent again")
	g.Expect(b.decide(batch.ActionCancel, "j-1-7")).To(gomega.BeEmpty())
	g.Expect(b.decide(batch.ActionSuspend, "j-0-7")).To(gomega.Equal([]string{"suspend j-0-7"}))
	b.attemptEnded(b.now, repeatable, 1, engine.Finish{Reason: finishSuspended}, nil)
	g.Expect(b.policy.received).To(gomega.ContainElement("ended j-0-7 suspended true"))
	b.now = b.now.Add(leaseValidity)
	g.Expect(b.decide(batch.ActionResume, "j-0-7")).To(gomega.BeEmpty(), "the lease was not renewed")
	b.renewed([]string{"j"}, b.now.Add(leaseValidity))
	g.Expect(b.decide(batch.ActionResume, "j-0-7")).To(gomega.Equal([]string{"run j-0-7 at e1 from 1"}))
	g.Expect(b.addToken(b.now, repeatable, 1, engine.Chunk{Index: 1})).To(gomega.BeFalse(), "a late token of the first attempt")
	b.attemptEnded(b.now, repeatable, 1, engine.Finish{Reason: "stop"}, nil)
	g.Expect(b.describeActions()).To(gomega.BeEmpty(), "a late end of the first attempt")
	g.Expect(b.addToken(b.now, repeatable, 2, engine.Chunk{Index: 2})).To(gomega.BeFalse(), "a gap")
	g.Expect(b.addToken(b.now, repeatable, 2, engine.Chunk{Index: 1, Text: "y"})).To(gomega.BeTrue())
	b.attemptEnded(b.now, repeatable, 2, engine.Finish{Reason: "stop"}, nil)
	reported := b.takeActions()
	g.Expect(string(reported[0].result.Body)).To(gomega.ContainSubstring(`"text":"xy"`))
}

func TestSchedulerMovesStreamsOffLostEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newTestScheduler()
	b.lease("j", 3)
	b.admit("e1", 3)
	moving := b.streams["j-0-7"]
	b.addToken(b.now, moving, 1, engine.Chunk{Index: 0, Text: "x"})
	b.decide(batch.ActionSuspend, "j-2-7")
	b.attemptEnded(b.now, b.streams["j-2-7"], 1, engine.Finish{Reason: finishSuspended}, nil)
	b.lost(b.now, "e1")
	g.Expect(b.policy.received).To(gomega.ContainElements("gone e1", "ended j-2-7 suspended false"))
	g.Expect(b.describeActions()).To(gomega.Equal([]string{"cancel j-0-7"}), "the suspended stream needs no cancellation, the non-repeatable one runs on")
	b.attemptEnded(b.now, moving, 1, engine.Finish{}, errors.New("cancelled"))
	g.Expect(b.admit("e2", 2)).To(gomega.ContainElements("run j-0-7 at e2 from 1", "run j-2-7 at e2 from 0"))
}

func TestSchedulerHandsBackItemsOnDrainAndQueueTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newTestScheduler()
	b.lease("j", 2)
	b.now = b.now.Add(queueTimeout)
	b.tick(b.now)
	g.Expect(b.describeActions()).To(gomega.ConsistOf("report j-0 status 0 http 0", "report j-1 status 0 http 0"))
	b.lease("j", 4)
	b.admit("e1", 1)
	b.drain(b.now)
	g.Expect(b.describeActions()).To(gomega.HaveLen(3))
	b.lease("k", 1)
	g.Expect(b.describeActions()).To(gomega.Equal([]string{"report k-0 status 0 http 0"}), "a lease received while draining")
	b.attemptEnded(b.now, b.streams["j-0-7"], 1, engine.Finish{Reason: "stop"}, nil)
	g.Expect(b.describeActions()).To(gomega.Equal([]string{"report j-0 status 1 http 200"}), "the running item is finished")
}

func TestSchedulerReportsFailureByFateAndStatus(t *testing.T) {
	for name, test := range map[string]struct {
		failure *engine.Error
		// the reports for item 0, which is repeatable, and for item 1
		repeatable, once string
	}{
		"not run":      {&engine.Error{Fate: engine.FateNotRun, Status: 503}, "", "report j-1 status 0 http 0"},
		"bad request":  {&engine.Error{Fate: engine.FateFailed, Status: 400}, "report j-0 status 2 http 400", "report j-1 status 2 http 400"},
		"engine error": {&engine.Error{Fate: engine.FateFailed, Status: 500}, "report j-0 status 0 http 500", "report j-1 status 2 http 500"},
		"bad gateway":  {&engine.Error{Fate: engine.FateFailed, Status: 502}, "report j-0 status 0 http 500", "report j-1 status 2 http 500"},
		"engine lost":  {&engine.Error{Fate: engine.FateUnknown}, "report j-0 status 0 http 502", "report j-1 status 3 http 0"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := newTestScheduler()
			b.lease("j", 2)
			b.admit("e1", 2)
			test.failure.Err = errors.New("test")
			var expected []string
			for index, words := range []string{test.repeatable, test.once} {
				b.attemptEnded(b.now, b.streams[fmt.Sprintf("j-%d-7", index)], 1, engine.Finish{}, test.failure)
				if words != "" {
					expected = append(expected, words)
				}
			}
			g.Expect(b.describeActions()).To(gomega.Equal(expected))
		})
	}
}

func TestSchedulerHandsBackItemWhenStartRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newTestScheduler()
	b.lease("j", 2)
	b.admit("e1", 2)
	b.startRefused(b.now, b.streams["j-1-7"])
	g.Expect(b.describeActions()).To(gomega.Equal([]string{"report j-1 status 0 http 0"}))
	g.Expect(b.streams).To(gomega.HaveLen(1))
}

func TestSchedulerRequeuesUnrequestedSuspension(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newTestScheduler()
	b.lease("j", 1)
	b.admit("e1", 1)
	b.attemptEnded(b.now, b.streams["j-0-7"], 1, engine.Finish{Reason: finishSuspended}, nil)
	g.Expect(b.policy.received).To(gomega.ContainElement("ended j-0-7 suspended false"), "the policy did not request it and would not resume it")
	g.Expect(b.admit("e2", 1)).To(gomega.ContainElement("run j-0-7 at e2 from 0"))
}

func TestSchedulerReannouncesReturningEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newTestScheduler()
	b.setLeaving(b.now, "e1", true)
	b.setLeaving(b.now, "e1", true)
	b.lease("j", 1)
	g.Expect(b.admit("e1", 1)).To(gomega.BeEmpty())
	b.setLeaving(b.now, "e1", false)
	g.Expect(b.policy.received).To(gomega.Equal([]string{"owned e1", "owned e2", "gone e1", "owned e1"}))
	g.Expect(b.admit("e1", 1)).To(gomega.ContainElement("run j-0-7 at e1 from 0"))
}

func TestWholeTextWithoutItsEndIsNotResumedAfterItsLastToken(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newTestScheduler()
	b.lease("j", 1)
	b.admit("e1", 1)
	running := b.streams["j-0-7"]
	running.task.item.Body = []byte(`{"max_tokens":2}`)
	for index, text := range []string{"a", "b"} {
		g.Expect(b.addToken(b.now, running, 1, engine.Chunk{Index: index, Text: text})).To(gomega.BeTrue())
	}
	g.Expect(b.decide(batch.ActionCancel, running.id)).To(gomega.Equal([]string{"cancel j-0-7"}))
	b.attemptEnded(b.now, running, 1, engine.Finish{}, errors.New("cancelled"))
	b.admit("e1", 1)
	again := b.streams["j-0-7"]
	planned := newAttempt(again)
	g.Expect(planned.request.ResumeFrom).To(gomega.Equal(1), "the engine has nothing left to generate after all tokens")
	g.Expect(b.addToken(b.now, again, 2, engine.Chunk{Index: 1, Text: "b"})).To(gomega.BeTrue())
	b.attemptEnded(b.now, again, 2, engine.Finish{Reason: "length", CompletionTokens: 2}, nil)
	actions := b.takeActions()
	g.Expect(actions).NotTo(gomega.BeEmpty())
	result := actions[len(actions)-1].result
	g.Expect(result.Status).To(gomega.Equal(jobs.ItemSucceeded))
	g.Expect(string(result.Body)).To(gomega.ContainSubstring(`"text":"ab"`))
}

// A request that its engine rejects as invalid is rejected by all others.
func TestInvalidItemIsNotSentAgain(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity} {
		g := gomega.NewWithT(t)
		b := newTestScheduler()
		b.lease("j", 1)
		b.admit("e1", 1)
		running := b.streams["j-0-7"]
		b.attemptEnded(b.now, running, 1, engine.Finish{}, &engine.Error{Fate: engine.FateNotRun, Status: status, Err: errors.New("invalid")})
		g.Expect(b.describeActions()).To(gomega.Equal([]string{fmt.Sprintf("report j-0 status %d http %d", jobs.ItemFailed, status)}))
		g.Expect(b.admit("e1", 1)).NotTo(gomega.ContainElement(gomega.HavePrefix("run")))
	}
}
