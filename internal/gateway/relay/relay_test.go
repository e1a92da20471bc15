package relay

import (
	"errors"
	"flag"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/gateway/apierror"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seed, checks := "20260302", "3000"
	if os.Getenv("CHUTELOCK_CAMPAIGN") != "" {
		seed, checks = "0", "300000"
	}
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.checks", checks)
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func failure(fate engine.Fate, status int) *engine.Error {
	return &engine.Error{Engine: "e", Step: "test", Fate: fate, Status: status, Err: errors.New("broken")}
}

// faultyEngines is a state machine that sends a Call late, duplicate and unordered
// tokens and uncertain results. It records which attempts ran, and checks the
// delivered tokens and the final response against that record.
type faultyEngines struct {
	call       *Call
	repeatable bool
	length     int // tokens of the whole output
	now        time.Time
	deadline   time.Time

	ran       map[uint32]bool // attempts that an engine ran
	refused   map[uint32]bool // attempts that ended as not run, of which tokens are ignored
	open      []uint32        // attempts that their engine has not ended
	begun     []uint32
	delivered []int
	source    uint32 // attempt of the last delivered token
	answer    *apierror.Error
	succeeded bool
}

func (h *faultyEngines) begin(t *rapid.T) {
	if !h.repeatable {
		for number, ran := range h.ran {
			if ran {
				t.Fatalf("attempt %d ran, and a non-repeatable call began another", number)
			}
		}
	}
	number, resumeFrom := h.call.Begin()
	if resumeFrom != len(h.delivered) {
		t.Fatalf("attempt %d resumes at %d, the caller has %d", number, resumeFrom, len(h.delivered))
	}
	h.begun = append(h.begun, number)
	if counted := len(h.begun) - len(h.refused); counted > MaxAttempts {
		t.Fatalf("%d attempts ran or may have run", counted)
	}
	h.open = append(h.open, number)
}

func (h *faultyEngines) sendChunk(t *rapid.T) {
	number := rapid.SampledFrom(h.begun).Draw(t, "attempt")
	index := rapid.OneOf(rapid.Just(len(h.delivered)), rapid.IntRange(0, h.length-1)).Draw(t, "index")
	if !h.refused[number] {
		h.ran[number] = true
	}
	deliver, _ := h.call.Accept(number, index)
	if !deliver {
		return
	}
	if h.refused[number] {
		t.Fatalf("token %d of attempt %d delivered, which was refused", index, number)
	}
	if h.answer != nil || h.succeeded {
		t.Fatalf("token %d delivered after the final response", index)
	}
	if index != len(h.delivered) {
		t.Fatalf("token %d delivered at position %d", index, len(h.delivered))
	}
	if h.source != number && slices.Contains(h.open, h.source) {
		t.Fatalf("attempt %d delivers while attempt %d owns the call", number, h.source)
	}
	h.source = number
	h.delivered = append(h.delivered, index)
}

func (h *faultyEngines) endAttempt(t *rapid.T) {
	if len(h.open) == 0 {
		return
	}
	position := rapid.IntRange(0, len(h.open)-1).Draw(t, "open")
	number := h.open[position]
	h.open = append(h.open[:position], h.open[position+1:]...)
	if rapid.Bool().Draw(t, "finishes") {
		h.finish(t, number)
		return
	}
	fates := []engine.Fate{engine.FateUnknown, engine.FateFailed}
	if !h.ran[number] {
		fates = append(fates, engine.FateNotRun)
	}
	fate := rapid.SampledFrom(fates).Draw(t, "fate")
	switch fate {
	case engine.FateFailed:
		h.ran[number] = true
	case engine.FateNotRun:
		h.refused[number] = true
	}
	status := rapid.SampledFrom([]int{0, 500, 503, 429, 400}).Draw(t, "status")
	h.follow(t, h.call.Fail(h.now, number, failure(fate, status)))
}

func (h *faultyEngines) finish(t *rapid.T, number uint32) {
	h.ran[number] = true
	// An engine may report success before it sent all tokens.
	final, err := h.call.Succeed(number, engine.Finish{Reason: "stop", CompletionTokens: h.length})
	if err != nil {
		h.follow(t, h.call.Fail(h.now, number, failure(engine.FateUnknown, 0)))
		return
	}
	if !final {
		return
	}
	if h.answer != nil || h.succeeded {
		t.Fatalf("second final response")
	}
	if len(h.delivered) != h.length {
		t.Fatalf("call succeeded with %d of %d tokens", len(h.delivered), h.length)
	}
	h.succeeded = true
}

func (h *faultyEngines) follow(t *rapid.T, next Next) {
	switch {
	case next.Wait:
	case next.Retry:
		h.begin(t)
	default:
		h.recordAnswer(t, next.Failure)
	}
}

func (h *faultyEngines) recordAnswer(t *rapid.T, answer *apierror.Error) {
	if h.answer != nil || h.succeeded {
		t.Fatalf("second final response")
	}
	h.answer = answer
	if answer.Code != apierror.CodeNotRun {
		return
	}
	if answer.RetryAfter <= 0 {
		t.Fatalf("not_run without RetryAfter")
	}
	for number, ran := range h.ran {
		if ran {
			t.Fatalf("attempt %d ran, but the response is not_run", number)
		}
	}
}

func (h *faultyEngines) advance(t *rapid.T) {
	h.now = h.now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, time.Minute}).Draw(t, "passes"))
	if h.answer == nil && !h.succeeded && !h.now.Before(h.deadline) {
		h.recordAnswer(t, h.call.GiveUp(h.now))
	}
}

