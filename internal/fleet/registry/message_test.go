package registry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/wire"
)

var sampleEntry = entry{
	spec:   fleet.Spec{Name: "engine", Address: "127.0.0.1:1", Zone: "zone", Region: "region", Models: []string{"a", "b"}},
	record: loadRecord{Engine: EngineID("engine"), Running: 3, Sources: SourceReport, Measured: true},
	models: []string{"a"}, adapters: []string{"x"}, token: 9,
}

func TestMessagesRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	entries, err := decodeEntries(appendEntry(appendEntry(nil, &sampleEntry), &sampleEntry))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(entries).To(gomega.Equal([]entry{sampleEntry, sampleEntry}))

	sent := summary{zone: "zone", models: []ModelCapacity{{Model: "a", Engines: 2, Running: 3, Waiting: 4}}, sample: []entry{sampleEntry}}
	decoded, err := decodeSummary(encodeSummary(&sent))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded).To(gomega.Equal(sent))

	now := time.Unix(1000, 0)
	load := engine.Load{
		At: now.Add(-time.Second), Running: 7, Waiting: 70000, RunningBatch: 2, KVUse: 1, TokensPerStep: 12.5,
		StepTime: 21 * time.Millisecond, Draining: true,
	}
	record := encodeLoad(now, 1, &load, 0, SourceReport)
	load.Waiting = 65535 // clamped
	g.Expect(decodeLoad(now, &record, engine.Load{})).To(gomega.Equal(load))
}

// Guards against panics on malformed messages.
func FuzzDecoders(f *testing.F) {
	record := sampleEntry.record
	f.Add(encodeDatagram(datagramHeader{Type: typeDigest, Zone: zoneID("zone")}, appendLoad(nil, &record)))
	f.Add(encodeDatagram(datagramHeader{Type: typeSummary, Zone: zoneID("far")}, encodeSummary(&summary{zone: "far", sample: []entry{sampleEntry}})))
	f.Add(encodeDatagram(datagramHeader{Type: typeListAnnounce}, encodeVersions([]listVersion{{1, 2, 3}})))
	f.Add(encodePull(zoneID("zone"), []uint64{1}))
	answer, _ := wire.Marshal(messageVersion, pullAnswer{Revision: 1, Content: contentView}, appendEntry(nil, &sampleEntry))
	f.Add(answer)
	f.Fuzz(func(_ *testing.T, payload []byte) {
		now := time.Unix(1000, 0)
		registry := New(Config{Self: membership.Member{Name: "node", Zone: "zone"}}, now)
		registry.HandleStore(now, 1, []fleet.Spec{sampleEntry.spec})
		_, _ = registry.HandleDatagram(now, "127.0.0.1:2", payload)
		_, _ = registry.HandlePull(now, payload)
		_, _ = registry.HandlePullAnswer(now, "127.0.0.1:2", payload)
		registry.Snapshot(now)
	})
}
