package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// partCrash is the record of a crash for one part of the prompt of a numbered request.
func partCrash(part string, depth, request int, engine string, at time.Time) Record {
	return Record{
		Fingerprint: PartFingerprint(part), Part: part, Last: at,
		Crashes: []Crash{{Engine: engine, Request: print(request), Depth: depth}}, Times: map[string]time.Time{engine: at},
	}
}

// mergePartCrash merges a crash for all parts of a prompt.
func mergePartCrash(table *Table, request int, engine string, at time.Time, parts ...string) {
	for depth, part := range parts {
		table.Merge(partCrash(part, depth, request, engine, at))
	}
}

// answer notes answers to prompts with the given parts.
func answer(table *Table, at time.Time, parts ...string) {
	var fingerprints []Fingerprint
	for _, part := range parts {
		fingerprints = append(fingerprints, PartFingerprint(part))
	}
	table.Answered(fingerprints, at)
}

// newAnsweringTable returns the table of a node that has seen prompts with the part "first" answered.
func newAnsweringTable() *Table {
	table := NewTable()
	for range minAnswers {
		answer(table, noon.Add(-time.Second), "first")
	}
	return table
}

// heldParts returns the names of the parts that are held back at a time, sorted.
func heldParts(table *Table, now time.Time) (names []string) {
	table.HoldGuiltyParts(now)
	for _, record := range table.records {
		if record.isHeldPart() {
			names = append(names, record.Part)
		}
	}
	slices.Sort(names)
	return names
}

func expectHeldParts(t *testing.T, table *Table, now time.Time, want ...string) {
	t.Helper()
	if got := heldParts(table, now); !slices.Equal(got, want) {
		t.Fatalf("parts %q are held back, want %q", got, want)
	}
}

func TestPartIsHeldAfterCrashesUnderTwoRequests(t *testing.T) {
	table := newAnsweringTable()
	for i, request := range []int{1, 1, 1} {
		mergePartCrash(table, request, fmt.Sprint("e", i), noon.Add(time.Duration(i)*time.Second), "first", "bad")
	}
	expectHeldParts(t, table, noon.Add(3*time.Second))
	mergePartCrash(table, 2, "e3", noon.Add(4*time.Second), "first", "bad")
	expectHeldParts(t, table, noon.Add(4*time.Second), "bad")
}

func TestPartIsNotHeldBeforeAnyAnswer(t *testing.T) {
	table := NewTable()
	for i := range 9 {
		mergePartCrash(table, i, fmt.Sprint("e", i), noon, "first", "bad")
	}
	expectHeldParts(t, table, noon.Add(time.Minute))
}

// Guards against a part that crashes all engines as they start, so that new nodes see no answer at all.
func TestPartIsHeldBeforeAnyAnswerOnceOthersHaveBegun(t *testing.T) {
	table := NewTable()
	for i := range 9 {
		table.Begun([]Fingerprint{PartFingerprint("first"), PartFingerprint(fmt.Sprint("document", i%2))}, noon)
		mergePartCrash(table, 100+i, fmt.Sprint("e", i), noon, "first", fmt.Sprint("document", i%2))
		if i%2 == 0 {
			mergePartCrash(table, i, fmt.Sprint("e", i), noon, "first", "bad")
		}
	}
	expectHeldParts(t, table, noon, "bad")
}

// Guards against holding back the part that most requests share while no engine is left to answer one.
func TestSharedPartIsNotHeldWhileAllEnginesAreDown(t *testing.T) {
	table := newAnsweringTable()
	for i := range 12 {
		mergePartCrash(table, 100+i, fmt.Sprint("e", i), noon.Add(time.Duration(i)*50*time.Millisecond), "first", fmt.Sprint("subject", i))
		mergePartCrash(table, i, fmt.Sprint("e", i), noon.Add(time.Duration(i)*50*time.Millisecond), "first", "bad")
	}
	expectHeldParts(t, table, noon.Add(time.Minute), "bad")
}

