package sim

import "time"

// bin is the grain in which a recording keeps the engines' online work.
const bin = time.Second

// onlineWork is what an engine did for online in one bin.
type onlineWork struct {
	tokens    int
	prefilled int
}

// Recording is what a run without batch work did: it gives the capacity that
// is left, and tells the clairvoyant what will come.
type Recording struct {
	engineOf map[int]int // first engine of each request
	bins     [][]onlineWork
	// stepBound is the longest step that the clairvoyant lets an online stream
	// see.
	stepBound time.Duration
}

func newRecording(config Config) *Recording {
	recording := &Recording{
		engineOf: map[int]int{},
		bins:     make([][]onlineWork, config.engines()),
	}
	for i := range recording.bins {
		recording.bins[i] = make([]onlineWork, int(config.Duration/bin)+1)
	}
	return recording
}

func (r *Recording) arrival(engine, number int) {
	if _, known := r.engineOf[number]; !known {
		r.engineOf[number] = engine
	}
}

func (r *Recording) work(engine int, at time.Duration, tokens, prefilled int) {
	slot := &r.bins[engine][min(int(at/bin), len(r.bins[engine])-1)]
	slot.tokens += tokens
	slot.prefilled += prefilled
}
