package tree

import (
	"fmt"
	"runtime"
	"testing"

	"chutelock.dev/chutelock/internal/apikey"
	"chutelock.dev/chutelock/internal/settings"
)

// benchmarkTenants is the number of tenants that the tree must support.
const benchmarkTenants = 50_000

func benchmarkUpdates() []Update {
	updates := []Update{{Path: "fleet", Node: &Node{Path: "fleet", Kind: KindFolder}}}
	for i := range 500 {
		path := fmt.Sprintf("fleet/team-%03d", i)
		updates = append(updates, Update{Path: path, Node: &Node{Path: path, Kind: KindFolder, Fields: Fields{Priority: ref(i % 10)}}})
	}
	for i := range benchmarkTenants {
		path := fmt.Sprintf("fleet/team-%03d/tenant-%05d", i%500, i)
		spec := fmt.Sprintf(`{"kind":"tenant","keys":[%q],"requestsPerSecond":%d,"burst":5}`, storedKey(path), i%100)
		updates = append(updates, UpdateOf(path, uint64(i), []byte(spec)))
	}
	return updates
}

func benchmarkLive() *Live {
	live := NewLive()
	live.Replace(1, benchmarkUpdates())
	return live
}

func BenchmarkTenantByKey(b *testing.B) {
	live := benchmarkLive()
	keys := make([]apikey.Hash, 4096)
	for i := range keys {
		keys[i] = apikey.HashKey(fmt.Sprintf("fleet/team-%03d/tenant-%05d", i*11%500, i*11))
	}
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			if _, ok := live.Current().TenantByKey(keys[i%len(keys)]); !ok {
				b.Error("tenant not found")
			}
		}
	})
}

func BenchmarkApplyOneTenant(b *testing.B) {
	live := benchmarkLive()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		path := fmt.Sprintf("fleet/team-%03d/tenant-%05d", i%500, i%benchmarkTenants/500*500+i%500)
		node := &Node{Path: path, Kind: KindTenant, Keys: []string{storedKey(path)}, Fields: Fields{Burst: ref(i)}}
		live.Apply(settings.Version(i+2), []Update{{Path: path, Node: node}})
	}
}

func BenchmarkApplyOneTeam(b *testing.B) {
	live := benchmarkLive()
	for i := 0; b.Loop(); i++ {
		path := fmt.Sprintf("fleet/team-%03d", i%500)
		node := &Node{Path: path, Kind: KindFolder, Fields: Fields{Burst: ref(i)}}
		live.Apply(settings.Version(i+2), []Update{{Path: path, Node: node}})
	}
}

func BenchmarkReplaceAll(b *testing.B) {
	updates := benchmarkUpdates()
	live := NewLive()
	for i := 0; b.Loop(); i++ {
		live.Replace(settings.Version(i+2), updates)
	}
}

func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heapInUse()
		live := benchmarkLive()
		b.ReportMetric(float64(heapInUse()-before)/benchmarkTenants, "bytes/tenant")
		runtime.KeepAlive(live)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
