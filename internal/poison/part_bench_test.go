package poison

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkHoldGuiltyParts decides on the parts of a wave of 16 crashes, each of an engine with 12 requests of
// three shared parts.
func BenchmarkHoldGuiltyParts(b *testing.B) {
	table := newAnsweringTable()
	for crash := range maxRecordCrashes {
		for request := range 12 {
			mergePartCrash(table, request, fmt.Sprint("e", crash), noon, "common", fmt.Sprint("document", request%4), fmt.Sprint("subject", crash*12+request))
		}
	}
	b.ResetTimer()
	for range b.N {
		table.HoldGuiltyParts(noon.Add(-time.Hour))
	}
}

// BenchmarkPromptAnswered is the cost of an answer to a prompt of three shared parts while nothing is suspect.
func BenchmarkPromptAnswered(b *testing.B) {
	guard := NewGuard(Options{Now: time.Now})
	for range b.N {
		guard.PromptAnswered(NewPrompt([]string{"first", "document", "subject"}))
	}
}
