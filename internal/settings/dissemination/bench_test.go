package dissemination

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// benchmarkEntries is the number of settings in the benchmarked tree.
const benchmarkEntries = 50_000

func benchmarkState() *State {
	var entries []Entry
	for i := range benchmarkEntries {
		entries = append(entries, Entry{
			Name: fmt.Sprintf("fleet.team-%03d.tenant-%05d", i%500, i), Revision: uint64(i + 1), Spec: make([]byte, measureSpec),
		})
	}
	return NewState(benchmarkEntries, entries)
}

func BenchmarkDelta(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	machine := New(Config{Self: membership.Member{Name: "self", Address: "10.0.0.1:1", Zone: "z", Region: "r"}}, now, benchmarkState())
	machine.Tick(now.Add(time.Minute))
	b.ResetTimer()
	for i := range b.N {
		from := machine.state.version
		delta := &Delta{From: from, To: from + 1, Entries: []Entry{{
			Name: fmt.Sprintf("fleet.team-%03d.tenant-%05d", i%500, i%benchmarkEntries), Revision: uint64(from + 1), Spec: make([]byte, measureSpec),
		}}}
		delta.Digest = machine.state.digestWith(machine.state.changes(delta))
		machine.HandleDelta(now, "10.0.0.2:1", delta)
	}
}

func BenchmarkPlan(b *testing.B) {
	view := &membership.View{}
	for i := range 490 {
		view.Members = append(view.Members, membership.Member{
			Name: fmt.Sprintf("node-%03d", i), Address: transport.Address(fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)),
			Zone: fmt.Sprintf("zone-%d", i%13), Region: fmt.Sprintf("region-%d", i%13%6),
		})
	}
	for b.Loop() {
		planFor(view.Members[7], view)
	}
}

func BenchmarkStateMemory(b *testing.B) {
	for b.Loop() {
		before := heapAlloc()
		state := benchmarkState()
		b.ReportMetric(float64(heapAlloc()-before)/benchmarkEntries, "bytes/entry")
		runtime.KeepAlive(state)
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
