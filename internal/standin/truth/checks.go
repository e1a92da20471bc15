package truth

import (
	"fmt"
	"sort"
	"time"
)

// Attempt is one attempt at a request on one engine.
type Attempt struct {
	Source   string
	Request  string
	Attempt  string
	Priority int
	Accepted time.Time
	// First is the time of the first token, zero if there was none.
	First time.Time
	// Ended is zero if the attempt still runs or its engine crashed.
	Ended  time.Time
	Cause  Cause
	From   int
	Tokens int
}

// finished reports whether the attempt generated its output to the end.
func (a Attempt) finished() bool { return a.Cause == CauseFinished }

// attemptKey identifies an attempt. Resends of an attempt to the same engine
// share a key and are distinguished by order.
type attemptKey struct{ source, attempt string }

// Attempts returns the attempts that the entries describe, in order of
// acceptance. Refused attempts are omitted, because they didn't run.
func Attempts(entries []Entry) []Attempt {
	sorted := append([]Entry(nil), entries...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].At.Before(sorted[j].At) })
	var attempts []Attempt
	open := map[attemptKey][]int{}
	for _, entry := range sorted {
		key := attemptKey{entry.Source, entry.Attempt}
		switch entry.Kind {
		case KindStarted:
			dropOpen(open, entry.Source)
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

// dropOpen removes the open attempts of a restarted engine.
func dropOpen(open map[attemptKey][]int, source string) {
	for key := range open {
		if key.source == source {
			delete(open, key)
		}
	}
}

// Runs returns the number of accepted attempts at a request.
func Runs(entries []Entry, request string) int {
	runs := 0
	for _, attempt := range Attempts(entries) {
		if attempt.Request == request {
			runs++
		}
	}
	return runs
}

// Violation is a failed check.
type Violation struct {
	Check   string
	Request string
	Detail  string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("truth: %s: request %q: %s", v.Check, v.Request, v.Detail)
}

// AtMostOnce returns a violation for each of the given requests with more than
// one attempt. It checks requests that are not repeatable.
func AtMostOnce(entries []Entry, requests map[string]bool) []*Violation {
	counts := map[string]int{}
	for _, attempt := range Attempts(entries) {
		if requests[attempt.Request] {
			counts[attempt.Request]++
		}
	}
	return violations("at most once", counts, func(count int) bool { return count > 1 }, "ran %d times")
}

// NeverRan returns a violation for each of the given requests that ran. It checks
// requests whose callers received "not run".
func NeverRan(entries []Entry, requests map[string]bool) []*Violation {
	counts := map[string]int{}
	for _, attempt := range Attempts(entries) {
		if requests[attempt.Request] {
			counts[attempt.Request]++
		}
	}
	return violations("never ran", counts, func(count int) bool { return count > 0 }, "ran %d times")
}

// Completed returns a violation for each of the given requests without a finished
// attempt.
func Completed(entries []Entry, requests map[string]bool) []*Violation {
	counts := make(map[string]int, len(requests))
	for request := range requests {
		counts[request] = 0
	}
	for _, attempt := range Attempts(entries) {
		if requests[attempt.Request] && attempt.finished() {
			counts[attempt.Request]++
		}
	}
	return violations("completed", counts, func(count int) bool { return count == 0 }, "finished %d times")
}

func violations(check string, counts map[string]int, violated func(int) bool, format string) []*Violation {
	var found []*Violation
	for request, count := range counts {
		if violated(count) {
			found = append(found, &Violation{Check: check, Request: request, Detail: fmt.Sprintf(format, count)})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Request < found[j].Request })
	return found
}

// Overlapping returns a violation for each request with two attempts that ran at
// the same time. An attempt without an end counts as running until the next
// start of its engine, or forever. The entries of an engine must be in time order.
func Overlapping(entries []Entry) []*Violation {
	restarts := startTimes(entries)
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

// firstOverlap returns the first attempt accepted before all earlier ones had
// ended, or nil.
func firstOverlap(attempts []Attempt, restarts map[string][]time.Time) *Attempt {
	var latest time.Time
	for i := range attempts {
		if i > 0 && (latest.IsZero() || attempts[i].Accepted.Before(latest)) {
			return &attempts[i]
		}
		end := endTime(attempts[i], restarts)
		if end.IsZero() || end.After(latest) {
			latest = end
		}
	}
	return nil
}

// startTimes returns the start times by source, in the order of entries.
func startTimes(entries []Entry) map[string][]time.Time {
	starts := map[string][]time.Time{}
	for _, entry := range entries {
		if entry.Kind == KindStarted {
			starts[entry.Source] = append(starts[entry.Source], entry.At)
		}
	}
	return starts
}

// endTime returns the latest time the attempt can have run, zero if unbounded.
// The restarts of a source must be in time order.
func endTime(attempt Attempt, restarts map[string][]time.Time) time.Time {
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

// AcceptedAfter returns the attempts that an engine accepted after a time, such
// as the start of its drain.
func AcceptedAfter(entries []Entry, source string, after time.Time) []Attempt {
	var late []Attempt
	for _, attempt := range Attempts(entries) {
		if attempt.Source == source && attempt.Accepted.After(after) {
			late = append(late, attempt)
		}
	}
	return late
}

// DrainDelays returns, by draining engine, the time from the start of its drain
// to the last attempt accepted; zero if none was.
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

// StaleOrders returns a violation for each order that took effect after one with
// a higher fencing token at the same engine. The entries of an engine must be in
// time order.
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