// Guards against holding back a part that is in all prompts with the poison part and in sound ones.
func TestPartBesidePoisonPartIsNotHeld(t *testing.T) {
	for name, parts := range map[string][]string{"poison part last": {"first", "document", "bad"}, "poison part between": {"first", "bad", "document"}} {
		t.Run(name, func(t *testing.T) {
			table := newAnsweringTable()
			answer(table, noon.Add(-time.Minute), "first", "document")
			for i := range 6 {
				mergePartCrash(table, i, fmt.Sprint("e", i), noon.Add(time.Duration(i)*100*time.Millisecond), parts...)
			}
			expectHeldParts(t, table, noon.Add(time.Second), "bad")
			expectHeldParts(t, table, noon.Add(time.Minute), "bad")
		})
	}
}

// Guards against more crashes after a part that is seldom seen was held back in the poison part's place.
func TestPoisonPartIsHeldOnceTheOneBesideItIsAnswered(t *testing.T) {
	table := newAnsweringTable()
	for i := range 4 {
		mergePartCrash(table, i, fmt.Sprint("e", i), noon, "first", "bad", "document")
	}
	expectHeldParts(t, table, noon, "document")
	answer(table, noon.Add(time.Second), "first", "document")
	expectHeldParts(t, table, noon.Add(time.Second), "bad")
}

// contactTime is how long after the fifth crash a part has to be held back.
const contactTime = 3 * time.Second

func TestPartIsHeldThatWasSoundBefore(t *testing.T) {
	for _, interval := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second, time.Minute} {
		table := newAnsweringTable()
		answer(table, noon.Add(-time.Second), "first", "changed")
		fifth, heldAt := noon.Add(4*interval), time.Time{}
		for now := noon; heldAt.IsZero(); now = now.Add(10 * time.Millisecond) {
			if since := now.Sub(noon); since%interval == 0 {
				mergePartCrash(table, int(since/interval), fmt.Sprint("e", since/interval), now, "first", "changed")
			}
			answer(table, now, "first")
			if len(heldParts(table, now)) > 0 {
				heldAt = now
			}
			if now.After(fifth.Add(contactTime)) {
				t.Fatalf("not held %v after the fifth crash, crashes %v apart", contactTime, interval)
			}
		}
		expectHeldParts(t, table, heldAt, "changed")
	}
}

// Guards against holding back the parts of long requests, as shorter ones are answered first after a crash of all.
func TestSoundPartsAreNotHeldWhenAllEnginesCrashAtOnce(t *testing.T) {
	table := newAnsweringTable()
	answer(table, noon.Add(-time.Second), "long", "job")
	for i := range 12 {
		at := noon.Add(time.Duration(i) * 25 * time.Millisecond) // seen at different times
		mergePartCrash(table, i, fmt.Sprint("e", i), at, "first")
		mergePartCrash(table, 100+i, fmt.Sprint("e", i), at, "long")
		mergePartCrash(table, 200+i, fmt.Sprint("e", i), at, "job")
	}
	for now := noon; now.Before(noon.Add(20 * time.Second)); now = now.Add(100 * time.Millisecond) {
		if now.After(noon.Add(3 * time.Second)) {
			answer(table, now, "first")
		}
		expectHeldParts(t, table, now)
	}
}

func TestAnswerReleasesPart(t *testing.T) {
	table := newAnsweringTable()
	for i := range 4 {
		mergePartCrash(table, i, fmt.Sprint("e", i), noon, "first", "bad")
	}
	expectHeldParts(t, table, noon, "bad")
	answer(table, noon, "first", "bad")
	expectHeldParts(t, table, noon.Add(time.Minute))
	mergePartCrash(table, 1, "e1", noon, "first", "bad")
	expectHeldParts(t, table, noon.Add(time.Minute))
}

func TestPartHasTwoTrials(t *testing.T) {
	table := newAnsweringTable()
	for i := range 4 {
		mergePartCrash(table, i, fmt.Sprint("e", i), noon, "first", "bad")
	}
	expectHeldParts(t, table, noon, "bad")
	trials, before := 0, noon
	for now := noon; now.Before(noon.Add(heldRetention)); now = now.Add(time.Second) {
		record, _ := table.Get(PartFingerprint("bad"))
		if !record.AddTrial(now) {
			continue
		}
		trials++
		table.Merge(record)
		if least := []time.Duration{firstTrialDelay, secondTrialDelay}[trials-1]; now.Sub(before) < least {
			t.Errorf("trial %d came %v after the crash before", trials, now.Sub(before))
		}
		before = now
		mergePartCrash(table, 100+trials, fmt.Sprint("t", trials), now, "first", "bad")
		expectHeldParts(t, table, now, "bad")
	}
	if trials != maxTrials {
		t.Errorf("%d trials, want %d", trials, maxTrials)
	}
}

