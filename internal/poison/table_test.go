package poison

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var noon = time.UnixMilli(1_800_000_000_000)

// print is the fingerprint of a request of a number.
func print(number int) Fingerprint { return Of("", "h", "POST", fmt.Sprint("/", number), nil) }

func ended(number int, engines ...string) Record {
	record := Record{Fingerprint: print(number), Last: noon}
	for _, engine := range engines {
		record.Ends = append(record.Ends, End{Engine: engine})
	}
	return record
}

func TestARequestIsHeldBackFromTheThirdEngineOn(t *testing.T) {
	table := NewTable()
	for i, engine := range []string{"a", "a", "b"} {
		table.Merge(ended(1, engine))
		if _, held := table.HeldUntil(print(1), noon); held {
			t.Fatalf("held back after report %d", i)
		}
	}
	table.Merge(ended(1, "c"))
	until, held := table.HeldUntil(print(1), noon)
	if !held || !until.Equal(noon.Add(firstHold)) {
		t.Fatalf("held %v until %v", held, until)
	}
	if _, held := table.HeldUntil(print(2), noon); held {
		t.Error("another request is held back")
	}
	if _, held := table.HeldUntil(print(1), noon.Add(firstHold)); held {
		t.Error("held back for longer than said")
	}
}

func TestARequestGetsTwoMoreChancesAtMost(t *testing.T) {
	table := NewTable()
	now, sent := noon, 0
	for range 100 {
		now = now.Add(nextHold)
		if _, held := table.HeldUntil(print(1), now); held {
			continue
		}
		sent++
		table.Merge(Record{Fingerprint: print(1), Ends: []End{{Engine: fmt.Sprint("e", sent)}}, Last: now})
	}
	if sent != endedForGood {
		t.Errorf("sent %d times within %v", sent, 100*nextHold)
	}
	if table.Forget(now); table.Len() != 1 {
		t.Error("forgotten too early")
	}
	if table.Forget(now.Add(holdMemory)); table.Len() != 0 {
		t.Error("never forgotten")
	}
}

func TestARequestThatAnEngineAnsweredIsNotHeldBack(t *testing.T) {
	table := NewTable()
	table.Merge(ended(1, "a", "b", "c"))
	table.Merge(Record{Fingerprint: print(1), Last: noon, Sound: true})
	table.Merge(ended(1, "d", "e", "f"))
	if _, held := table.HeldUntil(print(1), noon); held {
		t.Error("held back though it was answered")
	}
	if table.Holding() {
		t.Error("counted as one that may be held back")
	}
}

func TestRecordsMakeRoomForNewerOnes(t *testing.T) {
	table := NewTable()
	table.Merge(ended(0, "a", "b", "c"))
	for i := 1; i <= 3*recordsMost; i++ {
		table.Merge(Record{Fingerprint: print(i), Ends: []End{{Engine: "a"}}, Last: noon.Add(time.Duration(i))})
	}
	if table.Len() > recordsMost {
		t.Errorf("%d records", table.Len())
	}
	if _, held := table.HeldUntil(print(0), noon); !held {
		t.Error("a request that is held back gave way to others")
	}
}

func TestEnginesThatWereAnsweringCountHalf(t *testing.T) {
	table := NewTable()
	for i := range 2*endedMost - 1 {
		table.Merge(Record{Fingerprint: print(1), Ends: []End{{Engine: fmt.Sprint("e", i), Answering: true}}, Last: noon})
	}
	if _, held := table.HeldUntil(print(1), noon); held {
		t.Fatal("held back too early")
	}
	table.Merge(ended(1, "e0")) // another node had no event of it
	if _, held := table.HeldUntil(print(1), noon); !held {
		t.Error("not held back")
	}
}

