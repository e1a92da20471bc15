package poison

import (
	"slices"
	"time"
)

const (
	// minPartRequests is how many different requests must have crashed engines before a part
	// that they share is held back: a poison request crashes several engines by itself.
	minPartRequests = 2
	// minAnswers is how many answers a node must have seen, or beginnings of answers, before it
	// blames a part of which it has seen none. Without any, the engines may crash for another reason.
	minAnswers = 3
	// soundTime is how long a part counts as sound after an answer to a prompt with it.
	soundTime = 10 * time.Minute
	// contrastDelay is the age from which a crash counts against a sound part. Until then
	// other requests with the part may be answered, which clears it.
	contrastDelay = time.Second
	// minCrashInterval is the least time between two crashes that both count against a sound part. A
	// rack, a zone or all engines may crash at once.
	minCrashInterval = 250 * time.Millisecond
)

// Answered notes that prompts with the given parts were answered at a node of this table. It returns
// the parts that several crashes counted against until then, with the time of the last one.
func (t *Table) Answered(parts []Fingerprint, now time.Time) (cleared map[Fingerprint]time.Time) {
	t.answers.add(parts, now)
	for _, f := range parts {
		record := t.records[f]
		if record == nil || len(record.suspectCrashes()) == 0 {
			continue
		}
		last, several := record.lastCrash(), len(record.suspectCrashes()) > 1
		t.unindex(record)
		record.setAnswered(now)
		t.index(record)
		if several && !last.After(now) {
			if cleared == nil {
				cleared = map[Fingerprint]time.Time{}
			}
			cleared[f] = last
		}
	}
	return cleared
}

// Begun notes that the answer to a prompt with the given parts has begun at a node of this table.
func (t *Table) Begun(parts []Fingerprint, now time.Time) { t.beginnings.add(parts, now) }

// standing tells how much speaks for a part, by what this node knows.
type standing uint8

const (
	standingNone  standing = iota
	standingBegun          // answers have begun at this node
	standingSound          // a prompt with it was answered not long before its first crash that counts
)

func (t *Table) standingOf(r *Record) standing {
	switch {
	case r.isSoundPart():
		return standingSound
	case !t.beginnings.lastTime(r.Fingerprint).IsZero():
		return standingBegun
	}
	return standingNone
}

// canBlame reports whether this node has seen enough to blame a part of the given standing.
func (t *Table) canBlame(s standing) bool {
	switch s {
	case standingNone:
		return t.answers.count+t.beginnings.count >= minAnswers
	case standingBegun:
		return t.answers.count >= minAnswers
	}
	return true
}

// HoldGuiltyParts holds back the parts that are to blame for crashes by what is known now, and
// returns them.
//
// A part is to blame if crashes of some weight count against it, under different requests. A crash
// doesn't count if another part of a prompt at that engine is more suspect: it has more crashes, or
// as many and stands deeper in the prompt, so that fewer requests have it. Parts for which more speaks are
// less suspect. Against a part that was answered not long before, only those crashes count after which
// others were answered, and it wasn't, and of those at a time only one.
func (t *Table) HoldGuiltyParts(now time.Time) (held []Fingerprint) {
	for f, record := range t.suspectParts {
		if t.isGuilty(record, now) {
			held = append(held, f)
		}
	}
	for _, f := range held {
		record := t.records[f]
		t.unindex(record)
		record.HeldAt = record.lastCrash()
		t.index(record)
	}
	return held
}

// HasSuspectParts reports whether HoldGuiltyParts may hold back any part.
func (t *Table) HasSuspectParts() bool { return len(t.suspectParts) > 0 }

func (t *Table) isGuilty(r *Record, now time.Time) bool {
	sound := r.isSoundPart()
	if !t.canBlame(t.standingOf(r)) {
		return false
	}
	weight := 0
	requests := map[Fingerprint]bool{}
	var counted time.Time // the last crash that counts
	for _, crash := range slices.SortedFunc(slices.Values(r.suspectCrashes()), r.compareTime) {
		at := r.CrashTime(crash.Engine)
		if sound && (at.Sub(counted) < minCrashInterval || !t.isContrasted(at, now)) || t.isCausedByOther(crash, r) {
			continue
		}
		counted = at
		weight += crash.weight()
		requests[crash.Request] = true
	}
	return weight >= holdWeight && len(requests) >= minPartRequests
}

// isContrasted reports whether a crash is old enough to count against a sound part, and others were
// answered after it.
func (t *Table) isContrasted(crashed, now time.Time) bool {
	return now.Sub(crashed) >= contrastDelay && t.answers.last.After(crashed)
}

// isCausedByOther reports whether a crash that a part was at was more likely caused by another part.
func (t *Table) isCausedByOther(crash Crash, r *Record) bool {
	known := t.standingOf(r)
	for _, other := range t.partsAtEngine[crash.Engine] {
		if other == r || t.standingOf(other) > known {
			continue
		}
		if difference := other.weight() - r.weight(); difference > 0 || difference == 0 && other.depthAt(crash.Engine) > crash.Depth {
			return true
		}
	}
	return false
}

// depthAt returns the part's depth in the prompt at a crashed engine.
func (r *Record) depthAt(engine string) int {
	index := slices.IndexFunc(r.Crashes, func(crash Crash) bool { return crash.Engine == engine })
	return r.Crashes[index].Depth
}
