package poison

import (
	"crypto/sha256"
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
	// maxTrials is the number of trials of a held part: it crashes no more engines after its hold.
	maxTrials = 2
	// The first trial is due firstTrialDelay after the last crash. The second one is due
	// secondTrialDelay after a crash under the first, and lostTrialDelay after the first if that had no
	// outcome.
	firstTrialDelay  = 5 * time.Second
	secondTrialDelay = 45 * time.Second
	lostTrialDelay   = 10 * time.Second
)

// survivalTime is how long after its first event an answer shows that the parts of its prompt
// don't crash engines: a poison part does as the engine begins to answer.
const survivalTime = time.Second

// PartFingerprint returns the fingerprint of the part of prompts with an ID. It doesn't depend
// on the caller, as engines share the memory of a part among callers, too.
func PartFingerprint(id string) Fingerprint {
	hash := sha256.Sum256([]byte("prompt part " + id))
	return Fingerprint(hash[:len(Fingerprint{})])
}

// maxPartName bounds the part of an ID that records keep for operators.
const maxPartName = 64

// Prompt has the shared parts of a request's prompt. It belongs to one request and is not safe
// for concurrent use. A nil Prompt has no parts.
type Prompt struct {
	ids   []string
	parts []Fingerprint // of ids; nil until first used
	// trial is the part that the request may try at one engine although it is held back; zero
	// if there is none.
	trial Fingerprint
	// begun is the time of the first event of the answer under way, and sound is set once it has
	// gone on for survivalTime.
	begun time.Time
	sound bool
}

// NewPrompt returns a prompt with the given IDs of shared parts, in order.
func NewPrompt(ids []string) *Prompt { return &Prompt{ids: ids} }

// IDs returns the IDs of the shared parts, in order.
func (p *Prompt) IDs() []string {
	if p == nil {
		return nil
	}
	return p.ids
}

// BeginAttempt notes that the request is sent to an engine.
func (p *Prompt) BeginAttempt() {
	if p != nil {
		p.begun, p.sound = time.Time{}, false
	}
}

// event notes an event of the answer and reports whether it is the first one, or the first one that shows
// the parts to be sound.
func (p *Prompt) event(now time.Time) (begins, survives bool) {
	if p == nil || p.sound {
		return false, false
	}
	if p.begun.IsZero() {
		p.begun = now
		return true, false
	}
	p.sound = now.Sub(p.begun) >= survivalTime
	return false, p.sound
}

// EndTrial ends the trial of a part: the request has been sent.
func (p *Prompt) EndTrial() {
	if p != nil {
		p.trial = Fingerprint{}
	}
}

// clone returns a copy that isn't changed any more.
func (p *Prompt) clone() *Prompt {
	if p == nil {
		return nil
	}
	p.fingerprints()
	copied := *p
	return &copied
}

// fingerprints returns the fingerprints of the parts.
func (p *Prompt) fingerprints() []Fingerprint {
	if p == nil {
		return nil
	}
	if p.parts == nil {
		for _, id := range p.ids {
			p.parts = append(p.parts, PartFingerprint(id))
		}
	}
	return p.parts
}

// crashRecords returns the records of a crash for the parts of the prompt. request is the
// fingerprint of the whole request. There are none if its answer shows the parts to be sound.
func (p *Prompt) crashRecords(request Fingerprint, engine string, answering bool, at time.Time) (records []Record) {
	if p != nil && p.sound {
		return nil
	}
	for depth, f := range p.fingerprints() {
		if slices.Contains(p.parts[:depth], f) {
			continue
		}
		name := p.ids[depth]
		records = append(records, Record{
			Fingerprint: f, Part: name[:min(len(name), maxPartName)], Last: at,
			Crashes: []Crash{{Engine: engine, Answering: answering, Request: request, Depth: depth}},
		})
	}
	return records
}

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

// isPersistentPart reports whether the record of a part belongs in the store. Parts that were answered
// not long ago are most likely bystanders and do not, unless they are held back.
func (r *Record) isPersistentPart() bool {
	return r.isHeldPart() || len(r.suspectCrashes()) > 1 && !r.isSoundPart()
}