func TestLostTrialIsRepeatedSoon(t *testing.T) {
	table := newAnsweringTable()
	for i := range 4 {
		mergePartCrash(table, i, fmt.Sprint("e", i), noon, "first", "bad")
	}
	expectHeldParts(t, table, noon, "bad")
	record, _ := table.Get(PartFingerprint("bad"))
	if trial := noon.Add(firstTrialDelay); !record.AddTrial(trial) || record.AddTrial(trial.Add(lostTrialDelay-1)) || !record.AddTrial(trial.Add(lostTrialDelay)) {
		t.Errorf("trials %v", record.Trials)
	}
	if record.AddTrial(noon.Add(time.Hour)) {
		t.Error("a third trial is due")
	}
}

// Guards against tables that differ after merging records in another order, twice or from messages.
func TestPartMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			record := partCrash(fmt.Sprint("p", rapid.IntRange(1, 3).Draw(t, "part")), rapid.IntRange(0, 2).Draw(t, "depth"),
				rapid.IntRange(1, 4).Draw(t, "request"), fmt.Sprint("e", rapid.IntRange(1, 6).Draw(t, "engine")), noon.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "crash"))*time.Second))
			record.Crashes[0].Answering = rapid.Bool().Draw(t, "answering")
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				record.Answered = noon.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "answered")) * time.Second)
			case 1:
				record.HeldAt = record.Last
			case 2:
				record.Trials = []time.Time{record.Last}
			}
			return record
		}), 1, 30).Draw(t, "records")
		inOrder, shuffled, relayed := NewTable(), NewTable(), NewTable()
		for _, record := range records {
			inOrder.Merge(record.clone())
		}
		for _, i := range rapid.Permutation(indices(len(records))).Draw(t, "order") {
			shuffled.Merge(records[i].clone())
			shuffled.Merge(records[i].clone())
			decoded, err := UnmarshalParts(MarshalParts([]Record{records[i]}))
			if err != nil {
				t.Fatal(err)
			}
			relayed.Merge(decoded[0])
		}
		for f := range inOrder.records {
			first, _ := inOrder.Get(f)
			for _, table := range []*Table{shuffled, relayed} {
				second, _ := table.Get(f)
				if !first.sameCrashes(&second) || !first.Answered.Equal(second.Answered) || first.isHeldPart() != second.isHeldPart() {
					t.Fatalf("merged in order: %+v; otherwise: %+v", first, second)
				}
			}
		}
		if inOrder.heldParts != shuffled.heldParts || len(inOrder.suspectParts) != len(shuffled.suspectParts) {
			t.Fatalf("%d held and %d suspect parts, or %d and %d", inOrder.heldParts, len(inOrder.suspectParts), shuffled.heldParts, len(shuffled.suspectParts))
		}
	})
}

func TestUnmarshalPartsRejectsMalformedMessages(t *testing.T) {
	record := partCrash("p", 1, 2, "e", noon)
	record.Trials = []time.Time{noon}
	message := MarshalParts([]Record{record})
	for length := 2; length < len(message); length++ { // one byte is an empty list
		if _, err := UnmarshalParts(message[:length]); err == nil {
			t.Errorf("a message cut to %d of %d bytes is accepted", length, len(message))
		}
	}
}

func TestAnswersAreForgotten(t *testing.T) {
	var log partLog
	for i := range 10 * maxLoggedParts {
		log.add([]Fingerprint{print(i)}, noon)
	}
	if size := len(log.recent) + len(log.older); size > 2*maxLoggedParts {
		t.Errorf("%d parts are kept", size)
	}
	if last := print(10*maxLoggedParts - 1); !log.lastTime(last).Equal(noon) {
		t.Error("the latest answer is forgotten")
	}
}