func (h *faultyEngines) hedge(t *rapid.T) {
	if h.call.Attempts() < MaxAttempts && h.repeatable && h.answer == nil && !h.succeeded {
		h.begin(t) // a hedge
	}
}

// replace moves a silent attempt, of which late tokens may follow.
func (h *faultyEngines) replace(t *rapid.T) {
	number := rapid.SampledFrom(h.begun).Draw(t, "silent")
	if !h.call.Replace(h.now, number, failure(engine.FateUnknown, 0)) {
		return
	}
	if !h.repeatable {
		t.Fatalf("attempt %d of a non-repeatable call replaced", number)
	}
	h.open = slices.DeleteFunc(h.open, func(open uint32) bool { return open == number })
	h.begin(t)
}

// Guards against lost or duplicate tokens, unsafe retries and a false not_run.
func TestCallWithFaultyEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &faultyEngines{
			repeatable: rapid.Bool().Draw(t, "repeatable"),
			length:     rapid.IntRange(1, 6).Draw(t, "length"),
			now:        epoch,
			deadline:   epoch.Add(time.Minute),
			ran:        map[uint32]bool{},
			refused:    map[uint32]bool{},
		}
		h.call = NewCall(h.repeatable, h.deadline, NewBudget(0.1, DefaultReserve))
		h.begin(t)
		t.Repeat(map[string]func(*rapid.T){"chunk": h.sendChunk, "end": h.endAttempt, "time": h.advance, "hedge": h.hedge, "replace": h.replace})
		if h.call.Finished() != (h.answer != nil || h.succeeded) {
			t.Fatalf("finished is %v, answer %v, succeeded %v", h.call.Finished(), h.answer, h.succeeded)
		}
	})
}

// refusals are failures of attempts that did not run, by connection and by response in turns.
func refusals(count int) (failures []*engine.Error) {
	for i := range count {
		failures = append(failures, failure(engine.FateNotRun, []int{0, http.StatusServiceUnavailable}[i%2]))
	}
	return failures
}

func unknowns(count int) (failures []*engine.Error) {
	for range count {
		failures = append(failures, failure(engine.FateUnknown, 0))
	}
	return failures
}

