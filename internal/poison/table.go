package poison

import (
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
	// nextHold is how long it is held back after one more crash of full weight. The fault
	// in the engines may be fixed by then.
	nextHold = 10 * time.Minute
	// maxCrashes is the number of crashes from which on a request is held back until its
	// record expires. Before that it is retried after two holds, each time possibly by
	// several nodes that have not heard from each other yet.
	maxCrashes = crashThreshold + 2
	// heldRetention is how long the record of a request that was held back is kept after
	// the last crash, and suspectRetention that of any other request.
	heldRetention    = 24 * time.Hour
	suspectRetention = time.Hour
	// maxRecordCrashes bounds the crashes listed in a record.
	maxRecordCrashes = 16
	// maxRecords bounds the records of a node to some 2 MB; the oldest are evicted first,
	// holdable ones last.
	maxRecords = 4096
)

// Crash describes the crash of an engine while it had a request.
type Crash struct {
	Engine string // with its incarnation
	// Answering is set if events of the answer had arrived, so that the request may well
	// be a bystander.
	Answering bool
}

// Record lists the crashes of engines under one request.
type Record struct {
	Fingerprint Fingerprint
	// Crashes is sorted by engine.
	Crashes []Crash
	// Last is the time of the last crash or of the answer. It is wall-clock time of the node
	// that saw it, as it must be valid on other machines and across restarts.
	Last time.Time
	// Served is set once an engine has answered the request completely; Crashes is empty then.
	Served bool
}

// weight returns the sum of the weights of the crashes.
func (r *Record) weight() int {
	weight := 0
	for _, crash := range r.Crashes {
		if crash.Answering {
			weight += answeringWeight
		} else {
			weight += silentWeight
		}
	}
	return weight
}

// holdable reports whether the weight suffices for a hold, which may be over by now.
func (r *Record) holdable() bool { return r.weight() >= holdWeight }

// persistent reports whether the record belongs in the store. Most records with a single
// crash are those of bystanders.
func (r *Record) persistent() bool { return len(r.Crashes) > 1 }

// retention returns how long the record is kept after Last.
func (r *Record) retention() time.Duration {
	if r.holdable() {
		return heldRetention
	}
	return suspectRetention
}

// merge adds another record of the same request and reports whether that changed r.
func (r *Record) merge(other *Record) bool {
	if r.Served {
		return false
	}
	if other.Served {
		r.Served, r.Crashes, r.Last = true, nil, other.Last
		return true
	}
	changed := false
	for _, crash := range other.Crashes {
		changed = r.add(crash) || changed
	}
	if changed && other.Last.After(r.Last) {
		r.Last = other.Last
	}
	return changed
}

// add adds a crash and reports whether that changed r. If nodes disagree on whether the
// engine was answering, it was not.
func (r *Record) add(crash Crash) bool {
	index, found := slices.BinarySearchFunc(r.Crashes, crash, func(x, y Crash) int { return cmp.Compare(x.Engine, y.Engine) })
	switch {
	case found && r.Crashes[index].Answering && !crash.Answering:
		r.Crashes[index].Answering = false
		return true
	case found || len(r.Crashes) >= maxRecordCrashes:
		return false
	}
	r.Crashes = slices.Insert(r.Crashes, index, crash)
	return true
}

// clone returns a deep copy.
func (r *Record) clone() Record {
	copied := *r
	copied.Crashes = slices.Clone(r.Crashes)
	return copied
}

// Table holds records and decides which requests are held back. It does no I/O and is not
// safe for concurrent use.
type Table struct {
	records  map[Fingerprint]*Record
	holdable int // number of holdable records
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[Fingerprint]*Record{}} }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// HasHoldable reports whether any request may be held back.
func (t *Table) HasHoldable() bool { return t.holdable > 0 }

// CountHeld returns the number of requests that are held back.
func (t *Table) CountHeld(now time.Time) int {
	count := 0
	for f := range t.records {
		if _, held := t.HeldUntil(f, now); held {
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
		known = &Record{Fingerprint: record.Fingerprint}
		t.records[record.Fingerprint] = known
	}
	before := known.holdable()
	changed := known.merge(&record)
	t.countHoldable(before, known.holdable())
	return changed
}

// Drop deletes the record of a request.
func (t *Table) Drop(f Fingerprint) {
	if known := t.records[f]; known != nil {
		t.countHoldable(known.holdable(), false)
		delete(t.records, f)
	}
}

func (t *Table) countHoldable(before, after bool) {
	if before {
		t.holdable--
	}
	if after {
		t.holdable++
	}
}

// HeldUntil returns when the hold of a request ends; false if it may be sent.
func (t *Table) HeldUntil(f Fingerprint, now time.Time) (time.Time, bool) {
	record := t.records[f]
	if record == nil || !record.holdable() {
		return time.Time{}, false
	}
	until := record.Last.Add(record.holdTime())
	return until, now.Before(until)
}

// holdTime returns how long the request is held back after the last crash.
func (r *Record) holdTime() time.Duration {
	switch crashes := len(r.Crashes); {
	case crashes >= maxCrashes:
		return heldRetention
	case r.weight() >= holdWeight+silentWeight: // by weight, as more crashes of half weight are needed
		return nextHold
	}
	return firstHold
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
