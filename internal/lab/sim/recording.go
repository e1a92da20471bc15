package sim

import "time"

// binWidth is the time resolution of recorded online work.
const binWidth = time.Second

// onlineWork counts an engine's online tokens in one bin.
type onlineWork struct {
	outputTokens    int
	prefilledTokens int
}

// Recording is the online work of a run without batch work, from which the
// capacity left for batch work follows. PolicyClairvoyant replays its routing.
type Recording struct {
	engineOf map[int]int // first engine of each request, by number
	bins     [][]onlineWork
	// stepBound is the maximum duration of steps with online streams under
	// PolicyClairvoyant.
	stepBound time.Duration
}

func newRecording(config Config) *Recording {
	recording := &Recording{
		engineOf: map[int]int{},
		bins:     make([][]onlineWork, config.engines()),
	}
	for i := range recording.bins {
		recording.bins[i] = make([]onlineWork, int(config.Duration/binWidth)+1)
	}
	return recording
}

func (r *Recording) recordEngine(engine, number int) {
	if _, known := r.engineOf[number]; !known {
		r.engineOf[number] = engine
	}
}

func (r *Recording) recordWork(engine int, at time.Duration, tokens, prefilled int) {
	slot := &r.bins[engine][min(int(at/binWidth), len(r.bins[engine])-1)]
	slot.outputTokens += tokens
	slot.prefilledTokens += prefilled
}
