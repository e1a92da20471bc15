package arrivals

import (
	"math/rand/v2"
	"time"
)

// Batch configures batch traffic: jobs whose items all arrive at once, on
// average one job every Every.
type Batch struct {
	Every time.Duration `koanf:"every" validate:"gte=0"`
	// Jitter is the fraction of Every, 0 to 1, by which intervals vary.
	Jitter float64 `koanf:"jitter" validate:"gte=0,lte=1"`
	// Items is the number of items per job.
	Items   Span    `koanf:"items"`
	Prompts Prompts `koanf:"prompts"`
	// DeadlineMin and DeadlineMax bound a job's deadline, measured from its
	// arrival. A zero DeadlineMax means no deadline.
	DeadlineMin time.Duration `koanf:"deadline_min" validate:"gte=0"`
	DeadlineMax time.Duration `koanf:"deadline_max" validate:"gte=0"`
}

// Job is a set of items that arrive together.
type Job struct {
	At time.Duration
	// Deadline is measured from the start of the run; zero means none.
	Deadline time.Duration
	Items    []Request
}

// NewBatch returns all jobs that arrive before end. Request.Number is unique
// across jobs.
func NewBatch(config Batch, seed uint64, end time.Duration) []Job {
	if config.Every <= 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, seedBatch))
	var jobs []Job
	number := 0
	for at := time.Duration(0); at < end; at += config.nextInterval(random) {
		job := Job{At: at, Deadline: config.deadline(random, at)}
		for count := config.Items.draw(random); count > 0; count-- {
			item := config.Prompts.draw(random)
			item.At = at
			item.Number = number
			number++
			job.Items = append(job.Items, item)
		}
		jobs = append(jobs, job)
	}
	return jobs
}

func (b Batch) nextInterval(random *rand.Rand) time.Duration {
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
