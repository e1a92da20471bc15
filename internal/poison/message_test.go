package poison

import (
	"encoding/hex"
	"slices"
	"testing"
	"time"

	"chutelock.dev/chutelock/internal/wire"
)

// earlierMessage is what versions without crash times send for request 1, with crashes of a@1
// (silent) and b@1 (answering) at noon, and for request 2, which was served.
const earlierMessage = "01000000340109a5e015966de5774bc2dc96a56a8b4d000001a3185c50000000000009010000000003614031" +
	"000000090101000000036240310000001a01f373605c193919c5eef556bdc7cb3bb6000001a3185c500001"

// Guards against messages of earlier versions that can't be read.
func TestUnmarshalReadsMessagesOfEarlierVersions(t *testing.T) {
	message, err := hex.DecodeString(earlierMessage)
	if err != nil {
		t.Fatal(err)
	}
	records, err := Unmarshal(message)
	if err != nil {
		t.Fatal(err)
	}
	table := NewTable()
	for _, record := range records {
		table.Merge(record)
	}
	first, _ := table.Get(print(1))
	if want := []Crash{{Engine: "a@1", Answering: false}, {Engine: "b@1", Answering: true}}; !slices.Equal(first.Crashes, want) || !first.CrashTime("a@1").Equal(noon) {
		t.Errorf("read %+v", first)
	}
	if second, _ := table.Get(print(2)); !second.Served {
		t.Errorf("read %+v", second)
	}
}

// Guards against messages that earlier versions can't read, or from which they learn other
// crashes.
func TestEarlierVersionsReadMessages(t *testing.T) {
	table := NewTable()
	for i, engine := range []string{"a@1", "b@1", "c@1"} {
		crash := Crash{Engine: engine, Answering: i == 1}
		table.Merge(Record{Fingerprint: print(1), Crashes: []Crash{crash}, Last: noon.Add(time.Duration(i) * time.Second)})
	}
	table.Merge(Record{Fingerprint: print(2), Last: noon, Served: true})
	crashes, last, served := readAsEarlierVersion(t, Marshal(table.All()))
	if want := []Crash{{Engine: "a@1", Answering: false}, {Engine: "b@1", Answering: true}, {Engine: "c@1", Answering: false}}; !slices.Equal(crashes[print(1)], want) {
		t.Errorf("crashes of request 1: %v", crashes[print(1)])
	}
	if want := noon.Add(2 * time.Second); !last[print(1)].Equal(want) {
		t.Errorf("last crash of request 1: %v, want %v", last[print(1)], want)
	}
	if !served[print(2)] || served[print(1)] {
		t.Errorf("served: %v", served)
	}
}

// readAsEarlierVersion decodes and merges a message as versions without crash times do.
func readAsEarlierVersion(t *testing.T, message []byte) (crashes map[Fingerprint][]Crash, last map[Fingerprint]time.Time, served map[Fingerprint]bool) {
	crashes, last, served = map[Fingerprint][]Crash{}, map[Fingerprint]time.Time{}, map[Fingerprint]bool{}
	decode := func(message []byte, fixed any, fields int) [][]byte {
		decoded, err := wire.Unmarshal(message, 1, fixed, fields)
		if err != nil {
			t.Fatal(err)
		}
		return decoded
	}
	for _, encoded := range decode(message, &struct{}{}, -1) {
		var record struct {
			Fingerprint [16]byte
			Last        int64
			Served      bool
		}
		ends := decode(encoded, &record, -1)
		f := Fingerprint(record.Fingerprint)
		served[f] = served[f] || record.Served
		if at := time.UnixMilli(record.Last); at.After(last[f]) {
			last[f] = at
		}
		for _, end := range ends {
			var flags struct{ Answering bool }
			engine := decode(end, &flags, 1)
			crashes[f] = append(crashes[f], Crash{Engine: string(engine[0]), Answering: flags.Answering})
		}
	}
	for _, list := range crashes {
		slices.SortFunc(list, func(x, y Crash) int { return slices.Compare([]byte(x.Engine), []byte(y.Engine)) })
	}
	return crashes, last, served
}

// Guards against crash times that are lost in messages.
func TestMessagesKeepCrashTimes(t *testing.T) {
	sender, receiver := NewTable(), NewTable()
	for i, engine := range []string{"a", "b", "c", "d"} {
		sender.Merge(Record{Fingerprint: print(1), Crashes: []Crash{{Engine: engine}}, Last: noon.Add(time.Duration(i) * time.Minute)})
	}
	mergeMessage(t, receiver, sender.All())
	sent, _ := sender.Get(print(1))
	received, _ := receiver.Get(print(1))
	if !sent.sameCrashes(&received) {
		t.Errorf("sent %+v, received %+v", sent, received)
	}
}
