package forward

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/catalog"
)

func TestARequestThatMayRunOnceIsNotRepeatedAfterAnUnknownFate(t *testing.T) {
	g := gomega.NewWithT(t)
	once := &catalog.Route{Kind: catalog.KindStream, Attempts: 3}
	attempts := NewAttempts(once)
	g.Expect(attempts.After(OutcomeNotSent)).To(gomega.Equal(StepRetry))
	g.Expect(attempts.After(OutcomeRefused)).To(gomega.Equal(StepRetry))
	g.Expect(attempts.After(OutcomeUnknown)).To(gomega.Equal(StepUnknown))
}

func TestARepeatableRequestRunsAsOftenAsAllowed(t *testing.T) {
	g := gomega.NewWithT(t)
	attempts := NewAttempts(&catalog.Route{Repeatable: true, Attempts: 2})
	g.Expect(attempts.After(OutcomeFailed)).To(gomega.Equal(StepRetry))
	g.Expect(attempts.After(OutcomeFailed)).To(gomega.Equal(StepPass))
}

func TestABegunStreamIsAbortedAndNeverRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	attempts := NewAttempts(&catalog.Route{Kind: catalog.KindStream, Resumable: true, Attempts: 2})
	g.Expect(attempts.After(OutcomeBroken)).To(gomega.Equal(StepRetry))
	g.Expect(attempts.GiveUp(OutcomeNotSent)).To(gomega.Equal(StepAbort))
	g.Expect(attempts.After(OutcomeBroken)).To(gomega.Equal(StepAbort))
}

// TestNotRunIsOnlySaidOfWhatHasNotRun checks the promise over all sequences.
func TestNotRunIsOnlySaidOfWhatHasNotRun(t *testing.T) {
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
			step := attempts.After(outcome)
			if step == StepNotRun && runs > 0 {
				t.Fatalf("said not run after %d runs", runs)
			}
			if step != StepRetry {
				return
			}
			if runs > 0 && (!route.MayRunAgain() || runs >= route.Attempts) {
				t.Fatalf("sent again after %d runs of %d", runs, route.Attempts)
			}
		}
		t.Fatalf("no end after 20 exchanges")
	})
}