// An item of eight events was at three engines that ended within two seconds, each under
// another request: twice it had events by then. It was held back beyond its due time.
func TestAnItemThatStoodByThreeTimesIsNotHeldBack(t *testing.T) {
	table := NewTable()
	table.Merge(Record{Fingerprint: print(1), Last: noon, Ends: []End{{"e1", true}, {"e3", true}, {"e4", false}}})
	if _, held := table.HeldUntil(print(1), noon); held {
		t.Error("held back")
	}
}

// An item stood by at four engines that ended within two seconds under other requests, at two
// of them with events. It was held back for ten minutes, and its job was never whole in time.
//
// Why: how long a request is held back went by the number of ends, so that one with ends that
// count half never had the thirty seconds that come first. Evidence, in the log of the data node
// that led: "engine-ended-under-request" at 48.282 and 48.359 without events and at 49.852 and
// 50.029 with some, then "request-held-back" with these four ends until ten minutes later.
func TestAFirstHoldIsShortWhateverItsEnds(t *testing.T) {
	table := NewTable()
	table.Merge(Record{Fingerprint: print(1), Last: noon, Ends: []End{{"e1", false}, {"e2", true}, {"e3", false}, {"e4", true}}})
	until, held := table.HeldUntil(print(1), noon)
	if !held || !until.Equal(noon.Add(firstHold)) {
		t.Errorf("held %v until %v", held, until)
	}
	table.Merge(Record{Fingerprint: print(1), Last: noon.Add(firstHold), Ends: []End{{"e5", true}}})
	if until, held := table.HeldUntil(print(1), noon.Add(firstHold)); !held || !until.Equal(noon.Add(firstHold+holdMemory)) {
		t.Errorf("after the fifth end held %v until %v", held, until)
	}
}

// An item stood by at five engines that ended within two seconds under other requests, at four of
// them with events. It is held back for 24 hours, without the thirty seconds that come first, and
// its job is never whole (the soak, seed 466162590011: 15.284 without events, 15.349, 16.833, 16.937
// and 17.397 with some, then "request-held-back" until the next day).
//
// Why: with the fifth end a request gets no further chance, so that one that is to blame gets three at
// most after the third; here the fifth end is what makes the first hold, and nothing tells that no
// chance was given before. Not mended.
func TestAFirstHoldIsShortWithFiveEnds(t *testing.T) {
	table := NewTable()
	table.Merge(Record{Fingerprint: print(1), Last: noon, Ends: []End{{"e1", false}, {"e2", true}, {"e3", true}, {"e4", true}, {"e5", true}}})
	if until, held := table.HeldUntil(print(1), noon); !held || !until.Equal(noon.Add(firstHold)) {
		t.Errorf("held %v until %v", held, until)
	}
}

const (
	crowdEngines = 18
	crowdItems   = 100
	// answerTime is how long an engine takes to the first event of an item.
	answerTime = 50 * time.Millisecond
	// endGap is the time from one end of an engine to the next.
	endGap = 200 * time.Millisecond
)

// crowd plays long items that never come to their end at engines among which requests
// come that each end three, and counts the items that are held back. Whoever was at an
// engine that ended goes to another one. answering says whether an engine counts as answering
// that has had an item for a time.
func crowd(seed uint64, poisons int, answering func(since time.Duration) bool) (heldBack int) {
	rng := rand.New(rand.NewPCG(seed, 0))
	table := NewTable()
	at := make([]int, crowdItems)
	since := make([]time.Time, crowdItems) // when they came there
	for i := range at {
		at[i] = rng.IntN(crowdEngines)
		since[i] = noon.Add(-time.Minute)
	}
	now := noon
	for end := range poisons * endedMost {
		now = now.Add(endGap)
		engine := rng.IntN(crowdEngines)
		for item := range at {
			if at[item] != engine {
				continue
			}
			one := End{Engine: fmt.Sprint(engine, "+", end), Answering: answering(now.Sub(since[item]))}
			table.Merge(Record{Fingerprint: print(item), Ends: []End{one}, Last: now})
			at[item], since[item] = (engine+1+rng.IntN(crowdEngines-1))%crowdEngines, now
		}
	}
	return table.Held(now)
}

