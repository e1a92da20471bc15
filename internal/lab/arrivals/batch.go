package arrivals

import (
	"math/rand/v2"
	"time"
)

// Batch describes batch work: heaps of items that arrive at once, about every
// Every.
type Batch struct {
	Every time.Duration `koanf:"every" validate:"gte=0"`
	// Jitter is the share of Every by which each gap varies, 0 to 1.
	Jitter float64 `koanf:"jitter" validate:"gte=0,lte=1"`
	// Items in a heap.
	Items   Span    `koanf:"items"`
	Prompts Prompts `koanf:"prompts"`
	// Deadlines are drawn for whole heaps, counted from the heap's arrival.
	// DeadlineMax zero means no deadline.
	DeadlineMin time.Duration `koanf:"deadline_min" validate:"gte=0"`
	DeadlineMax time.Duration `koanf:"deadline_max" validate:"gte=0"`
}

// Heap is a job's items, which arrive together.
type Heap struct {
	At time.Duration
	// Deadline is counted from the start of the run; zero means none.
	Deadline time.Duration
	Items    []Request
}

// NewBatch draws all heaps that arrive before end. Request.Number is counted
// over all heaps.
func NewBatch(config Batch, seed uint64, end time.Duration) []Heap {
	if config.Every <= 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, seedBatch))
	var heaps []Heap
	number := 0
	for at := time.Duration(0); at < end; at += config.gap(random) {
		heap := Heap{At: at, Deadline: config.deadline(random, at)}
		for count := config.Items.draw(random); count > 0; count-- {
			item := config.Prompts.draw(random)
			item.At = at
			item.Number = number
			number++
			heap.Items = append(heap.Items, item)
		}
		heaps = append(heaps, heap)
	}
	return heaps
}

func (b Batch) gap(random *rand.Rand) time.Duration {
	factor := 1 + b.Jitter*(2*random.Float64()-1)
	return max(time.Millisecond, time.Duration(float64(b.Every)*factor))
}

func (b Batch) deadline(random *rand.Rand, at time.Duration) time.Duration {
	if b.DeadlineMax <= 0 {
		return 0
	}
	spread := max(0, b.DeadlineMax-b.DeadlineMin)
	return at + b.DeadlineMin + time.Duration(random.Float64()*float64(spread))
}
