package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// endedMost is how many engines may end under a request before it is held back.
	// Each costs the streams of all others there and some seconds of an engine. With
	// two, too many others would be held back: they go to another engine, as does the
	// request that ended the first.
	endedMost = 3
	// An engine counts half that had begun to answer the request when it ended. Most of
	// those that only stood by have an event by then: with 30 ends in 6 s among 18 engines
	// 0.8 % of 100 long items that never come to their end are held back so, and 25 % if
	// all ends count alike; with 9 ends none and 1 % (20 seeds in virtual time,
	// TestThoseThatOnlyStoodByAreToldApart).
	// A request whose first events come before the engine ends gets to three engines more.
	silentWeight    = 2
	answeringWeight = 1
	heldWeight      = endedMost * silentWeight
	// firstHold is how long a request is held back after endedMost engines ended. One that
	// only stood by is served after that: the ends that one request brings about come
	// within a second or two, and engines are back within some four.
	firstHold = 30 * time.Second
	// nextHold is how long it is held back after one end more that counts whole: what ends
	// engines may be mended by then, as by a release of their software.
	nextHold = 10 * time.Minute
	// endedForGood is the number of engines from which on a request gets no further
	// chance before it is forgotten. At each of the two chances before, some nodes may
	// send it before they hear from each other: three retries are not exceeded.
	endedForGood = endedMost + 2
	// holdMemory is how long a record of a held request is kept after the last
	// engine ended, and suspectMemory another one.
	holdMemory    = 24 * time.Hour
	suspectMemory = time.Hour
	// endsMost bounds the engines that a record names.
	endsMost = 16
	// recordsMost bounds the records of a node, some 2 MB; the oldest ones give way,
	// those that hold a request back last.
	recordsMost = 4096
)

// End is an engine, by its incarnation, that ended while it had a request.
type End struct {
	Engine string
	// Answering says that events of its answer had come, so that it may well have ended
	// for another reason.
	Answering bool
}

// Record is what is known of a request that an engine had when it ended.
type Record struct {
	Fingerprint Fingerprint
	// Ends are in order of the engines.
	Ends []End
	// Last is when the last of them ended, or an engine answered the request, by the
	// time of day of the node that saw it: it has to hold on other machines and across
	// restarts.
	Last time.Time
	// Sound says that an engine has answered the request whole. Ends is empty then.
	Sound bool
}

// weight is what speaks against the request.
func (r *Record) weight() int {
	weight := 0
	for _, end := range r.Ends {
		if end.Answering {
			weight += answeringWeight
		} else {
			weight += silentWeight
		}
	}
	return weight
}

// grave says that the request is or was held back.
func (r *Record) grave() bool { return r.weight() >= heldWeight }

// lasting says whether a record is worth keeping beyond the lives of nodes: most of
// those of one engine belong to requests that only stood by.
func (r *Record) lasting() bool { return len(r.Ends) > 1 }

// memory is how long the record is kept after Last.
func (r *Record) memory() time.Duration {
	if r.grave() {
		return holdMemory
	}
	return suspectMemory
}

// merge adds what another record of the request knows, and says whether that is news.
func (r *Record) merge(other *Record) bool {
	if r.Sound {
		return false
	}
	if other.Sound {
		r.Sound, r.Ends, r.Last = true, nil, other.Last
		return true
	}
	news := false
	for _, end := range other.Ends {
		news = r.add(end) || news
	}
	if news && other.Last.After(r.Last) {
		r.Last = other.Last
	}
	return news
}

// add adds an end. Where nodes differ in whether the engine was answering, it was not.
func (r *Record) add(end End) bool {
	place, found := slices.BinarySearchFunc(r.Ends, end, func(x, y End) int { return cmp.Compare(x.Engine, y.Engine) })
	switch {
	case found && r.Ends[place].Answering && !end.Answering:
		r.Ends[place].Answering = false
		return true
	case found || len(r.Ends) >= endsMost:
		return false
	}
	r.Ends = slices.Insert(r.Ends, place, end)
	return true
}

// clone returns a copy that shares nothing.
func (r *Record) clone() Record {
	copied := *r
	copied.Ends = slices.Clone(r.Ends)
	return copied
}

// Table holds records and decides which requests are held back. It is pure, and not
// safe for concurrent use.
type Table struct {
	records map[Fingerprint]*Record
	// graves counts the records of requests that are or were held back.
	graves int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[Fingerprint]*Record{}} }

// Len is the number of records.
func (t *Table) Len() int { return len(t.records) }

// Holding says whether any request may be held back.
func (t *Table) Holding() bool { return t.graves > 0 }

// Held counts the requests that are held back.
func (t *Table) Held(now time.Time) int {
	count := 0
	for f := range t.records {
		if _, held := t.HeldUntil(f, now); held {
			count++
		}
	}
	return count
}

// Get returns a record.
func (t *Table) Get(f Fingerprint) (Record, bool) {
	known := t.records[f]
	if known == nil {
		return Record{}, false
	}
	return known.clone(), true
}

// All lists the records.
func (t *Table) All() []Record {
	records := make([]Record, 0, len(t.records))
	for _, record := range t.records {
		records = append(records, record.clone())
	}
	return records
}

// Merge takes a record and says whether it holds news.
func (t *Table) Merge(record Record) bool {
	known := t.records[record.Fingerprint]
	if known == nil {
		if len(t.records) >= recordsMost {
			t.makeRoom()
		}
		known = &Record{Fingerprint: record.Fingerprint}
		t.records[record.Fingerprint] = known
	}
	before := known.grave()
	news := known.merge(&record)
	t.count(before, known.grave())
	return news
}

// Drop forgets a record.
func (t *Table) Drop(f Fingerprint) {
	if known := t.records[f]; known != nil {
		t.count(known.grave(), false)
		delete(t.records, f)
	}
}

func (t *Table) count(before, after bool) {
	if before {
		t.graves--
	}
	if after {
		t.graves++
	}
}

// HeldUntil says until when a request gets to no engine; false if it may be sent.
func (t *Table) HeldUntil(f Fingerprint, now time.Time) (time.Time, bool) {
	record := t.records[f]
	if record == nil || !record.grave() {
		return time.Time{}, false
	}
	until := record.Last.Add(record.hold())
	return until, now.Before(until)
}

// hold is how long a request is held back after the last end.
func (r *Record) hold() time.Duration {
	switch ended := len(r.Ends); {
	case ended >= endedForGood:
		return holdMemory
	case r.weight() >= heldWeight+silentWeight: // not by the number of ends: of those that count half it takes more
		return nextHold
	}
	return firstHold
}

// Forget drops the records whose time is over.
func (t *Table) Forget(now time.Time) {
	for f, record := range t.records {
		if now.After(record.Last.Add(record.memory())) {
			t.Drop(f)
		}
	}
}

// makeRoom drops the oldest eighth of the records, those that hold nothing back first.
func (t *Table) makeRoom() {
	records := make([]*Record, 0, len(t.records))
	for _, record := range t.records {
		records = append(records, record)
	}
	slices.SortFunc(records, func(x, y *Record) int {
		return cmp.Or(cmp.Compare(min(x.weight(), heldWeight), min(y.weight(), heldWeight)), x.Last.Compare(y.Last))
	})
	for _, record := range records[:recordsMost/8] {
		t.Drop(record.Fingerprint)
	}
}
