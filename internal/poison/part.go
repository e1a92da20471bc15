package poison

import (
	"slices"
	"time"
)

const (
	// maxTrials is the number of trials of a held part: it crashes no more engines after its hold.
	maxTrials = 2
	// The first trial is due firstTrialDelay after the last crash. The second one is due
	// secondTrialDelay after a crash under the first, and lostTrialDelay after the first if that had no
	// outcome.
	firstTrialDelay  = 5 * time.Second
	secondTrialDelay = 45 * time.Second
	lostTrialDelay   = 10 * time.Second
)

// IsPart reports whether the record is that of a part of prompts.
func (r *Record) IsPart() bool { return r.Part != "" }

// mergePart adds another record of the same part and reports whether that changed r. Answered
// and HeldAt only grow, and crashes up to Answered are kept but don't count any more, so that the
// result doesn't depend on the order of merges.
func (r *Record) mergePart(other *Record) bool {
	changed := r.setAnswered(other.Answered)
	for _, crash := range other.Crashes {
		changed = r.add(crash, other.CrashTime(crash.Engine)) || changed
	}
	if other.HeldAt.After(r.HeldAt) {
		r.HeldAt, changed = other.HeldAt, true
	}
	for _, at := range other.Trials {
		if index, found := slices.BinarySearchFunc(r.Trials, at, time.Time.Compare); !found {
			r.Trials, changed = slices.Insert(r.Trials, index, at), true
		}
	}
	r.Trials = r.Trials[max(0, len(r.Trials)-maxTrials):]
	if changed && other.Last.After(r.Last) {
		r.Last = other.Last
	}
	return changed
}

// setAnswered notes an answer to a prompt with the part.
func (r *Record) setAnswered(at time.Time) bool {
	if !at.After(r.Answered) {
		return false
	}
	r.Answered = at
	if at.After(r.Last) {
		r.Last = at
	}
	return true
}

// suspectCrashes returns the crashes that count: for a part those after the last answer.
func (r *Record) suspectCrashes() []Crash {
	if r.Answered.IsZero() {
		return r.Crashes
	}
	var crashes []Crash
	for _, crash := range r.Crashes {
		if r.CrashTime(crash.Engine).After(r.Answered) {
			crashes = append(crashes, crash)
		}
	}
	return crashes
}

// isHeldPart reports whether the part is held back.
func (r *Record) isHeldPart() bool {
	return r.IsPart() && r.HeldAt.After(r.Answered) && len(r.suspectCrashes()) > 0
}

// isSoundPart reports whether a prompt with the part was answered not long before its first crash
// that counts.
func (r *Record) isSoundPart() bool {
	return len(r.suspectCrashes()) == 0 || r.firstCrash().Sub(r.Answered) < soundTime
}

// trials returns the times of the trials since the last answer.
func (r *Record) trials() []time.Time {
	index, _ := slices.BinarySearchFunc(r.Trials, r.Answered, time.Time.Compare)
	return r.Trials[index:]
}

// trialDue returns when the next trial of a held part is due; the end of the record's retention
// if there are no more.
func (r *Record) trialDue() time.Time {
	crash, trials := r.lastCrash(), r.trials()
	switch {
	case len(trials) == 0:
		return crash.Add(firstTrialDelay)
	case len(trials) >= maxTrials:
		return r.Last.Add(heldRetention)
	case crash.Before(trials[0]):
		return trials[0].Add(lostTrialDelay)
	}
	return crash.Add(secondTrialDelay)
}

// AddTrial adds a trial if one is due, and reports whether it did.
func (r *Record) AddTrial(now time.Time) bool {
	if !r.isHeldPart() || now.Before(r.trialDue()) || len(r.trials()) >= maxTrials {
		return false
	}
	r.Trials = append(r.Trials, now)
	return true
}

// PartHeldUntil returns when the next trial of a part is due; false if the part may be sent. Until
// a trial is answered the part is held back also after that time.
func (t *Table) PartHeldUntil(f Fingerprint) (time.Time, bool) {
	record := t.records[f]
	if record == nil || !record.isHeldPart() {
		return time.Time{}, false
	}
	return record.trialDue(), true
}

// isPersistentPart reports whether the record of a part belongs in the store. Parts that were answered
// not long ago are most likely bystanders and do not, unless they are held back.
func (r *Record) isPersistentPart() bool {
	return r.isHeldPart() || len(r.suspectCrashes()) > 1 && !r.isSoundPart()
}
