package poison

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// heldRetention is how long the record of a request that was held back is kept after
	// the last crash, and suspectRetention that of any other request.
	heldRetention    = 24 * time.Hour
	suspectRetention = time.Hour
	// maxRecordCrashes bounds the crashes listed in a record; the latest are kept, as the
	// holds depend on them.
	maxRecordCrashes = 16
	// maxPartCrashes is the same for a part. Its crashes have to span several times
	// minCrashInterval, also where many come at a time.
	maxPartCrashes = 32
	// maxRecords bounds the records of a node to some 4 MB; the oldest are evicted first,
	// holdable ones last.
	maxRecords = 4096
)

// Crash describes the crash of an engine while it had a request.
type Crash struct {
	Engine string // with its incarnation
	// Answering is set if events of the answer had arrived, so that the request may well
	// be a bystander.
	Answering bool
	// Request and Depth are set for parts of prompts: a request with the part that the engine
	// had, and the number of parts before it there.
	Request Fingerprint `json:",omitzero"`
	Depth   int         `json:",omitzero"`
}

// Record lists the crashes of engines under one request, or under requests that share a part of
// their prompts.
type Record struct {
	Fingerprint Fingerprint
	// Part is the ID of the part, maybe shortened; empty in the record of a request.
	Part string
	// Crashes is sorted by engine.
	Crashes []Crash
	// Times has the time of the crash of each engine, in whole milliseconds by the wall
	// clock of the node that saw it. Last stands for a time that it lacks.
	Times map[string]time.Time
	// Last is the time of the last crash or of the answer. It is wall-clock time of the node
	// that saw it, as it must be valid on other machines and across restarts.
	Last time.Time
	// Served is set once an engine has answered the request completely; Crashes is empty then.
	Served bool

	// The following are set for parts only. Answered is when an engine last answered a prompt with
	// the part; crashes up to then don't count. HeldAt is the time of the last crash for which the
	// part was held back, and Trials are the times of its trials, in order.
	Answered, HeldAt time.Time
	Trials           []time.Time
}

// weight returns the sum of the weights of the crashes.
func (r *Record) weight() int {
	weight := 0
	for _, crash := range r.suspectCrashes() {
		weight += crash.weight()
	}
	return weight
}

// holdable reports whether the weight suffices for a hold of the request, which may be over by
// now.
func (r *Record) holdable() bool { return !r.IsPart() && r.weight() >= holdWeight }

// retention returns how long the record is kept after Last.
func (r *Record) retention() time.Duration {
	switch {
	case r.weight() >= holdWeight:
		return heldRetention
	case r.IsPart() && len(r.suspectCrashes()) == 0:
		return soundTime
	}
	return suspectRetention
}

// merge adds another record of the same request and reports whether that changed r.
func (r *Record) merge(other *Record) bool {
	if r.IsPart() {
		return r.mergePart(other)
	}
	if r.Served {
		return false
	}
	if other.Served {
		r.Served, r.Crashes, r.Times, r.Last = true, nil, nil, other.Last
		return true
	}
	changed := false
	for _, crash := range other.Crashes {
		changed = r.add(crash, other.CrashTime(crash.Engine)) || changed
	}
	if changed && other.Last.After(r.Last) {
		r.Last = other.Last
	}
	return changed
}

// CrashTime returns the time of the crash of an engine.
func (r *Record) CrashTime(engine string) time.Time {
	if at, found := r.Times[engine]; found {
		return at
	}
	return r.Last
}

// compareTime orders crashes by time, and by engine if they are simultaneous.
func (r *Record) compareTime(x, y Crash) int {
	return cmp.Or(r.CrashTime(x.Engine).Compare(r.CrashTime(y.Engine)), cmp.Compare(x.Engine, y.Engine))
}

// sameCrashes reports whether two records list the same crashes with the same times, and for a part
// the same crashes that count, hold and trials.
func (r *Record) sameCrashes(other *Record) bool {
	return r.HeldAt.Equal(other.HeldAt) && slices.EqualFunc(r.Trials, other.Trials, time.Time.Equal) && slices.EqualFunc(r.suspectCrashes(), other.suspectCrashes(), func(x, y Crash) bool {
		return x == y && r.CrashTime(x.Engine).Equal(other.CrashTime(y.Engine))
	})
}

// add adds a crash and reports whether that changed r.
func (r *Record) add(crash Crash, at time.Time) bool {
	index, found := slices.BinarySearchFunc(r.Crashes, crash, func(x, y Crash) int { return cmp.Compare(x.Engine, y.Engine) })
	if found {
		return r.combine(index, crash, at)
	}
	if r.Times == nil {
		r.Times = map[string]time.Time{}
	}
	r.Crashes = slices.Insert(r.Crashes, index, crash)
	r.Times[crash.Engine] = at
	if len(r.Crashes) <= maxRecordCrashes || r.IsPart() && len(r.Crashes) <= maxPartCrashes {
		return true
	}
	oldest := slices.MinFunc(r.Crashes, r.compareTime)
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool { return c == oldest })
	delete(r.Times, oldest.Engine)
	return oldest != crash
}

// combine merges another report of a crash and reports whether that changed r. If the nodes
// disagree on whether the engine was answering, it was not; of two times the earlier one counts,
// of two requests or depths the lower one.
func (r *Record) combine(index int, other Crash, at time.Time) bool {
	known := &r.Crashes[index]
	changed := false
	if known.Answering && !other.Answering {
		known.Answering = false
		changed = true
	}
	if bytes.Compare(other.Request[:], known.Request[:]) < 0 {
		known.Request = other.Request
		changed = true
	}
	if other.Depth < known.Depth {
		known.Depth = other.Depth
		changed = true
	}
	if at.Before(r.CrashTime(other.Engine)) {
		r.Times[other.Engine] = at
		changed = true
	}
	return changed
}

