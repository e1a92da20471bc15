package sim_test

import (
	"testing"

	"chutelock.dev/chutelock/internal/lab/sim"
)

func BenchmarkRunWithController(b *testing.B) {
	config := smallConfig()
	b.ReportAllocs()
	for i := range b.N {
		if _, err := sim.Run(config, controller, uint64(i), nil); err != nil {
			b.Fatal(err)
		}
	}
}
