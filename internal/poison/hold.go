package poison

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

const (
	// crashThreshold is how many engines a request may crash before it is held back. A
	// threshold of two would hold back too many bystanders, which may be retried on the
	// same engine as the request that crashed their first one.
	crashThreshold = 3
	// A crash counts half if the engine had begun to answer the request, as most bystanders
	// have received an event by then. A poison request that is answered before the crash
	// therefore reaches up to three more engines.
	silentWeight    = 2
	answeringWeight = 1
	holdWeight      = crashThreshold * silentWeight
	// firstHold is how long a request is held back once its weight reaches holdWeight. It
	// outlasts the crashes caused by one poison request and the restarts of the engines,
	// so that bystanders are served afterwards.
	firstHold = 30 * time.Second
	// releaseSpread is the time over which suspects of the same crashes are released, so
	// that a bystander's retry doesn't meet that of the poison request.
	releaseSpread = 15 * time.Second
	// nextHold is how long a request is held back whose retry crashed an engine. The fault
	// in the engines may be fixed by then.
	nextHold = 10 * time.Minute
	// maxCrashes is the number of crashes from which on a request whose retry crashed an
	// engine is held back until its record expires.
	maxCrashes = crashThreshold + 2
	// maxRetries is the number of retries after holds that a poison request has; each may be
	// sent by several nodes that have not heard from each other yet. It has one more if
	// more suspect requests were at the engines of one of them.
	maxRetries = 2
)

// weight returns the weight of the crash in the decision whether a request is held back.
func (c Crash) weight() int {
	if c.Answering {
		return answeringWeight
	}
	return silentWeight
}

// HeldUntil returns when the hold of a request ends; false if it may be sent.
//
// A hold is short, at most firstHold plus releaseSpread after the last crash, unless engines
// crashed under retries of the request after a hold, and either
//   - no other request that is still unanswered was at one of these engines, or
//   - this happened on maxRetries retries, not counting those on which a request was there
//     that has a greater weight or is proven to crash engines in the first way, or
//   - it happened on more than maxRetries retries of any kind.
//
// The hold depends on the set of known crashes only, not on the order in which they became
// known. For a part of prompts see PartHeldUntil.
func (t *Table) HeldUntil(f Fingerprint, now time.Time) (time.Time, bool) {
	record := t.records[f]
	if record != nil && record.IsPart() {
		return t.PartHeldUntil(f)
	}
	if record == nil || !record.holdable() {
		return time.Time{}, false
	}
	hold := t.holdTime(record)
	if hold == firstHold {
		hold += t.releaseDelay(record)
	}
	until := record.lastCrash().Add(hold)
	return until, now.Before(until)
}

// RetryAfter returns how long a request is held back, as callers are told; false if it may
// be sent. Up to a short hold after the last crash it is no longer than that, as records
// of other requests at the engine may still be on their way.
func (t *Table) RetryAfter(f Fingerprint, now time.Time) (time.Duration, bool) {
	until, held := t.HeldUntil(f, now)
	if !held {
		return 0, false
	}
	left := until.Sub(now)
	if short := t.records[f].lastCrash().Add(firstHold + releaseSpread).Sub(now); short > 0 {
		left = min(left, short)
	}
	return left, true
}

// holdTime returns how long a holdable request is held back after its last crash, without
// its release delay.
func (t *Table) holdTime(r *Record) time.Duration {
	retries := r.retries()
	unexplained := 0
	for _, crashes := range retries {
		if slices.ContainsFunc(crashes, func(crash Crash) bool { return !t.isExplained(crash, r) }) {
			unexplained++
		}
	}
	switch {
	case unexplained < maxRetries && len(retries) <= maxRetries && !t.isProven(r):
		return firstHold
	case len(r.Crashes) >= maxCrashes:
		return heldRetention
	}
	return nextHold
}

