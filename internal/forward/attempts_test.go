package forward

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/catalog"
)

func TestAttemptsNoRetryAfterUnknownOutcome(t *testing.T) {
	g := gomega.NewWithT(t)
	route := &catalog.Route{Kind: catalog.KindStream, Attempts: 3}
	attempts := NewAttempts(route)
	g.Expect(attempts.Next(OutcomeNotSent)).To(gomega.Equal(StepRetry))
	g.Expect(attempts.Next(OutcomeRefused)).To(gomega.Equal(StepRetry))
	g.Expect(attempts.Next(OutcomeUnknown)).To(gomega.Equal(StepUnknown))
}

func TestAttemptsRepeatableRetriesUpToLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	attempts := NewAttempts(&catalog.Route{Repeatable: true, Attempts: 2})
	g.Expect(attempts.Next(OutcomeFailed)).To(gomega.Equal(StepRetry))
	g.Expect(attempts.Next(OutcomeFailed)).To(gomega.Equal(StepForwardFailure))
}

func TestAttemptsStartedStreamIsAborted(t *testing.T) {
	g := gomega.NewWithT(t)
	attempts := NewAttempts(&catalog.Route{Kind: catalog.KindStream, Resumable: true, Attempts: 2})
	g.Expect(attempts.Next(OutcomeBroken)).To(gomega.Equal(StepRetry))
	g.Expect(attempts.GiveUp(OutcomeNotSent)).To(gomega.Equal(StepAbort))
	g.Expect(attempts.Next(OutcomeBroken)).To(gomega.Equal(StepAbort))
}

// A request must not be refused as not run, or sent again, after it may have run.
func TestAttemptsNotRunImpliesNoRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := &catalog.Route{
			Kind:       rapid.SampledFrom([]catalog.Kind{catalog.KindWhole, catalog.KindStream}).Draw(t, "kind"),
			Repeatable: rapid.Bool().Draw(t, "repeatable"), Resumable: rapid.Bool().Draw(t, "resumable"),
			Attempts: rapid.IntRange(1, 4).Draw(t, "attempts"),
		}
		attempts := NewAttempts(route)
		runs := 0
		for range 20 {
			outcome := rapid.SampledFrom([]Outcome{OutcomeNotSent, OutcomeRefused, OutcomeUnknown, OutcomeFailed}).Draw(t, "outcome")
			if outcome == OutcomeUnknown || outcome == OutcomeFailed {
				runs++
			}
			step := attempts.Next(outcome)
			if step == StepNotRun && runs > 0 {
				t.Fatalf("refused as not run after %d runs", runs)
			}
			if step != StepRetry {
				return
			}
			if runs > 0 && (!route.MayRunAgain() || runs >= route.Attempts) {
				t.Fatalf("retried after %d runs, limit %d", runs, route.Attempts)
			}
		}
		t.Fatalf("not finished after 20 exchanges")
	})
}