// clone returns a deep copy.
func (r *Record) clone() Record {
	copied := *r
	copied.Crashes = slices.Clone(r.Crashes)
	copied.Times = maps.Clone(r.Times)
	copied.Trials = slices.Clone(r.Trials)
	return copied
}

// Table holds records and decides which requests are held back. It does no I/O and is not
// safe for concurrent use.
type Table struct {
	records map[Fingerprint]*Record
	// atEngine has the records that list a crash of an engine.
	atEngine map[string]map[Fingerprint]*Record
	holdable int // number of holdable records
	// partsAtEngine is atEngine for parts of prompts. suspectParts are those that enough crashes
	// count against for a hold, and heldParts is the number of those that are held back.
	partsAtEngine map[string]map[Fingerprint]*Record
	suspectParts  map[Fingerprint]*Record
	heldParts     int
	// answers are the prompts that this node saw answered, and beginnings those of which it saw a
	// first event.
	answers, beginnings partLog
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		records: map[Fingerprint]*Record{}, atEngine: map[string]map[Fingerprint]*Record{},
		partsAtEngine: map[string]map[Fingerprint]*Record{}, suspectParts: map[Fingerprint]*Record{},
	}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Holdable reports whether a request may be held back, though its hold may be over.
func (t *Table) Holdable(f Fingerprint) bool {
	record := t.records[f]
	return record != nil && record.holdable()
}

// HasHoldable reports whether any request may be held back.
func (t *Table) HasHoldable() bool { return t.holdable > 0 }

// HeldParts returns the number of parts of prompts that are held back.
func (t *Table) HeldParts() int { return t.heldParts }

// CountHeld returns the number of requests that are held back, without release delays.
func (t *Table) CountHeld(now time.Time) int {
	count := 0
	for _, record := range t.records {
		if record.holdable() && now.Before(record.lastCrash().Add(t.holdTime(record))) {
			count++
		}
	}
	return count
}

// Get returns a copy of the record of a request.
func (t *Table) Get(f Fingerprint) (Record, bool) {
	known := t.records[f]
	if known == nil {
		return Record{}, false
	}
	return known.clone(), true
}

// All returns copies of all records, in no order.
func (t *Table) All() []Record {
	records := make([]Record, 0, len(t.records))
	for _, record := range t.records {
		records = append(records, record.clone())
	}
	return records
}

// Merge merges a record and reports whether that changed the table.
func (t *Table) Merge(record Record) bool {
	known := t.records[record.Fingerprint]
	if known == nil {
		if len(t.records) >= maxRecords {
			t.evict()
		}
		known = &Record{Fingerprint: record.Fingerprint, Part: record.Part}
		t.records[record.Fingerprint] = known
	}
	if at := t.answers.lastTime(record.Fingerprint); at.After(record.Answered) {
		record.Answered = at
	}
	t.unindex(known)
	changed := known.merge(&record)
	t.index(known)
	return changed
}

// Drop deletes the record of a request.
func (t *Table) Drop(f Fingerprint) {
	if known := t.records[f]; known != nil {
		t.unindex(known)
		delete(t.records, f)
	}
}

// index adds a record to the counts and sets derived from the records.
func (t *Table) index(r *Record) {
	if r.holdable() {
		t.holdable++
	}
	if r.isHeldPart() {
		t.heldParts++
	} else if r.IsPart() && r.weight() >= holdWeight {
		t.suspectParts[r.Fingerprint] = r
	}
	atEngine := t.recordsAtEngine(r)
	for _, crash := range r.suspectCrashes() {
		if atEngine[crash.Engine] == nil {
			atEngine[crash.Engine] = map[Fingerprint]*Record{}
		}
		atEngine[crash.Engine][r.Fingerprint] = r
	}
}

// recordsAtEngine returns the index by engine of requests, or of parts if r is one.
func (t *Table) recordsAtEngine(r *Record) map[string]map[Fingerprint]*Record {
	if r.IsPart() {
		return t.partsAtEngine
	}
	return t.atEngine
}

// unindex undoes index.
func (t *Table) unindex(r *Record) {
	if r.holdable() {
		t.holdable--
	}
	if r.isHeldPart() {
		t.heldParts--
	}
	delete(t.suspectParts, r.Fingerprint)
	atEngine := t.recordsAtEngine(r)
	for _, crash := range r.suspectCrashes() {
		delete(atEngine[crash.Engine], r.Fingerprint)
		if len(atEngine[crash.Engine]) == 0 {
			delete(atEngine, crash.Engine)
		}
	}
}

// Forget deletes expired records.
func (t *Table) Forget(now time.Time) {
	for f, record := range t.records {
		if now.After(record.Last.Add(record.retention())) {
			t.Drop(f)
		}
	}
}

// evict deletes an eighth of the records: those of low weight first, then the oldest.
func (t *Table) evict() {
	records := make([]*Record, 0, len(t.records))
	for _, record := range t.records {
		records = append(records, record)
	}
	slices.SortFunc(records, func(x, y *Record) int {
		return cmp.Or(cmp.Compare(min(x.weight(), holdWeight), min(y.weight(), holdWeight)), x.Last.Compare(y.Last))
	})
	for _, record := range records[:maxRecords/8] {
		t.Drop(record.Fingerprint)
	}
}
