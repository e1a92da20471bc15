package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep measures a step with all slots in use and as many sequences waiting.
func BenchmarkStep(b *testing.B) {
	for _, slots := range []int{8, 32, 128} {
		b.Run(fmt.Sprint(slots, " running"), func(b *testing.B) {
			s := New(Config{MaxRunning: slots, Blocks: 1 << 16})
			now := time.Unix(0, 0)
			submitted := 0
			submit := func() {
				submitted++
				_ = s.Submit(now, Sequence{
					ID:           fmt.Sprint(submitted),
					Priority:     submitted % 2 * 100,
					PromptTokens: 200,
					MaxTokens:    100,
				})
			}
			for range 2 * slots {
				submit()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				result := s.Step(now)
				now = now.Add(result.Duration)
				for range result.Finished {
					submit()
				}
			}
		})
	}
}
