package machine

import (
	"reflect"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/jobs"
)

// allCommands has one command of each type, with every field set.
var allCommands = []Command{
	&FileBegin{"f", "t", "n", "p", time.Hour},
	&FileAppend{"f", 3, []byte("lines")},
	&FileSeal{"f", 1, 2, 3, Digest{4}, "m", "/e"},
	&FileDelete{"f", "t"},
	&JobBegin{"j", "t", "k", Digest{1}, "f", Digest{2}, "m", "/e", "24h", []byte("{}"), 5, time.UnixMilli(6), 7, 8, time.Minute},
	&JobAppend{"j", 1, []jobs.Item{{Index: 1, CustomID: "c", Path: "/e", Body: []byte("b"), Repeatable: true}}},
	&JobSeal{"j", 2},
	&LeaseItems{"d", "m", 3, 4},
	&Start{"j", 1, 2},
	&Report{[]jobs.Result{{JobID: "j", Index: 1, Epoch: 2, Status: jobs.ItemFailed, Body: []byte("b"), HTTPStatus: 3, CompletionTokens: 4}}},
	&ExpireLeases{"d", []uint64{1, 2}},
	&Cancel{"j", "t"},
	&Tick{},
}

// Guards against fields lost or changed by encoding or by Stamp.
func TestCommandEncodingRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, command := range allCommands {
		entry, err := Encode(time.UnixMilli(9), command)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		at, decoded, err := Decode(entry)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(at.UnixMilli()).To(gomega.Equal(int64(9)))
		g.Expect(decoded).To(gomega.Equal(command))
		at, decoded, err = Decode(Stamp(entry, time.UnixMilli(10)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(at.UnixMilli()).To(gomega.Equal(int64(10)))
		g.Expect(decoded).To(gomega.Equal(command))
	}
}

// FuzzApply guards against entries that make Apply fail, and against open jobs
// that differ after a reload.
func FuzzApply(f *testing.F) {
	for _, command := range allCommands {
		entry, _ := Encode(time.UnixMilli(9), command)
		f.Add(entry)
	}
	f.Fuzz(func(t *testing.T, entry []byte) {
		m, store := New(), mapStore{}
		for index := uint64(1); index < 3; index++ {
			answer, err := m.Apply(store, index, entry)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := DecodeAnswer(answer); err != nil {
				t.Fatal(err)
			}
		}
		again := New()
		if err := again.Reload(store); err != nil || !reflect.DeepEqual(m.open, again.open) {
			t.Fatalf("reload: %v", err)
		}
	})
}

// FuzzDecodeStored guards against panics on malformed answers and records.
func FuzzDecodeStored(f *testing.F) {
	record, _ := (&JobRecord{JobID: "j"}).Encode()
	f.Add(record)
	f.Fuzz(func(t *testing.T, stored []byte) {
		_, _ = DecodeAnswer(stored)
		_, _ = DecodeFile(stored)
		_, _ = DecodeJob(stored)
		_, _ = DecodeCounters(stored)
		_, _ = DecodeResult(stored)
		_, _ = decodeLeaseRecord(stored)
		_, _ = decodeTries(stored)
		_, _ = decodeRate(stored)
	})
}
