package truth

import (
	"fmt"
	"sort"
	"time"
)

// Attempt is the life of one attempt on one engine.
type Attempt struct {
	Source   string
	Request  string
	Attempt  string
	Priority int
	Accepted time.Time
	// First is when its first token existed, zero if none did.
	First time.Time
	// Ended is zero while it runs, or if its engine crashed meanwhile.
	Ended  time.Time
	Cause  Cause
	From   int
	Tokens int
}

// whole tells whether the attempt made the rest of its output.
func (a Attempt) whole() bool { return a.Cause == CauseFinished }

// attemptKey tells attempts apart; a resend of the same attempt to the same
// engine is told apart by order.
type attemptKey struct{ source, attempt string }

// Attempts joins the entries of each attempt, in order of their beginning.
// Attempts that were refused are left out: they did not run.
func Attempts(entries []Entry) []Attempt {
	sorted := append([]Entry(nil), entries...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].At.Before(sorted[j].At) })
	var attempts []Attempt
	open := map[attemptKey][]int{}
	for _, entry := range sorted {
		key := attemptKey{entry.Source, entry.Attempt}
		switch entry.Kind {
		case KindStarted:
			closeAll(open, entry.Source)
		case KindAccepted:
			open[key] = append(open[key], len(attempts))
			attempts = append(attempts, Attempt{
				Source:   entry.Source,
				Request:  entry.Request,
				Attempt:  entry.Attempt,
				Priority: entry.Priority,
				Accepted: entry.At,
				From:     entry.From,
			})
		case KindFirstToken:
			if indices := open[key]; len(indices) > 0 && attempts[indices[0]].First.IsZero() {
				attempts[indices[0]].First = entry.At
			}
		case KindEnded:
			if indices := open[key]; len(indices) > 0 {
				ended := &attempts[indices[0]]
				ended.Ended, ended.Cause, ended.Tokens = entry.At, entry.Cause, entry.Tokens
				open[key] = indices[1:]
			}
		}
	}
	return attempts
}

// closeAll forgets what a restarted engine had open.
func closeAll(open map[attemptKey][]int, source string) {
	for key := range open {
		if key.source == source {
			delete(open, key)
		}
	}
}

// Runs counts the attempts at a request that an engine accepted.
func Runs(entries []Entry, request string) int {
	runs := 0
	for _, attempt := range Attempts(entries) {
		if attempt.Request == request {
			runs++
		}
	}
	return runs
}

// Violation is a check that failed.
type Violation struct {
	Check   string
	Request string
	Detail  string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("truth: %s: request %q: %s", v.Check, v.Request, v.Detail)
}

// AtMostOnce finds requests among the given ones that more than one attempt
// ran for, as must not be for requests that are not repeatable.
func AtMostOnce(entries []Entry, requests map[string]bool) []*Violation {
	counts := map[string]int{}
	for _, attempt := range Attempts(entries) {
		if requests[attempt.Request] {
			counts[attempt.Request]++
		}
	}
	return violations("at most once", counts, func(count int) bool { return count > 1 }, "ran %d times")
}

// NeverRan finds requests among the given ones that ran, as must not be for
// requests whose callers were told "not run".
func NeverRan(entries []Entry, requests map[string]bool) []*Violation {
	counts := map[string]int{}
	for _, attempt := range Attempts(entries) {
		if requests[attempt.Request] {
			counts[attempt.Request]++
		}
	}
	return violations("never ran", counts, func(count int) bool { return count > 0 }, "ran %d times")
}

// Completed finds requests among the given ones for which no attempt came to
// the end of the output.
func Completed(entries []Entry, requests map[string]bool) []*Violation {
	counts := make(map[string]int, len(requests))
	for request := range requests {
		counts[request] = 0
	}
	for _, attempt := range Attempts(entries) {
		if requests[attempt.Request] && attempt.whole() {
			counts[attempt.Request]++
		}
	}
	return violations("completed", counts, func(count int) bool { return count == 0 }, "came to its end %d times")
}

func violations(check string, counts map[string]int, bad func(int) bool, format string) []*Violation {
	var found []*Violation
	for request, count := range counts {
		if bad(count) {
			found = append(found, &Violation{Check: check, Request: request, Detail: fmt.Sprintf(format, count)})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Request < found[j].Request })
	return found
}

// Overlapping finds requests of which two attempts ran at the same time. An
// attempt without an end is taken to run until its engine's next start, or for
// good.
func Overlapping(entries []Entry) []*Violation {
	restarts := startsOf(entries)
	byRequest := map[string][]Attempt{}
	for _, attempt := range Attempts(entries) {
		byRequest[attempt.Request] = append(byRequest[attempt.Request], attempt)
	}
	var found []*Violation
	for request, attempts := range byRequest {
		if late := firstOverlap(attempts, restarts); late != nil {
			found = append(found, &Violation{"overlapping", request, "attempt " + late.Attempt + " began while another ran"})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Request < found[j].Request })
	return found
}

// firstOverlap returns the first attempt that began before all earlier ones
// had ended.
func firstOverlap(attempts []Attempt, restarts map[string][]time.Time) *Attempt {
	var latest time.Time
	for i := range attempts {
		if i > 0 && (latest.IsZero() || attempts[i].Accepted.Before(latest)) {
			return &attempts[i]
		}
		end := endOf(attempts[i], restarts)
		if end.IsZero() || end.After(latest) {
			latest = end
		}
	}
	return nil
}

func startsOf(entries []Entry) map[string][]time.Time {
	starts := map[string][]time.Time{}
	for _, entry := range entries {
		if entry.Kind == KindStarted {
			starts[entry.Source] = append(starts[entry.Source], entry.At)
		}
	}
	return starts
}

// endOf is when the attempt surely ran no more, zero for never.
func endOf(attempt Attempt, restarts map[string][]time.Time) time.Time {
	if !attempt.Ended.IsZero() {
		return attempt.Ended
	}
	for _, restart := range restarts[attempt.Source] {
		if restart.After(attempt.Accepted) {
			return restart
		}
	}
	return time.Time{}
}

// AcceptedAfter lists the attempts that an engine accepted after a time, such
// as when it said that it was leaving.
func AcceptedAfter(entries []Entry, source string, after time.Time) []Attempt {
	var late []Attempt
	for _, attempt := range Attempts(entries) {
		if attempt.Source == source && attempt.Accepted.After(after) {
			late = append(late, attempt)
		}
	}
	return late
}

// DrainDelays tells for each engine that said it was leaving how long after
// that it last got new work; zero if it got none.
func DrainDelays(entries []Entry) map[string]time.Duration {
	delays := map[string]time.Duration{}
	for _, entry := range entries {
		if entry.Kind != KindDraining {
			continue
		}
		delays[entry.Source] = 0
		for _, late := range AcceptedAfter(entries, entry.Source, entry.At) {
			delays[entry.Source] = max(delays[entry.Source], late.Accepted.Sub(entry.At))
		}
	}
	return delays
}

// StaleOrders finds orders that took effect although their engine had already
// carried out one with a higher token.
func StaleOrders(entries []Entry) []*Violation {
	highest := map[string]uint64{}
	var found []*Violation
	for _, entry := range entries {
		if entry.Kind != KindOrder {
			continue
		}
		if entry.Token < highest[entry.Source] {
			detail := fmt.Sprintf("%s with token %d after %d at %s", entry.Name, entry.Token, highest[entry.Source], entry.Source)
			found = append(found, &Violation{Check: "stale order", Detail: detail})
		}
		highest[entry.Source] = max(highest[entry.Source], entry.Token)
	}
	return found
}