// Guards against a final response that claims more than is known of the attempts.
func TestCallFinalResponse(t *testing.T) {
	for name, test := range map[string]struct {
		repeatable bool
		tokens     int
		failures   []*engine.Error
		code       apierror.Code
		status     int
		noRetry    bool
		attempts   int
	}{
		"refused everywhere":          {true, 0, refusals(DefaultReserve + 1), apierror.CodeNotRun, 503, false, DefaultReserve + 1},
		"refused, then unknown":       {true, 0, append(refusals(MaxAttempts+1), unknowns(MaxAttempts)...), apierror.CodeOutcomeUnknown, 502, false, 2*MaxAttempts + 1},
		"unknown, then refused":       {true, 0, append(unknowns(MaxAttempts-1), refusals(DefaultReserve+2-MaxAttempts)...), apierror.CodeOutcomeUnknown, 502, false, DefaultReserve + 1},
		"non-repeatable refused":      {false, 0, []*engine.Error{failure(engine.FateNotRun, 0), failure(engine.FateUnknown, 0)}, apierror.CodeOutcomeUnknown, 502, true, 2},
		"non-repeatable unknown":      {false, 0, []*engine.Error{failure(engine.FateUnknown, 0)}, apierror.CodeOutcomeUnknown, 502, true, 1},
		"non-repeatable failed":       {false, 0, []*engine.Error{failure(engine.FateFailed, 500)}, apierror.CodeEngineFailed, 502, true, 1},
		"non-repeatable broken":       {false, 2, []*engine.Error{failure(engine.FateUnknown, 0)}, apierror.CodeOutcomeUnknown, 502, true, 1},
		"repeatable broken":           {true, 2, append(unknowns(1), refusals(DefaultReserve)...), apierror.CodeStreamBroken, 502, false, DefaultReserve + 1},
		"repeatable unknown":          {true, 0, unknowns(MaxAttempts), apierror.CodeOutcomeUnknown, 502, false, MaxAttempts},
		"engine finds it malformed":   {true, 0, []*engine.Error{failure(engine.FateNotRun, 400)}, apierror.CodeInvalidValue, 400, false, 1},
		"a broken stream isn't a 400": {true, 1, []*engine.Error{failure(engine.FateUnknown, 400)}, apierror.CodeStreamBroken, 502, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			call := NewCall(test.repeatable, time.Time{}, NewBudget(0.1, DefaultReserve))
			number, _ := call.Begin()
			for i := range test.tokens {
				g.Expect(call.Accept(number, i)).To(gomega.BeTrue())
			}
			var next Next
			for _, failed := range test.failures {
				next = call.Fail(epoch, number, failed)
				if next.Retry {
					number, _ = call.Begin()
				}
			}
			g.Expect(next.Failure).NotTo(gomega.BeNil())
			g.Expect(next.Failure.Code).To(gomega.Equal(test.code))
			g.Expect(next.Failure.Status).To(gomega.Equal(test.status))
			g.Expect(next.Failure.NoRetry).To(gomega.Equal(test.noRetry))
			g.Expect(call.Attempts()).To(gomega.Equal(test.attempts))
		})
	}
}

func TestBudgetLimitsRetries(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := NewBudget(0.1, DefaultReserve)
	const calls = 2000
	attempts, refused := 0, 0
	for range calls {
		call := NewCall(true, time.Time{}, budget)
		for {
			number, _ := call.Begin()
			attempts++
			next := call.Fail(epoch, number, failure(engine.FateNotRun, http.StatusServiceUnavailable))
			if !next.Retry {
				refused++
				break
			}
		}
	}
	g.Expect(refused).To(gomega.Equal(calls))
	g.Expect(float64(attempts) / calls).To(gomega.BeNumerically("<=", 1.1+float64(DefaultReserve)/calls))
	budget.SetRatio(0)
	budget.Earn()
	g.Expect(budget.Spend()).To(gomega.BeFalse())
}