func TestThoseThatOnlyStoodByAreToldApart(t *testing.T) {
	byTable := func(since time.Duration) bool { return since >= answerTime }
	alike := func(time.Duration) bool { return false }
	for _, poisons := range []int{1, 3, 10} {
		counted, apart := 0, 0
		for seed := range uint64(20) {
			counted += crowd(seed, poisons, alike)
			apart += crowd(seed, poisons, byTable)
		}
		t.Logf("%d requests that end engines: of %d items %d are held back if all ends count alike, %d as it is",
			poisons, 20*crowdItems, counted, apart)
		if apart*20 > counted {
			t.Errorf("%d requests that end engines: %d items are held back, %d if all ends count alike", poisons, apart, counted)
		}
	}
}

// TestMergesCommute checks that tables agree whatever the order and number of merges.
func TestMergesCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			record := Record{Fingerprint: print(rapid.IntRange(1, 4).Draw(t, "request")), Last: noon.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "at")))}
			if rapid.IntRange(0, 9).Draw(t, "sound") == 0 {
				record.Sound = true
				return record
			}
			record.Ends = []End{{Engine: fmt.Sprint("e", rapid.IntRange(1, 6).Draw(t, "engine")), Answering: rapid.Bool().Draw(t, "answering")}}
			return record
		}), 1, 30).Draw(t, "records")
		one, other := NewTable(), NewTable()
		for _, record := range records {
			one.Merge(record)
		}
		for _, i := range rapid.Permutation(indices(len(records))).Draw(t, "order") {
			other.Merge(records[i])
			other.Merge(records[i])
		}
		for f := range one.records {
			_, here := one.HeldUntil(f, noon)
			_, there := other.HeldUntil(f, noon)
			mine, _ := one.Get(f)
			theirs, _ := other.Get(f)
			if here != there || mine.Sound != theirs.Sound || !slices.Equal(mine.Ends, theirs.Ends) {
				t.Fatalf("%+v here, %+v there", mine, theirs)
			}
		}
		if one.graves != other.graves {
			t.Fatalf("%d and %d may be held back", one.graves, other.graves)
		}
	})
}

func indices(count int) []int {
	list := make([]int, count)
	for i := range list {
		list[i] = i
	}
	return list
}

func TestRecordsGoOverTheWire(t *testing.T) {
	records := []Record{ended(1, "a", "b"), {Fingerprint: print(2), Last: noon, Sound: true}}
	read, err := Unmarshal(Marshal(records))
	if err != nil || !reflect.DeepEqual(read, records) {
		t.Errorf("%+v, %v", read, err)
	}
	if f, err := Parse(print(1).String()); err != nil || f != print(1) {
		t.Errorf("%v, %v", f, err)
	}
	if _, err := Parse("no fingerprint"); err == nil {
		t.Error("took a text for a fingerprint")
	}
}

func FuzzUnmarshal(f *testing.F) {
	f.Add(Marshal([]Record{ended(1, "a", "b")}))
	f.Fuzz(func(_ *testing.T, message []byte) {
		if records, err := Unmarshal(message); err == nil {
			table := NewTable()
			for _, record := range records {
				table.Merge(record)
			}
		}
	})
}

func TestFingerprintsDifferByEachPart(t *testing.T) {
	seen := map[Fingerprint]bool{}
	for _, f := range []Fingerprint{
		Of("a", "h", "POST", "/x", []byte("y")), Of("", "h", "POST", "/x", []byte("y")), Of("a", "g", "POST", "/x", []byte("y")),
		Of("a", "h", "PUT", "/x", []byte("y")), Of("a", "h", "POST", "/xy", nil), Of("ah", "", "POST", "/x", []byte("y")),
	} {
		if seen[f] {
			t.Error("two requests share a fingerprint")
		}
		seen[f] = true
	}
}

func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 20<<10)
	for b.Loop() {
		Of("", "host.example", "POST", "/path/of/a/request", body)
	}
}