// retries returns the crashes under each retry after a hold. Crashes less than firstHold
// apart belong to the same attempts, as a request that is known to be held is not sent.
func (r *Record) retries() (retries [][]Crash) {
	if r.lastCrash().Sub(r.firstCrash()) < firstHold {
		return nil
	}
	weight := 0
	var previous time.Time
	for _, crash := range slices.SortedFunc(slices.Values(r.Crashes), r.compareTime) {
		at := r.CrashTime(crash.Engine)
		if weight >= holdWeight && !at.Before(previous.Add(firstHold)) {
			retries = append(retries, nil)
		}
		if last := len(retries) - 1; last >= 0 {
			retries[last] = append(retries[last], crash)
		}
		weight += crash.weight()
		previous = at
	}
	return retries
}

// isProven reports whether an engine crashed under a retry of a request while no other
// unanswered request was there.
func (t *Table) isProven(r *Record) bool {
	for _, crashes := range r.retries() {
		for _, crash := range crashes {
			if len(t.atEngine[crash.Engine]) == 1 {
				return true
			}
		}
	}
	return false
}

// isExplained reports whether a crash under a request was more likely caused by another one,
// which is proven to crash engines or has a greater weight.
func (t *Table) isExplained(crash Crash, r *Record) bool {
	for _, other := range t.atEngine[crash.Engine] {
		if other.holdable() && other != r && (other.weight() > r.weight() || t.isProven(other)) {
			return true
		}
	}
	return false
}

// releaseDelay returns how much longer than firstHold a request is held back to keep its
// retry apart from those of other suspects of the same crashes. Those of low weight go first,
// as they are most likely bystanders; once one is answered the rest move up.
func (t *Table) releaseDelay(r *Record) time.Duration {
	suspects, before := 1, 0
	for f, other := range t.suspectsWith(r) {
		suspects++
		if cmp.Or(cmp.Compare(other.weight(), r.weight()), bytes.Compare(f[:], r.Fingerprint[:])) < 0 {
			before++
		}
	}
	return releaseSpread * time.Duration(before) / time.Duration(suspects)
}

// suspectsWith returns the other holdable requests that were at an engine when it crashed
// under r, without those that are held for long.
func (t *Table) suspectsWith(r *Record) map[Fingerprint]*Record {
	suspects := map[Fingerprint]*Record{}
	for _, crash := range r.Crashes {
		for f, other := range t.atEngine[crash.Engine] {
			if other == r || suspects[f] != nil || !other.holdable() {
				continue
			}
			if t.holdTime(other) == firstHold {
				suspects[f] = other
			}
		}
	}
	return suspects
}

// firstCrash returns the time of the earliest crash that counts.
func (r *Record) firstCrash() time.Time {
	return r.CrashTime(slices.MinFunc(r.suspectCrashes(), r.compareTime).Engine)
}

// lastCrash returns the time of the latest crash that counts.
func (r *Record) lastCrash() time.Time {
	return r.CrashTime(slices.MaxFunc(r.suspectCrashes(), r.compareTime).Engine)
}

// Persistent reports whether the record of a request belongs in the store. Most records with
// a single crash are those of bystanders and do not; if it came under the retry of another
// request, it does, as that request would seem to have been alone after a restart.
func (t *Table) Persistent(f Fingerprint) bool {
	record := t.records[f]
	if record != nil && record.IsPart() {
		return record.isPersistentPart()
	}
	if record == nil || len(record.Crashes) == 0 {
		return false
	}
	return len(record.Crashes) > 1 || t.sharesRetry(record.Crashes[0].Engine)
}

// sharesRetry reports whether the crash of an engine came under the retry of a request.
func (t *Table) sharesRetry(engine string) bool {
	atEngine := func(crash Crash) bool { return crash.Engine == engine }
	for _, record := range t.atEngine[engine] {
		for _, crashes := range record.retries() {
			if slices.ContainsFunc(crashes, atEngine) {
				return true
			}
		}
	}
	return false
}
