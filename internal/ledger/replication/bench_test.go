package replication

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkPropose measures the commit of batched proposals, with every message
// encoded and decoded but without a disk.
func BenchmarkPropose(b *testing.B) {
	for _, voters := range []int{3, 5} {
		for _, batch := range []int{1, 64} {
			b.Run(fmt.Sprintf("voters=%d/batch=%d", voters, batch), func(b *testing.B) {
				s := newSimulation(1, voters, 0)
				for s.leader() == nil {
					s.run(10 * time.Millisecond)
				}
				leader := s.leader()
				for _, node := range s.nodes {
					node.replica.config.MaxMessageBytes = DefaultMaxMessageBytes
					node.replica.config.MaxInflightBytes = DefaultMaxInflightBytes
				}
				data := make([]byte, 256)
				b.ResetTimer()
				for proposed := 0; proposed < b.N; proposed += batch {
					for range batch {
						if _, _, err := leader.replica.Propose(data); err != nil {
							b.Fatal(err)
						}
					}
					s.processReady(leader)
					target := leader.replica.log.lastIndex()
					for leader.replica.log.committed < target {
						s.run(time.Millisecond)
					}
					if proposed%4096 < batch {
						for _, node := range s.nodes {
							node.disk.Compact(node.disk.applied.Index)
							node.state = nil
						}
						clear(s.oracle.entries)
					}
				}
			})
		}
	}
}

// BenchmarkIdleShard measures one idle shard over a minute of virtual time: the
// messages of all its replicas and the heap memory of each.
func BenchmarkIdleShard(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := newSimulation(1, voters, 0)
				for s.leader() == nil {
					s.run(10 * time.Millisecond)
				}
				s.sent.messages, s.sent.bytes = 0, 0
				s.run(time.Minute)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(s.sent.messages)/60, "messages/s")
				b.ReportMetric(float64(s.sent.bytes)/60, "bytes/s")
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(voters), "heap-bytes/replica")
				runtime.KeepAlive(s)
			}
		})
	}
}
