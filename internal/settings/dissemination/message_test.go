package dissemination

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func sampleDelta() *Delta {
	return &Delta{
		From: 3, To: 5, Exact: true, Digest: 7, Age: 40 * time.Millisecond,
		Entries: []Entry{live("a", 4), deleted("b", 5), {Name: "c", Revision: 5, Deleted: true}},
	}
}

func sampleZones() []ZoneStatus {
	return []ZoneStatus{
		{Zone: "z", Region: "r", Minimum: 3, Maximum: 5, Reported: 4, Members: 5, Stale: 1, Unset: 2, Known: true, Age: time.Second},
		{Zone: "y"},
	}
}

// Guards against fields lost in encoding and truncated input accepted in decoding.
func TestMessageRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	check := func(want any, data []byte, err error, decode func([]byte) (any, error)) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
		got, err := decode(data)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got).To(gomega.Equal(want))
		_, err = decode(data[:len(data)-1])
		g.Expect(err).To(gomega.HaveOccurred())
	}
	delta := sampleDelta()
	data, err := delta.Marshal()
	check(delta, data, err, func(data []byte) (any, error) { return UnmarshalDelta(data) })
	digest := &Digest{Version: 9, Known: true, Answer: true, Digest: 4, Age: time.Second}
	data, err = digest.Marshal()
	check(digest, data, err, func(data []byte) (any, error) { return UnmarshalDigest(data) })
	pull := &Pull{Have: 4, Known: true, Buckets: make([]uint64, BucketCount)}
	data, err = pull.Marshal()
	check(pull, data, err, func(data []byte) (any, error) { return UnmarshalPull(data) })
	answer := &PullAnswer{
		Version: 5, Known: true, Digest: 7, Age: time.Second, Deltas: []Delta{*delta},
		Buckets: []Bucket{{Number: 200, Entries: []Entry{live("a", 4)}}},
	}
	data, err = answer.Marshal()
	check(answer, data, err, func(data []byte) (any, error) { return UnmarshalPullAnswer(data) })
	report := &Report{Minimum: 3, Maximum: 5, Nodes: 7, Stale: 1, Unset: 2}
	data, err = report.Marshal()
	check(report, data, err, func(data []byte) (any, error) { return UnmarshalReport(data) })
	zone := &ZoneReport{Zone: "z", Region: "r", Report: *report, Age: time.Second}
	data, err = zone.Marshal()
	check(zone, data, err, func(data []byte) (any, error) { return UnmarshalZoneReport(data) })
	data, err = MarshalZones(sampleZones())
	check(sampleZones(), data, err, func(data []byte) (any, error) { return UnmarshalZones(data) })
}

// fuzzDecoder checks that every message that decode accepts can be encoded.
func fuzzDecoder(f *testing.F, decode func([]byte) (interface{ Marshal() ([]byte, error) }, error)) {
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := decode(data)
		if err != nil {
			return
		}
		if _, err := message.Marshal(); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzUnmarshalDelta(f *testing.F) {
	data, _ := sampleDelta().Marshal()
	f.Add(data)
	fuzzDecoder(f, func(data []byte) (interface{ Marshal() ([]byte, error) }, error) { return UnmarshalDelta(data) })
}

func FuzzUnmarshalDigest(f *testing.F) {
	data, _ := (&Digest{Version: 2}).Marshal()
	f.Add(data)
	fuzzDecoder(f, func(data []byte) (interface{ Marshal() ([]byte, error) }, error) { return UnmarshalDigest(data) })
}

func FuzzUnmarshalPull(f *testing.F) {
	data, _ := (&Pull{Buckets: make([]uint64, BucketCount)}).Marshal()
	f.Add(data)
	fuzzDecoder(f, func(data []byte) (interface{ Marshal() ([]byte, error) }, error) { return UnmarshalPull(data) })
}

func FuzzUnmarshalPullAnswer(f *testing.F) {
	data, _ := (&PullAnswer{Deltas: []Delta{*sampleDelta()}, Buckets: []Bucket{{Number: 1, Entries: []Entry{live("a", 1)}}}}).Marshal()
	f.Add(data)
	fuzzDecoder(f, func(data []byte) (interface{ Marshal() ([]byte, error) }, error) { return UnmarshalPullAnswer(data) })
}

func FuzzUnmarshalReport(f *testing.F) {
	data, _ := (&Report{Nodes: 1}).Marshal()
	f.Add(data)
	fuzzDecoder(f, func(data []byte) (interface{ Marshal() ([]byte, error) }, error) { return UnmarshalReport(data) })
}

func FuzzUnmarshalZoneReport(f *testing.F) {
	data, _ := (&ZoneReport{Zone: "z"}).Marshal()
	f.Add(data)
	fuzzDecoder(f, func(data []byte) (interface{ Marshal() ([]byte, error) }, error) { return UnmarshalZoneReport(data) })
}

type zoneList []ZoneStatus

func (z zoneList) Marshal() ([]byte, error) { return MarshalZones(z) }

func FuzzUnmarshalZones(f *testing.F) {
	data, _ := MarshalZones(sampleZones())
	f.Add(data)
	fuzzDecoder(f, func(data []byte) (interface{ Marshal() ([]byte, error) }, error) {
		zones, err := UnmarshalZones(data)
		return zoneList(zones), err
	})
}
